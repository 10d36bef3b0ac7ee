package admit

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/frame"
)

// oracle is a simple model of the gate: which calls wait or run, in which order.
type oracle struct {
	t      *rapid.T
	clock  *clockwork.FakeClock
	gate   *Gate
	limits Limits
	// queue is in the order of service.
	queue   []*entry
	running []*Ticket
	endWait map[*Ticket]func()
	waiting int
	// lastIndependent is the last arrival of a call that does not need the
	// dependency while others waited on it.
	lastIndependent time.Time
	closed          bool
	// longestSlotTime is the longest time that a call occupied a slot.
	longestSlotTime time.Duration
	settledCalls    int
	arrivedCalls    int
}

func (o *oracle) enter(t *rapid.T) {
	c := call(rapid.IntRange(0, 2).Draw(t, "class"), rapid.IntRange(0, 3).Draw(t, "rank"),
		time.Duration(rapid.IntRange(0, 300).Draw(t, "left"))*time.Millisecond)
	if rapid.Bool().Draw(t, "needs") {
		c.Dependencies = []string{"ladder"}
	}
	o.arrivedCalls++
	if len(c.Dependencies) == 0 && o.waiting > 0 {
		o.lastIndependent = o.clock.Now()
	}
	reason, _ := o.gate.Explain(c)
	canAdmitNow := len(o.running) < o.limits.Slots && len(o.queue) == 0
	var last *entry
	if len(o.queue) > 0 {
		last = o.queue[len(o.queue)-1]
	}
	ticket, e, refused := o.gate.arrive(c)
	if refused != nil {
		require.Equal(t, reason, refused.Reason(), "dry run")
		o.settledCalls++
		if refused.Reason() == frame.ReasonFull {
			// Class 0 may have more queued calls than c's class may have.
			require.GreaterOrEqual(t, len(o.queue), o.maxQueued(c))
			require.True(t, !canAdmitNow && (last == nil || last.call.Priority <= c.Priority), "the new call has the lowest priority")
			return
		}
		o.requireJustified(c, refused.Reason(), c.TimeLeft, len(o.queue))
		return
	}
	require.Empty(t, reason, "dry run")
	require.False(t, o.closed, "admitted after Close")
	require.False(t, o.shareExhausted(c), "admitted past the bulkhead")
	require.Equal(t, canAdmitNow, ticket != nil, "a free slot and an empty queue admit at once, nothing else does")
	if ticket != nil {
		o.settledCalls++
		o.running = append(o.running, ticket)
		return
	}
	if len(o.queue) == o.maxQueued(c) {
		require.Equal(t, frame.ReasonFull, last.err.Reason(), "lowest priority evicted")
		o.settledCalls++
		o.queue = o.queue[:len(o.queue)-1]
	}
	index := slices.IndexFunc(o.queue, func(q *entry) bool { return q.call.Priority > c.Priority })
	if index < 0 {
		index = len(o.queue)
	}
	o.queue = slices.Insert(o.queue, index, e)
}

// maxQueued returns the maximum queue length for a call: it is larger for class 0
// while only class 0 is queued.
func (o *oracle) maxQueued(c Call) int {
	other := func(e *entry) bool { return e.call.Priority.Class() > 0 }
	if c.Priority.Class() == 0 && !slices.ContainsFunc(o.queue, other) {
		return class0QueueFactor * o.limits.Queue
	}
	return o.limits.Queue
}

func (o *oracle) shareExhausted(c Call) bool {
	maxWaiting := o.gate.bulkhead.maxWaiting(c.Priority.Class(), o.limits.Slots, o.limits.Share)
	return len(c.Dependencies) > 0 && o.waiting >= maxWaiting && o.clock.Since(o.lastIndependent) < reservationTime
}

// requireJustified checks that there was cause for a refusal, given the time left
// and the number of queued calls that may be served first.
func (o *oracle) requireJustified(c Call, r frame.Reason, left time.Duration, ahead int) {
	switch r {
	case frame.ReasonLeaving:
		require.True(o.t, o.closed)
	case frame.ReasonExpired:
		require.LessOrEqual(o.t, left, time.Duration(0))
	case frame.ReasonBulkhead:
		require.True(o.t, o.shareExhausted(c))
	case frame.ReasonLate:
		require.Less(o.t, left, o.longestSlotTime*time.Duration(ahead+2))
	default:
		require.Fail(o.t, "refused", "reason %s", r)
	}
}

