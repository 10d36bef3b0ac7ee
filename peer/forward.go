package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/level"
	"dogwoodhead/once"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
	"dogwoodhead/route"
)

// ForwarderOptions configures a Forwarder. All fields are required.
type ForwarderOptions struct {
	Clock     clockwork.Clock
	Board     *board.Board
	Client    *Client
	Chooser   *route.Chooser
	Levels    *level.Table
	Sequencer *once.Sequencer
	// FailureDetector ends attempts at unresponsive peers.
	FailureDetector *FailureDetector
	// Budgets are the retry budgets of the baseline control modes.
	Budgets *BaselineBudgets
	// Hello registers this process at a VM's node, passes that node's sequence floor
	// to Sequencer and returns its incarnation.
	Hello func(ctx context.Context, vm board.VM) (frame.Incarnation, error)
	// HelloAsync does the same in the background.
	HelloAsync func(vm board.VM)
	// ObserveRevision gets the VM and revision pair of each node that responds.
	ObserveRevision func(vm string, rev frame.Revision)
	// ObserveExtraAttempt is called for each attempt after the first.
	ObserveExtraAttempt func(t frame.Target)
	// Random returns a number in [0, 1); it is safe for concurrent use.
	Random func() float64
}

// Forwarder is the client side of a hop: it chooses a peer for each attempt and
// decides about retries.
type Forwarder struct {
	opts        ForwarderOptions
	retryPolicy retry.Policy
}

// NewForwarder returns a forwarder.
func NewForwarder(opts ForwarderOptions) *Forwarder {
	return &Forwarder{opts: opts, retryPolicy: retry.DefaultPolicy(opts.Random)}
}

// OutgoingCall is a call from this node to a service.
type OutgoingCall struct {
	// NewContext returns the context of one attempt with the given permits.
	NewContext func(span frame.ID, timeLeft time.Duration, permits int) (frame.Context, error)
	Operation  *policy.Operation
	Request    frame.Request
	// PermitPool holds the retry permits of the call.
	PermitPool *retry.PermitPool
	// Deadline is on this node's clock.
	Deadline time.Time
	// KeyOwner is the process that issued the operation key and must run the call;
	// zero if any may run it.
	KeyOwner frame.Incarnation
}

// Forward makes the call, with retries as allowed. The error is a
// *frame.OutcomeError; its outcome is NotRun only if no attempt can have run.
func (f *Forwarder) Forward(ctx context.Context, out OutgoingCall) (frame.Answer, error) {
	ctx, cancel := clockwork.WithDeadline(ctx, f.opts.Clock, out.Deadline)
	defer cancel()
	var tried []string
	var mergedErr error
	decider := f.newRetryDecider(out)
	for {
		vm, err := f.pickVM(out, tried)
		if err != nil {
			return frame.Answer{}, retry.MergeErrors(mergedErr, err)
		}
		if len(tried) > 0 {
			f.opts.ObserveExtraAttempt(out.Operation.Target())
		}
		tried = append(tried, vm.Name())
		answer, err := f.sendAttempt(ctx, out, vm)
		if err == nil {
			return answer, nil
		}
		mergedErr = retry.MergeErrors(mergedErr, err)
		wait, allowed := decider.takeRetry(err, out.Deadline.Sub(f.opts.Clock.Now()))
		if !allowed || !f.sleep(ctx, wait) {
			return frame.Answer{}, mergedErr
		}
	}
}

// pickVM chooses the VM of the next attempt and counts the attempt there.
func (f *Forwarder) pickVM(out OutgoingCall, tried []string) (board.VM, error) {
	if !out.KeyOwner.Known() {
		return f.opts.Chooser.Pick(out.Operation.Target().Service(), tried)
	}
	vm, ok := f.opts.Board.Members().Get(out.KeyOwner.VM())
	if !ok {
		return board.VM{}, frame.UnknownError(frame.ReasonOwner, "the VM that issued the key is not in the list")
	}
	f.opts.Chooser.Start(vm.Name())
	return vm, nil
}

