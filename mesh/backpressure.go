package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// backpressureWeight is the weight of a new report in a route's moving average.
	// Reports come from several backend servers, whose mean matters.
	backpressureWeight = 0.3
	// backpressureHold is how long a value stays unchanged without a report;
	// after that it decays with backpressureHalfLife. A route that is shed gets
	// few responses.
	backpressureHold     = 500 * time.Millisecond
	backpressureHalfLife = time.Second
	// maxTrackedRoutes bounds the table; routes beyond it have no backpressure.
	maxTrackedRoutes = 4096
)

// routeBackpressure keeps a moving average of the backpressure that responses
// report for each route. It is safe for concurrent use.
type routeBackpressure struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	averages map[string]backpressureAverage
}

type backpressureAverage struct {
	value   float64
	updated time.Time
}

func newRouteBackpressure(clock clockwork.Clock) *routeBackpressure {
	return &routeBackpressure{clock: clock, averages: make(map[string]backpressureAverage)}
}

// record adds a report of a route's backpressure, 0 to 1.
func (b *routeBackpressure) record(route string, value float64) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	average, ok := b.averages[route]
	if !ok && len(b.averages) >= maxTrackedRoutes {
		return
	}
	old := average.decayed(now)
	b.averages[route] = backpressureAverage{value: old + backpressureWeight*(value-old), updated: now}
}

// get returns the backpressure of a route, 0 to 1.
func (b *routeBackpressure) get(route string) float64 {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.averages[route].decayed(now)
}

// has reports whether a report for the route was recorded.
func (b *routeBackpressure) has(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.averages[route]
	return ok
}

// decayed returns the average, decayed to now.
func (r backpressureAverage) decayed(now time.Time) float64 {
	idle := now.Sub(r.updated) - backpressureHold
	if idle <= 0 || r.value == 0 {
		return r.value
	}
	return r.value * math.Exp2(-float64(idle)/float64(backpressureHalfLife))
}
