package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/jonboulle/clockwork"

	"dogwoodhead/admit"
	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/level"
	"dogwoodhead/once"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
)

// maxRepeats bounds the outbound calls that are remembered per span.
const maxRepeats = 1024

// ServerOptions configures a Server. All fields are required.
type ServerOptions struct {
	Clock  clockwork.Clock
	Board  *board.Board
	Window *once.Window
	Keys   *once.Keys
	Gate   *admit.Gate
	Levels *level.Table
	Spans  *Spans
	// Run passes a call to the backend server and returns its whole answer. The
	// error is a *frame.OutcomeError.
	Run func(ctx context.Context, s *Span, r frame.Request) (frame.Answer, error)
	// Unavailable returns why the backend server takes no new work, or "".
	Unavailable func() frame.Reason
	// Contact is told the sender's VM and revision pair of each call.
	Contact func(vm string, rev frame.Revision)
	// Observe is told the class, the outcome and the time of each call.
	Observe func(t frame.Target, class string, o frame.Outcome, r frame.Reason, took time.Duration)
}

// Server takes calls from other nodes for the backend server beside it.
type Server struct {
	o ServerOptions
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server { return &Server{o: o} }

// incoming is one attempt on its way through the middleware.
type incoming struct {
	http     *http.Request
	started  time.Time
	attempt  frame.Attempt
	context  frame.Context
	target   frame.Target
	step     string
	deadline time.Time
	// op is set by decode and never nil afterwards.
	op *policy.Operation
	// request is set by read.
	request frame.Request
	// ticket is set by admit.
	ticket *admit.Ticket
	// escrow holds the permits lent with the attempt; feedback returns the rest.
	escrow *retry.PermitPool
}

// Handler returns the HTTP handler of the path /call/{service}/{operation}.
func (s *Server) Handler() http.Handler {
	run := endpoint.Chain(
		s.feedback,
		s.deadline,
		s.dedupe,
		s.read,
		s.key,
		s.admit,
	)(s.run)
	return kithttp.NewServer(run, s.decode, s.encode, kithttp.ServerErrorEncoder(s.encodeError))
}

// decode reads the headers; the body is read after the attempt is recorded.
func (s *Server) decode(_ context.Context, r *http.Request) (any, error) {
	in := &incoming{http: r, started: s.o.Clock.Now(), step: r.Header.Get(frame.HeaderStep)}
	var err error
	if in.target, err = frame.ParseTarget(strings.TrimPrefix(r.URL.Path, "/call/")); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	if in.context, err = frame.ParseContext(r.Header.Get(frame.HeaderContext)); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	if in.attempt, err = frame.ParseAttempt(r.Header.Get(frame.HeaderAttempt)); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	return in, nil
}

// feedback turns the result of the inner middleware into a reply, with what
// this node says about itself.
func (s *Server) feedback(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incoming)
		s.o.Contact(in.attempt.Sender().VM(), in.context.Rev())
		in.escrow = retry.NewPermitPool(in.context.Permits())
		got, err := next(ctx, req)
		err = s.o.Window.ResponseError(in.attempt, err)
		fb := s.about(in)
		fb.PermitsReturned = in.escrow.Close()
		fb.Outcome, fb.Reason = frame.OutcomeOf(err)
		s.o.Observe(in.target, s.className(in.context.Class()), fb.Outcome, fb.Reason, s.o.Clock.Since(in.started))
		if err != nil {
			return failure{feedback: fb, err: err}, nil
		}
		return Reply{answer: got.(frame.Answer), feedback: fb}, nil
	}
}

// failure is a reply without an answer.
type failure struct {
	feedback frame.Feedback
	err      error
}

// about returns this node's feedback for an attempt, without outcome.
func (s *Server) about(in *incoming) frame.Feedback {
	level := s.o.Gate.Level()
	if in.op != nil {
		level = min(level, s.o.Levels.PathLevel(in.op.Calls()))
	}
	return frame.Feedback{
		Attempt:     in.attempt,
		Level:       level,
		Load:        s.o.Gate.Load(),
		Incarnation: s.o.Board.Self().Incarnation(),
		Leaving:     s.o.Board.Leaving(),
		Rev:         s.o.Board.Rev(),
	}
}

// deadline bounds the call by the time left at the sender.
func (s *Server) deadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incoming)
		left := in.context.TimeLeft()
		in.deadline = in.started.Add(left)
		ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, left)
		defer cancel()
		return next(ctx, req)
	}
}

// dedupe records the attempt. After it every refusal may say "not run", because
// a copy of the attempt is refused from here on.
func (s *Server) dedupe(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incoming)
		op, err := s.operation(in.target)
		if err != nil {
			return nil, err
		}
		in.op = op
		if err := s.o.Window.Accept(in.attempt, op.Idempotent()); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// operation finds the declared operation. An attempt for another service is
// refused without a record, because no copy of it can run in this process. An
// operation that is not declared may be after the next change of the
// configuration, so its outcome is unknown.
func (s *Server) operation(t frame.Target) (*policy.Operation, error) {
	f := s.o.Board.ActiveConfig()
	if f == nil {
		return nil, frame.UnknownError(frame.ReasonConfig, "no configuration in force yet")
	}
	if own := s.o.Board.Self().VM().Service(); t.Service() != own {
		return nil, frame.NotRunError(frame.ReasonService, "this node serves "+own)
	}
	op, ok := f.Policy().Operation(t)
	if !ok {
		return nil, frame.UnknownError(frame.ReasonService, "operation "+t.String()+" is not declared")
	}
	return op, nil
}

