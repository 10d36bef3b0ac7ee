package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxReportAge is how long a report counts in comparisons.
	maxReportAge = 5 * time.Second
	// minCompared is the smallest number of servers that are compared.
	minCompared = 2
)

// latencies keeps the typical latency that each backend server's node reports
// for each route. It is safe for concurrent use.
type latencies struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// reports maps a route and the name of a VM to the latest report.
	reports map[string]map[string]latencyReport
}

type latencyReport struct {
	typical    time.Duration
	receivedAt time.Time
}

func newLatencies(clock clockwork.Clock) *latencies {
	return &latencies{clock: clock, reports: make(map[string]map[string]latencyReport)}
}

// recordAndCompare records a latency and returns it divided by the median of all
// servers with a recent report; 1 if there are too few.
func (l *latencies) recordAndCompare(route, vm string, typical time.Duration) float64 {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	byVM := l.reports[route]
	if byVM == nil {
		if len(l.reports) >= maxTrackedRoutes {
			return 1
		}
		byVM = make(map[string]latencyReport)
		l.reports[route] = byVM
	}
	byVM[vm] = latencyReport{typical: typical, receivedAt: now}
	times := make([]time.Duration, 0, len(byVM))
	for name, other := range byVM {
		if now.Sub(other.receivedAt) > maxReportAge {
			delete(byVM, name)
			continue
		}
		times = append(times, other.typical)
	}
	if len(times) < minCompared {
		return 1
	}
	slices.Sort(times)
	// The lower median: of two servers, the faster one is the reference.
	return float64(typical) / float64(times[(len(times)-1)/2])
}
