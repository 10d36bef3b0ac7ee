package operator

import (
	"io"
	"sync"
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
	// gather is how long lines are gathered for one write, and gatherBytes the
	// size beyond which they are written at once.
	gather      = 20 * time.Millisecond
	gatherBytes = 32 << 10
)

// LogStream writes log lines in the background. A line that finds the queue full
// or exceeds the rate of its level is dropped and counted, never waited for.
type LogStream struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	clock   clockwork.Clock
	// closing is set when no more lines come.
	closing atomic.Bool
	format  lineFormatter

	// mu guards the rates.
	mu         sync.Mutex
	info, warn rate
}

// rate bounds lines per second.
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
		out: out, lines: make(chan []byte, logQueue), done: make(chan struct{}), clock: clock,
		info: rate{most: infoRate, tokens: infoRate, last: now},
		warn: rate{most: warnRate, tokens: warnRate, last: now},
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
	if !s.allow(e) {
		s.dropped.Add(1)
		return nil, nil
	}
	if n := s.dropped.Swap(0); n > 0 {
		e.Data["dropped"] = n
	}
	return s.format.Format(e)
}

func (s *LogStream) allow(e *logrus.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Level <= logrus.WarnLevel {
		return s.warn.allow(e.Time)
	}
	return s.info.allow(e.Time)
}

// Line logs fields that the caller does not use any more. logrus copies fields
// twice, which costs more than to encode them; each request has two such lines.
// Hooks of the logger are not called.
func Line(log *logrus.Logger, now time.Time, level logrus.Level, msg string, fields logrus.Fields) {
	if !log.IsLevelEnabled(level) {
		return
	}
	e := logrus.Entry{Logger: log, Data: fields, Time: now, Level: level, Message: msg}
	line, err := log.Formatter.Format(&e)
	if err != nil {
		log.WithField("error", err.Error()).Error("line of the log can't be encoded")
		return
	}
	// What the output can't take is lost; there is nowhere else to report it.
	_, _ = log.Out.Write(line)
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

// run writes the queued lines, as many as there are in one call.
func (s *LogStream) run() {
	defer close(s.done)
	var buf []byte
	for line := range s.lines {
		buf = append(buf[:0], line...)
		if !s.closing.Load() {
			s.clock.Sleep(gather)
		}
		buf = s.queued(buf)
		// A failed write loses the lines; there is nowhere else to report it.
		_, _ = s.out.Write(buf)
	}
}

// queued appends the lines that wait already.
func (s *LogStream) queued(buf []byte) []byte {
	for len(buf) < gatherBytes {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return buf
			}
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// Close writes the lines that are queued, for at most the given time. No line
// may be logged afterwards.
func (s *LogStream) Close(wait time.Duration) {
	s.closing.Store(true)
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}
