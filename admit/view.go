package admit

import (
	"time"

	"dogwoodhead/frame"
)

const classes = frame.MaxClass + 1

// Refusal counts the refused calls of one class for one reason.
type Refusal struct {
	Class  int          `json:"class"`
	Reason frame.Reason `json:"reason"`
	Count  uint64       `json:"count"`
}

// View is a snapshot of a gate for status and explain.
type View struct {
	Enabled bool `json:"enabled"`
	// Closed is the reason given to Close, empty while the gate is open.
	Closed   frame.Reason `json:"closed,omitempty"`
	Limit    int          `json:"limit"`
	Slots    int          `json:"slots"`
	Inflight int          `json:"inflight"`
	Queued   int          `json:"queued"`
	// ByClass is the number of queued calls per class, up to the last one in use.
	ByClass []int `json:"classes"`
	// Admitted is the number of admitted calls per class since the start.
	Admitted []uint64 `json:"admitted"`
	// Level is the admission level as class.rank.
	Level string `json:"level"`
	// Typical is the recent own time of a call, over all operations.
	Typical time.Duration `json:"typical"`
	// Target is the queue delay that is held under overload.
	Target time.Duration `json:"target"`
	// Waiting is the number of calls that wait on each dependency.
	Waiting map[string]int `json:"waiting"`
	// Refusals is sorted by class, then in order of first occurrence.
	Refusals []Refusal `json:"refusals"`
}

// View returns a snapshot.
func (g *Gate) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := View{
		Enabled: g.limits.Enabled, Closed: g.reason,
		Limit: g.limit.Value(), Slots: g.limits.Slots,
		Inflight: g.inflight, Queued: g.queue.Len(),
		Level: g.shed.level.String(), Typical: g.times.all.at(g.clock.Now()), Target: g.target(),
		Waiting: make(map[string]int, len(g.bulkhead.waiting)),
	}
	for d, n := range g.bulkhead.waiting {
		v.Waiting[d] = n
	}
	used := 0
	for c := range classes {
		if g.counts.admitted[c] > 0 || g.queue.Class(c) > 0 {
			used = c + 1
		}
		v.Refusals = append(v.Refusals, g.counts.refusals[c]...)
	}
	for c := range used {
		v.ByClass = append(v.ByClass, g.queue.Class(c))
		v.Admitted = append(v.Admitted, g.counts.admitted[c])
	}
	return v
}

// counts are the totals since the start.
type counts struct {
	admitted [classes]uint64
	// refusals holds a short list per class: a class has few reasons, and
	// finding one in a list is cheaper than in a map.
	refusals [classes][]Refusal
}

func (c *counts) refused(class int, reason frame.Reason) {
	list := c.refusals[class]
	for i := range list {
		if list[i].Reason == reason {
			list[i].Count++
			return
		}
	}
	c.refusals[class] = append(list, Refusal{Class: class, Reason: reason, Count: 1})
}

// meter integrates the use of the limit between two ticks.
type meter struct {
	// last is the time up to which busy is integrated.
	last   time.Time
	ticked time.Time
	// busy is the integral of in flight by limit, in seconds, at most 1 per second.
	busy               float64
	completed          int
	overloaded, urgent bool
}

// advance integrates up to now with the values that held since the last call.
func (m *meter) advance(now time.Time, inflight, limit int) {
	m.busy += now.Sub(m.last).Seconds() * min(float64(inflight)/float64(limit), 1)
	m.last = now
}

// next returns the period that ends now and starts another.
func (m *meter) next(now time.Time) period {
	p := period{elapsed: now.Sub(m.ticked), completed: m.completed, overloaded: m.overloaded, urgent: m.urgent}
	if p.elapsed > 0 {
		p.use = m.busy / p.elapsed.Seconds()
	}
	*m = meter{last: now, ticked: now}
	return p
}
