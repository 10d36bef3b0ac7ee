package operator

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// logQueue is how many lines wait for a slow reader before lines are dropped.
	logQueue = 2048
	// infoRate and warnRate bound the lines per second below and from the level
	// warn, so that load does not grow the volume.
	infoRate = 150
	warnRate = 300
)

// LogStream writes log lines in the background. A line that finds the queue full
// or exceeds the rate of its level is dropped and counted, never waited for.
type LogStream struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	format  logrus.JSONFormatter
	info    rate
	warn    rate
}

// rate bounds lines per second; only Format uses it, under the logger's mutex.
type rate struct {
	most   float64
	tokens float64
	last   time.Time
}

func (r *rate) allow(now time.Time) bool {
	r.tokens = min(r.most, r.tokens+now.Sub(r.last).Seconds()*r.most)
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// NewLog returns a logger of JSON lines and the stream behind it, which must be
// closed last. level is debug, info, warn or error.
func NewLog(out io.Writer, level string, clock clockwork.Clock) (*logrus.Logger, *LogStream, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "log level %q", level)
	}
	now := clock.Now()
	s := &LogStream{
		out: out, lines: make(chan []byte, logQueue), done: make(chan struct{}),
		format: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
		info:   rate{most: infoRate, tokens: infoRate, last: now},
		warn:   rate{most: warnRate, tokens: warnRate, last: now},
	}
	go s.run()
	log := logrus.New()
	log.SetOutput(s)
	log.SetLevel(l)
	log.SetFormatter(s)
	return log, s, nil
}

// Format implements logrus.Formatter. It returns nothing for a line above the
// rate of its level.
func (s *LogStream) Format(e *logrus.Entry) ([]byte, error) {
	r := &s.info
	if e.Level <= logrus.WarnLevel {
		r = &s.warn
	}
	if !r.allow(e.Time) {
		s.dropped.Add(1)
		return nil, nil
	}
	if n := s.dropped.Swap(0); n > 0 {
		e.Data["dropped"] = n
	}
	return s.format.Format(e)
}

// Write queues one line.
func (s *LogStream) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

func (s *LogStream) run() {
	defer close(s.done)
	for line := range s.lines {
		// A failed write loses the line; there is nowhere else to report it.
		_, _ = s.out.Write(line)
	}
}

// Close writes the lines that are queued, for at most the given time. No line
// may be logged afterwards.
func (s *LogStream) Close(wait time.Duration) {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}
