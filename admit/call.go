package admit

import (
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

// Call is what the gate knows of one call.
type Call struct {
	// Priority is the class and rank; smaller is more important.
	Priority frame.Level
	// Left is the time left for the call when it enters.
	Left time.Duration
	// Target is the operation that is called.
	Target frame.Target
	// Patience is how long the call may wait in the queue. 0 leaves that to the
	// gate's delay target and admission level, which then may refuse the call;
	// with a patience neither applies.
	Patience time.Duration
	// Dependencies names the services that the operation calls; each once.
	Dependencies []string
}

// Limits configures a Gate.
type Limits struct {
	// Slots is how many calls the backend server works on at a time; values
	// below 1 count as 1.
	Slots int
	// Connections is how many calls the backend server accepts; the limit
	// never exceeds it. 0 means that it is not known.
	Connections int
	// Queue is the greatest number of queued calls; 0 disables queueing.
	Queue int
	// Share is the part of the limit, 0 to 1, that calls waiting on one
	// dependency may hold. 0 counts as 1.
	Share float64
	// Enabled is false for the baselines without admission control. Enter
	// then admits every call at once and only counts.
	Enabled bool
}

// normal returns the limits with each field in its range.
func (l Limits) normal() Limits {
	l.Slots = max(l.Slots, 1)
	l.Queue = max(l.Queue, 0)
	if l.Share <= 0 || l.Share > 1 {
		l.Share = 1
	}
	return l
}

// Options configures NewGate. The function fields are seams for metrics; they
// may be nil, are called without a lock and must not block.
type Options struct {
	// Clock is the source of time.
	Clock clockwork.Clock
	// Limits are the initial limits; see Gate.Configure.
	Limits Limits
	// Algorithm adjusts the concurrency limit; the zero value is the default.
	Algorithm Algorithm
	// Admitted is called for each admitted call with its time in the queue.
	Admitted func(class int, queued time.Duration)
	// Refused is called for each refused call.
	Refused func(class int, reason frame.Reason)
	// Left is called for each call that leaves, with its own time.
	Left func(class int, own time.Duration, ok bool)
}

func (o Options) filled() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Admitted == nil {
		o.Admitted = func(int, time.Duration) {}
	}
	if o.Refused == nil {
		o.Refused = func(int, frame.Reason) {}
	}
	if o.Left == nil {
		o.Left = func(int, time.Duration, bool) {}
	}
	return o
}
