package mesh

import (
	"time"

	"dogwoodhead/board"
)

// durations estimates how long the requests of each route take, from those that
// began at this node. It is safe for concurrent use.
type durations struct {
	byRoute *board.Table[string, durationEstimate]
}

func newDurations() *durations {
	return &durations{byRoute: board.NewTable[string, durationEstimate]()}
}

// add records the duration of a request that was answered.
func (d *durations) add(route string, took time.Duration) {
	if _, known := d.byRoute.Get(route); !known && d.byRoute.Len() >= maxTrackedRoutes {
		return
	}
	d.byRoute.Update(route, func(e durationEstimate, known bool) (durationEstimate, bool) {
		if !known {
			return durationEstimate{mean: took, deviation: took / 2}, true
		}
		return e.add(took), true
	})
}

// upper returns a duration that few requests of a route exceed, 0 if unknown.
func (d *durations) upper(route string) time.Duration {
	e, _ := d.byRoute.Get(route)
	return e.upper()
}

// durationEstimate is a moving average with its mean deviation, as TCP estimates
// round-trip times (RFC 6298).
type durationEstimate struct {
	mean, deviation time.Duration
}

// The divisors are those of RFC 6298, which also adds four deviations.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	upperDeviations  = 4
	// maxSampleFactor limits a sample to a multiple of the upper estimate, at least
	// minSampleLimit: one slow request among quick ones must not let the others be
	// refused, and a route that has become slow is known after a few.
	maxSampleFactor = 2
	minSampleLimit  = time.Millisecond
)

func (e durationEstimate) upper() time.Duration { return e.mean + upperDeviations*e.deviation }

func (e durationEstimate) add(d time.Duration) durationEstimate {
	diff := min(d, max(maxSampleFactor*e.upper(), minSampleLimit)) - e.mean
	e.deviation += (diff.Abs() - e.deviation) / deviationDivisor
	e.mean += diff / meanDivisor
	return e
}
