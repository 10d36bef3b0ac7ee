package admit

import (
	"fmt"
	"time"

	"dogwoodhead/frame"
)

// action is what the gate does with a new call.
type action int

const (
	admitNow action = iota
	queueUp
	refuseNow
)

// verdict is the decision on a new call.
type verdict struct {
	action action
	reason frame.Reason
	detail string
	// demand says that the call competes for slots and counts as an arrival
	// for the admission level.
	demand bool
}

func refusal(reason frame.Reason, detail string, demand bool) verdict {
	return verdict{action: refuseNow, reason: reason, detail: detail, demand: demand}
}

// judge decides on a call without changing anything.
func (g *Gate) judge(c Call, now time.Time) verdict {
	switch {
	case g.closed:
		return refusal(g.reason, "gate closed", false)
	case !g.limits.Enabled:
		return verdict{action: admitNow}
	case c.Left <= 0:
		return refusal(frame.ReasonExpired, "no time left", false)
	}
	if g.bulkhead.blocked(c, g.limit.Value(), g.limits.Share, now) != "" {
		return refusal(frame.ReasonBulkhead, "dependency holds its share of the slots", false)
	}
	own := g.times.typical(c.Target, now)
	if g.queue.Len() == 0 && g.inflight < g.limit.Value() {
		if c.Left < own {
			return refusal(frame.ReasonLate, "time left is below the typical time", false)
		}
		return verdict{action: admitNow, demand: true}
	}
	if c.Patience == 0 && g.above(c.Priority) {
		return refusal(frame.ReasonLevel, "priority is above the admission level", true)
	}
	if c.Left < own+g.wait(c.Priority) {
		return refusal(frame.ReasonLate, "time left is below the typical time and queue wait", true)
	}
	if g.full(c) {
		if last := g.queue.last(); last == nil || last.call.Priority <= c.Priority {
			return refusal(frame.ReasonFull, "queue is full of calls as important", true)
		}
	}
	return verdict{action: queueUp, demand: true}
}

// above reports whether the level sheds a call of the priority. A call of class
// 0 is shed only while class 0 fills half of its places: otherwise calls of
// other classes could be admitted after it.
func (g *Gate) above(p frame.Level) bool {
	if g.shed.level.Admits(p) {
		return false
	}
	return p.Class() > 0 || 2*g.queue.Class(0) >= max(firstClassQueue*g.limits.Queue, 1)
}

// full reports whether the queue has no place for a call unless another leaves.
// Calls of class 0 get more places once they have the whole queue: a burst of
// them would otherwise be shed just before calls of other classes are admitted.
func (g *Gate) full(c Call) bool {
	places := g.limits.Queue
	if c.Priority.Class() == 0 && g.queue.Class(0) == g.queue.Len() {
		places *= firstClassQueue
	}
	return g.queue.Len() >= places
}

// wait returns the expected time in the queue at a priority.
func (g *Gate) wait(p frame.Level) time.Duration {
	turn := g.times.held.mean / float64(g.limit.Value())
	return time.Duration(float64(g.queue.Ahead(p)+1) * turn)
}

// Explain says what would happen to a call now and why. The reason is empty
// where the call would be admitted or queued. It changes nothing.
func (g *Gate) Explain(c Call) (frame.Reason, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	v := g.judge(c, now)
	state := fmt.Sprintf("priority %s, level %s, %d in flight of %d, %d queued of %d, typical time %s",
		c.Priority, g.shed.level, g.inflight, g.limit.Value(), g.queue.Len(), g.limits.Queue,
		g.times.typical(c.Target, now).Round(10*time.Microsecond))
	switch v.action {
	case admitNow:
		return "", "admitted at once: " + state
	case queueUp:
		wait := g.wait(c.Priority).Round(10 * time.Microsecond)
		return "", fmt.Sprintf("queued at position %d, expected wait %s: %s", g.queue.Ahead(c.Priority)+1, wait, state)
	}
	return v.reason, "refused, " + v.detail + ": " + state
}
