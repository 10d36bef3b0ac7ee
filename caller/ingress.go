package caller

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
	"dogwoodhead/level"
	"dogwoodhead/once"
	"dogwoodhead/peer"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
)

const (
	// retryRank is the minimum rank of a retry by the caller: retries are shed
	// before half of the first attempts of their class.
	retryRank = 128
	// maxFreshWait bounds how long a call waits for a node that was paused to refresh
	// its VM list and configuration.
	maxFreshWait = 300 * time.Millisecond
	// maxNameLen bounds the caller's name and the request id, in bytes.
	maxNameLen = 64
)

// Options configures an Ingress. All fields are required.
type Options struct {
	Clock          clockwork.Clock
	Board          *board.Board
	Levels         *level.Table
	PermitBucket   *retry.Bucket
	CallerRequests *retry.CallerRequests
	Forward        func(ctx context.Context, call peer.OutgoingCall) (frame.Answer, error)
	// IssueKey requests an operation key from a node of the service.
	IssueKey func(ctx context.Context, t frame.Target) (string, error)
	// NewID returns a random id.
	NewID func() frame.ID
	// CheckFresh reports whether the node's VM list and configuration are fresh.
	// It detects a pause that has just ended, before the next tick does.
	CheckFresh func() bool
	// ObserveCall is called for each call with its outcome and duration.
	ObserveCall func(c Call, o frame.Outcome, r frame.Reason, took time.Duration)
}

// Ingress handles calls from outside the call graph.
type Ingress struct {
	opts Options
}

// New returns an ingress.
func New(opts Options) *Ingress { return &Ingress{opts: opts} }

// Call is the state of one call from outside in the middleware.
type Call struct {
	http          *http.Request
	started       time.Time
	target        frame.Target
	caller        string
	requestID     string
	operationKey  string
	callerTimeout time.Duration
	operation     *policy.Operation
	keyOwner      frame.Incarnation
	deadline      time.Time
	rootID        frame.ID
	class         int
	rank          int
	request       frame.Request
	// isRetry is set if the call is a retry by the caller.
	isRetry    bool
	permitPool *retry.PermitPool
}

// Target returns the called operation.
func (c Call) Target() frame.Target { return c.target }

// Caller returns the caller's name, "" if it sent none.
func (c Call) Caller() string { return c.caller }

// Class returns the index of the call's class, -1 if the operation is unknown.
func (c Call) Class() int {
	if c.operation == nil {
		return -1
	}
	return c.class
}

// Handler returns the HTTP handler of the paths /call/ and /key/.
func (in *Ingress) Handler() http.Handler {
	handle := endpoint.Chain(
		in.observeCall,
		in.resolveOperation,
		in.setDeadline,
		in.waitFresh,
		in.readRequest,
		in.assignRank,
		in.admitByLevel,
		in.reservePermits,
	)(in.forward)
	issueKey := endpoint.Chain(in.observeCall, in.resolveOperation, in.setDeadline, in.waitFresh)(in.issueKey)
	mux := http.NewServeMux()
	mux.Handle("POST /call/{service}/{operation}", in.newServer(handle))
	mux.Handle("POST /key/{service}/{operation}", in.newServer(issueKey))
	return mux
}

func (in *Ingress) newServer(handle endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(handle, in.decode, in.encode, kithttp.ServerErrorEncoder(in.encodeError))
}

func (in *Ingress) decode(_ context.Context, r *http.Request) (any, error) {
	c := &Call{http: r, started: in.opts.Clock.Now()}
	_, path, _ := strings.Cut(r.URL.Path[1:], "/")
	var err error
	if c.target, err = frame.ParseTarget(path); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	c.caller = r.Header.Get(frame.HeaderCaller)
	c.requestID = r.Header.Get(frame.HeaderRequest)
	c.operationKey = r.Header.Get(frame.HeaderKey)
	if len(c.caller) > maxNameLen || len(c.requestID) > maxNameLen {
		return nil, frame.NotRunError(frame.ReasonBad, "caller name or request id is too long")
	}
	if v := r.Header.Get(frame.HeaderTimeout); v != "" {
		if c.callerTimeout, err = time.ParseDuration(v); err != nil || c.callerTimeout <= 0 {
			return nil, frame.NotRunError(frame.ReasonBad, frame.HeaderTimeout+": want a positive duration such as 800ms")
		}
	}
	return c, nil
}

// observeCall reports each call with its outcome and duration.
func (in *Ingress) observeCall(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		response, err := next(ctx, req)
		outcome, reason := frame.OutcomeOf(err)
		in.opts.ObserveCall(*c, outcome, reason, in.opts.Clock.Since(c.started))
		return response, err
	}
}

// resolveOperation finds the operation in the active policy.
func (in *Ingress) resolveOperation(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		op, err := peer.ResolveOperation(in.opts.Board, c.target)
		if err != nil {
			return nil, err
		}
		c.operation = op
		c.class = op.Class()
		return next(ctx, req)
	}
}

