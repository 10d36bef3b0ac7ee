package admit

import (
	"math"
	"time"
)

const (
	// aimdTolerance is the ratio of mean self time to its recent minimum above
	// which the limit decreases.
	aimdTolerance = 2.0
	// aimdBackoff is the factor of a decrease of the limit.
	aimdBackoff = 0.9
	// minimumGrowth is the growth of the recorded minimum per tick, so that an
	// old minimum expires: it doubles in 7 s.
	minimumGrowth = 1.01
)

// selfTimeWindow sums the self times between two ticks and keeps the recent
// minimum of their mean, in nanoseconds.
type selfTimeWindow struct {
	sum     time.Duration
	count   int
	minMean float64
}

func (w *selfTimeWindow) add(s sample) {
	w.sum += s.selfTime
	w.count++
}

// endWindow returns the mean of the window, 0 if it has no samples, updates the
// minimum and starts the next window.
func (w *selfTimeWindow) endWindow() float64 {
	if w.count == 0 {
		return 0
	}
	mean := float64(w.sum) / float64(w.count)
	if w.minMean == 0 || mean < w.minMean {
		w.minMean = mean
	} else {
		w.minMean = math.Min(w.minMean*minimumGrowth, mean)
	}
	w.sum, w.count = 0, 0
	return mean
}

// installAIMD makes l add one to the limit per saturated tick while the self
// time is within aimdTolerance, and multiply it by aimdBackoff while it is not.
func installAIMD(l *Limit) {
	var w selfTimeWindow
	l.onSample = w.add
	l.onReset = func() { w = selfTimeWindow{} }
	l.onTick = func(_ time.Time, usage limitUsage) {
		mean := w.endWindow()
		switch {
		case mean == 0:
		case mean > aimdTolerance*w.minMean:
			l.setClamped(l.value * aimdBackoff)
		case usage.saturated:
			l.setClamped(l.value + 1)
		}
	}
}
