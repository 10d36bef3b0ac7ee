package mesh

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

const (
	// healthWeight is the weight of one run in the part of failures.
	healthWeight = 0.08
	// healthHalfLife is the time in which the part halves without runs.
	healthHalfLife = 3 * time.Second
)

// health judges the backend server by what became of the requests at it, not by
// its health check. It is safe for concurrent use.
type health struct {
	clock clockwork.Clock
	mu    sync.Mutex
	part  float64
	at    time.Time
}

func newHealth(clock clockwork.Clock) *health { return &health{clock: clock} }

// record takes the outcome of one run. A failure that a request of the run
// caused says nothing about the server.
func (h *health) record(c *call, r result) {
	bad := 0.0
	switch {
	case r.reason == frame.ReasonCancelled || r.reason == frame.ReasonTimeout:
		return
	case r.outcome != frame.Answered:
		bad = 1
	case r.answer.status == http.StatusInternalServerError:
		if c.hindered.Load() {
			return
		}
		bad = 1
	}
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.faded(now)
	h.part = old + healthWeight*(bad-old)
	h.at = now
}

// failing returns the part of recent runs that failed, 0 to 1.
func (h *health) failing() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faded(h.clock.Now())
}

func (h *health) faded(now time.Time) float64 {
	return h.part * math.Exp2(-float64(now.Sub(h.at))/float64(healthHalfLife))
}
