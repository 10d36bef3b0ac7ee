package admit

import (
	"time"

	"dogwoodhead/frame"
)

const (
	priorities = int(frame.OpenLevel) + 1
	perClass   = frame.MaxRank + 1
	// arrivalWeight is the weight of a tick in the arrival rate per priority.
	arrivalWeight = 0.4
	// shedMemory keeps the rate of calls above the level, which entry nodes may
	// already shed and which therefore do not arrive. It falls to half in 14 s
	// while the slots are in use and within 2 ticks while they are not.
	shedMemory = 0.995
	idleMemory = 0.7
	// rateWeight is the weight of a tick in the completion rate.
	rateWeight = 0.3
	// useIdle is the use of the limit below which the capacity is not derived
	// from it and nothing justifies shedding, whatever the estimates say.
	useIdle = 0.3
	// levelFloor keeps the most important ranks of class 0 admitted at any load.
	levelFloor = frame.Level(15)
	// levelMargin is the part of the capacity that the level admits under
	// overload, and its square while the queue is clear. It is above 1, because
	// an idle slot costs goodput and refusing a call too many costs little.
	levelMargin = 1.05
	// Rises per tick, in ranks, by use of the limit. The slow step lets the
	// arrivals of newly admitted ranks be seen before the next.
	riseFull = 16
	riseFree = 64
	riseIdle = 256
)

// period is what happened between two ticks.
type period struct {
	elapsed   time.Duration
	completed int
	// use is the mean part of the limit that was in flight, 0 to 1.
	use float64
	// overloaded says that calls were refused or waited for lack of slots;
	// urgent says the same of calls of class 0.
	overloaded, urgent bool
}

// shedder adapts the admission level: it is the largest at which the calls that
// arrive match what completes. The gate's mutex guards it.
type shedder struct {
	level frame.Level
	// seen counts the arrivals since the last tick by priority; rate is per second.
	seen [priorities]uint32
	rate [priorities]float64
	// classes is one more than the least important class seen.
	classes int
	// capacity is what the limit would complete per second in full use, 0
	// before the first completions.
	capacity float64
}

func newShedder() *shedder { return &shedder{level: frame.OpenLevel} }

func (s *shedder) arrive(p frame.Level) {
	s.seen[p]++
	s.classes = max(s.classes, p.Class()+1)
}

func (s *shedder) tick(p period) {
	if p.elapsed <= 0 {
		return
	}
	s.measure(p)
	if s.level == frame.OpenLevel && !p.overloaded {
		return
	}
	if s.capacity == 0 {
		return
	}
	next := s.match(p)
	if !p.urgent {
		next = max(next, frame.NewLevel(0, frame.MaxRank))
	}
	if !p.overloaded && p.use < useIdle {
		next = frame.OpenLevel
	}
	next = max(next, levelFloor)
	if p.overloaded {
		s.level = min(s.level, next)
		return
	}
	s.level = max(s.level, min(next, s.rise(p.use)))
	if int(s.level) >= s.classes*perClass-1 {
		s.level = frame.OpenLevel
	}
}

// rise returns the highest level that the next period may have.
func (s *shedder) rise(use float64) frame.Level {
	step := riseFull
	switch {
	case use < 0.5:
		step = riseIdle
	case use < 0.9:
		step = riseFree
	}
	return frame.Level(min(int(s.level)+step, priorities-1))
}

// measure updates the rates from one period.
func (s *shedder) measure(p period) {
	seconds := p.elapsed.Seconds()
	memory := shedMemory
	if p.use < 0.9 && !p.overloaded {
		memory = idleMemory
	}
	for i := range s.classes * perClass {
		blend := s.rate[i] + arrivalWeight*(float64(s.seen[i])/seconds-s.rate[i])
		if i > int(s.level) {
			blend = max(blend, s.rate[i]*memory)
		}
		s.rate[i] = blend
		s.seen[i] = 0
	}
	if p.use < useIdle {
		return
	}
	sample := float64(p.completed) / seconds / p.use
	if s.capacity == 0 {
		s.capacity = sample
	}
	s.capacity += rateWeight * (sample - s.capacity)
}

// match returns the largest level at which arrivals do not exceed the capacity.
func (s *shedder) match(p period) frame.Level {
	budget := levelMargin * s.capacity
	if !p.overloaded {
		budget *= levelMargin
	}
	for i := range s.classes * perClass {
		budget -= s.rate[i]
		if budget < 0 {
			return frame.Level(max(i-1, 0))
		}
	}
	return frame.OpenLevel
}
