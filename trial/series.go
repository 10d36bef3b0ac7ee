package trial

import (
	"time"

	"dogwoodhead/standin"
)

const (
	// recoveredFraction is the fraction of the baseline that counts as recovered.
	recoveredFraction = 0.95
	// recoveredDuration is how long goodput must stay at that fraction.
	recoveredDuration = 2 * time.Second
	// goodputStep is the interval within which responses and calls are compared.
	// Responses to a backlog must not compensate for losses in another interval.
	goodputStep = time.Second
)

// Span is an interval of a run, relative to its start.
type Span struct{ From, To time.Duration }

// Length returns the duration of the span.
func (s Span) Length() time.Duration { return s.To - s.From }

// Series counts events per standin.SeriesStep of a run.
type Series []int

// Sum returns the number of events within the span, whose ends are multiples of
// standin.SeriesStep.
func (s Series) Sum(span Span) int {
	total := 0
	for i := int(span.From / standin.SeriesStep); i < int(span.To/standin.SeriesStep); i++ {
		if i < len(s) {
			total += s[i]
		}
	}
	return total
}

// add sums two series.
func (s Series) add(other []int) Series {
	for len(s) < len(other) {
		s = append(s, 0)
	}
	for i, n := range other {
		s[i] += n
	}
	return s
}

// Recovery returns how long after the end of the trigger goodput was back at
// 95% of its baseline for 2 s.
//
// Goodput is the ratio answered/offered, so that the randomness of arrivals
// does not count as a loss. Within each second, responses beyond the calls
// offered are ignored, so that late responses to a backlog do not count as a
// recovery. Goodput within the baseline span is compared with that in each
// window of 2 s that begins at or after triggerEnd. The second result is false
// if no window before runEnd reaches the level.
func Recovery(answered, offered Series, baseline Span, triggerEnd, runEnd time.Duration) (time.Duration, bool) {
	baselineGoodput := goodputFraction(answered, offered, baseline)
	for from := triggerEnd; from+recoveredDuration <= runEnd; from += standin.SeriesStep {
		window := Span{From: from, To: from + recoveredDuration}
		if goodputFraction(answered, offered, window) >= recoveredFraction*baselineGoodput {
			return from - triggerEnd, true
		}
	}
	return 0, false
}

// goodputFraction returns answered/offered within a span, 0 if nothing was
// offered. In each step of the span, responses beyond the calls offered are
// ignored.
func goodputFraction(answered, offered Series, span Span) float64 {
	totalOffered, totalAnswered := 0, 0
	for from := span.From; from < span.To; from += goodputStep {
		step := Span{From: from, To: min(from+goodputStep, span.To)}
		totalOffered += offered.Sum(step)
		totalAnswered += min(answered.Sum(step), offered.Sum(step))
	}
	if totalOffered == 0 {
		return 0
	}
	return float64(totalAnswered) / float64(totalOffered)
}
