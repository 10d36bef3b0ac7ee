package admit

import (
	"time"

	"dogwoodhead/frame"
)

const numClasses = frame.MaxClass + 1

// Refusal is the number of refused calls of one class for one reason.
type Refusal struct {
	Class  int          `json:"class"`
	Reason frame.Reason `json:"reason"`
	Count  uint64       `json:"count"`
}

// View is a snapshot of a gate for the status and explain commands.
type View struct {
	Enabled bool `json:"enabled"`
	// CloseReason is the reason given to Close, empty while the gate is open.
	CloseReason frame.Reason `json:"closed,omitempty"`
	Limit       int          `json:"limit"`
	Slots       int          `json:"slots"`
	Inflight    int          `json:"inflight"`
	Queued      int          `json:"queued"`
	// QueuedByClass counts queued calls, up to the last class with any call.
	QueuedByClass []int `json:"classes"`
	// AdmittedByClass counts admitted calls since the start, likewise.
	AdmittedByClass []uint64 `json:"admitted"`
	// Level is the admission level as class.rank.
	Level string `json:"level"`
	// TypicalSelfTime is the recent self time of a call over all operations.
	TypicalSelfTime time.Duration `json:"typical"`
	// DelayTarget is the queue delay that calls may have under overload.
	DelayTarget time.Duration `json:"target"`
	// Waiting is the number of waiting calls by dependency.
	Waiting map[string]int `json:"waiting"`
	// Refusals is ordered by class, then by first occurrence.
	Refusals []Refusal `json:"refusals"`
}

// View returns a snapshot.
func (g *Gate) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := View{
		Enabled: g.limits.Enabled, CloseReason: g.closeReason,
		Limit: g.limit.Value(), Slots: g.limits.Slots,
		Inflight: g.inflight, Queued: g.queue.Len(),
		Level: g.shedder.level.String(), TypicalSelfTime: g.callTimes.overall.at(g.clock.Now()), DelayTarget: g.delayTarget(),
		Waiting: make(map[string]int, len(g.bulkhead.waiting)),
	}
	for d, n := range g.bulkhead.waiting {
		v.Waiting[d] = n
	}
	used := 0
	for c := range numClasses {
		if g.counts.admitted[c] > 0 || g.queue.ClassLen(c) > 0 {
			used = c + 1
		}
		v.Refusals = append(v.Refusals, g.counts.refusals[c]...)
	}
	for c := range used {
		v.QueuedByClass = append(v.QueuedByClass, g.queue.ClassLen(c))
		v.AdmittedByClass = append(v.AdmittedByClass, g.counts.admitted[c])
	}
	return v
}

// counts holds totals since the start.
type counts struct {
	admitted [numClasses]uint64
	// refusals holds a list per class: a class has few reasons, and searching a
	// short list is cheaper than a map lookup.
	refusals [numClasses][]Refusal
}

func (c *counts) addRefusal(class int, reason frame.Reason) {
	list := c.refusals[class]
	for i := range list {
		if list[i].Reason == reason {
			list[i].Count++
			return
		}
	}
	c.refusals[class] = append(list, Refusal{Class: class, Reason: reason, Count: 1})
}

// meter integrates the utilisation of the limit between two ticks.
type meter struct {
	// integratedUntil is the time up to which busySeconds is integrated.
	integratedUntil time.Time
	periodStart     time.Time
	// busySeconds is the integral of inflight/limit, at most 1 per second.
	busySeconds                  float64
	completed                    int
	overloaded, class0Overloaded bool
}

// advance integrates up to now, with the values since the last call.
func (m *meter) advance(now time.Time, inflight, limit int) {
	m.busySeconds += now.Sub(m.integratedUntil).Seconds() * min(float64(inflight)/float64(limit), 1)
	m.integratedUntil = now
}

// endPeriod returns the period that ends now and starts the next.
func (m *meter) endPeriod(now time.Time) period {
	p := period{elapsed: now.Sub(m.periodStart), completed: m.completed, overloaded: m.overloaded, class0Overloaded: m.class0Overloaded}
	if p.elapsed > 0 {
		p.utilisation = m.busySeconds / p.elapsed.Seconds()
	}
	*m = meter{integratedUntil: now, periodStart: now}
	return p
}
