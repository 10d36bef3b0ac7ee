package trial

import (
	"time"

	"dogwoodhead/standin"
)

const (
	// recoveredShare is the part of the previous level that counts as back.
	recoveredShare = 0.95
	// recoveredHold is how long the level must be held.
	recoveredHold = 2 * time.Second
	// sharePart is the part of a span within which answers and calls are
	// compared. Answers to a backlog may not make up for losses in another part.
	sharePart = time.Second
)

// Span is a part of a run, counted from its start.
type Span struct{ From, To time.Duration }

// Length returns the duration of the span.
func (s Span) Length() time.Duration { return s.To - s.From }

// Series counts events per standin.Step of a run.
type Series []int

// Sum returns the events within the span, whose ends are multiples of Step.
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
func (s Series) add(o []int) Series {
	for len(s) < len(o) {
		s = append(s, 0)
	}
	for i, n := range o {
		s[i] += n
	}
	return s
}

// Recovery returns how long after the trigger's end goodput was back at 95% of
// its level before, held for 2 s.
//
// The level is the share answered/offered, so that the randomness of arrivals
// does not count as a loss. Within each second, answers beyond the calls offered
// are left out, so that late answers to a backlog do not pass for a recovery. The
// level is taken over the span before the trigger and over each window of 2 s that
// begins at or after the end. The second result is false where no window within
// the run, which lasts until last, is good enough.
func Recovery(answered, offered Series, before Span, end, last time.Duration) (time.Duration, bool) {
	level := share(answered, offered, before)
	for from := end; from+recoveredHold <= last; from += standin.SeriesStep {
		window := Span{From: from, To: from + recoveredHold}
		if share(answered, offered, window) >= recoveredShare*level {
			return from - end, true
		}
	}
	return 0, false
}

// share returns answered/offered within a span, 0 where nothing was offered. In
// each part of the span, answers beyond the calls offered do not count.
func share(answered, offered Series, span Span) float64 {
	n, whole := 0, 0
	for from := span.From; from < span.To; from += sharePart {
		part := Span{From: from, To: min(from+sharePart, span.To)}
		n += offered.Sum(part)
		whole += min(answered.Sum(part), offered.Sum(part))
	}
	if n == 0 {
		return 0
	}
	return float64(whole) / float64(n)
}
