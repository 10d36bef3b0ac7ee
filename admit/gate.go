package admit

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

const (
	// minDelayTarget is the minimum of the queue delay target; with a shorter
	// one, scheduling noise alone would cause refusals.
	minDelayTarget = 5 * time.Millisecond
	// delayTargetFraction is the delay target in typical self times.
	delayTargetFraction = 0.5
	// delayTargetSlotIntervals is the delay target in mean intervals between two
	// freed slots, so that a call is queued whenever a slot is freed.
	delayTargetSlotIntervals = 2
	// saturatedUtilisation is the mean utilisation of a saturated limit.
	saturatedUtilisation = 0.95
	// class0BacklogDivisor sets the backlog of class 0, as the configured queue
	// length divided by it, above which trials of a lower limit stop.
	class0BacklogDivisor = 8
	// class0QueueFactor is the multiple of the configured queue length that calls
	// of class 0 may occupy. Their deadlines bound the queue delay.
	class0QueueFactor = 4
	// standingQueueAge is how long the queue may stay non-empty before the delay
	// target applies; until then it counts as a burst.
	standingQueueAge = 100 * time.Millisecond
)

// Gate admits calls to the local backend server. It is safe for concurrent use.
//
// A call is admitted immediately when a slot is free, the rate limit allows it and
// no call is queued. It is refused if its priority is above the admission level,
// it cannot finish before its deadline, the queue is full, or a dependency's share
// is used up; otherwise it is queued. Calls of class 0 may wait until their
// deadline.
type Gate struct {
	clock clockwork.Clock
	opts  Options

	mu        sync.Mutex
	limits    Limits
	limit     *Limit
	queue     *Queue
	bulkhead  *Bulkhead
	callTimes *callTimes
	shedder   *shedder
	// inflight is the number of tickets not yet released; it exceeds the limit
	// only after the limit fell or admission control was enabled.
	inflight     int
	closed       bool
	closeReason  frame.Reason
	drained      chan struct{}
	counts       counts
	backpressure backpressure
	meter        meter
	rate         rateLimit
}

// NewGate returns an open gate.
func NewGate(opts Options) *Gate {
	opts = opts.withDefaults()
	limits := opts.Limits.clamped()
	now := opts.Clock.Now()
	return &Gate{
		clock: opts.Clock, opts: opts, limits: limits,
		limit: newLimit(opts.Algorithm, limits.Slots, limits.MaxConnections),
		queue: &Queue{}, bulkhead: newBulkhead(), callTimes: newCallTimes(), shedder: newShedder(),
		drained: make(chan struct{}), meter: meter{integratedUntil: now, periodStart: now},
	}
}

// Configure replaces the limits. Calls in flight continue; queued calls beyond
// the new queue length are refused, lowest priority first. If Enabled is false,
// all queued calls are admitted.
func (g *Gate) Configure(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.meter.advance(now, g.inflight, g.limit.Value())
	g.limits = l.clamped()
	g.limit.configure(g.limits.Slots, g.limits.MaxConnections)
	if !g.limits.Enabled {
		g.shedder.level = frame.OpenLevel
		for e := g.queue.first(); e != nil; e = g.queue.first() {
			g.admitQueued(e, now)
		}
		return
	}
	g.dispatch(now)
	for g.queue.Len() > g.limits.Queue {
		g.refuseQueued(g.queue.last(), frame.ReasonFull, "queue was shortened")
	}
}

// BeginSlowStart restarts the limit low for a backend server that just became
// live; the limit then rises while the latency is healthy.
func (g *Gate) BeginSlowStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.advance(g.clock.Now(), g.inflight, g.limit.Value())
	g.limit.beginSlowStart()
}

// Enter waits for admission. The ticket must be released exactly once. The error
// is a *frame.OutcomeError with outcome NotRun. A queued call is removed as soon
// as ctx is done or its deadline passes.
func (g *Gate) Enter(ctx context.Context, c Call) (*Ticket, error) {
	c.Priority = min(c.Priority, frame.OpenLevel)
	class := c.Priority.Class()
	if ctx.Err() != nil {
		return nil, g.refuse(class, frame.ReasonCancelled, "cancelled before it was queued")
	}
	ticket, e, refusal := g.arrive(c)
	if refusal != nil {
		g.opts.Refused(class, refusal.Reason())
		return nil, refusal
	}
	if ticket != nil {
		g.opts.Admitted(class, 0)
		return ticket, nil
	}
	timer := g.clock.NewTimer(c.TimeLeft)
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
	g.opts.Admitted(class, e.ticket.admittedAt.Sub(e.arrived))
	return e.ticket, nil
}

// arrive admits, queues or refuses a new call; exactly one result is not nil.
func (g *Gate) arrive(c Call) (*Ticket, *entry, *frame.OutcomeError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.bulkhead.recordArrival(c, now)
	d := g.decide(c, now)
	if g.limits.Enabled && d.countsAsDemand {
		g.shedder.recordArrival(c.Priority)
	}
	switch d.action {
	case admitNow:
		g.backpressure.recordDelay(0)
		return g.admit(c, now), nil, nil
	case refuseNow:
		g.counts.addRefusal(c.Priority.Class(), d.reason)
		if d.countsAsDemand {
			g.recordOverload(c.Priority.Class(), d.reason)
		}
		return nil, nil, frame.NotRunError(d.reason, d.detail)
	}
	if g.queueFull(c) {
		g.refuseQueued(g.queue.last(), frame.ReasonFull, "evicted by a more important call")
	}
	e := &entry{call: c, arrived: now, deadline: now.Add(c.TimeLeft), done: make(chan struct{})}
	g.queue.push(e)
	if g.class0Backlogged() && g.limit.onClass0Backlog(now) {
		g.dispatch(now)
	}
	return nil, e, nil
}

