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

// maxOutboundCalls bounds the outbound calls recorded per span.
const maxOutboundCalls = 1024

// ServerOptions configures a Server. All fields are required.
type ServerOptions struct {
	Clock  clockwork.Clock
	Board  *board.Board
	Window *once.Window
	Keys   *once.Keys
	Gate   *admit.Gate
	Levels *level.Table
	Spans  *Spans
	// Run runs a call at the backend server and returns the complete response. The
	// error is a *frame.OutcomeError.
	Run func(ctx context.Context, s *Span, r frame.Request) (frame.Answer, error)
	// Unavailable returns why the backend server takes no new work, or "".
	Unavailable func() frame.Reason
	// ObserveRevision gets the sender's VM and revision pair of each call.
	ObserveRevision func(vm string, rev frame.Revision)
	// ObserveCall gets the class, the outcome and the duration of each call.
	ObserveCall func(t frame.Target, class string, o frame.Outcome, r frame.Reason, took time.Duration)
}

// Server serves calls from other nodes at the local backend server.
type Server struct {
	opts ServerOptions
}

// NewServer returns a server.
func NewServer(opts ServerOptions) *Server { return &Server{opts: opts} }

// incomingAttempt is the state of one attempt, which the middleware fills in.
type incomingAttempt struct {
	http      *http.Request
	started   time.Time
	attemptID frame.Attempt
	context   frame.Context
	target    frame.Target
	step      string
	deadline  time.Time
	// operation is set by recordAttempt and never nil afterwards.
	operation *policy.Operation
	// request is set by readBody.
	request frame.Request
	// ticket is set by admitCall.
	ticket *admit.Ticket
	// permitPool holds the permits granted with the attempt; addFeedback returns the
	// unused ones.
	permitPool *retry.PermitPool
}

// Handler returns the HTTP handler of the path /call/{service}/{operation}.
func (s *Server) Handler() http.Handler {
	run := endpoint.Chain(
		s.addFeedback,
		s.applyDeadline,
		s.recordAttempt,
		s.readBody,
		s.claimKey,
		s.admitCall,
	)(s.runCall)
	return kithttp.NewServer(run, s.decodeRequest, s.encodeResponse, kithttp.ServerErrorEncoder(s.encodeError))
}

// decodeRequest parses the headers; the body is read after the attempt is recorded.
func (s *Server) decodeRequest(_ context.Context, r *http.Request) (any, error) {
	in := &incomingAttempt{http: r, started: s.opts.Clock.Now(), step: r.Header.Get(frame.HeaderStep)}
	var err error
	if in.target, err = frame.ParseTarget(strings.TrimPrefix(r.URL.Path, "/call/")); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	if in.context, err = frame.ParseContext(r.Header.Get(frame.HeaderContext)); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	if in.attemptID, err = frame.ParseAttempt(r.Header.Get(frame.HeaderAttempt)); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	return in, nil
}

// addFeedback converts the result of the inner middleware to a Reply or a
// failedReply, with this node's feedback.
func (s *Server) addFeedback(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incomingAttempt)
		s.opts.ObserveRevision(in.attemptID.Sender().VM(), in.context.Rev())
		in.permitPool = retry.NewPermitPool(in.context.Permits())
		result, err := next(ctx, req)
		err = s.opts.Window.ResponseError(in.attemptID, err)
		feedback := s.newFeedback(in)
		feedback.PermitsReturned = in.permitPool.Close()
		feedback.Outcome, feedback.Reason = frame.OutcomeOf(err)
		s.opts.ObserveCall(in.target, s.className(in.context.Class()), feedback.Outcome, feedback.Reason, s.opts.Clock.Since(in.started))
		if err != nil {
			return failedReply{feedback: feedback, err: err}, nil
		}
		return Reply{answer: result.(frame.Answer), feedback: feedback}, nil
	}
}

// failedReply is a reply without an answer.
type failedReply struct {
	feedback frame.Feedback
	err      error
}

// newFeedback returns this node's feedback for an attempt, without the outcome.
func (s *Server) newFeedback(in *incomingAttempt) frame.Feedback {
	nodeLevel := s.opts.Gate.Level()
	if in.operation != nil {
		nodeLevel = min(nodeLevel, s.opts.Levels.PathLevel(in.operation.Calls()))
	}
	return frame.Feedback{
		Attempt:     in.attemptID,
		Level:       nodeLevel,
		Load:        s.opts.Gate.Load(),
		Incarnation: s.opts.Board.Self().Incarnation(),
		Leaving:     s.opts.Board.Leaving(),
		Rev:         s.opts.Board.Rev(),
	}
}

// applyDeadline bounds the call by the time left at the sender.
func (s *Server) applyDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incomingAttempt)
		timeLeft := in.context.TimeLeft()
		in.deadline = in.started.Add(timeLeft)
		ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, timeLeft)
		defer cancel()
		return next(ctx, req)
	}
}

// recordAttempt records the attempt's id. A later refusal may return NotRun,
// because any copy of the attempt is refused from here on.
func (s *Server) recordAttempt(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incomingAttempt)
		op, err := s.lookupOperation(in.target)
		if err != nil {
			return nil, err
		}
		in.operation = op
		if err := s.opts.Window.Accept(in.attemptID, op.Idempotent()); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// lookupOperation returns the declared operation. An attempt for another service is