// collectSettled checks each call that the gate took from the queue and updates
// the model.
func (o *oracle) collectSettled() {
	now := o.clock.Now()
	var kept []*entry
	for _, e := range o.queue {
		select {
		case <-e.done:
		default:
			kept = append(kept, e)
			continue
		}
		o.settledCalls++
		if e.ticket != nil {
			require.Nil(o.t, e.err)
			require.Empty(o.t, kept, "a call was served before one of higher priority")
			o.running = append(o.running, e.ticket)
			continue
		}
		if e.err.Reason() == frame.ReasonLevel {
			require.NotZero(o.t, e.call.Priority.Class(), "class 0 waits as long as its deadline allows")
			require.Greater(o.t, now.Sub(e.arrived), minDelayTarget)
			continue
		}
		o.requireJustified(e.call, e.err.Reason(), e.deadline.Sub(now), 0)
	}
	o.queue = kept
	for _, e := range kept {
		require.True(o.t, e.deadline.After(now), "an expired call is queued")
	}
}

func (o *oracle) release(t *rapid.T) {
	if len(o.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(o.running)-1).Draw(t, "which")
	ticket := o.running[i]
	o.running = slices.Delete(o.running, i, i+1)
	if done := o.endWait[ticket]; done != nil {
		done()
		o.waiting--
		delete(o.endWait, ticket)
	}
	o.longestSlotTime = max(o.longestSlotTime, o.clock.Now().Sub(ticket.admittedAt))
	ticket.Release(rapid.Bool().Draw(t, "ok"))
	require.Panics(t, func() { ticket.Release(true) }, "released twice")
	o.collectSettled()
	if len(o.running) < o.limits.Slots {
		require.Empty(t, o.queue, "a slot is free while calls wait")
	}
}

func (o *oracle) wait(t *rapid.T) {
	if len(o.running) == 0 {
		t.Skip("nothing runs")
	}
	ticket := rapid.SampledFrom(o.running).Draw(t, "which")
	if o.endWait[ticket] == nil {
		o.endWait[ticket] = ticket.BeginWait("ladder")
		o.waiting++
	}
}

func (o *oracle) cancel(t *rapid.T) {
	if len(o.queue) == 0 {
		t.Skip("nothing waits")
	}
	i := rapid.IntRange(0, len(o.queue)-1).Draw(t, "which")
	o.gate.abandon(o.queue[i], frame.ReasonCancelled, "")
	require.Equal(t, frame.ReasonCancelled, o.queue[i].err.Reason())
	o.queue = slices.Delete(o.queue, i, i+1)
	o.settledCalls++
}

func (o *oracle) check(t *rapid.T) {
	require.True(t, slices.Equal(o.queue, o.gate.queue.entries), "queue order")
	require.Equal(t, len(o.running), o.gate.inflight, "slots are conserved")
	require.LessOrEqual(t, len(o.running), o.limits.Slots)
	require.LessOrEqual(t, len(o.queue), class0QueueFactor*o.limits.Queue)
	if n := len(o.queue); n > o.limits.Queue {
		require.Zero(t, o.queue[n-1].call.Priority.Class(), "another class is queued beyond the configured length")
	}
	require.False(t, o.closed && len(o.queue) > 0, "calls wait at a closed gate")
	require.Equal(t, o.arrivedCalls, o.settledCalls+len(o.queue), "each call has one outcome")
	require.Equal(t, o.waiting, o.gate.bulkhead.Waiting("ladder"))
	select {
	case <-o.gate.Drained():
		require.True(t, o.closed && len(o.running) == 0)
	default:
		require.False(t, o.closed && len(o.running) == 0)
	}
}

// Guards against violations of admission order, bounds, conservation of slots,
// eviction order, cancellation, expiry, bulkhead and close.
func TestGateOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		limits := Limits{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"),
			Share: 0.5, Enabled: true,
		}
		g := NewGate(Options{Clock: clock, Algorithm: AlgorithmFixed, Limits: limits})
		o := &oracle{t: t, clock: clock, gate: g, limits: limits, endWait: map[*Ticket]func(){}}
		t.Repeat(map[string]func(*rapid.T){
			"":        o.check,
			"enter":   o.enter,
			"again":   o.enter,
			"release": o.release,
			"wait":    o.wait,
			"cancel":  o.cancel,
			"advance": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
			},
			"sweep": func(*rapid.T) {
				g.mu.Lock()
				g.dispatch(clock.Now())
				g.mu.Unlock()
				o.collectSettled()
			},
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "rare") > 0 {
					t.Skip("stays open")
				}
				g.Close(frame.ReasonLeaving)
				o.closed = true
				o.collectSettled()
			},
		})
	})
}
