package once

import (
	"context"
	"errors"
	"sync/atomic"

	"dogwoodhead/frame"
)

// Flight is an execution that other calls can wait for. It is settled exactly once.
type Flight struct {
	// done is closed by Settle; answer and err are written before.
	done   chan struct{}
	answer frame.Answer
	err    error
}

// NewFlight returns a flight that is not settled.
func NewFlight() *Flight { return &Flight{done: make(chan struct{})} }

// Settle sets the result, an answer or a non-nil err, and releases the waiters.
func (f *Flight) Settle(a frame.Answer, err error) {
	f.answer, f.err = a, err
	close(f.done)
}

// Settled reports whether the flight has a result.
func (f *Flight) Settled() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// Wait waits for the result of the flight. If ctx is done first, the error has the
// outcome Unknown, because the execution continues.
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
	return frame.Answer{}, frame.UnknownError(reason, "gave up waiting for the call that it repeats")
}

// Claim is the exclusive right to run a call. Its holder must call exactly one of
// SettleAnswered, SettleNotRun and SettleUnknown; a deferred Close settles a claim
// that the holder did not.
type Claim struct {
	settled  atomic.Bool
	onSettle func(frame.Answer, error)
}

// NewClaim returns a claim that passes its result to settle. An error is always a
// *frame.OutcomeError, NotRun only after SettleNotRun.
func NewClaim(settle func(frame.Answer, error)) *Claim { return &Claim{onSettle: settle} }

// SettleAnswered settles the claim with the complete answer.
func (c *Claim) SettleAnswered(a frame.Answer) { c.settle(a, nil) }

// SettleNotRun settles the claim of a call that did not run and never will.
func (c *Claim) SettleNotRun(err error) {
	_, reason := frame.OutcomeOf(err)
	c.settle(frame.Answer{}, frame.NotRunError(reason, detail(err)))
}

// SettleUnknown settles the claim of a call that may have run.
func (c *Claim) SettleUnknown(err error) {
	_, reason := frame.OutcomeOf(err)
	c.settle(frame.Answer{}, frame.UnknownError(reason, detail(err)))
}

// Close settles the claim as unknown if it is not settled.
func (c *Claim) Close() {
	if c.settled.CompareAndSwap(false, true) {
		c.onSettle(frame.Answer{}, frame.UnknownError(frame.ReasonLost, "the call ended without a result"))
	}
}

func (c *Claim) settle(a frame.Answer, err error) {
	first := c.settled.CompareAndSwap(false, true)
	frame.AssertInvariant(first, "claim", "claim settled twice")
	if first {
		c.onSettle(a, err)
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
