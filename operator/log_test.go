package operator

import (
	"bytes"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
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
