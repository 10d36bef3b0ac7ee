package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/board"
	"dogwoodhead/catalog"
	"dogwoodhead/frame"
	"dogwoodhead/operator"
	"dogwoodhead/peer"
	"dogwoodhead/platform"
	"dogwoodhead/route"
)

const (
	// startupRetryAfter is the Retry-After while no configuration is known.
	startupRetryAfter = 500 * time.Millisecond
	// maxAttempts bounds the nodes that are asked to run one request.
	maxAttempts = 8
	// responseLinger is how long the client may take to read a response after the end of
	// its request. A response that is not read may occupy a slot of a backend server.
	responseLinger = time.Second
	// maxDiscardedBytes bounds the bytes discarded of a body that is too large.
	maxDiscardedBytes = 4 << 20
)

// ingressOptions configures an ingress. All fields are required.
type ingressOptions struct {
	clock        clockwork.Clock
	log          *logrus.Logger
	view         *catalog.View
	board        *board.Board
	chooser      *route.Chooser
	budgets      *retryBudgets
	splitter     *splitter
	localBackend *localBackend
	client       *peerClient
	sent         *sentRequests
	metrics      *operator.Metrics
	// bodyMemory limits the bytes of all buffered request and response bodies.
	bodyMemory *semaphore.Weighted
	// service is the service of the local backend server.
	service string
	random  func() float64
	// lifetime ends when requests in progress are interrupted.
	lifetime context.Context
	// leaving reports whether the process is shutting down, closed whether it accepts
	// no new requests of callers anymore.
	leaving, closed func() bool
	// latestDeadline returns the latest deadline of new requests and true if the
	// process is shutting down.
	latestDeadline func() (time.Time, bool)
}

// ingress serves the requests that originate on this VM, from callers and from
// the local backend server.
type ingress struct {
	opts ingressOptions
	// backpressure holds the backpressure that responses to new requests report.
	backpressure *routeBackpressure
	// leafRoutes records whether each route is a leaf.
	leafRoutes *board.Table[string, bool]
	latencies  *latencies
	durations  *durations
}

func newIngress(opts ingressOptions) *ingress {
	return &ingress{opts: opts, backpressure: newRouteBackpressure(opts.clock), leafRoutes: board.NewTable[string, bool](), latencies: newLatencies(opts.clock), durations: newDurations()}
}

// requestStats collects what the log line of one request needs.
type requestStats struct {
	started  time.Time
	attempts int
	runs     int
	lastVM   string
	// retryDenied reports that a retry was not made because no permit was free.
	retryDenied bool
}

func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stats := &requestStats{started: in.opts.clock.Now()}
	c, status := in.parse(w, r, stats)
	defer c.close()
	if !peer.RequestRead(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if status != 0 {
		if status == http.StatusRequestEntityTooLarge {
			// Closing a connection with unread bytes resets it, and the caller can lose
			// the response.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(uploadLinger))
			_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
		}
		in.reject(w, c, stats, status)
		return
	}
	peer.SetResponseDeadline(r.Context(), c.giveUpAt.Add(responseLinger))
	ctx, cancel := requestContext(r.Context(), in.opts.lifetime, in.opts.clock, c.giveUpAt)
	defer cancel()
	res := refused(frame.ReasonCancelled, "the caller has disconnected")
	if !peer.Disconnected(r.Context()) {
		res = in.serve(ctx, c, stats)
	}
	in.recordRequest(c, stats, res)
	if r.Context().Err() != nil {
		// The caller has disconnected and can't read a response.
		res.discard()
		panic(http.ErrAbortHandler)
	}
	if in.writeResult(w, c, res) {
		c.upload.passRest(ctx, res.response)
	}
}

// callerLimits returns the configured limits of callers' requests.
func (in *ingress) callerLimits() peer.RequestLimits {
	limits := peer.DefaultRequestLimits()
	cfg := in.opts.view.Config()
	if cfg == nil {
		return limits
	}
	if d := cfg.Limits().HeaderTimeout; d > 0 {
		limits.HeaderTimeout = d
	}
	if d := cfg.Limits().IdleTimeout; d > 0 {
		limits.IdleTimeout = d
	}
	if n := cfg.Limits().MaxHeaderBytes; n > 0 {
		// parse applies the configured limit exactly.
		limits.HeadBytes = n + headSlack
	}
	return limits
}

// headSlack is what a head may have in bytes beyond the configured limit, which does
// not count the method and the separators of the request line.
const headSlack = 1 << 10

// parse reads a request. It returns a non-zero status if it can't be served.
func (in *ingress) parse(w http.ResponseWriter, r *http.Request, stats *requestStats) (*call, int) {
	c := &call{
		id: r.Header.Get(platform.HeaderRequestID), method: r.Method, target: originForm(r.RequestURI),
		host: r.Host, origin: in.opts.service,
	}
	cfg := in.opts.view.Config()
	if cfg == nil {
		return c, http.StatusServiceUnavailable
	}
	if c.id == "" {
		return c, http.StatusBadRequest
	}
	match := cfg.Match(c.host, pathOf(c.target))
	if match == nil {
		return c, http.StatusNotFound
	}
	if limit := cfg.Limits().MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return c, http.StatusRequestHeaderFieldsTooLarge
	}
	in.applyRoute(c, match, r, stats)
	if r.ContentLength != 0 {
		return c, in.readBody(w, c, r, cfg.Limits().MaxBodyBytes)
	}
	return c, 0
}

