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
	// startWait is what a caller is told to wait while no configuration is known.
	startWait = 500 * time.Millisecond
	// maxOffers bounds the nodes that are asked to take one request.
	maxOffers = 8
	// maxDiscarded bounds what is read of a body that is too large, in bytes.
	maxDiscarded = 4 << 20
)

// entryOptions configures an entry. All fields are required.
type entryOptions struct {
	clock    clockwork.Clock
	log      *logrus.Logger
	view     *catalog.View
	board    *board.Board
	chooser  *route.Chooser
	budgets  *budgets
	splitter *splitter
	seat     *seat
	client   *client
	metrics  *operator.Metrics
	// memory is for the bodies of all requests and responses, in bytes.
	memory *semaphore.Weighted
	// service is that of the backend server on this VM.
	service string
	random  func() float64
	// leaving reports whether the process is about to end.
	leaving func() bool
}

// entry takes the requests that begin on this VM, from callers and from the
// backend server.
type entry struct {
	o entryOptions
	// strains is what the responses to new requests say of each route.
	strains *strains
	// leaves says of each route whether its requests make no others.
	leaves *board.Table[string, bool]
	paces  *paces
}

func newEntry(o entryOptions) *entry {
	return &entry{o: o, strains: newStrains(o.clock), leaves: board.NewTable[string, bool](), paces: newPaces(o.clock)}
}

// trip is what happened to one request, for its log line.
type trip struct {
	started time.Time
	offers  int
	runs    int
	last    string
	// denied says that a repeat was not made for want of a permit.
	denied bool
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := &trip{started: e.o.clock.Now()}
	c, status := e.parse(w, r, t)
	defer c.held.release()
	if status != 0 {
		if status == http.StatusRequestEntityTooLarge {
			// A connection that closes with unread bytes is reset, which can take the
			// answer with it.
			_, _ = io.CopyN(io.Discard, r.Body, maxDiscarded)
		}
		e.reject(w, c, t, status)
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), e.o.clock, c.deadline)
	defer cancel()
	res := e.serve(ctx, c, t)
	e.observe(c, t, res)
	if r.Context().Err() != nil {
		// The caller has left; nobody reads an answer.
		res.discard()
		panic(http.ErrAbortHandler)
	}
	e.write(w, c, res)
}

// bounds returns what the configuration allows callers' connections.
func (e *entry) bounds() peer.Bounds {
	b := peer.Bounds{Head: peer.HeadTimeout, Idle: peer.IdleTimeout}
	cfg := e.o.view.Config()
	if cfg == nil {
		return b
	}
	if d := cfg.Limits().Reading; d > 0 {
		b.Head = d
	}
	if d := cfg.Limits().Idle; d > 0 {
		b.Idle = d
	}
	return b
}

// parse reads a request. Where it can't be served, it returns the status.
func (e *entry) parse(w http.ResponseWriter, r *http.Request, t *trip) (*call, int) {
	c := &call{
		id: r.Header.Get(platform.HeaderRequestID), method: r.Method, target: originForm(r.RequestURI),
		host: r.Host, origin: e.o.service,
	}
	cfg := e.o.view.Config()
	if cfg == nil {
		return c, http.StatusServiceUnavailable
	}
	if c.id == "" {
		return c, http.StatusBadRequest
	}
	to := cfg.Match(c.host, pathOf(c.target))
	if to == nil {
		return c, http.StatusNotFound
	}
	if limit := cfg.Limits().Header; limit > 0 && headerBytes(r) > limit {
		return c, http.StatusRequestHeaderFieldsTooLarge
	}
	e.assign(c, to, r, t)
	if r.ContentLength != 0 {
		return c, e.readBody(w, c, r, cfg.Limits().Body)
	}
	return c, 0
}

// readBody reads the body within the time that the request has. It returns the
// status of a request whose body can't be taken, which has not run.
func (e *entry) readBody(w http.ResponseWriter, c *call, r *http.Request, limit int64) int {
	conn := http.NewResponseController(w)
	// Deadlines can't be set on a connection that is closed, which the read reports.
	_ = conn.SetReadDeadline(c.deadline)
	err := c.readBody(r, limit, e.o.memory)
	switch {
	case err == nil:
		_ = conn.SetReadDeadline(time.Time{})
		return 0
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// assign fills in what the route says of the request.
func (e *entry) assign(c *call, to *catalog.Route, r *http.Request, t *trip) {
	c.header = forwarded(r.Header)
	c.header.Del(platform.HeaderTargetInstance)
	c.route, c.idempotent, c.objective = to.Name, to.Idempotent, to.Objective
	c.attempts = to.Attempts
	c.service = e.o.splitter.pick(to)
	c.class = classOf(to)
	if parent := e.o.seat.parent(c.id); parent != nil {
		c.class = parent.class &^ 1
		c.repeat = parent.repeat
		c.parent = parent
	}
	c.deadline = t.started.Add(deadlineOf(r.Header, to.Timeout))
}

// noDeadline bounds a request for which neither caller nor route has a bound.
const noDeadline = time.Minute

// deadlineOf returns how long a request may take: the caller's time or the
// route's, whichever is shorter.
func deadlineOf(h http.Header, timeout time.Duration) time.Duration {
	d := noDeadline
	if timeout > 0 {
		d = timeout
	}
	if ms, err := strconv.ParseFloat(h.Get(platform.HeaderDeadline), 64); err == nil && ms >= 0 {
		d = min(d, time.Duration(ms*float64(time.Millisecond)))
	}
	return d
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

// serve holds new work back where what it calls is strained, and routes the rest.
func (e *entry) serve(ctx context.Context, c *call, t *trip) result {
	if c.parent != nil {
		// The slot's own time doesn't include the time of the calls that it makes.
		done := c.parent.ticket.Wait(c.service)
		r := e.route(ctx, c, t)
		done()
		e.o.seat.called(c.parent, r)
		return r
	}
	if part := e.heldBack(c); part > 0 && float64(c.rank()) >= ranks*(1-part) {
		return refused(frame.ReasonLevel, "services on the request's path are strained")
	}
	r := e.route(ctx, c, t)
	if r.feedback != nil {
		e.strains.learn(c.route, r.feedback.Backpressure)
	}
	return r
}

// budget names the permits of a request. A route counts as one whose requests
// make others until its responses say that they don't.
func (e *entry) budget(c *call) budgetKey {
	leaf, known := e.leaves.Get(c.route)
	return budgetKey{service: c.service, deep: !known || !leaf}
}

// urgency orders requests for permits: 0 is the most important, below 1 all.
// Requests of one root have one rank, so that permits are spent on few roots
// that can be served whole.
func urgency(c *call) float64 {
	u := float64(c.rank()) / (2 * ranks)
	if c.class >= firstSheddable {
		u += 0.5
	}
	return u
}

// heldBack returns the part of a route's new requests that is refused before
// any work is done: most of the least important ones, none of the most important.
func (e *entry) heldBack(c *call) float64 {
	strain := e.strains.of(c.route)
	if strain == 0 {
		return 0
	}
	first, last := e.o.view.Config().Priorities()
	switch priority := c.class / 2; {
	case priority >= last:
		return mostHeldBack * strain
	case priority > first:
		return mostHeldBack * max(2*strain-1, 0)
	}
	return 0
}

// mostHeldBack is below 1, so that a route is never starved and its strain is
// still learned.
const mostHeldBack = 0.85