// sendAttempt makes one attempt and records its result.
func (f *Forwarder) sendAttempt(ctx context.Context, out OutgoingCall, vm board.VM) (frame.Answer, error) {
	receiver, err := f.receiverOf(ctx, out, vm)
	if err != nil {
		f.opts.Chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		return frame.Answer{}, err
	}
	grant := out.PermitPool.Grant(out.Operation.IsLeaf())
	timeLeft := out.Deadline.Sub(f.opts.Clock.Now())
	callContext, err := out.NewContext(frame.NewID(rand.Uint64), max(timeLeft, 0), grant.Permits())
	if err != nil {
		grant.Return(grant.Permits())
		err = frame.NotRunError(frame.ReasonGraph, err.Error())
		f.opts.Chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		return frame.Answer{}, err
	}
	id := f.opts.Sequencer.Next(receiver)
	attemptCtx, stop := f.opts.FailureDetector.track(ctx, vm, func() bool { return out.Operation.Idempotent() && out.PermitPool.Available() > 0 })
	reply, err := f.opts.Client.Send(attemptCtx, NewAttempt(vm, id, callContext, out.Request))
	if err != nil && errors.Is(context.Cause(attemptCtx), errUnresponsive) {
		err = frame.UnknownError(frame.ReasonTimeout, vm.Name()+" gives no sign of life")
	}
	stop()
	return f.settleAttempt(out, vm, grant, reply, err)
}

// receiverOf returns the incarnation that may run the attempt. A non-idempotent
// attempt always names one, so that no other process can run a copy. An idempotent
// one names it only if Sequencer has its sequence floor.
func (f *Forwarder) receiverOf(ctx context.Context, out OutgoingCall, vm board.VM) (frame.Incarnation, error) {
	receiver := out.KeyOwner
	if p, ok := f.opts.Board.Peers().Get(vm.Name()); ok && !receiver.Known() {
		receiver = p.Incarnation
	}
	if receiver.Known() && f.opts.Sequencer.FloorKnown(receiver) {
		return receiver, nil
	}
	if out.Operation.Idempotent() {
		f.opts.HelloAsync(vm)
		return frame.Incarnation{}, nil
	}
	incarnation, err := f.opts.Hello(ctx, vm)
	if err != nil {
		return frame.Incarnation{}, frame.NotRunError(frame.ReasonDial, fmt.Sprintf("hello to %s: %v", vm.Name(), err))
	}
	if out.KeyOwner.Known() && incarnation != out.KeyOwner {
		return frame.Incarnation{}, frame.UnknownError(frame.ReasonOwner, "the process that issued the key is gone")
	}
	return incarnation, nil
}

// settleAttempt ends the grant and updates the peer's state and the levels.
func (f *Forwarder) settleAttempt(out OutgoingCall, vm board.VM, grant *retry.PermitGrant, reply Reply, err error) (frame.Answer, error) {
	if err != nil {
		outcome, _ := frame.OutcomeOf(err)
		if outcome == frame.NotRun {
			grant.Return(grant.Permits())
		} else {
			grant.Forfeit()
		}
		f.opts.Chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		return frame.Answer{}, err
	}
	feedback := reply.Feedback()
	grant.Return(min(feedback.PermitsReturned, grant.Permits()))
	f.opts.Levels.ObserveFrom(vm.Name(), out.Operation.Target(), feedback.Level)
	f.opts.ObserveRevision(vm.Name(), feedback.Rev)
	if feedback.Outcome == frame.Answered {
		f.opts.Chooser.Report(vm.Name(), route.AttemptResult{Feedback: &feedback})
		return reply.Answer(), nil
	}
	err = feedbackError(vm, feedback)
	f.opts.Chooser.Report(vm.Name(), route.AttemptResult{Feedback: &feedback, Err: err})
	return frame.Answer{}, err
}

func feedbackError(vm board.VM, feedback frame.Feedback) error {
	if feedback.Outcome == frame.NotRun {
		return frame.NotRunError(feedback.Reason, "at "+vm.Name())
	}
	return frame.UnknownError(feedback.Reason, "at "+vm.Name())
}

// sleep waits for d and reports whether ctx was still active.
func (f *Forwarder) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-f.opts.Clock.After(d):
		return true
	}
}
