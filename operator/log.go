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
	// logQueueSize is how many lines, and maxQueuedBytes how many bytes of them, wait for a
	// slow reader before lines are dropped.
	logQueueSize   = 2048
	maxQueuedBytes = 2 << 20
	// infoLinesPerSecond and warnLinesPerSecond limit the lines below and from the
	// level warn, so that the volume does not grow with the load.
	infoLinesPerSecond = 150
	warnLinesPerSecond = 300
	// batchDelay is how long lines are batched for one write, and maxBatchBytes
	// the size in bytes at which a batch takes no more lines.
	batchDelay    = 20 * time.Millisecond
	maxBatchBytes = 32 << 10
)

// LogStream writes log lines in the background. It never blocks: a line is dropped
// and counted if the queue is full or the rate limit of its level is exceeded.
type LogStream struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// queuedBytes is the length of the queued lines.
	queuedBytes atomic.Int64
	// closing is closed by Close, done once the lines queued by then are written.
	// lines is never closed, so that a late line is lost and not a panic.
	closing, done chan struct{}
	clock         clockwork.Clock
	formatter     lineFormatter

	// mu guards the rate limiters.
	mu                       sync.Mutex
	infoLimiter, warnLimiter rateLimiter
}

// rateLimiter is a token bucket that holds at most the lines of one second.
type rateLimiter struct {
	perSecond float64
	tokens    float64
	last      time.Time
}

func (r *rateLimiter) allow(now time.Time) bool {
	r.tokens = min(r.perSecond, r.tokens+now.Sub(r.last).Seconds()*r.perSecond)
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// NewLogger returns a logger of JSON lines and the stream that writes them, which
// must be closed after the last line. level is debug, info, warn or error.
func NewLogger(out io.Writer, level string, clock clockwork.Clock) (*logrus.Logger, *LogStream, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "log level %q", level)
	}
	now := clock.Now()
	s := &LogStream{
		out: out, lines: make(chan []byte, logQueueSize), closing: make(chan struct{}), done: make(chan struct{}), clock: clock,
		infoLimiter: rateLimiter{perSecond: infoLinesPerSecond, tokens: infoLinesPerSecond, last: now},
		warnLimiter: rateLimiter{perSecond: warnLinesPerSecond, tokens: warnLinesPerSecond, last: now},
	}
	go s.writeBatches()
	log := logrus.New()
	log.SetOutput(s)
	log.SetLevel(parsed)
	log.SetFormatter(s)
	return log, s, nil
}

// Format implements logrus.Formatter. It returns nil for a line that exceeds the
// rate of its level.
func (s *LogStream) Format(e *logrus.Entry) ([]byte, error) {
	if !s.allow(e) {
		s.dropped.Add(1)
		return nil, nil
	}
	if n := s.dropped.Swap(0); n > 0 {
		e.Data["dropped"] = n
	}
	return s.formatter.Format(e)
}

func (s *LogStream) allow(e *logrus.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Level <= logrus.WarnLevel {
		return s.warnLimiter.allow(e.Time)
	}
	return s.infoLimiter.allow(e.Time)
}

// LogLine logs fields, which the caller must not use afterwards. It avoids the two
// copies that logrus makes, which cost more than the encoding: each request logs
// two such lines. Hooks of the logger are not called.
func LogLine(log *logrus.Logger, now time.Time, level logrus.Level, msg string, fields logrus.Fields) {
	if !log.IsLevelEnabled(level) {
		return
	}
	e := logrus.Entry{Logger: log, Data: fields, Time: now, Level: level, Message: msg}
	line, err := log.Formatter.Format(&e)
	if err != nil {
		log.WithField("error", err.Error()).Error("line of the log can't be encoded")
		return
	}
	// A failed write loses the line; there is nowhere else to report it.
	_, _ = log.Out.Write(line)
}

// Write queues one line or, if the queue is full, drops it.
func (s *LogStream) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if s.queuedBytes.Add(int64(len(p))) > maxQueuedBytes || !s.queue(append([]byte(nil), p...)) {
		s.queuedBytes.Add(-int64(len(p)))
		s.dropped.Add(1)
	}
	return len(p), nil
}

// queue queues a line and reports whether there is room.
func (s *LogStream) queue(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// writeBatches writes the queued lines in batches until Close.
func (s *LogStream) writeBatches() {
	defer close(s.done)
	var batch []byte
	for {
		select {
		case line := <-s.lines:
			batch = s.appendLine(batch[:0], line)
			s.waitForBatch()
			batch = s.drainQueue(batch)
			// A failed write loses the lines; there is nowhere else to report it.
			_, _ = s.out.Write(batch)
		case <-s.closing:
			s.writeRest(batch)
			return
		}
	}
}

// waitForBatch waits batchDelay for more lines, or until Close.
func (s *LogStream) waitForBatch() {
	select {
	case <-s.clock.After(batchDelay):
	case <-s.closing:
	}
}

// writeRest writes the lines that are queued at Close, in the buffer of a batch.
func (s *LogStream) writeRest(batch []byte) {
	for len(s.lines) > 0 {
		batch = s.drainQueue(batch[:0])
		_, _ = s.out.Write(batch)
	}
}

// drainQueue appends the lines that are already queued.
func (s *LogStream) drainQueue(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-s.lines:
			batch = s.appendLine(batch, line)
		default:
			return batch
		}
	}
	return batch
}

// appendLine appends a line that was taken from the queue.
func (s *LogStream) appendLine(batch, line []byte) []byte {
	s.queuedBytes.Add(-int64(len(line)))
	return append(batch, line...)
}

// Close writes the queued lines, for at most the given time. Lines logged
// afterwards are lost.
func (s *LogStream) Close(wait time.Duration) {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}
