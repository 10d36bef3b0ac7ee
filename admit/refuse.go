package admit

import (
	"time"

	"dogwoodhead/frame"
)

// refuse counts a refusal of a call that did not reach the queue.
func (g *Gate) refuse(class int, reason frame.Reason, detail string) *frame.OutcomeError {
	g.mu.Lock()
	g.counts.addRefusal(class, reason)
	g.mu.Unlock()
	g.opts.Refused(class, reason)
	return frame.NotRunError(reason, detail)
}

// abandon refuses a queued call unless it was already admitted or refused.
func (g *Gate) abandon(e *entry, reason frame.Reason, detail string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.queued {
		g.refuseQueued(e, reason, detail)
	}
}

// refuseQueued removes a queued call and refuses it.
func (g *Gate) refuseQueued(e *entry, reason frame.Reason, detail string) {
	if !g.queue.remove(e) {
		return
	}
	g.refuseRemoved(e, reason, detail)
}

// refuseRemoved refuses a call that was already removed from the queue.
func (g *Gate) refuseRemoved(e *entry, reason frame.Reason, detail string) {
	frame.AssertInvariant(e.ticket == nil && e.err == nil, "settled", "call %d is admitted or refused twice", e.seq)
	g.counts.addRefusal(e.call.Priority.Class(), reason)
	g.recordOverload(e.call.Priority.Class(), reason)
	g.backpressure.recordDelay(g.clock.Now().Sub(e.arrived))
	e.err = frame.NotRunError(reason, detail)
	close(e.done)
}

// recordOverload marks the period as overloaded if slots were lacking.
func (g *Gate) recordOverload(class int, reason frame.Reason) {
	switch reason {
	case frame.ReasonFull, frame.ReasonExpired, frame.ReasonLate:
		g.meter.overloaded = true
		g.meter.class0Overloaded = g.meter.class0Overloaded || class == 0
	}
}

// refuseOverdue refuses queued calls that expired and those that waited longer than
// their maximum queue wait.
func (g *Gate) refuseOverdue(now time.Time) {
	defaultMaxWait := g.defaultMaxQueueWait(now)
	for _, e := range g.queue.removeIf(func(e *entry) bool {
		return !e.deadline.After(now) || now.Sub(e.arrived) > e.maxQueueWait(defaultMaxWait)
	}) {
		if !e.deadline.After(now) {
			g.refuseRemoved(e, frame.ReasonExpired, "deadline passed in the queue")
			continue
		}
		g.meter.overloaded = true
		g.refuseRemoved(e, frame.ReasonLevel, "waited longer than allowed")
	}
}
