package standin

import (
	"net/http"
	"sync"
	"time"
)

// report is what /health and /load say at one moment.
type report struct {
	at     time.Time
	health Health
	load   Load
}

// reports keeps past reports, so that a lag can be played back. A report is
// added with each query.
type reports struct {
	mu   sync.Mutex
	past []report
}

// keepReports bounds the history.
const keepReports = 4096

// delayed adds r and returns the newest report that is at least lag old, or
// the oldest one.
func (h *reports) delayed(r report, lag time.Duration) report {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.past = append(h.past, r)
	if len(h.past) > keepReports {
		h.past = append(h.past[:0], h.past[len(h.past)/2:]...)
	}
	seen := h.past[0]
	for _, p := range h.past {
		if r.at.Sub(p.at) < lag {
			break
		}
		seen = p
	}
	return seen
}

// report returns what the server says about itself now, misreports included.
func (b *Backend) report() report {
	b.mu.Lock()
	k, draining, cold := b.knobs, b.draining, b.coldLeft() > 0
	b.mu.Unlock()
	r := report{at: b.clock.Now(), health: Health{State: StateLive}, load: Load{Inflight: b.slots.inflight(), Slots: b.set.Slots}}
	switch {
	case k.Down:
		r.health.State = StateDown
	case draining:
		r.health.State = StateDraining
	case cold:
		r.health.State = StateCold
	}
	if k.State != "" {
		r.health.State = k.State
	}
	if k.Inflight != nil {
		r.load.Inflight = *k.Inflight
	}
	if k.Reported != nil {
		r.load.Slots = *k.Reported
	}
	if k.Lag <= 0 {
		return r
	}
	return b.reports.delayed(r, k.Lag.D())
}

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.report().health)
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.report().load)
}
