package backend

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/peer"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
)

// OutboundOptions configures an Outbound. All fields are required.
type OutboundOptions struct {
	Clock   clockwork.Clock
	Board   *board.Board
	Spans   *peer.Spans
	Forward func(ctx context.Context, out peer.OutgoingCall) (frame.Answer, error)
	// NewID returns a random id.
	NewID func() frame.ID
	// Stray is told of each call without a valid context, Undeclared of each
	// call that the graph does not declare.
	Stray      func(t frame.Target)
	Undeclared func(from, to frame.Target)
}

// Outbound takes the backend server's own calls to other services.
type Outbound struct {
	o OutboundOptions
}

// NewOutbound returns the handler's owner.
func NewOutbound(o OutboundOptions) *Outbound { return &Outbound{o: o} }

// outbound is one outbound call on its way through the middleware.
type outbound struct {
	http   *http.Request
	target frame.Target
	step   string
	// op is the operation called; set by declared.
	op *policy.Operation
	// span is nil for a call without a valid context.
	span    *peer.Span
	request frame.Request
}

// Handler returns the HTTP handler of the path /call/{service}/{operation}.
func (o *Outbound) Handler() http.Handler {
	run := endpoint.Chain(
		o.attribute,
		o.declared,
		o.read,
		o.dedupe,
	)(o.forward)
	return kithttp.NewServer(run, o.decode, encode, kithttp.ServerErrorEncoder(encodeError))
}

func (o *Outbound) decode(_ context.Context, r *http.Request) (any, error) {
	target, err := frame.ParseTarget(strings.TrimPrefix(r.URL.Path, "/call/"))
	if err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	return &outbound{http: r, target: target, step: r.Header.Get(frame.HeaderStep)}, nil
}

// attribute finds the span that the call belongs to. A call of a span that has
// ended is refused: nobody waits for its result.
func (o *Outbound) attribute(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		out := req.(*outbound)
		c, err := frame.ParseContext(out.http.Header.Get(frame.HeaderContext))
		if err != nil {
			o.o.Stray(out.target)
			return next(ctx, req)
		}
		span, ok := o.o.Spans.Find(c)
		if !ok {
			return nil, frame.NotRunError(frame.ReasonCancelled, "the call's span has ended")
		}
		out.span = span
		return next(ctx, req)
	}
}

// declared checks the call against the declared graph.
func (o *Outbound) declared(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		out := req.(*outbound)
		op, err := peer.ResolveOperation(o.o.Board, out.target)
		if err != nil {
			return nil, err
		}
		out.op = op
		if out.span != nil && out.span.Operation().DeclaresCall(out.target) {
			return next(ctx, req)
		}
		if out.span != nil {
			o.o.Undeclared(out.span.Operation().Target(), out.target)
		}
		if !op.Idempotent() {
			return nil, frame.NotRunError(frame.ReasonGraph, out.target.String()+" is not idempotent and the call is not declared")
		}
		return next(ctx, req)
	}
}

func (o *Outbound) read(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		out := req.(*outbound)
		request, err := peer.ReadCall(o.o.Board, out.http, out.target, out.step)
		if err != nil {
			return nil, err
		}
		out.request = request
		return next(ctx, req)
	}
}

// dedupe recognises the backend server's own repeats within the span.
func (o *Outbound) dedupe(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		out := req.(*outbound)
		if out.span == nil {
			return next(ctx, req)
		}
		key := retry.OutboundCallKeyOf(out.request)
		claim, stored, err := out.span.OutboundCalls().Begin(ctx, key, out.op.Idempotent(), out.span.PermitPool().Spend)
		if err != nil {
			return nil, err
		}
		if claim == nil {
			return stored, nil
		}
		return peer.RunClaimed(claim, func() (any, error) { return next(ctx, req) })
	}
}

// forward sends the call on within the span's deadline.
func (o *Outbound) forward(ctx context.Context, req any) (any, error) {
	out := req.(*outbound)
	if out.span == nil {
		return o.forwardStray(ctx, out)
	}
	defer out.span.BeginWait(out.target.Service())()
	if !out.op.Idempotent() {
		// The call outlives the backend server's connection, so that a repeat
		// finds its outcome; it still ends with the span.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(out.span.Context(), cancel)()
	parent := out.span.CallContext()
	answer, err := o.o.Forward(ctx, peer.OutgoingCall{
		NewContext: func(span frame.ID, left time.Duration, tries int) (frame.Context, error) {
			return parent.Child(span, left, tries, o.o.Board.Rev())
		},
		Op:         out.op,
		Request:    out.request,
		PermitPool: out.span.PermitPool(),
		Deadline:   out.span.Deadline(),
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// forwardStray sends a call without a valid context as lowest class, without
// retries.
func (o *Outbound) forwardStray(ctx context.Context, out *outbound) (any, error) {
	p := o.o.Board.InForce().Policy()
	call := o.o.NewID()
	answer, err := o.o.Forward(ctx, peer.OutgoingCall{
		NewContext: func(span frame.ID, left time.Duration, _ int) (frame.Context, error) {
			return frame.NewContext(frame.Fields{
				RootID: call, SpanID: span, Class: p.LowestClass(), Rank: frame.MaxRank, TimeLeft: left, Rev: o.o.Board.Rev(),
			})
		},
		Op:         out.op,
		Request:    out.request,
		PermitPool: retry.NewPermitPool(0),
		Deadline:   o.o.Clock.Now().Add(out.op.Timeout()),
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func encode(_ context.Context, w http.ResponseWriter, v any) error {
	return peer.WriteAnswer(w, v.(frame.Answer))
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	peer.WriteError(w, err)
}
