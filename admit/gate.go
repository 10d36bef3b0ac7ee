package admit

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

const (
	// delayFloor is the least target of the queue delay; shorter ones refuse
	// calls for scheduling noise.
	delayFloor = 5 * time.Millisecond
	// delayPart is the target as a part of the typical own time.
	delayPart = 0.5
	// delaySlots is the target in mean times between two freed slots, so that
	// a slot that frees finds a queued call.
	delaySlots = 2
	// fullUse is the mean use of the limit from which it counts as binding.
	fullUse = 0.95
	// pressure is the divisor of the queue length that calls of class 0 may
	// take before trials of a lower limit stop.
	pressure = 8
	// firstClassQueue is how many times the configured queue calls of class 0 may
	// take. Their deadlines bound the wait in it.
	firstClassQueue = 4
	// standing is how long a queue may stay non-empty before its delay is held
	// to the target; a shorter queue is a burst.
	standing = 100 * time.Millisecond
)

// Gate admits calls to the backend server beside this node.
//
// A call is admitted when a slot of the limit is free and no call is queued.
// Otherwise it waits in the queue, unless it is refused: above the admission
// level, too late to finish, without room in the queue, or behind a dependency
// that holds its share. Calls of class 0 wait as long as their deadline allows.
type Gate struct {
	clock clockwork.Clock
	opts  Options

	mu       sync.Mutex
	limits   Limits
	limit    *Limit
	queue    *Queue
	bulkhead *Bulkhead
	times    *times
	shed     *shedder
	// inflight is the number of tickets that have not left; it exceeds the
	// limit only after the limit fell or admission control was switched on.
	inflight int
	closed   bool
	reason   frame.Reason
	idle     chan struct{}
	counts   counts
	strain   strain
	meter    meter
}

// NewGate returns an open gate.
func NewGate(o Options) *Gate {
	o = o.filled()
	limits := o.Limits.normal()
	now := o.Clock.Now()
	return &Gate{
		clock: o.Clock, opts: o, limits: limits,
		limit: newLimit(o.Algorithm, limits.Slots, limits.Connections),
		queue: &Queue{}, bulkhead: newBulkhead(), times: newTimes(), shed: newShedder(),
		idle: make(chan struct{}), meter: meter{last: now, ticked: now},
	}
}

// Configure replaces the limits. Calls in flight stay; queued calls beyond the
// new queue length are refused, the least important first. With Enabled false
// all queued calls are admitted.
func (g *Gate) Configure(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.meter.advance(now, g.inflight, g.limit.Value())
	g.limits = l.normal()
	g.limit.configure(g.limits.Slots, g.limits.Connections)
	if !g.limits.Enabled {
		g.shed.level = frame.OpenLevel
		for e := g.queue.first(); e != nil; e = g.queue.first() {
			g.grant(e, now)
		}
		return
	}
	g.dispatch(now)
	for g.queue.Len() > g.limits.Queue {
		g.settle(g.queue.last(), frame.ReasonFull, "queue was shortened")
	}
}

// Cold restarts the limit low, for a backend server that just came live, and
// raises it while its latency is healthy.
func (g *Gate) Cold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.advance(g.clock.Now(), g.inflight, g.limit.Value())
	g.limit.cold()
}

// Enter waits for admission. The ticket must leave exactly once. The error is
// a *frame.OutcomeError with outcome NotRun. A call whose ctx ends while it is
// queued leaves the queue at once.
func (g *Gate) Enter(ctx context.Context, c Call) (*Ticket, error) {
	c.Priority = min(c.Priority, frame.OpenLevel)
	class := c.Priority.Class()
	if ctx.Err() != nil {
		return nil, g.refuse(class, frame.ReasonCancelled, "cancelled before it was queued")
	}
	ticket, e, refusal := g.offer(c)
	if refusal != nil {
		g.opts.Refused(class, refusal.Reason())
		return nil, refusal
	}
	if ticket != nil {
		g.opts.Admitted(class, 0)
		return ticket, nil
	}
	timer := g.clock.NewTimer(c.Left)
	select {
	case <-e.done:
	case <-ctx.Done():
		g.abandon(e, frame.ReasonCancelled, "cancelled in the queue")
	case <-timer.Chan():
		g.abandon(e, frame.ReasonExpired, "deadline passed in the queue")
	}
	timer.Stop()
	if e.err != nil {
		g.opts.Refused(class, e.err.Reason())
		return nil, e.err
	}
	g.opts.Admitted(class, e.ticket.entered.Sub(e.arrived))
	return e.ticket, nil
}

