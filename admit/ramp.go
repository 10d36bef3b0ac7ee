package admit

import "time"

const (
	// rampStart is the part of the slots that a cold start begins with.
	rampStart = 0.1
	// rampFactor is the growth of the limit per tick while latency is healthy.
	// From a tenth of the slots it takes 6 ticks to all of them.
	rampFactor = 1.5
	// rampHealthy is how far the own time may rise within one growth step: less
	// than the growth itself, because a server that is out of slots answers in
	// proportion to the concurrency.
	rampHealthy = 1.4
	// rampTicks bounds a cold start; after it the algorithm takes over from
	// the limit that was reached.
	rampTicks = 50
)

// ramp raises the limit after a cold start.
type ramp struct {
	start float64
	// before is the mean own time of the last tick with completions; 0 at first.
	before float64
	sum    time.Duration
	n      int
	ticks  int
}

func newRamp(slots int) *ramp { return &ramp{start: max(rampStart*float64(slots), 1)} }

func (r *ramp) leave(s sample) {
	r.sum += s.own
	r.n++
}

// tick returns the next limit and whether the cold start is over. Without
// completions the limit stays: nothing is known about the last step.
func (r *ramp) tick(value float64, full bool) (float64, bool) {
	r.ticks++
	done := r.ticks >= rampTicks
	if r.n == 0 {
		return value, done
	}
	mean := float64(r.sum) / float64(r.n)
	healthy := r.before == 0 || mean <= r.before*rampHealthy
	r.before = mean
	r.sum, r.n = 0, 0
	switch {
	case healthy:
		return max(value*rampFactor, value+1), done
	case full:
		return value, done
	default:
		return value + 1, done
	}
}
