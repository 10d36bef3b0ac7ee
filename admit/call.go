package admit

import (
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

// Call describes one call for the admission decision.
type Call struct {
	// Priority is the class and rank; lower values have higher priority.
	Priority frame.Level
	// TimeLeft is the time until the deadline when the call arrives.
	TimeLeft time.Duration
	// Target is the called operation.
	Target frame.Target
	// MaxQueueWait bounds the time in the queue. If it is 0, the gate's delay
	// target and admission level apply instead.
	MaxQueueWait time.Duration
	// Dependencies lists the services that the operation calls, each once.
	Dependencies []string
}

// Limits configures a Gate.
type Limits struct {
	// Slots is the number of calls that the backend server processes
	// concurrently; values below 1 count as 1.
	Slots int
	// MaxConnections is the number of calls that the backend server accepts; the
	// limit never exceeds it. 0 means unknown.
	MaxConnections int
	// Queue is the maximum number of queued calls; 0 disables queueing.
	Queue int
	// Share is the fraction of the limit, 0 to 1, that calls waiting on one
	// dependency may occupy. 0 counts as 1.
	Share float64
	// Enabled is false for baselines without admission control: Enter then
	// counts every call and admits it immediately.
	Enabled bool
}

// clamped returns the limits with Slots, Queue and Share in their ranges.
func (l Limits) clamped() Limits {
	l.Slots = max(l.Slots, 1)
	l.Queue = max(l.Queue, 0)
	if l.Share <= 0 || l.Share > 1 {
		l.Share = 1
	}
	return l
}

// Options configures NewGate. The function fields are metrics hooks; they may
// be nil, are called without a lock and must not block.
type Options struct {
	// Clock is the source of time.
	Clock clockwork.Clock
	// Limits are the initial limits; see Gate.Configure.
	Limits Limits
	// Algorithm adjusts the concurrency limit; the zero value is AlgorithmProbe.
	Algorithm Algorithm
	// Admitted is called for each admitted call with its time in the queue.
	Admitted func(class int, queued time.Duration)
	// Refused is called for each refused call.
	Refused func(class int, reason frame.Reason)
	// Released is called when a ticket is released, with the call's self time.
	Released func(class int, selfTime time.Duration, ok bool)
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Admitted == nil {
		o.Admitted = func(int, time.Duration) {}
	}
	if o.Refused == nil {
		o.Refused = func(int, frame.Reason) {}
	}
	if o.Released == nil {
		o.Released = func(int, time.Duration, bool) {}
	}
	return o
}
