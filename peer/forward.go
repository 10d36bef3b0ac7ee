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
	// Watch notices silent peers.
	Watch *Watch
	// Budgets are the retry rules of the baselines.
	Budgets *Budgets
	// Hello asks a VM's node for its incarnation and introduces this process
	// there, so that Sequencer.Introduced holds afterwards.
	Hello func(ctx context.Context, vm board.VM) (frame.Incarnation, error)
	// Introduce does the same in the background.
	Introduce func(vm board.VM)
	// Contact is told the VM and revision pair of each answering node.
	Contact func(vm string, rev frame.Revision)
	// Extra is told of each attempt after the first.
	Extra func(t frame.Target)
	// Random returns a number in [0, 1); it is safe for concurrent use.
	Random func() float64
}

// Forwarder is the client side of a hop: it chooses a peer, makes attempts and
// decides about retries.
type Forwarder struct {
	o    ForwarderOptions
	rule retry.Policy
}

// NewForwarder returns a forwarder.
func NewForwarder(o ForwarderOptions) *Forwarder {
	return &Forwarder{o: o, rule: retry.DefaultPolicy(o.Random)}
}

// Outgoing is a call that leaves this node.
type Outgoing struct {
	// Context makes the context of one attempt: its span id, time left and lent permits.
	Context func(span frame.ID, left time.Duration, tries int) (frame.Context, error)
	Op      *policy.Operation
	Request frame.Request
	// Escrow holds the permits that the attempts may use.
	Escrow *retry.PermitPool
	// Deadline is on this node's clock.
	Deadline time.Time
	// Owner is the VM that must run the call, empty where any may.
	Owner frame.Incarnation
}

// Do makes the call, with as many attempts as allowed. The error is a
// *frame.OutcomeError. Where one of several attempts may have run, the outcome
// is never NotRun.
func (f *Forwarder) Do(ctx context.Context, out Outgoing) (frame.Answer, error) {
	ctx, cancel := clockwork.WithDeadline(ctx, f.o.Clock, out.Deadline)
	defer cancel()
	var tried []string
	var sofar error
	decider := f.decider(out)
	for {
		vm, err := f.pick(out, tried)
		if err != nil {
			return frame.Answer{}, retry.MergeErrors(sofar, err)
		}
		if len(tried) > 0 {
			f.o.Extra(out.Op.Target())
		}
		tried = append(tried, vm.Name())
		answer, err := f.attempt(ctx, out, vm)
		if err == nil {
			return answer, nil
		}
		sofar = retry.MergeErrors(sofar, err)
		wait, again := decider.next(err, out.Deadline.Sub(f.o.Clock.Now()))
		if !again || !f.pause(ctx, wait) {
			return frame.Answer{}, sofar
		}
	}
}

// pick chooses the VM of the next attempt.
func (f *Forwarder) pick(out Outgoing, tried []string) (board.VM, error) {
	if !out.Owner.Known() {
		return f.o.Chooser.Pick(out.Op.Target().Service(), tried)
	}
	vm, ok := f.o.Board.Members().Get(out.Owner.VM())
	if !ok {
		return board.VM{}, frame.UnknownError(frame.ReasonOwner, "the VM that issued the key is not in the list")
	}
	f.o.Chooser.Start(vm.Name())
	return vm, nil
}

// attempt makes one attempt and books what its answer says.
func (f *Forwarder) attempt(ctx context.Context, out Outgoing, vm board.VM) (frame.Answer, error) {
	receiver, err := f.receiver(ctx, out, vm)
	if err != nil {
		f.o.Chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		return frame.Answer{}, err
	}
	loan := out.Escrow.Grant(out.Op.IsLeaf())
	left := out.Deadline.Sub(f.o.Clock.Now())
	c, err := out.Context(frame.NewID(rand.Uint64), max(left, 0), loan.Permits())
	if err != nil {
		loan.Return(loan.Permits())
		err = frame.NotRunError(frame.ReasonGraph, err.Error())
		f.o.Chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		return frame.Answer{}, err
	}
	id := f.o.Sequencer.Next(receiver)
	waiting, end := f.o.Watch.start(ctx, vm, func() bool { return out.Op.Idempotent() && out.Escrow.Available() > 0 })
	reply, err := f.o.Client.Send(waiting, NewAttempt(vm, id, c, out.Request))
	if err != nil && errors.Is(context.Cause(waiting), errSilent) {
		err = frame.UnknownError(frame.ReasonTimeout, vm.Name()+" gives no sign of life")
	}
	end()
	return f.book(out, vm, loan, reply, err)
}

// receiver returns the incarnation that may run the attempt. A non-idempotent
// attempt names it always, so that no other process can run a copy. An
// idempotent one names it once this process is introduced there.
func (f *Forwarder) receiver(ctx context.Context, out Outgoing, vm board.VM) (frame.Incarnation, error) {
	known := out.Owner
	if p, ok := f.o.Board.Peers().Get(vm.Name()); ok && !known.Known() {
		known = p.Incarnation
	}
	if known.Known() && f.o.Sequencer.FloorKnown(known) {
		return known, nil
	}
	if out.Op.Idempotent() {
		f.o.Introduce(vm)
		return frame.Incarnation{}, nil
	}
	inc, err := f.o.Hello(ctx, vm)
	if err != nil {
		return frame.Incarnation{}, frame.NotRunError(frame.ReasonDial, fmt.Sprintf("hello to %s: %v", vm.Name(), err))
	}
	if out.Owner.Known() && inc != out.Owner {
		return frame.Incarnation{}, frame.UnknownError(frame.ReasonOwner, "the process that issued the key is gone")
	}
	return inc, nil
}

// book settles the loan, the peer's state and the levels after an attempt.
func (f *Forwarder) book(out Outgoing, vm board.VM, loan *retry.PermitGrant, reply Reply, err error) (frame.Answer, error) {
	if err != nil {
		outcome, _ := frame.OutcomeOf(err)
		if outcome == frame.NotRun {
			loan.Return(loan.Permits())
		} else {
			loan.Forfeit()
		}
		f.o.Chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		return frame.Answer{}, err
	}
	fb := reply.Feedback()
	loan.Return(min(fb.PermitsReturned, loan.Permits()))
	f.o.Levels.ObserveFrom(vm.Name(), out.Op.Target(), fb.Level)
	f.o.Contact(vm.Name(), fb.Rev)
	if fb.Outcome == frame.Answered {
		f.o.Chooser.Report(vm.Name(), route.AttemptResult{Feedback: &fb})
		return reply.Answer(), nil
	}
	err = refusal(vm, fb)
	f.o.Chooser.Report(vm.Name(), route.AttemptResult{Feedback: &fb, Err: err})
	return frame.Answer{}, err
}

func refusal(vm board.VM, fb frame.Feedback) error {
	if fb.Outcome == frame.NotRun {
		return frame.NotRunError(fb.Reason, "at "+vm.Name())
	}
	return frame.UnknownError(fb.Reason, "at "+vm.Name())
}

func (f *Forwarder) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-f.o.Clock.After(d):
		return true
	}
}
