package mesh

import (
	"sync"

	"dogwoodhead/catalog"
)

// splitter distributes the requests of a route over its shares by smooth
// weighted round robin, so that even few requests match the proportions. It is
// safe for concurrent use.
type splitter struct {
	mu sync.Mutex
	// currentWeights holds the round robin's weight of each share, by route and service.
	currentWeights map[string]map[string]float64
	// random returns a number in [0, 1) and varies the start between nodes.
	random func() float64
}

func newSplitter(random func() float64) *splitter {
	return &splitter{currentWeights: make(map[string]map[string]float64), random: random}
}

// reset drops the state of all routes, for a new configuration.
func (s *splitter) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.currentWeights)
}

// next returns the service of the route's next request.
func (s *splitter) next(route *catalog.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	weights := s.currentWeights[route.Name]
	total := 0.0
	for _, sh := range route.Shares {
		total += sh.Weight
	}
	if weights == nil {
		weights = make(map[string]float64, len(route.Shares))
		for _, sh := range route.Shares {
			weights[sh.Service] = (s.random() - 0.5) * total
		}
		s.currentWeights[route.Name] = weights
	}
	best := ""
	for _, sh := range route.Shares {
		weights[sh.Service] += sh.Weight
		if sh.Weight > 0 && (best == "" || weights[sh.Service] > weights[best]) {
			best = sh.Service
		}
	}
	if best == "" {
		return route.Shares[0].Service
	}
	weights[best] -= total
	return best
}
