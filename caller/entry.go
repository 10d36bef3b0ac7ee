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
	// repeatRank is the least rank of a caller's own retry: repeats are shed
	// before half of the first tries of their class.
	repeatRank = 128
	// freshWait is how long a call waits for a paused node to refresh its view.
	freshWait = 300 * time.Millisecond
	// maxCaller bounds the length of the caller's name and request id.
	maxCaller = 64
)

// Options configures an Entry. All fields are required.
type Options struct {
	Clock   clockwork.Clock
	Board   *board.Board
	Levels  *level.Table
	Bucket  *retry.Bucket
	Callers *retry.CallerRequests
	Forward func(ctx context.Context, out peer.OutgoingCall) (frame.Answer, error)
	// Issue gets an operation key from a node of the service.
	Issue func(ctx context.Context, t frame.Target) (string, error)
	// NewID returns a random id.
	NewID func() frame.ID
	// Fresh reports whether the view of the node is fresh. It notices a pause
	// that has just ended, before the next tick does.
	Fresh func() bool
	// Observe is told the caller, class, outcome and time of each call.
	Observe func(c Call, o frame.Outcome, r frame.Reason, took time.Duration)
}

// Entry takes calls from outside.
type Entry struct {
	o Options
}

// New returns an entry.
func New(o Options) *Entry { return &Entry{o: o} }

// Call is one call from outside on its way through the middleware.
type Call struct {
	http     *http.Request
	started  time.Time
	target   frame.Target
	caller   string
	request  string
	key      string
	timeout  time.Duration
	op       *policy.Operation
	owner    frame.Incarnation
	deadline time.Time
	root     frame.ID
	class    int
	rank     int
	body     frame.Request
	// repeat says that the call is a caller's own retry.
	repeat bool
	escrow *retry.PermitPool
}

// Target returns the operation called.
func (c Call) Target() frame.Target { return c.target }

// Caller returns the caller's name, "" where it gave none.
func (c Call) Caller() string { return c.caller }

// Class returns the index of the call's class; -1 where it is not known.
func (c Call) Class() int {
	if c.op == nil {
		return -1
	}
	return c.class
}

// Handler returns the HTTP handler of the paths /call/ and /key/.
func (e *Entry) Handler() http.Handler {
	run := endpoint.Chain(
		e.observe,
		e.resolve,
		e.deadline,
		e.fresh,
		e.read,
		e.dedupe,
		e.admit,
		e.permits,
	)(e.forward)
	issue := endpoint.Chain(e.observe, e.resolve, e.deadline, e.fresh)(e.issue)
	mux := http.NewServeMux()
	mux.Handle("POST /call/{service}/{operation}", e.server(run))
	mux.Handle("POST /key/{service}/{operation}", e.server(issue))
	return mux
}

func (e *Entry) server(run endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(run, e.decode, e.encode, kithttp.ServerErrorEncoder(e.encodeError))
}

func (e *Entry) decode(_ context.Context, r *http.Request) (any, error) {
	c := &Call{http: r, started: e.o.Clock.Now()}
	_, path, _ := strings.Cut(r.URL.Path[1:], "/")
	var err error
	if c.target, err = frame.ParseTarget(path); err != nil {
		return nil, frame.NotRunError(frame.ReasonBad, err.Error())
	}
	c.caller = r.Header.Get(frame.HeaderCaller)
	c.request = r.Header.Get(frame.HeaderRequest)
	c.key = r.Header.Get(frame.HeaderKey)
	if len(c.caller) > maxCaller || len(c.request) > maxCaller {
		return nil, frame.NotRunError(frame.ReasonBad, "caller name or request id is too long")
	}
	if v := r.Header.Get(frame.HeaderTimeout); v != "" {
		if c.timeout, err = time.ParseDuration(v); err != nil || c.timeout <= 0 {
			return nil, frame.NotRunError(frame.ReasonBad, frame.HeaderTimeout+": want a positive duration such as 800ms")
		}
	}
	return c, nil
}

// observe counts each call and its time.
func (e *Entry) observe(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		got, err := next(ctx, req)
		outcome, reason := frame.OutcomeOf(err)
		e.o.Observe(*c, outcome, reason, e.o.Clock.Since(c.started))
		return got, err
	}
}

// resolve finds the operation in the policy in force.
func (e *Entry) resolve(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		op, err := peer.ResolveOperation(e.o.Board, c.target)
		if err != nil {
			return nil, err
		}
		c.op = op
		c.class = op.Class()
		return next(ctx, req)
	}
}

