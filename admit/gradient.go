package admit

import (
	"math"
	"time"
)

const (
	// gradientTolerance is the ratio of recent to minimum own time that leaves
	// the limit as it is.
	gradientTolerance = 1.5
	// gradientSmoothing is the weight of a new limit.
	gradientSmoothing = 0.2
)

// newGradient scales the limit by minimum over recent own time and adds a
// square-root allowance for growth.
func newGradient(l *Limit) {
	var w window
	l.leave = w.add
	l.reset = func() { w = window{} }
	l.tick = func(_ time.Time, use use) {
		mean := w.next()
		if mean == 0 || !use.full {
			return
		}
		g := math.Max(0.5, math.Min(1, gradientTolerance*w.minimum/mean))
		next := l.value*g + math.Sqrt(l.value)
		l.set(l.value + gradientSmoothing*(next-l.value))
	}
}
