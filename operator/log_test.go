package operator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against a goroutine that still logs at the end of the process ending it
// with a panic, and against Close losing lines that were logged before it.
func TestLogAfterClose(t *testing.T) {
	var out bytes.Buffer
	log, stream, err := NewLogger(&out, "info", clockwork.NewRealClock())
	require.NoError(t, err)
	for range 10 {
		log.Info("before")
	}
	stream.Close(30 * time.Second)
	require.Equal(t, 10, bytes.Count(out.Bytes(), []byte(`"before"`)))
	require.NotPanics(t, func() { log.Info("after") })
	require.NotContains(t, out.String(), "after")
}

// stalledWriter blocks each write until release is closed.
type stalledWriter struct{ release chan struct{} }

func (w stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against values that clients choose filling the memory while the reader of the
// log is slow.
func TestLogQueueBytes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	out := stalledWriter{release: make(chan struct{})}
	log, stream, err := NewLogger(out, "info", clock)
	require.NoError(t, err)
	long := strings.Repeat("x", 16<<10)
	for range 2 * logQueueSize {
		log.WithFields(logrus.Fields{"request": long, "target": long, "host": long}).Warn("reject")
		clock.Advance(time.Second)
	}
	queued := 0
	for len(stream.lines) > 0 {
		queued += len(<-stream.lines)
	}
	require.Greater(t, queued, 0)
	require.LessOrEqual(t, queued, maxQueuedBytes)
	close(out.release)
}