// refuse counts a refusal outside the queue.
func (g *Gate) refuse(class int, reason frame.Reason, detail string) *frame.OutcomeError {
	g.mu.Lock()
	g.counts.refused(class, reason)
	g.mu.Unlock()
	g.opts.Refused(class, reason)
	return frame.NotRunError(reason, detail)
}

// offer admits, queues or refuses a call; exactly one result is not nil.
func (g *Gate) offer(c Call) (*Ticket, *entry, *frame.OutcomeError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.bulkhead.arrive(c, now)
	v := g.judge(c, now)
	if g.limits.Enabled && v.demand {
		g.shed.arrive(c.Priority)
	}
	switch v.action {
	case admitNow:
		g.strain.waited(0)
		return g.admit(c, now), nil, nil
	case refuseNow:
		g.counts.refused(c.Priority.Class(), v.reason)
		if v.demand {
			g.overload(c.Priority.Class(), v.reason)
		}
		return nil, nil, frame.NotRunError(v.reason, v.detail)
	}
	if g.full(c) {
		g.settle(g.queue.last(), frame.ReasonFull, "evicted by a more important call")
	}
	e := &entry{call: c, arrived: now, deadline: now.Add(c.Left), done: make(chan struct{})}
	g.queue.push(e)
	if g.pressed() && g.limit.press(now) {
		g.dispatch(now)
	}
	return nil, e, nil
}

// abandon takes a call out of the queue unless it was settled before.
func (g *Gate) abandon(e *entry, reason frame.Reason, detail string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.queued {
		g.settle(e, reason, detail)
	}
}

// settle refuses a queued call.
func (g *Gate) settle(e *entry, reason frame.Reason, detail string) {
	if !g.queue.remove(e) {
		return
	}
	g.finish(e, reason, detail)
}

// finish refuses a call that was just taken out of the queue.
func (g *Gate) finish(e *entry, reason frame.Reason, detail string) {
	frame.AssertInvariant(e.ticket == nil && e.err == nil, "settled", "call %d is admitted or refused twice", e.seq)
	g.counts.refused(e.call.Priority.Class(), reason)
	g.overload(e.call.Priority.Class(), reason)
	g.strain.waited(g.clock.Now().Sub(e.arrived))
	e.err = frame.NotRunError(reason, detail)
	close(e.done)
}

// overload records what a refusal says about the load.
func (g *Gate) overload(class int, reason frame.Reason) {
	switch reason {
	case frame.ReasonFull, frame.ReasonExpired, frame.ReasonLate:
		g.meter.overloaded = true
		g.meter.urgent = g.meter.urgent || class == 0
	}
}

// grant admits a queued call.
func (g *Gate) grant(e *entry, now time.Time) {
	if !g.queue.remove(e) {
		return
	}
	frame.AssertInvariant(e.ticket == nil && e.err == nil, "settled", "call %d is admitted or refused twice", e.seq)
	if next := g.queue.first(); next != nil {
		frame.AssertInvariant(e.before(next), "order", "call %d served before %d", e.seq, next.seq)
	}
	g.strain.waited(now.Sub(e.arrived))
	e.ticket = g.admit(e.call, now)
	close(e.done)
}

// admit takes a slot.
func (g *Gate) admit(c Call, now time.Time) *Ticket {
	limit := g.limit.Value()
	frame.AssertInvariant(!g.limits.Enabled || g.inflight < limit, "limit", "%d in flight of %d", g.inflight, limit)
	g.meter.advance(now, g.inflight, limit)
	g.inflight++
	g.counts.admitted[c.Priority.Class()]++
	est := g.times.operation(c.Target)
	est.inflight++
	return &Ticket{gate: g, entered: now, class: c.Priority.Class(), est: est, concurrency: g.inflight}
}

