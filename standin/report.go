package standin

import (
	"net/http"
	"sync"
	"time"
)

// report holds the responses of /health and /load at one moment.
type report struct {
	at     time.Time
	health Health
	load   Load
}

// reports keeps past reports, so that they can be served with a lag. Each query
// with a lag adds one.
type reports struct {
	mu      sync.Mutex
	history []report
}

// maxReports limits the history.
const maxReports = 4096

// recordDelayed adds r and returns the newest report that is at least lag old,
// or the oldest one.
func (h *reports) recordDelayed(r report, lag time.Duration) report {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, r)
	if len(h.history) > maxReports {
		h.history = append(h.history[:0], h.history[len(h.history)/2:]...)
	}
	delayed := h.history[0]
	for _, p := range h.history {
		if r.at.Sub(p.at) < lag {
			break
		}
		delayed = p
	}
	return delayed
}

// currentReport returns the report to serve now, with the faults applied.
func (b *Backend) currentReport() report {
	b.mu.Lock()
	faults, draining, warmingUp := b.faults, b.draining, b.warmUpLeft() > 0
	b.mu.Unlock()
	r := report{at: b.clock.Now(), health: Health{State: StateLive}, load: Load{Inflight: b.slots.inflight(), Slots: b.settings.Slots}}
	switch {
	case faults.Down:
		r.health.State = StateDown
	case draining:
		r.health.State = StateDraining
	case warmingUp:
		r.health.State = StateCold
	}
	if faults.ReportedState != "" {
		r.health.State = faults.ReportedState
	}
	if faults.ReportedInflight != nil {
		r.load.Inflight = *faults.ReportedInflight
	}
	if faults.ReportedSlots != nil {
		r.load.Slots = *faults.ReportedSlots
	}
	if faults.ReportLag <= 0 {
		return r
	}
	return b.reports.recordDelayed(r, faults.ReportLag.D())
}

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.currentReport().health)
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.currentReport().load)
}
