package admit

import (
	"fmt"
	"time"

	"dogwoodhead/frame"
)

// action is the gate's response to a new call.
type action int

const (
	admitNow action = iota
	enqueue
	refuseNow
)

// decision is an action with the reason and detail of a refusal.
type decision struct {
	action action
	reason frame.Reason
	detail string
	// countsAsDemand is set if the call competes for slots and therefore counts
	// as an arrival for the admission level.
	countsAsDemand bool
}

func refuseDecision(reason frame.Reason, detail string, countsAsDemand bool) decision {
	return decision{action: refuseNow, reason: reason, detail: detail, countsAsDemand: countsAsDemand}
}

// decide returns the decision on a call without changing state.
func (g *Gate) decide(c Call, now time.Time) decision {
	switch {
	case g.closed:
		return refuseDecision(g.closeReason, "gate closed", false)
	case !g.limits.Enabled:
		return decision{action: admitNow}
	case c.TimeLeft <= 0:
		return refuseDecision(frame.ReasonExpired, "no time left", false)
	}
	if g.bulkhead.exhaustedDependency(c, g.limit.Value(), g.limits.Share, now) != "" {
		return refuseDecision(frame.ReasonBulkhead, "dependency holds its share of the slots", false)
	}
	selfTime := g.callTimes.typicalSelfTime(c.Target, now)
	if g.queue.Len() == 0 && g.inflight < g.limit.Value() && g.rate.delay(now) == 0 {
		if c.TimeLeft < selfTime {
			return refuseDecision(frame.ReasonLate, "time left is below the typical time", false)
		}
		return decision{action: admitNow, countsAsDemand: true}
	}
	if c.MaxQueueWait == 0 && g.shedByLevel(c.Priority) {
		return refuseDecision(frame.ReasonLevel, "priority is above the admission level", true)
	}
	if c.TimeLeft < selfTime+g.expectedWait(c.Priority) {
		return refuseDecision(frame.ReasonLate, "time left is below the typical time and queue wait", true)
	}
	if g.queueFull(c) {
		if last := g.queue.last(); last == nil || last.call.Priority <= c.Priority {
			return refuseDecision(frame.ReasonFull, "queue is full of calls as important", true)
		}
	}
	return decision{action: enqueue, countsAsDemand: true}
}

// shedByLevel reports whether the admission level sheds a call of the priority.
// A call of class 0 is shed only while class 0 fills at least half of its queue
// limit: otherwise calls of other classes could be admitted after it.
func (g *Gate) shedByLevel(p frame.Level) bool {
	if g.shedder.level.Admits(p) {
		return false
	}
	return p.Class() > 0 || 2*g.queue.ClassLen(0) >= max(class0QueueFactor*g.limits.Queue, 1)
}

// queueFull reports whether a call can be queued only by evicting another one.
// The queue is longer for class 0 while it holds no other class: otherwise a
// burst of class 0 would be shed just before calls of other classes are admitted.
func (g *Gate) queueFull(c Call) bool {
	maxQueued := g.limits.Queue
	if c.Priority.Class() == 0 && g.queue.ClassLen(0) == g.queue.Len() {
		maxQueued *= class0QueueFactor
	}
	return g.queue.Len() >= maxQueued
}

// expectedWait returns the expected queue delay of a new call of the priority.
func (g *Gate) expectedWait(p frame.Level) time.Duration {
	return time.Duration(float64(g.queue.Ahead(p)+1) * float64(g.slotInterval()))
}

// Explain returns the decision that a call would get now, and its explanation.
// The reason is empty if the call would be admitted or queued. Explain changes
// no state.
func (g *Gate) Explain(c Call) (frame.Reason, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	d := g.decide(c, now)
	state := fmt.Sprintf("priority %s, level %s, %d in flight of %d, %d queued of %d, typical time %s",
		c.Priority, g.shedder.level, g.inflight, g.limit.Value(), g.queue.Len(), g.limits.Queue,
		g.callTimes.typicalSelfTime(c.Target, now).Round(10*time.Microsecond))
	switch d.action {
	case admitNow:
		return "", "admitted at once: " + state
	case enqueue:
		wait := g.expectedWait(c.Priority).Round(10 * time.Microsecond)
		return "", fmt.Sprintf("queued at position %d, expected wait %s: %s", g.queue.Ahead(c.Priority)+1, wait, state)
	}
	return d.reason, "refused, " + d.detail + ": " + state
}
