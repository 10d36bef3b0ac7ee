package once

import (
	"context"
	"errors"
	"sync/atomic"

	"dogwoodhead/frame"
)

// Flight is one execution that other calls may join. It settles once.
type Flight struct {
	done   chan struct{}
	answer frame.Answer
	err    error
}

// NewFlight returns a flight that is under way.
func NewFlight() *Flight { return &Flight{done: make(chan struct{})} }

// Settle ends the flight with an answer, or with an error where err is not nil.
func (f *Flight) Settle(a frame.Answer, err error) {
	f.answer, f.err = a, err
	close(f.done)
}

// Settled reports whether the flight has ended.
func (f *Flight) Settled() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// Wait returns the result of the flight. Where ctx ends first the error is an
// Unknown outcome, because the execution goes on.
func (f *Flight) Wait(ctx context.Context) (frame.Answer, error) {
	if f.Settled() {
		return f.answer, f.err
	}
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
	}
	reason := frame.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = frame.ReasonTimeout
	}
	return frame.Answer{}, frame.Lose(reason, "gave up waiting for the call that it repeats")
}

// Claim is the right and the duty to run a call. Its holder calls exactly one
// of Answer, Void and Lose; a deferred Close covers the holder's failure to.
type Claim struct {
	settled atomic.Bool
	settle  func(frame.Answer, error)
}

// NewClaim returns a claim whose result goes to settle. For an error settle
// gets a *frame.OutcomeError that is NotRun after Void and Unknown after Lose.
func NewClaim(settle func(frame.Answer, error)) *Claim { return &Claim{settle: settle} }

// Answer ends the claim with the whole answer.
func (c *Claim) Answer(a frame.Answer) { c.end(a, nil) }

// Void ends the claim of a call that did not run and never will.
func (c *Claim) Void(err error) {
	_, reason := frame.OutcomeOf(err)
	c.end(frame.Answer{}, frame.Refuse(reason, detail(err)))
}

// Lose ends the claim of a call that may have run.
func (c *Claim) Lose(err error) {
	_, reason := frame.OutcomeOf(err)
	c.end(frame.Answer{}, frame.Lose(reason, detail(err)))
}

// Close ends the claim as lost where it has not ended.
func (c *Claim) Close() {
	if c.settled.CompareAndSwap(false, true) {
		c.settle(frame.Answer{}, frame.Lose(frame.ReasonLost, "the call ended without a result"))
	}
}

func (c *Claim) end(a frame.Answer, err error) {
	first := c.settled.CompareAndSwap(false, true)
	frame.Invariant(first, "claim", "a claim ended twice")
	if first {
		c.settle(a, err)
	}
}

func detail(err error) string {
	var oe *frame.OutcomeError
	if errors.As(err, &oe) {
		return oe.Detail()
	}
	if err == nil {
		return ""
	}
	return err.Error()
}
