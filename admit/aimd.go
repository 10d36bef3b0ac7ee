package admit

import (
	"math"
	"time"
)

const (
	// aimdTolerance is how far the own time may exceed its recent minimum.
	aimdTolerance = 2.0
	// aimdBackoff is the factor of a decrease.
	aimdBackoff = 0.9
	// minimumDrift is the growth of a remembered minimum per tick, so that a
	// minimum from long ago is forgotten: it doubles in 7 s.
	minimumDrift = 1.01
)

// window collects the own time between two ticks and the recent minimum of its mean.
type window struct {
	sum     time.Duration
	n       int
	minimum float64
}

func (w *window) add(s sample) {
	w.sum += s.own
	w.n++
}

// next returns the mean of the window, 0 where it has no samples, updates the
// minimum and starts the next window.
func (w *window) next() float64 {
	if w.n == 0 {
		return 0
	}
	mean := float64(w.sum) / float64(w.n)
	if w.minimum == 0 || mean < w.minimum {
		w.minimum = mean
	} else {
		w.minimum = math.Min(w.minimum*minimumDrift, mean)
	}
	w.sum, w.n = 0, 0
	return mean
}

// newAIMD adds one to the limit per tick while the own time is healthy and
// multiplies it by aimdBackoff while it is not.
func newAIMD(l *Limit) {
	var w window
	l.leave = w.add
	l.reset = func() { w = window{} }
	l.tick = func(_ time.Time, use use) {
		mean := w.next()
		switch {
		case mean == 0:
		case mean > aimdTolerance*w.minimum:
			l.set(l.value * aimdBackoff)
		case use.full:
			l.set(l.value + 1)
		}
	}
}