// readBody reads the body before the request's deadline. It returns a non-zero
// status if the body can't be read; the request has not run then.
func (in *ingress) readBody(w http.ResponseWriter, c *call, r *http.Request, limit int64) int {
	err := c.readBody(w, r, limit, in.opts.bodyMemory)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// applyRoute sets what follows from the matching route and the parent request.
func (in *ingress) applyRoute(c *call, match *catalog.Route, r *http.Request, stats *requestStats) {
	c.header = forwardedHeaders(r.Header)
	c.header.Del(platform.HeaderTargetInstance)
	c.route, c.idempotent, c.objective = match.Name, match.Idempotent, match.LatencyObjective
	c.maxRuns = match.MaxAttempts
	c.service = in.opts.splitter.next(match)
	c.class = classOf(match)
	if parent := in.opts.localBackend.parent(c.id); parent != nil {
		c.class = parent.class &^ 1
		c.isRetry = parent.isRetry
		c.parent = parent
	}
	c.giveUpAt = stats.started.Add(timeoutOf(r.Header, match.Timeout))
	c.deadline = c.giveUpAt
	if latest, stopping := in.opts.latestDeadline(); stopping && latest.Before(c.deadline) {
		c.deadline = latest
	}
}

const (
	// defaultTimeout applies if neither the route nor the caller states one.
	defaultTimeout = time.Minute
	// maxTimeout bounds what a caller may state on a route without a timeout.
	maxTimeout = time.Hour
)

// timeoutOf returns how long a request may take: the shorter of the caller's and
// the route's timeout.
func timeoutOf(h http.Header, timeout time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(h.Get(platform.HeaderDeadline), 64)
	stated := err == nil && ms >= 0
	if timeout <= 0 {
		timeout = defaultTimeout
		if stated {
			timeout = maxTimeout
		}
	}
	if !stated || ms >= float64(timeout)/float64(time.Millisecond) {
		return timeout
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// serve sheds new requests whose route has backpressure, refuses those that arrive
// late in the shutdown and could be cut off at its end, and routes the others.
func (in *ingress) serve(ctx context.Context, c *call, stats *requestStats) result {
	if in.endsTooLate(c) {
		return refused(frame.ReasonLeaving, "the node stops before a response is likely")
	}
	if c.parent != nil {
		// The parent's self time excludes the time of its child requests.
		done := c.parent.ticket.BeginWait(c.service)
		r := in.route(ctx, c, stats)
		done()
		in.opts.localBackend.recordChild(c.parent, r)
		return r
	}
	if in.opts.closed() {
		return refused(frame.ReasonLeaving, "the node is stopping")
	}
	if fraction := in.shedFraction(c); fraction > 0 && float64(c.rank()) >= numRanks*(1-fraction) {
		return refused(frame.ReasonLevel, "services on the request's path are strained")
	}
	r := in.route(ctx, c, stats)
	if r.feedback != nil {
		in.backpressure.record(c.route, r.feedback.Backpressure)
	}
	return r
}

// endsTooLate reports whether the end of this node leaves a request less time than
// requests of its route take. It would run in vain, and its caller would not know.
func (in *ingress) endsTooLate(c *call) bool {
	timeLeft := c.timeLeft(in.opts.clock.Now())
	return c.deadline.Before(c.giveUpAt) && timeLeft <= in.durations.upper(c.route)
}

// budgetKeyOf returns the key of a request's retry budget. A route counts as
// non-leaf until its responses report that it is a leaf.
func (in *ingress) budgetKeyOf(c *call) budgetKey {
	leaf, known := in.leafRoutes.Get(c.route)
	return budgetKey{service: c.service, nonLeaf: !known || !leaf}
}

// permitPriority orders requests for permits, from 0 (highest priority) to below
// 1. All requests of one root have the same rank, so that permits go to a few
// roots that can be served completely.
func permitPriority(c *call) float64 {
	priority := float64(c.rank()) / (2 * numRanks)
	if c.class >= firstSheddable {
		priority += 0.5
	}
	return priority
}

// shedFraction returns the fraction of a route's new requests that is refused
// before any work is done: most for the lowest priority, none for the highest.
func (in *ingress) shedFraction(c *call) float64 {
	backpressure := in.backpressure.get(c.route)
	if backpressure == 0 {
		return 0
	}
	first, last := in.opts.view.Config().Priorities()
	switch priority := c.class / 2; {
	case priority >= last:
		return maxShedFraction * backpressure
	case priority > first:
		return maxShedFraction * max(2*backpressure-1, 0)
	}
	return 0
}

// maxShedFraction is below 1, so that no route is starved and responses keep
// reporting its backpressure.
const maxShedFraction = 0.85