// deadline bounds the call by the operation's timeout and by the caller's, if shorter.
func (e *Entry) deadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		left := c.op.Timeout()
		if c.timeout > 0 {
			left = min(left, c.timeout)
		}
		c.deadline = c.started.Add(left)
		ctx, cancel := clockwork.WithDeadline(ctx, e.o.Clock, c.deadline)
		defer cancel()
		return next(ctx, req)
	}
}

// fresh holds calls back while the node, after a pause, has not refreshed its view.
func (e *Entry) fresh(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		const step = 10 * time.Millisecond
		for waited := time.Duration(0); !e.o.Fresh(); waited += step {
			if waited >= freshWait {
				return nil, frame.NotRunError(frame.ReasonStale, "the node was paused and has not refreshed its view")
			}
			select {
			case <-ctx.Done():
				return nil, frame.NotRunError(frame.ReasonExpired, "while the node refreshed its view")
			case <-e.o.Clock.After(step):
			}
		}
		return next(ctx, req)
	}
}

func (e *Entry) read(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		request, err := peer.ReadCall(e.o.Board, c.http, c.target, "")
		if err != nil {
			return nil, err
		}
		c.body = request
		return next(ctx, req)
	}
}

// dedupe checks the operation key and recognises the caller's own retries.
func (e *Entry) dedupe(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		if c.key == "" && !c.op.Idempotent() {
			return nil, frame.NotRunError(frame.ReasonKey, c.target.String()+" is not idempotent; get a key from /key/"+c.target.String())
		}
		if c.key != "" {
			owner, err := once.Owner(c.key)
			if err != nil {
				return nil, frame.NotRunError(frame.ReasonKey, err.Error())
			}
			c.owner = owner
		}
		c.root = e.o.NewID()
		c.rank = frame.RankOf(c.root, c.started)
		if c.repeat = e.repeats(c); c.repeat {
			c.rank = repeatRank + c.rank/2
		}
		return next(ctx, req)
	}
}

func (e *Entry) repeats(c *Call) bool {
	switch {
	case c.key != "":
		return e.o.Callers.RecordOperationKey(c.key)
	case c.request != "":
		return e.o.Callers.RecordRequestID(c.caller, c.request)
	default:
		return false
	}
}

// admit sheds the call before any work is done, where a service on its declared
// path sheds calls of its priority.
func (e *Entry) admit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		if e.control() != policy.ControlFull {
			return next(ctx, req)
		}
		priority := frame.NewLevel(c.class, c.rank)
		if !e.o.Levels.Admit(priority, c.op.Reachable()) {
			return nil, frame.NotRunError(frame.ReasonLevel, "a service on the call's path sheds calls of this priority")
		}
		return next(ctx, req)
	}
}

func (e *Entry) control() policy.ControlMode { return e.o.Board.InForce().Policy().ControlMode() }

// permits reserves retry permits for the call and returns the unused ones.
func (e *Entry) permits(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		c := req.(*Call)
		tries := 0
		if !c.repeat {
			e.o.Bucket.Earn()
			tries = e.o.Bucket.Take(e.o.Board.InForce().Policy().MaxPermits())
		}
		c.escrow = retry.NewPermitPool(tries)
		defer func() { e.o.Bucket.Return(c.escrow.Close()) }()
		return next(ctx, req)
	}
}

func (e *Entry) forward(ctx context.Context, req any) (any, error) {
	c := req.(*Call)
	answer, err := e.o.Forward(ctx, peer.OutgoingCall{
		NewContext: func(span frame.ID, left time.Duration, tries int) (frame.Context, error) {
			return frame.NewContext(frame.Fields{
				RootID: c.root, SpanID: span, Class: c.class, Rank: c.rank, TimeLeft: left, Permits: tries,
				OperationKey: c.key, Rev: e.o.Board.Rev(),
			})
		},
		Op:         c.op,
		Request:    c.body,
		PermitPool: c.escrow,
		Deadline:   c.deadline,
		KeyOwner:   c.owner,
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// issue returns an operation key as the body of an answer.
func (e *Entry) issue(ctx context.Context, req any) (any, error) {
	c := req.(*Call)
	key, err := e.o.Issue(ctx, c.target)
	if err != nil {
		return nil, err
	}
	return frame.NewAnswer(http.StatusOK, "text/plain; charset=utf-8", []byte(key)), nil
}

func (e *Entry) encode(_ context.Context, w http.ResponseWriter, v any) error {
	e.closing(w)
	return peer.WriteAnswer(w, v.(frame.Answer))
}

func (e *Entry) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	e.closing(w)
	peer.WriteError(w, err)
}

// closing asks callers to use another node once this one is leaving.
func (e *Entry) closing(w http.ResponseWriter) {
	if e.o.Board.Leaving() {
		w.Header().Set("Connection", "close")
	}
}
