package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// paceAge is how long the time of a backend server counts in comparisons.
	paceAge = 5 * time.Second
	// leastCompared is the smallest number of servers that are compared.
	leastCompared = 2
)

// paces keeps the typical times that the nodes beside backend servers report, by
// route. It is safe for concurrent use.
type paces struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// rows maps a route and the name of a VM to the time reported last.
	rows map[string]map[string]pace
}

type pace struct {
	typical time.Duration
	at      time.Time
}

func newPaces(clock clockwork.Clock) *paces {
	return &paces{clock: clock, rows: make(map[string]map[string]pace)}
}

// compare records a time and returns it divided by the median of all servers
// that were heard of lately; 1 where there are too few.
func (p *paces) compare(route, vm string, typical time.Duration) float64 {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[route]
	if row == nil {
		if len(p.rows) >= maxRoutes {
			return 1
		}
		row = make(map[string]pace)
		p.rows[route] = row
	}
	row[vm] = pace{typical: typical, at: now}
	times := make([]time.Duration, 0, len(row))
	for name, other := range row {
		if now.Sub(other.at) > paceAge {
			delete(row, name)
			continue
		}
		times = append(times, other.typical)
	}
	if len(times) < leastCompared {
		return 1
	}
	slices.Sort(times)
	// The lower median, so that two servers are compared with the faster one.
	return float64(typical) / float64(times[(len(times)-1)/2])
}