// refused without a record, because no copy of it can run in this process. The next
// configuration may declare a missing operation, so the outcome is unknown.
func (s *Server) lookupOperation(t frame.Target) (*policy.Operation, error) {
	active := s.opts.Board.ActiveConfig()
	if active == nil {
		return nil, frame.UnknownError(frame.ReasonConfig, "no configuration in force yet")
	}
	if localService := s.opts.Board.Self().VM().Service(); t.Service() != localService {
		return nil, frame.NotRunError(frame.ReasonService, "this node serves "+localService)
	}
	op, ok := active.Policy().Operation(t)
	if !ok {
		return nil, frame.UnknownError(frame.ReasonService, "operation "+t.String()+" is not declared")
	}
	return op, nil
}

func (s *Server) readBody(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incomingAttempt)
		request, err := ReadCall(s.opts.Board, in.http, in.target, in.step)
		if err != nil {
			return nil, err
		}
		in.request = request
		return next(ctx, req)
	}
}

// claimKey claims the operation key, if any. A used key returns its stored answer.
func (s *Server) claimKey(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incomingAttempt)
		if in.context.OperationKey() == "" {
			return next(ctx, req)
		}
		claim, stored, err := s.opts.Keys.Begin(ctx, in.context.OperationKey(), in.target, xxhash.Sum64(in.request.Body()))
		if err != nil {
			return nil, err
		}
		if claim == nil {
			return stored, nil
		}
		// The operation continues if the caller disconnects, so that a retry with
		// the same key gets its answer; the deadline still applies.
		ctx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), s.opts.Clock, in.deadline)
		defer cancel()
		return RunClaimed(claim, func() (any, error) { return next(ctx, req) })
	}
}

// RunClaimed runs a claimed call and settles the claim with its outcome.
func RunClaimed(claim *once.Claim, run func() (any, error)) (any, error) {
	defer claim.Close()
	result, err := run()
	switch outcome, _ := frame.OutcomeOf(err); outcome {
	case frame.Answered:
		claim.SettleAnswered(result.(frame.Answer))
	case frame.NotRun:
		claim.SettleNotRun(err)
	default:
		claim.SettleUnknown(err)
	}
	return result, err
}

// admitCall waits for a slot of the backend server.
func (s *Server) admitCall(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		in := req.(*incomingAttempt)
		if reason := s.opts.Unavailable(); reason != "" {
			return nil, frame.NotRunError(reason, "the backend server takes no new work")
		}
		ticket, err := s.opts.Gate.Enter(ctx, s.gateCall(in))
		if err != nil {
			return nil, err
		}
		in.ticket = ticket
		ok := false
		defer func() { ticket.Release(ok) }()
		result, err := next(ctx, req)
		ok = err == nil
		return result, err
	}
}

func (s *Server) gateCall(in *incomingAttempt) admit.Call {
	return admit.Call{
		Priority:     in.context.Priority(),
		TimeLeft:     in.deadline.Sub(s.opts.Clock.Now()),
		Target:       in.target,
		Dependencies: in.operation.Dependencies(),
	}
}

// runCall runs the call at the backend server, with a span for its outbound calls.
func (s *Server) runCall(ctx context.Context, req any) (any, error) {
	in := req.(*incomingAttempt)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	span := &Span{
		ctx: ctx, context: in.context, operation: in.operation, deadline: in.deadline,
		permitPool: in.permitPool, outboundCalls: retry.NewOutboundCalls(maxOutboundCalls), ticket: in.ticket,
	}
	s.opts.Spans.add(span)
	defer s.opts.Spans.remove(span)
	answer, err := s.opts.Run(ctx, span, in.request)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (s *Server) className(class int) string {
	active := s.opts.Board.ActiveConfig()
	if active == nil {
		return "other"
	}
	return active.Policy().ClassName(class)
}

// encodeResponse writes a Reply or a failedReply.
func (s *Server) encodeResponse(_ context.Context, w http.ResponseWriter, v any) error {
	if s.opts.Board.Leaving() {
		w.Header().Set("Connection", "close")
	}
	switch r := v.(type) {
	case Reply:
		r.feedback.Write(w.Header())
		return WriteAnswer(w, r.answer)
	case failedReply:
		r.feedback.Write(w.Header())
		WriteError(w, r.err)
	}
	return nil
}

// encodeError writes the error of a request that could not be decoded. NotRun is
// correct, because its copies are malformed too.
func (s *Server) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	WriteError(w, err)
}

// WriteAnswer writes an answer with its length and digest.
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

// WriteError writes an outcome other than Answered, with the HTTP status of its
// reason.
func WriteError(w http.ResponseWriter, err error) {
	outcome, reason := frame.OutcomeOf(err)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(frame.HeaderOutcome, outcome.String())
	h.Set(frame.HeaderReason, string(reason))
	w.WriteHeader(HTTPStatusOf(err))
	_, _ = w.Write([]byte(err.Error() + "\n"))
}

// HTTPStatusOf returns the HTTP status for an outcome other than Answered.
func HTTPStatusOf(err error) int {
	var outcomeErr *frame.OutcomeError
	if !errors.As(err, &outcomeErr) || outcomeErr.Outcome() == frame.Unknown {
		return http.StatusGatewayTimeout
	}
	switch outcomeErr.Reason() {
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