// admitQueued removes a queued call and admits it.
func (g *Gate) admitQueued(e *entry, now time.Time) {
	if !g.queue.remove(e) {
		return
	}
	frame.AssertInvariant(e.ticket == nil && e.err == nil, "settled", "call %d is admitted or refused twice", e.seq)
	if next := g.queue.first(); next != nil {
		frame.AssertInvariant(e.before(next), "order", "call %d served before %d", e.seq, next.seq)
	}
	g.backpressure.recordDelay(now.Sub(e.arrived))
	e.ticket = g.admit(e.call, now)
	close(e.done)
}

// admit occupies a slot.
func (g *Gate) admit(c Call, now time.Time) *Ticket {
	limit := g.limit.Value()
	frame.AssertInvariant(!g.limits.Enabled || g.inflight < limit, "limit", "%d in flight of %d", g.inflight, limit)
	g.meter.advance(now, g.inflight, limit)
	g.inflight++
	g.rate.take(now)
	g.counts.admitted[c.Priority.Class()]++
	est := g.callTimes.findOrCreateEstimate(c.Target)
	est.inflight++
	return &Ticket{gate: g, admittedAt: now, class: c.Priority.Class(), estimate: est, concurrency: g.inflight}
}

// dispatch gives free slots to queued calls in order of service.
func (g *Gate) dispatch(now time.Time) {
	if g.queue.Len() == 0 {
		return
	}
	g.refuseOverdue(now)
	for g.inflight < g.limit.Value() && g.rate.delay(now) == 0 {
		e := g.queue.first()
		if e == nil {
			return
		}
		if g.bulkhead.exhaustedDependency(e.call, g.limit.Value(), g.limits.Share, now) != "" {
			g.refuseQueued(e, frame.ReasonBulkhead, "dependency holds its share of the slots")
			continue
		}
		if e.deadline.Sub(now) < g.callTimes.typicalSelfTime(e.call.Target, now) {
			g.refuseQueued(e, frame.ReasonLate, "time left after queueing is below the typical time")
			continue
		}
		g.admitQueued(e, now)
	}
	g.scheduleDispatch(now)
}

// delayTarget returns the queue delay that calls may have under overload.
func (g *Gate) delayTarget() time.Duration {
	selfTimeTarget := time.Duration(delayTargetFraction * g.callTimes.overall.mean)
	return max(minDelayTarget, selfTimeTarget, delayTargetSlotIntervals*g.slotInterval())
}

// slotInterval returns the mean interval between two admissions under load.
func (g *Gate) slotInterval() time.Duration {
	return max(time.Duration(g.callTimes.slotTime.mean/float64(g.limit.Value())), g.rate.interval())
}

// defaultMaxQueueWait returns the maximum queue wait of calls outside class 0
// without a bound of their own: the delay target for a standing queue, at least
// standingQueueAge for a burst.
func (g *Gate) defaultMaxQueueWait(now time.Time) time.Duration {
	target := g.delayTarget()
	since := g.queue.NonEmptySince()
	if !since.IsZero() && now.Sub(since) > standingQueueAge {
		return target
	}
	return max(target, standingQueueAge)
}

func (g *Gate) class0Backlogged() bool {
	return class0BacklogDivisor*g.queue.ClassLen(0) > g.limits.Queue
}

// Tick updates limit, level and backpressure; package node calls it every 100 ms.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.meter.advance(now, g.inflight, g.limit.Value())
	g.dispatch(now)
	if since := g.queue.NonEmptySince(); !since.IsZero() && now.Sub(since) > standingQueueAge {
		g.meter.overloaded = true
	}
	g.backpressure.tick(now, g.queue)
	p := g.meter.endPeriod(now)
	usage := limitUsage{saturated: p.utilisation >= saturatedUtilisation, class0Backlogged: g.class0Backlogged()}
	if !g.limits.Enabled {
		return
	}
	g.limit.tick(now, usage)
	g.shedder.tick(p)
	g.dispatch(now)
}

// Close refuses queued calls and all later ones with the reason. Calls in flight
// continue. Only the first Close has an effect.
func (g *Gate) Close(reason frame.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed, g.closeReason = true, reason
	for e := g.queue.first(); e != nil; e = g.queue.first() {
		g.refuseQueued(e, reason, "gate closed")
	}
	if g.inflight == 0 {
		close(g.drained)
	}
}

// Drained returns a channel that is closed once the gate is closed and no call
// is in flight.
func (g *Gate) Drained() <-chan struct{} { return g.drained }

// Level returns the admission level, frame.OpenLevel if nothing is shed.
func (g *Gate) Level() frame.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shedder.level
}

// Backpressure returns the fraction, 0 to 1, of new calls of the lowest-priority
// class that senders should not send to this node.
func (g *Gate) Backpressure() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backpressure.value
}

// TypicalSelfTime returns the recent self time of an operation, 0 if unknown.
func (g *Gate) TypicalSelfTime(t frame.Target) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callTimes.typicalSelfTime(t, g.clock.Now())
}

// Load returns the number of calls in flight or queued, and the limit, which is
// that of the rate limit if it allows fewer.
func (g *Gate) Load() frame.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.rate.concurrency(time.Duration(g.callTimes.slotTime.mean), g.limit.Value())
	return frame.NewLoad(g.inflight+g.queue.Len(), limit)
}