// read reads the whole request body.
func (s *Server) read(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incoming)
		request, err := ReadCall(s.o.Board, in.http, in.target, in.step)
		if err != nil {
			return nil, err
		}
		in.request = request
		return next(ctx, req)
	}
}

// key claims the operation key, where the call has one.
func (s *Server) key(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incoming)
		if in.context.OperationKey() == "" {
			return next(ctx, req)
		}
		claim, stored, err := s.o.Keys.Begin(ctx, in.context.OperationKey(), in.target, xxhash.Sum64(in.request.Body()))
		if err != nil {
			return nil, err
		}
		if claim == nil {
			return stored, nil
		}
		// The operation goes on when the caller hangs up, so that a retry with
		// the same key finds its answer; the deadline still ends it.
		ctx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), s.o.Clock, in.deadline)
		defer cancel()
		return Settle(claim, func() (any, error) { return next(ctx, req) })
	}
}

// Settle runs a claimed call and records its outcome with the claim.
func Settle(claim *once.Claim, run func() (any, error)) (any, error) {
	defer claim.Close()
	got, err := run()
	switch outcome, _ := frame.OutcomeOf(err); outcome {
	case frame.Answered:
		claim.SettleAnswered(got.(frame.Answer))
	case frame.NotRun:
		claim.SettleNotRun(err)
	default:
		claim.SettleUnknown(err)
	}
	return got, err
}

// admit waits for a slot of the backend server.
func (s *Server) admit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incoming)
		if reason := s.o.Unavailable(); reason != "" {
			return nil, frame.NotRunError(reason, "the backend server takes no new work")
		}
		ticket, err := s.o.Gate.Enter(ctx, s.admission(in))
		if err != nil {
			return nil, err
		}
		in.ticket = ticket
		ok := false
		defer func() { ticket.Release(ok) }()
		got, err := next(ctx, req)
		ok = err == nil
		return got, err
	}
}

func (s *Server) admission(in *incoming) admit.Call {
	return admit.Call{
		Priority:     in.context.Priority(),
		Left:         in.deadline.Sub(s.o.Clock.Now()),
		Target:       in.target,
		Dependencies: in.op.Dependencies(),
	}
}

// run passes the call to the backend server, with a span for its outbound calls.
func (s *Server) run(ctx context.Context, req any) (any, error) {
	in := req.(*incoming)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	span := &Span{
		ctx: ctx, context: in.context, op: in.op, deadline: in.deadline,
		escrow: in.escrow, repeats: retry.NewOutboundCalls(maxRepeats), ticket: in.ticket,
	}
	s.o.Spans.add(span)
	defer s.o.Spans.remove(span)
	answer, err := s.o.Run(ctx, span, in.request)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (s *Server) className(class int) string {
	f := s.o.Board.ActiveConfig()
	if f == nil {
		return "other"
	}
	return f.Policy().ClassName(class)
}

// encode writes a reply, whole or as a typed refusal.
func (s *Server) encode(_ context.Context, w http.ResponseWriter, v any) error {
	if s.o.Board.Leaving() {
		w.Header().Set("Connection", "close")
	}
	switch r := v.(type) {
	case Reply:
		r.feedback.Write(w.Header())
		return WriteAnswer(w, r.answer)
	case failure:
		r.feedback.Write(w.Header())
		WriteError(w, r.err)
	}
	return nil
}

// encodeError answers a call that could not be decoded. A malformed copy of it
// cannot run either, so "not run" holds.
func (s *Server) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	WriteError(w, err)
}

// WriteAnswer writes a whole answer with its length and digest.
func WriteAnswer(w http.ResponseWriter, a frame.Answer) error {
	h := w.Header()
	if a.ContentType() != "" {
		h.Set("Content-Type", a.ContentType())
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body())))
	h.Set(frame.HeaderDigest, strconv.FormatUint(a.Digest(), 16))
	h.Set(frame.HeaderOutcome, frame.Answered.String())
	w.WriteHeader(a.Status())
	_, err := w.Write(a.Body())
	return err
}

// WriteError writes an outcome that is not an answer, with the HTTP status of
// its reason.
func WriteError(w http.ResponseWriter, err error) {
	outcome, reason := frame.OutcomeOf(err)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(frame.HeaderOutcome, outcome.String())
	h.Set(frame.HeaderReason, string(reason))
	w.WriteHeader(StatusOf(err))
	_, _ = w.Write([]byte(err.Error() + "\n"))
}

// StatusOf returns the HTTP status for an outcome that is not an answer.
func StatusOf(err error) int {
	var oe *frame.OutcomeError
	if !errors.As(err, &oe) || oe.Outcome() == frame.Unknown {
		return http.StatusGatewayTimeout
	}
	switch oe.Reason() {
	case frame.ReasonBad:
		return http.StatusBadRequest
	case frame.ReasonService:
		return http.StatusNotFound
	case frame.ReasonSize:
		return http.StatusRequestEntityTooLarge
	case frame.ReasonKey:
		return http.StatusPreconditionRequired
	default:
		return http.StatusServiceUnavailable
	}
}
