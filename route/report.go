package route

import (
	"time"

	"dogwoodhead/board"
	"dogwoodhead/frame"
)

const (
	// refusedAvoidBase and refusedAvoidMax bound the avoidance after a refusal. They
	// are short, because such a peer works and soon reports its load.
	refusedAvoidBase = 20 * time.Millisecond
	refusedAvoidMax  = 200 * time.Millisecond
	// failedAvoidBase and failedAvoidMax bound how long a peer that was unreachable
	// or left the outcome of a call unknown is avoided. A restart takes seconds; the
	// upper bound is low enough not to delay recovery after an overload.
	failedAvoidBase = 100 * time.Millisecond
	failedAvoidMax  = 2 * time.Second
	// avoidJitter is the random fraction of an avoidance, so that the nodes of a
	// fleet do not return to a peer at the same time.
	avoidJitter = 0.5
)

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	// Err is nil for a complete response, else an error for frame.OutcomeOf.
	Err error
	// Feedback is the state that the peer reported, nil if none.
	Feedback *frame.Feedback
}

// peerObservation is what the outcome of an attempt shows about the peer.
type peerObservation int

const (
	// observedNothing: the cause is the call or this node.
	observedNothing peerObservation = iota
	observedAnswer
	observedRefusal
	observedLeaving
	observedFailure
)

func observationOf(outcome frame.Outcome, reason frame.Reason) peerObservation {
	if outcome == frame.Answered {
		return observedAnswer
	}
	switch reason {
	case frame.ReasonFull, frame.ReasonLevel, frame.ReasonMemory, frame.ReasonTable,
		frame.ReasonStale, frame.ReasonConfig, frame.ReasonService:
		return observedRefusal
	case frame.ReasonLeaving:
		return observedLeaving
	case frame.ReasonDial, frame.ReasonLost, frame.ReasonTimeout, frame.ReasonPartial, frame.ReasonDown,
		frame.ReasonDraining:
		return observedFailure
	}
	return observedNothing
}

// Report ends an attempt that Pick or Start started and updates the state of the
// peer, unless the peer is neither in the table nor in the VM list.
func (c *Chooser) Report(vm string, result AttemptResult) {
	now := c.clock.Now()
	random := c.randFloat()
	_, listed := c.board.Members().Get(vm)
	c.board.Peers().Update(vm, func(p board.Peer, ok bool) (board.Peer, bool) {
		if !ok && !listed {
			return p, false
		}
		p.Inflight = max(p.Inflight-1, 0)
		if result.Feedback != nil {
			p = applyFeedback(p, *result.Feedback, now)
		}
		return applyObservation(p, observationOf(frame.OutcomeOf(result.Err)), result.Feedback != nil, now, random), true
	})
}

// applyFeedback applies the state that a peer reported. A leaving peer stays so
// until another incarnation responds, because responses can arrive out of order.
func applyFeedback(p board.Peer, f frame.Feedback, now time.Time) board.Peer {
	p.Leaving = f.Leaving || p.Leaving && f.Incarnation == p.Incarnation
	p.Incarnation = f.Incarnation
	p.Load = f.Load
	p.FailedFraction = f.FailedFraction
	if f.RelativeLatency > 0 {
		p.RelativeLatency = f.RelativeLatency
	}
	p.Rev = f.Rev
	p.LastResponse = now
	return p
}

func applyObservation(p board.Peer, observation peerObservation, responded bool, now time.Time, random float64) board.Peer {
	switch observation {
	case observedAnswer:
		p.ConsecutiveFailures = 0
		p.AvoidUntil = time.Time{}
	case observedRefusal:
		p = startAvoidance(p, refusedAvoidBase, refusedAvoidMax, now, random)
	case observedLeaving:
		p.Leaving = true
	case observedFailure:
		p = startAvoidance(p, failedAvoidBase, failedAvoidMax, now, random)
		// The process may have been replaced, and a call sent with its incarnation
		// would be lost. A leaving peer gets no calls, and its incarnation is needed
		// to detect a response of another one.
		if !responded && !p.Leaving {
			p.Incarnation = frame.Incarnation{}
		}
	}
	return p
}

// startAvoidance starts an avoidance with exponential backoff. Failures during an
// avoidance do not count, because many calls in flight fail for the same cause.
func startAvoidance(p board.Peer, initial, maxDuration time.Duration, now time.Time, random float64) board.Peer {
	if now.Before(p.AvoidUntil) {
		return p
	}
	duration := initial
	for i := 0; i < p.ConsecutiveFailures && duration < maxDuration; i++ {
		duration *= 2
	}
	duration = min(duration, maxDuration)
	p.ConsecutiveFailures++
	p.AvoidUntil = now.Add(duration - time.Duration(avoidJitter*random*float64(duration)))
	return p
}
