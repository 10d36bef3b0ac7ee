package admit

import (
	"time"

	"dogwoodhead/frame"
)

const (
	numPriorities = int(frame.OpenLevel) + 1
	ranksPerClass = frame.MaxRank + 1
	// arrivalWeight is the weight of a tick in the arrival rate per priority.
	arrivalWeight = 0.4
	// shedRateRetention and idleRateRetention are the factors per tick by which
	// the arrival rates above the level decay at most, because ingress nodes may
	// already shed these calls. The rates halve in 14 s while the slots are in
	// use and within 2 ticks while they are not.
	shedRateRetention = 0.995
	idleRateRetention = 0.7
	// capacityWeight is the weight of a tick in the estimated capacity.
	capacityWeight = 0.3
	// idleUtilisation is the utilisation of the limit below which the capacity
	// estimate is not updated and, without overload, the level rises regardless
	// of the estimates.
	idleUtilisation = 0.3
	// minLevel keeps the highest-priority ranks of class 0 admitted at any load.
	minLevel = frame.Level(15)
	// capacityMargin is the ratio of admitted arrivals to the capacity under
	// overload; its square applies otherwise. It is above 1, because an idle slot
	// costs goodput and refusing an excess call costs little.
	capacityMargin = 1.05
	// Maximum rise of the level per tick, in ranks, by utilisation. The small
	// step leaves time to measure the arrivals of the newly admitted ranks.
	riseStepSaturated = 16
	riseStepPartial   = 64
	riseStepIdle      = 256
)

// period summarises the time between two ticks.
type period struct {
	elapsed   time.Duration
	completed int
	// utilisation is the mean fraction of the limit in flight, 0 to 1.
	utilisation float64
	// overloaded is set if calls were refused or waited too long for lack of
	// slots, class0Overloaded if calls of class 0 were refused for it.
	overloaded, class0Overloaded bool
}

// shedder sets the admission level to the highest one at which the arrival rate
// does not exceed the capacity. The gate's mutex guards it.
type shedder struct {
	level frame.Level
	// arrivals counts by priority since the last tick; arrivalRate is per second.
	arrivals    [numPriorities]uint32
	arrivalRate [numPriorities]float64
	// classCount is one more than the largest class number that arrived.
	classCount int
	// capacity is the completions per second at full utilisation, 0 before the
	// first estimate.
	capacity float64
}

func newShedder() *shedder { return &shedder{level: frame.OpenLevel} }

func (s *shedder) recordArrival(p frame.Level) {
	s.arrivals[p]++
	s.classCount = max(s.classCount, p.Class()+1)
}

func (s *shedder) tick(p period) {
	if p.elapsed <= 0 {
		return
	}
	s.updateRates(p)
	if s.level == frame.OpenLevel && !p.overloaded {
		return
	}
	if s.capacity == 0 {
		return
	}
	next := s.capacityLevel(p)
	if !p.class0Overloaded {
		next = max(next, frame.NewLevel(0, frame.MaxRank))
	}
	if !p.overloaded && p.utilisation < idleUtilisation {
		next = frame.OpenLevel
	}
	next = max(next, minLevel)
	if p.overloaded {
		s.level = min(s.level, next)
		return
	}
	s.level = max(s.level, min(next, s.maxNextLevel(p.utilisation)))
	if int(s.level) >= s.classCount*ranksPerClass-1 {
		s.level = frame.OpenLevel
	}
}

// maxNextLevel returns the highest level allowed in the next period.
func (s *shedder) maxNextLevel(utilisation float64) frame.Level {
	step := riseStepSaturated
	switch {
	case utilisation < 0.5:
		step = riseStepIdle
	case utilisation < 0.9:
		step = riseStepPartial
	}
	return frame.Level(min(int(s.level)+step, numPriorities-1))
}

// updateRates updates the arrival rates and the capacity from one period.
func (s *shedder) updateRates(p period) {
	seconds := p.elapsed.Seconds()
	retention := shedRateRetention
	if p.utilisation < 0.9 && !p.overloaded {
		retention = idleRateRetention
	}
	for i := range s.classCount * ranksPerClass {
		rate := s.arrivalRate[i] + arrivalWeight*(float64(s.arrivals[i])/seconds-s.arrivalRate[i])
		if i > int(s.level) {
			rate = max(rate, s.arrivalRate[i]*retention)
		}
		s.arrivalRate[i] = rate
		s.arrivals[i] = 0
	}
	if p.utilisation < idleUtilisation {
		return
	}
	observed := float64(p.completed) / seconds / p.utilisation
	if s.capacity == 0 {
		s.capacity = observed
	}
	s.capacity += capacityWeight * (observed - s.capacity)
}

// capacityLevel returns the highest level at which arrivals are within capacity.
func (s *shedder) capacityLevel(p period) frame.Level {
	budget := capacityMargin * s.capacity
	if !p.overloaded {
		budget *= capacityMargin
	}
	for i := range s.classCount * ranksPerClass {
		budget -= s.arrivalRate[i]
		if budget < 0 {
			return frame.Level(max(i-1, 0))
		}
	}
	return frame.OpenLevel
}
