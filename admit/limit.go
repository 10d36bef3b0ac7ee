package admit

import (
	"time"
)

// Algorithm selects how the concurrency limit is adjusted.
type Algorithm int

// Algorithms. docs/decisions/0001-limit.md compares them.
const (
	// AlgorithmProbe is the default: it varies the concurrency slightly and
	// compares the completions per second.
	AlgorithmProbe Algorithm = iota
	// AlgorithmAIMD lowers the limit while the self time is above a multiple of
	// its recent minimum, else raises it while it is saturated.
	AlgorithmAIMD
	// AlgorithmGradient scales the limit by minimum over recent self time.
	AlgorithmGradient
	// AlgorithmFixed keeps the limit at the number of configured slots.
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

// headroom is the fraction of the slots by which the limit may exceed them, so
// that a slot is not idle between a response and the next call.
const headroom = 0.1

// sample describes one completed call.
type sample struct {
	releasedAt time.Time
	admittedAt time.Time
	// selfTime is the time at the backend server without outbound calls.
	selfTime time.Duration
	// concurrency is the number in flight at admission, this call included.
	concurrency int
	ok          bool
}

// limitUsage describes the use of the limit since the last tick.
type limitUsage struct {
	// saturated is set if the limit was used up nearly all of the time.
	saturated bool
	// class0Backlogged is set if many calls of class 0 are queued, which a lower
	// limit would delay.
	class0Backlogged bool
}

// Limit is the concurrency limit of one backend server. The algorithm sets the
// function fields. The gate's mutex guards it and is held while they are called.
type Limit struct {
	value float64
	// slots is the configured number; ceiling is the maximum value, at least 1.
	slots   int
	ceiling float64
	// slowStart is not nil during slow start.
	slowStart *slowStart
	// onSample is called for each completed call, except during slow start.
	onSample func(sample)
	// onTick is called on every Gate.Tick, except during slow start.
	onTick func(now time.Time, usage limitUsage)
	// onClass0Backlog is called when many calls of class 0 are queued; it
	// reports whether it raised the limit.
	onClass0Backlog func(now time.Time) bool
	// onReset discards the measurements when the bounds change and when slow
	// start begins or ends.
	onReset func()
}

// newLimit returns a limit that starts at the number of slots.
func newLimit(a Algorithm, slots, connections int) *Limit {
	l := &Limit{
		onSample:        func(sample) {},
		onTick:          func(time.Time, limitUsage) {},
		onClass0Backlog: func(time.Time) bool { return false },
		onReset:         func() {},
	}
	switch a {
	case AlgorithmProbe:
		installProbe(l)
	case AlgorithmAIMD:
		installAIMD(l)
	case AlgorithmGradient:
		installGradient(l)
	case AlgorithmFixed:
	}
	l.configure(slots, connections)
	return l
}

// Value returns the current limit, at least 1.
func (l *Limit) Value() int { return max(int(l.value), 1) }

// configure sets the bounds; if they changed, the value restarts from slots.
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
	l.slowStart = nil
	l.onReset()
}

func (l *Limit) setClamped(v float64) { l.value = min(max(v, 1), l.ceiling) }

// beginSlowStart lowers the limit to the start of a slow start.
func (l *Limit) beginSlowStart() {
	l.slowStart = newSlowStart(l.slots)
	l.value = l.slowStart.initial
	l.onReset()
}

func (l *Limit) observe(s sample) {
	if l.slowStart != nil {
		l.slowStart.observe(s)
		return
	}
	l.onSample(s)
}

func (l *Limit) tick(now time.Time, usage limitUsage) {
	if l.slowStart == nil {
		l.onTick(now, usage)
		return
	}
	v, done := l.slowStart.tick(l.value, usage.saturated)
	l.setClamped(min(v, float64(l.slots)))
	if done || l.value >= float64(l.slots) {
		l.slowStart = nil
		l.onReset()
	}
}
