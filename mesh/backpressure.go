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

// routeBackpressure keeps the backpressure that responses report for each route.
// It is safe for concurrent use.
type routeBackpressure struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	reports map[string]backpressureReport
}

type backpressureReport struct {
	value float64
	at    time.Time
}

func newRouteBackpressure(clock clockwork.Clock) *routeBackpressure {
	return &routeBackpressure{clock: clock, reports: make(map[string]backpressureReport)}
}

// record adds a report of a route's backpressure, 0 to 1.
func (b *routeBackpressure) record(route string, value float64) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	report, ok := b.reports[route]
	if !ok && len(b.reports) >= maxTrackedRoutes {
		return
	}
	old := report.decayed(now)
	b.reports[route] = backpressureReport{value: old + backpressureWeight*(value-old), at: now}
}

// get returns the backpressure of a route, 0 to 1.
func (b *routeBackpressure) get(route string) float64 {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reports[route].decayed(now)
}

// has reports whether a route has been reported.
func (b *routeBackpressure) has(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.reports[route]
	return ok
}

// decayed returns the backpressure, decayed to now.
func (r backpressureReport) decayed(now time.Time) float64 {
	idle := now.Sub(r.at) - backpressureHold
	if idle <= 0 || r.value == 0 {
		return r.value
	}
	return r.value * math.Exp2(-float64(idle)/float64(backpressureHalfLife))
}
