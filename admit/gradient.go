package admit

import (
	"math"
	"time"
)

const (
	// gradientTolerance is the ratio of recent to minimum self time up to which
	// the limit is not scaled down.
	gradientTolerance = 1.5
	// gradientSmoothing is the weight of the new limit in the moving average.
	gradientSmoothing = 0.2
)

// installGradient makes l scale the limit by minimum over recent self time and
// add its square root to allow growth.
func installGradient(l *Limit) {
	var w selfTimeWindow
	l.onSample = w.add
	l.onReset = func() { w = selfTimeWindow{} }
	l.onTick = func(_ time.Time, usage limitUsage) {
		mean := w.endWindow()
		if mean == 0 || !usage.saturated {
			return
		}
		gradient := math.Max(0.5, math.Min(1, gradientTolerance*w.minMean/mean))
		next := l.value*gradient + math.Sqrt(l.value)
		l.setClamped(l.value + gradientSmoothing*(next-l.value))
	}
}
