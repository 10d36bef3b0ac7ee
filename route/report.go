package route

import (
	"time"

	"dogwoodhead/board"
	"dogwoodhead/frame"
)

const (
	// refusedAvoid and refusedMax bound the avoidance of a peer that refused a
	// call. They are short, because such a peer works and its load soon tells more.
	refusedAvoid = 20 * time.Millisecond
	refusedMax   = 200 * time.Millisecond
	// failedAvoid and failedMax bound the avoidance of a peer that could not be
	// reached or lost a call. A restart takes seconds; the upper bound is small
	// enough that recovery after an overload does not wait for it.
	failedAvoid = 100 * time.Millisecond
	failedMax   = 2 * time.Second
	// jitter is the part of an avoidance that is drawn, so that the nodes of a
	// fleet do not return to a peer at once.
	jitter = 0.5
)

// Report is what became of one attempt.
type Report struct {
	// Err is nil for a complete response, else an error that frame.OutcomeOf
	// understands.
	Err error
	// Feedback is what the peer said about itself, nil where it said nothing.
	Feedback *frame.Feedback
}

// effect is what an outcome says about the peer, in contrast to the call.
type effect int

const (
	// effectNone: the outcome is due to the call or to this node.
	effectNone effect = iota
	effectAnswered
	effectRefused
	effectLeaving
	effectFailed
)

func effectOf(outcome frame.Outcome, reason frame.Reason) effect {
	if outcome == frame.Answered {
		return effectAnswered
	}
	switch reason {
	case frame.ReasonFull, frame.ReasonLevel, frame.ReasonMemory, frame.ReasonTable,
		frame.ReasonStale, frame.ReasonConfig, frame.ReasonService:
		return effectRefused
	case frame.ReasonLeaving:
		return effectLeaving
	case frame.ReasonDial, frame.ReasonLost, frame.ReasonTimeout, frame.ReasonPartial, frame.ReasonDown,
		frame.ReasonDraining:
		return effectFailed
	}
	return effectNone
}

// Report ends an attempt that Pick started and records what it says about the
// peer. Peers that are neither in the table nor in the VM list are not recorded.
func (c *Chooser) Report(vm string, r Report) {
	now := c.clock.Now()
	drawn := c.float()
	_, listed := c.board.Members().Get(vm)
	c.board.Peers().Update(vm, func(p board.Peer, ok bool) (board.Peer, bool) {
		if !ok && !listed {
			return p, false
		}
		p.Inflight = max(p.Inflight-1, 0)
		if r.Feedback != nil {
			p = hear(p, *r.Feedback, now)
		}
		return apply(p, effectOf(frame.OutcomeOf(r.Err)), r.Feedback != nil, now, drawn), true
	})
}

// hear takes over what a peer says about itself. A peer that is leaving stays so
// until another incarnation speaks, because answers can arrive out of order.
func hear(p board.Peer, f frame.Feedback, now time.Time) board.Peer {
	p.Leaving = f.Leaving || p.Leaving && f.Incarnation == p.Incarnation
	p.Incarnation = f.Incarnation
	p.Load = f.Load
	p.Failing = f.FailedFraction
	if f.RelativeLatency > 0 {
		p.Slow = f.RelativeLatency
	}
	p.Rev = f.Rev
	p.Seen = now
	return p
}

func apply(p board.Peer, e effect, spoke bool, now time.Time, drawn float64) board.Peer {
	switch e {
	case effectAnswered:
		p.Failures = 0
		p.Avoid = time.Time{}
	case effectRefused:
		p = avoid(p, refusedAvoid, refusedMax, now, drawn)
	case effectLeaving:
		p.Leaving = true
	case effectFailed:
		p = avoid(p, failedAvoid, failedMax, now, drawn)
		// Another process may serve the VM by now, and a call that names the
		// earlier one would be lost. A leaving peer gets no calls, and its
		// incarnation is needed to tell when another one speaks.
		if !spoke && !p.Leaving {
			p.Incarnation = frame.Incarnation{}
		}
	}
	return p
}

// avoid starts an avoidance, each longer than the one before. Failures during
// an avoidance do not count: many calls in flight fail for one cause.
func avoid(p board.Peer, first, most time.Duration, now time.Time, drawn float64) board.Peer {
	if now.Before(p.Avoid) {
		return p
	}
	d := first
	for i := 0; i < p.Failures && d < most; i++ {
		d *= 2
	}
	d = min(d, most)
	p.Failures++
	p.Avoid = now.Add(d - time.Duration(jitter*drawn*float64(d)))
	return p
}
