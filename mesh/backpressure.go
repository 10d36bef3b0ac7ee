package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// strainWeight is the weight of a new report in a route's strain. Reports
	// come from several backend servers, and the mean over them counts.
	strainWeight = 0.3
	// strainHold is how long a strain holds without a report, and strainHalfLife
	// how fast it fades then: a route that is held back gets few responses.
	strainHold     = 500 * time.Millisecond
	strainHalfLife = time.Second
	// maxRoutes bounds the table; routes beyond it have no strain.
	maxRoutes = 4096
)

// strains keeps what responses say about the strain of each route's path. It is
// safe for concurrent use.
type strains struct {
	clock clockwork.Clock
	mu    sync.Mutex
	rows  map[string]strainRow
}

type strainRow struct {
	value float64
	at    time.Time
}

func newStrains(clock clockwork.Clock) *strains {
	return &strains{clock: clock, rows: make(map[string]strainRow)}
}

// learn takes a report of a route.
func (s *strains) learn(route string, value float64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[route]
	if !ok && len(s.rows) >= maxRoutes {
		return
	}
	old := row.faded(now)
	s.rows[route] = strainRow{value: old + strainWeight*(value-old), at: now}
}

// of returns the strain of a route, 0 to 1.
func (s *strains) of(route string) float64 {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[route].faded(now)
}

// known reports whether there was a report of a route.
func (s *strains) known(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.rows[route]
	return ok
}

// faded returns the strain, faded to now.
func (r strainRow) faded(now time.Time) float64 {
	idle := now.Sub(r.at) - strainHold
	if idle <= 0 || r.value == 0 {
		return r.value
	}
	return r.value * math.Exp2(-float64(idle)/float64(strainHalfLife))
}