// setDeadline applies the operation's timeout, or the caller's if that is shorter.
func (in *Ingress) setDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		timeout := c.operation.Timeout()
		if c.callerTimeout > 0 {
			timeout = min(timeout, c.callerTimeout)
		}
		c.deadline = c.started.Add(timeout)
		ctx, cancel := clockwork.WithDeadline(ctx, in.opts.Clock, c.deadline)
		defer cancel()
		return next(ctx, req)
	}
}

// waitFresh delays calls after a pause until VM list and configuration are fresh.
func (in *Ingress) waitFresh(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		const pollInterval = 10 * time.Millisecond
		for waited := time.Duration(0); !in.opts.CheckFresh(); waited += pollInterval {
			if waited >= maxFreshWait {
				return nil, frame.NotRunError(frame.ReasonStale, "the node was paused and has not refreshed its view")
			}
			select {
			case <-ctx.Done():
				return nil, frame.NotRunError(frame.ReasonExpired, "while the node refreshed its view")
			case <-in.opts.Clock.After(pollInterval):
			}
		}
		return next(ctx, req)
	}
}

func (in *Ingress) readRequest(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		request, err := peer.ReadCall(in.opts.Board, c.http, c.target, "")
		if err != nil {
			return nil, err
		}
		c.request = request
		return next(ctx, req)
	}
}

// assignRank checks the operation key and lowers the priority of the caller's retries.
func (in *Ingress) assignRank(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		if c.operationKey == "" && !c.operation.Idempotent() {
			return nil, frame.NotRunError(frame.ReasonKey, c.target.String()+" is not idempotent; get a key from /key/"+c.target.String())
		}
		if c.operationKey != "" {
			owner, err := once.Owner(c.operationKey)
			if err != nil {
				return nil, frame.NotRunError(frame.ReasonKey, err.Error())
			}
			c.keyOwner = owner
		}
		c.rootID = in.opts.NewID()
		c.rank = frame.RankOf(c.rootID, c.started)
		if c.isRetry = in.recordRequest(c); c.isRetry {
			c.rank = retryRank + c.rank/2
		}
		return next(ctx, req)
	}
}

// recordRequest records the call's key or request id and reports a retry.
func (in *Ingress) recordRequest(c *Call) bool {
	switch {
	case c.operationKey != "":
		return in.opts.CallerRequests.RecordOperationKey(c.operationKey)
	case c.requestID != "":
		return in.opts.CallerRequests.RecordRequestID(c.caller, c.requestID)
	default:
		return false
	}
}

// admitByLevel sheds the call before any work is done if a service on its
// declared path sheds calls of its priority.
func (in *Ingress) admitByLevel(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		if in.controlMode() != policy.ControlFull {
			return next(ctx, req)
		}
		priority := frame.NewLevel(c.class, c.rank)
		if !in.opts.Levels.Admit(priority, c.operation.Reachable()) {
			return nil, frame.NotRunError(frame.ReasonLevel, "a service on the call's path sheds calls of this priority")
		}
		return next(ctx, req)
	}
}

func (in *Ingress) controlMode() policy.ControlMode {
	return in.opts.Board.ActiveConfig().Policy().ControlMode()
}

// reservePermits reserves retry permits for the call and returns the unused ones.
func (in *Ingress) reservePermits(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		permits := 0
		if !c.isRetry {
			in.opts.PermitBucket.Earn()
			permits = in.opts.PermitBucket.Take(in.opts.Board.ActiveConfig().Policy().MaxPermits())
		}
		c.permitPool = retry.NewPermitPool(permits)
		defer func() { in.opts.PermitBucket.Return(c.permitPool.Close()) }()
		return next(ctx, req)
	}
}

func (in *Ingress) forward(ctx context.Context, req any) (any, error) {
	c := req.(*Call)
	response, err := in.opts.Forward(ctx, peer.OutgoingCall{
		NewContext: func(span frame.ID, timeLeft time.Duration, permits int) (frame.Context, error) {
			return frame.NewContext(frame.Fields{
				RootID: c.rootID, SpanID: span, Class: c.class, Rank: c.rank, TimeLeft: timeLeft, Permits: permits,
				OperationKey: c.operationKey, Rev: in.opts.Board.Rev(),
			})
		},
		Operation:  c.operation,
		Request:    c.request,
		PermitPool: c.permitPool,
		Deadline:   c.deadline,
		KeyOwner:   c.keyOwner,
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// issueKey returns an answer whose body is a new operation key.
func (in *Ingress) issueKey(ctx context.Context, req any) (any, error) {
	c := req.(*Call)
	key, err := in.opts.IssueKey(ctx, c.target)
	if err != nil {
		return nil, err
	}
	return frame.NewAnswer(http.StatusOK, "text/plain; charset=utf-8", []byte(key)), nil
}

func (in *Ingress) encode(_ context.Context, w http.ResponseWriter, v any) error {
	in.closeIfLeaving(w)
	return peer.WriteAnswer(w, v.(frame.Answer))
}

func (in *Ingress) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	in.closeIfLeaving(w)
	peer.WriteError(w, err)
}

// closeIfLeaving makes callers use another node once this one is leaving.
func (in *Ingress) closeIfLeaving(w http.ResponseWriter) {
	if in.opts.Board.Leaving() {
		w.Header().Set("Connection", "close")
	}
}
