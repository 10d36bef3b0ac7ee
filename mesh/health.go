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
	// failureWeight is the weight of one run in the moving average of failures.
	failureWeight = 0.08
	// failureHalfLife is the half-life of the average while there are no runs.
	failureHalfLife = 3 * time.Second
)

// health tracks failures of the backend server by the results of its requests,
// not by its health check. It is safe for concurrent use.
type health struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// average is the moving average of failures, 0 to 1, as of updated.
	average float64
	updated time.Time
}

func newHealth(clock clockwork.Clock) *health { return &health{clock: clock} }

// record adds the result of one run. A failure caused by a child request does
// not count against the server.
func (h *health) record(c *call, r result) {
	sample := 0.0
	switch {
	case r.reason == frame.ReasonCancelled || r.reason == frame.ReasonTimeout:
		return
	case r.outcome != frame.Answered:
		sample = 1
	case r.response.status == http.StatusInternalServerError:
		if c.childFailed.Load() {
			return
		}
		sample = 1
	}
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.decayed(now)
	h.average = old + failureWeight*(sample-old)
	h.updated = now
}

// failedFraction returns the fraction of recent runs that failed, 0 to 1.
func (h *health) failedFraction() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.decayed(h.clock.Now())
}

func (h *health) decayed(now time.Time) float64 {
	return h.average * math.Exp2(-float64(now.Sub(h.updated))/float64(failureHalfLife))
}
