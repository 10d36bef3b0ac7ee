package admit

import (
	"time"

	"dogwoodhead/frame"
)

// Ticket represents the slot of one admitted call. Its methods are safe for
// concurrent use.
type Ticket struct {
	gate       *Gate
	admittedAt time.Time
	class      int
	estimate   *estimate
	// concurrency is the number in flight at admission, this call included.
	concurrency int
	// openWaits is the number of outbound calls that the span waits on;
	// waitingSince is when the first of them began, and totalWait the time of
	// earlier waits. The gate's mutex guards these and released.
	openWaits    int
	waitingSince time.Time
	totalWait    time.Duration
	released     bool
}

// BeginWait records that the span waits on an outbound call to the dependency
// until done is called. Waits may overlap. done may be called more than once;
// after Release it still frees the dependency's share.
func (t *Ticket) BeginWait(dependency string) (done func()) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.openWaits == 0 {
		t.waitingSince = g.clock.Now()
	}
	t.openWaits++
	g.bulkhead.beginWait(dependency)
	ended := false
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if ended {
			return
		}
		ended = true
		g.bulkhead.endWait(dependency)
		t.openWaits--
		if t.openWaits == 0 {
			t.totalWait += g.clock.Now().Sub(t.waitingSince)
		}
	}
}

// Release frees the slot; ok is set if the backend server responded. A second
// call breaks an invariant and has no other effect.
func (t *Ticket) Release(ok bool) {
	if selfTime, released := t.gate.release(t, ok); released {
		t.gate.opts.Released(t.class, selfTime, ok)
	}
}

func (g *Gate) release(t *Ticket, ok bool) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frame.AssertInvariant(!t.released, "ticket", "ticket released twice")
	if t.released {
		return 0, false
	}
	t.released = true
	now := g.clock.Now()
	waited := t.totalWait
	if t.openWaits > 0 {
		waited += now.Sub(t.waitingSince)
	}
	slotTime := now.Sub(t.admittedAt)
	selfTime := max(slotTime-waited, 0)
	g.meter.advance(now, g.inflight, g.limit.Value())
	g.meter.completed++
	g.inflight--
	frame.AssertInvariant(g.inflight >= 0, "inflight", "%d in flight", g.inflight)
	t.estimate.inflight--
	g.callTimes.record(t.estimate, selfTime, slotTime, ok, now)
	g.limit.observe(sample{releasedAt: now, admittedAt: t.admittedAt, selfTime: selfTime, concurrency: t.concurrency, ok: ok})
	if g.closed && g.inflight == 0 {
		close(g.drained)
	}
	g.dispatch(now)
	return selfTime, true
}
