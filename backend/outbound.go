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
	Forward func(ctx context.Context, call peer.OutgoingCall) (frame.Answer, error)
	// NewID returns a random id.
	NewID func() frame.ID
	// ObserveStray is called for each call without a valid context,
	// ObserveUndeclared for each call that the call graph does not declare.
	ObserveStray      func(t frame.Target)
	ObserveUndeclared func(from, to frame.Target)
}

// Outbound handles the backend server's calls to other services.
type Outbound struct {
	opts OutboundOptions
}

// NewOutbound returns an Outbound with the given options.
func NewOutbound(opts OutboundOptions) *Outbound { return &Outbound{opts: opts} }

// outboundCall is the state of one outbound call in the middleware.
type outboundCall struct {
	http   *http.Request
	target frame.Target
	step   string
	// operation is set by checkDeclared.
	operation *policy.Operation
	// span is nil for a call without a valid context.
	span    *peer.Span
	request frame.Request
}

// Handler returns the HTTP handler of the path /call/{service}/{operation}.
func (o *Outbound) Handler() http.Handler {
	handle := endpoint.Chain(
		o.findSpan,
		o.checkDeclared,
		o.readRequest,
		o.deduplicate,
	)(o.forward)
	return kithttp.NewServer(handle, o.decode, encode, kithttp.ServerErrorEncoder(encodeError))
}

func (o *Outbound) decode(_ context.Context, r *http.Request) (any, error) {
	target, err := frame.ParseTarget(strings.TrimPrefix(r.URL.Path, "/call/"))
	if err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	return &outboundCall{http: r, target: target, step: r.Header.Get(frame.HeaderStep)}, nil
}

// findSpan finds the span that the call belongs to. It refuses a call whose span
// has ended, because its result is no longer needed.
func (o *Outbound) findSpan(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		call := req.(*outboundCall)
		callContext, err := frame.ParseContext(call.http.Header.Get(frame.HeaderContext))
		if err != nil {
			o.opts.ObserveStray(call.target)
			return next(ctx, req)
		}
		span, ok := o.opts.Spans.Find(callContext)
		if !ok {
			return nil, frame.NotRunError(frame.ReasonCancelled, "the call's span has ended")
		}
		call.span = span
		return next(ctx, req)
	}
}

// checkDeclared checks the call against the declared call graph.
func (o *Outbound) checkDeclared(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		call := req.(*outboundCall)
		op, err := peer.ResolveOperation(o.opts.Board, call.target)
		if err != nil {
			return nil, err
		}
		call.operation = op
		if call.span != nil && call.span.Operation().DeclaresCall(call.target) {
			return next(ctx, req)
		}
		if call.span != nil {
			o.opts.ObserveUndeclared(call.span.Operation().Target(), call.target)
		}
		if !op.Idempotent() {
			return nil, frame.NotRunError(frame.ReasonGraph, call.target.String()+" is not idempotent and the call is not declared")
		}
		return next(ctx, req)
	}
}

func (o *Outbound) readRequest(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		call := req.(*outboundCall)
		request, err := peer.ReadCall(o.opts.Board, call.http, call.target, call.step)
		if err != nil {
			return nil, err
		}
		call.request = request
		return next(ctx, req)
	}
}

// deduplicate detects retries by the backend server within the span.
func (o *Outbound) deduplicate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		call := req.(*outboundCall)
		if call.span == nil {
			return next(ctx, req)
		}
		key := retry.OutboundCallKeyOf(call.request)
		claim, stored, err := call.span.OutboundCalls().Begin(ctx, key, call.operation.Idempotent(), call.span.PermitPool().Spend)
		if err != nil {
			return nil, err
		}
		if claim == nil {
			return stored, nil
		}
		return peer.RunClaimed(claim, func() (any, error) { return next(ctx, req) })
	}
}

// forward forwards the call; it ends with the span at the latest.
func (o *Outbound) forward(ctx context.Context, req any) (any, error) {
	call := req.(*outboundCall)
	if call.span == nil {
		return o.forwardStray(ctx, call)
	}
	defer call.span.BeginWait(call.target.Service())()
	if !call.operation.Idempotent() {
		// The call continues if the backend server closes its connection, so that
		// a retry gets its outcome; it still ends with the span.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(call.span.Context(), cancel)()
	parent := call.span.CallContext()
	response, err := o.opts.Forward(ctx, peer.OutgoingCall{
		NewContext: func(span frame.ID, timeLeft time.Duration, permits int) (frame.Context, error) {
			return parent.Child(span, timeLeft, permits, o.opts.Board.Rev())
		},
		Operation:  call.operation,
		Request:    call.request,
		PermitPool: call.span.PermitPool(),
		Deadline:   call.span.Deadline(),
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// forwardStray forwards a call without a valid context, in the lowest class and
// without retries.
func (o *Outbound) forwardStray(ctx context.Context, call *outboundCall) (any, error) {
	p := o.opts.Board.ActiveConfig().Policy()
	rootID := o.opts.NewID()
	response, err := o.opts.Forward(ctx, peer.OutgoingCall{
		NewContext: func(span frame.ID, timeLeft time.Duration, _ int) (frame.Context, error) {
			return frame.NewContext(frame.Fields{
				RootID: rootID, SpanID: span, Class: p.LowestClass(), Rank: frame.MaxRank, TimeLeft: timeLeft, Rev: o.opts.Board.Rev(),
			})
		},
		Operation:  call.operation,
		Request:    call.request,
		PermitPool: retry.NewPermitPool(0),
		Deadline:   o.opts.Clock.Now().Add(call.operation.Timeout()),
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

func encode(_ context.Context, w http.ResponseWriter, v any) error {
	return peer.WriteAnswer(w, v.(frame.Answer))
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	peer.WriteError(w, err)
}
