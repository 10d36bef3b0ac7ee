package admit

import (
	"time"
)

// Algorithm names a way to adjust the concurrency limit.
type Algorithm int

// Algorithms. docs/decisions/0001-limit.md compares them.
const (
	// AlgorithmProbe is the default: it changes the concurrency a little and
	// looks whether completions per second follow.
	AlgorithmProbe Algorithm = iota
	// AlgorithmAIMD lowers the limit while the own time is above a multiple of
	// its recent minimum.
	AlgorithmAIMD
	// AlgorithmGradient scales the limit by minimum own time over recent own time.
	AlgorithmGradient
	// AlgorithmFixed keeps the limit at the configured slots.
	AlgorithmFixed
)

// String returns the name of the algorithm.
func (a Algorithm) String() string {
	switch a {
	case AlgorithmProbe:
		return "probe"
	case AlgorithmAIMD:
		return "aimd"
	case AlgorithmGradient:
		return "gradient"
	default:
		return "fixed"
	}
}

// headroom is the part of the slots by which the limit may exceed them, so
// that a slot does not idle between an answer and the next call.
const headroom = 0.1

// sample describes one call that left.
type sample struct {
	now     time.Time
	entered time.Time
	// own is the time at the backend server without outbound calls.
	own time.Duration
	// concurrency is the number of calls in flight when the call entered, itself
	// included.
	concurrency int
	ok          bool
}

// use says how the limit was used since the last tick.
type use struct {
	// full says that the limit was in use nearly all of the time.
	full bool
	// pressed says that many calls of class 0 are queued, so that a lower limit
	// would cost them.
	pressed bool
}

// Limit is the concurrency limit of one backend server. An algorithm sets the
// function fields; the gate calls them under its mutex.
type Limit struct {
	value float64
	// slots is the configured number; ceiling is the largest value that an
	// algorithm may choose and never below 1.
	slots   int
	ceiling float64
	// ramp is not nil during a cold start.
	ramp *ramp
	// leave takes a sample of each call that left.
	leave func(sample)
	// tick runs at every Gate.Tick.
	tick func(now time.Time, u use)
	// press runs when many calls of class 0 are queued; it reports whether it
	// raised the limit.
	press func(now time.Time) bool
	// reset forgets what was measured, after the configured slots changed.
	reset func()
}

// newLimit returns a limit that starts from the configured slots.
func newLimit(a Algorithm, slots, connections int) *Limit {
	l := &Limit{
		leave: func(sample) {},
		tick:  func(time.Time, use) {},
		press: func(time.Time) bool { return false },
		reset: func() {},
	}
	switch a {
	case AlgorithmProbe:
		newProbe(l)
	case AlgorithmAIMD:
		newAIMD(l)
	case AlgorithmGradient:
		newGradient(l)
	case AlgorithmFixed:
	}
	l.configure(slots, connections)
	return l
}

// Value returns the limit in force, at least 1.
func (l *Limit) Value() int { return max(int(l.value), 1) }

// configure sets the bounds; the value restarts from the slots where they changed.
func (l *Limit) configure(slots, connections int) {
	ceiling := max(float64(slots)*(1+headroom), float64(slots))
	if connections > 0 {
		ceiling = max(min(ceiling, float64(connections)), 1)
	}
	if slots == l.slots && ceiling == l.ceiling {
		return
	}
	l.slots, l.ceiling = slots, ceiling
	l.value = min(float64(slots), ceiling)
	l.ramp = nil
	l.reset()
}

// set changes the value within its bounds.
func (l *Limit) set(v float64) { l.value = min(max(v, 1), l.ceiling) }

// cold starts the limit low.
func (l *Limit) cold() {
	l.ramp = newRamp(l.slots)
	l.value = l.ramp.start
	l.reset()
}

func (l *Limit) left(s sample) {
	if l.ramp != nil {
		l.ramp.leave(s)
		return
	}
	l.leave(s)
}

func (l *Limit) ticked(now time.Time, u use) {
	if l.ramp == nil {
		l.tick(now, u)
		return
	}
	v, done := l.ramp.tick(l.value, u.full)
	l.set(min(v, float64(l.slots)))
	if done || l.value >= float64(l.slots) {
		l.ramp = nil
		l.reset()
	}
}
