package admit

import (
	"time"

	"dogwoodhead/frame"
)

// Ticket is the slot of one admitted call. Its methods are safe for concurrent
// use.
type Ticket struct {
	gate    *Gate
	entered time.Time
	class   int
	est     *estimate
	// concurrency is the number of calls in flight at entry, itself included.
	concurrency int
	// waits is the number of outbound calls the span waits on; since is when
	// the first of them began, and waited the time of those before. The gate's
	// mutex guards these and left.
	waits  int
	since  time.Time
	waited time.Duration
	left   bool
}

// Wait records that the span waits on an outbound call to the dependency,
// until done is called. Waits may overlap. done may be called more than once;
// after Leave it still frees the dependency's share.
func (t *Ticket) Wait(dependency string) (done func()) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.waits == 0 {
		t.since = g.clock.Now()
	}
	t.waits++
	g.bulkhead.begin(dependency)
	ended := false
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if ended {
			return
		}
		ended = true
		g.bulkhead.end(dependency)
		t.waits--
		if t.waits == 0 {
			t.waited += g.clock.Now().Sub(t.since)
		}
	}
}

// Leave frees the slot. ok says that the backend server answered. A second
// call is a broken invariant and has no effect.
func (t *Ticket) Leave(ok bool) {
	if own, left := t.gate.leave(t, ok); left {
		t.gate.opts.Left(t.class, own, ok)
	}
}

func (g *Gate) leave(t *Ticket, ok bool) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frame.AssertInvariant(!t.left, "ticket", "ticket left twice")
	if t.left {
		return 0, false
	}
	t.left = true
	now := g.clock.Now()
	waited := t.waited
	if t.waits > 0 {
		waited += now.Sub(t.since)
	}
	held := now.Sub(t.entered)
	own := max(held-waited, 0)
	g.meter.advance(now, g.inflight, g.limit.Value())
	g.meter.completed++
	g.inflight--
	frame.AssertInvariant(g.inflight >= 0, "inflight", "%d in flight", g.inflight)
	t.est.inflight--
	g.times.leave(t.est, own, held, ok, now)
	g.limit.left(sample{now: now, entered: t.entered, own: own, concurrency: t.concurrency, ok: ok})
	if g.closed && g.inflight == 0 {
		close(g.idle)
	}
	g.dispatch(now)
	return own, true
}