// dispatch hands free slots to queued calls in order.
func (g *Gate) dispatch(now time.Time) {
	if g.queue.Len() == 0 {
		return
	}
	g.sweep(now)
	for g.inflight < g.limit.Value() {
		e := g.queue.first()
		if e == nil {
			return
		}
		if g.bulkhead.blocked(e.call, g.limit.Value(), g.limits.Share, now) != "" {
			g.settle(e, frame.ReasonBulkhead, "dependency holds its share of the slots")
			continue
		}
		if e.deadline.Sub(now) < g.times.typical(e.call.Target, now) {
			g.settle(e, frame.ReasonLate, "time left after queueing is below the typical time")
			continue
		}
		g.grant(e, now)
	}
}

// sweep removes queued calls that expired, and those below class 0 whose delay
// is above what the queue may impose.
func (g *Gate) sweep(now time.Time) {
	allowed := g.allowed(now)
	for _, e := range g.queue.removeIf(func(e *entry) bool {
		return !e.deadline.After(now) || now.Sub(e.arrived) > e.patience(allowed)
	}) {
		if !e.deadline.After(now) {
			g.finish(e, frame.ReasonExpired, "deadline passed in the queue")
			continue
		}
		g.meter.overloaded = true
		g.finish(e, frame.ReasonLevel, "waited longer than allowed")
	}
}

// target returns the queue delay that is held under overload.
func (g *Gate) target() time.Duration {
	turn := time.Duration(g.times.held.mean / float64(g.limit.Value()))
	part := time.Duration(delayPart * g.times.all.mean)
	return max(delayFloor, part, delaySlots*turn)
}

// allowed returns the delay that the queue may impose now on calls below class
// 0: the target while the queue stands, else a burst may wait.
func (g *Gate) allowed(now time.Time) time.Duration {
	target := g.target()
	since := g.queue.Since()
	if !since.IsZero() && now.Sub(since) > standing {
		return target
	}
	return max(target, standing)
}

// pressed reports whether many calls of class 0 are queued.
func (g *Gate) pressed() bool { return pressure*g.queue.Class(0) > g.limits.Queue }

// Tick adapts the limit and the level; node calls it every 100 ms.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.meter.advance(now, g.inflight, g.limit.Value())
	g.dispatch(now)
	if since := g.queue.Since(); !since.IsZero() && now.Sub(since) > standing {
		g.meter.overloaded = true
	}
	g.strain.tick(now, g.queue)
	p := g.meter.next(now)
	u := use{full: p.use >= fullUse, pressed: g.pressed()}
	if !g.limits.Enabled {
		return
	}
	g.limit.ticked(now, u)
	g.shed.tick(p)
	g.dispatch(now)
}

// Close refuses new and queued calls with the reason from now on. Calls in
// flight go on. Only the first call has an effect.
func (g *Gate) Close(reason frame.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed, g.reason = true, reason
	for e := g.queue.first(); e != nil; e = g.queue.first() {
		g.settle(e, reason, "gate closed")
	}
	if g.inflight == 0 {
		close(g.idle)
	}
}

// Idle returns a channel that is closed when the gate is closed and no call is
// in flight.
func (g *Gate) Idle() <-chan struct{} { return g.idle }

// Level returns the admission level, frame.OpenLevel where nothing is shed.
func (g *Gate) Level() frame.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shed.level
}

// Strain returns which part of the new work of the least important class
// should not be sent here, 0 to 1.
func (g *Gate) Strain() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.strain.value
}

// Typical returns the recent own time of an operation, 0 where none is known.
func (g *Gate) Typical(t frame.Target) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.times.typical(t, g.clock.Now())
}

// Load returns the calls in flight and queued, and the limit.
func (g *Gate) Load() frame.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return frame.NewLoad(g.inflight+g.queue.Len(), g.limit.Value())
}
