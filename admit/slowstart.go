package admit

import "time"

const (
	// slowStartFraction is the initial limit as a fraction of the slots.
	slowStartFraction = 0.1
	// slowStartGrowth is the growth of the limit per tick while the latency is
	// healthy. It takes 6 ticks from a tenth of the slots to all of them.
	slowStartGrowth = 1.5
	// slowStartTolerance is the largest healthy growth of the self time in one
	// growth step. It is less than slowStartGrowth, because the self time of a
	// server that is out of slots grows in proportion to the concurrency.
	slowStartTolerance = 1.4
	// slowStartMaxTicks bounds the slow start; after it the algorithm continues
	// from the limit that was reached.
	slowStartMaxTicks = 50
)

// slowStart raises the limit after a cold start.
type slowStart struct {
	initial float64
	// previousMean is the mean self time, in nanoseconds, at the last tick with
	// completions; 0 before the first.
	previousMean float64
	sum          time.Duration
	count        int
	ticks        int
}

func newSlowStart(slots int) *slowStart {
	return &slowStart{initial: max(slowStartFraction*float64(slots), 1)}
}

func (s *slowStart) observe(obs sample) {
	s.sum += obs.selfTime
	s.count++
}

// tick returns the next limit and whether the slow start is over. The limit does
// not change without completions, because the effect of the last step is unknown.
func (s *slowStart) tick(value float64, saturated bool) (float64, bool) {
	s.ticks++
	done := s.ticks >= slowStartMaxTicks
	if s.count == 0 {
		return value, done
	}
	mean := float64(s.sum) / float64(s.count)
	healthy := s.previousMean == 0 || mean <= s.previousMean*slowStartTolerance
	s.previousMean = mean
	s.sum, s.count = 0, 0
	switch {
	case healthy:
		return max(value*slowStartGrowth, value+1), done
	case saturated:
		return value, done
	default:
		return value + 1, done
	}
}
