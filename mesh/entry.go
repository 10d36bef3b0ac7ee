package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/board"
	"dogwoodhead/catalog"
	"dogwoodhead/frame"
	"dogwoodhead/operator"
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
	c, status := e.parse(r, t)
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
		panic(http.ErrAbortHandler)
	}
	e.write(w, c, res)
}

// parse reads a request. Where it can't be served, it returns the status.
func (e *entry) parse(r *http.Request, t *trip) (*call, int) {
	c := &call{
		id: r.Header.Get(platform.HeaderRequest), method: r.Method, target: originForm(r.RequestURI),
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
	if err := c.readBody(r, cfg.Limits().Body); err != nil {
		if errors.Is(err, errTooLarge) {
			return c, http.StatusRequestEntityTooLarge
		}
		return c, http.StatusBadRequest
	}
	return c, 0
}

// assign fills in what the route says of the request.
func (e *entry) assign(c *call, to *catalog.Route, r *http.Request, t *trip) {
	c.header = forwarded(r.Header)
	c.header.Del(platform.HeaderInstance)
	c.route, c.idempotent, c.objective = to.Name, to.Idempotent, to.Objective
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
		e.strains.learn(c.route, r.feedback.Strain)
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

// route offers the request to nodes until one has run it, or none may any more.
func (e *entry) route(ctx context.Context, c *call, t *trip) result {
	e.o.budgets.request(e.budget(c), c.repeat)
	var tried []string
	sofar := refused(frame.ReasonDown, "no backend server of "+c.service+" is listed")
	for len(tried) < maxOffers {
		vm, err := e.o.chooser.Pick(c.service, tried)
		if err != nil {
			break
		}
		if contains(tried, vm.Name()) && sofar.reason != frame.ReasonDown {
			e.o.chooser.Report(vm.Name(), route.Report{Err: frame.Refuse(frame.ReasonCancelled, "not asked again")})
			break
		}
		tried = append(tried, vm.Name())
		r := e.offer(ctx, c, vm)
		t.offers++
		t.last = vm.Name()
		e.compare(c, vm, r)
		e.o.chooser.Report(vm.Name(), reportOf(r))
		if r.outcome == frame.Answered && r.feedback != nil {
			e.learnLeaf(c.route, !r.feedback.Deep)
		}
		sofar = merge(sofar, r, t.runs > 0)
		if r.outcome != frame.NotRun {
			t.runs++
		}
		if !e.again(ctx, c, t, r) {
			break
		}
	}
	return sofar
}

// reportOf returns what the chooser is told. A node that is leaving is avoided
// for a time and not for good: its successor on the VM has no other way to say
// that it is there.
func reportOf(r result) route.Report {
	if r.feedback == nil || !r.feedback.Leaving {
		return route.Report{Err: r.err(), Feedback: r.feedback}
	}
	heard := *r.feedback
	heard.Leaving = false
	return route.Report{Err: frame.Refuse(frame.ReasonDown, "the node is stopping"), Feedback: &heard}
}

// compare sets how slow a backend server is beside the others of its service.
func (e *entry) compare(c *call, vm board.VM, r result) {
	if r.feedback == nil || r.feedback.Typical == 0 {
		return
	}
	r.feedback.Slow = e.paces.compare(c.route, vm.Name(), r.feedback.Typical)
}

// learnLeaf records whether the requests of a route make others.
func (e *entry) learnLeaf(route string, leaf bool) {
	if old, known := e.leaves.Get(route); known && old == leaf || !known && e.leaves.Len() >= maxRoutes {
		return
	}
	e.leaves.Put(route, leaf)
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// merge returns what is known after another attempt. Once an attempt may have
// run, a later refusal does not make the request one that did not run.
func merge(before, now result, ran bool) result {
	if ran && now.outcome == frame.NotRun {
		return before
	}
	if before.answer != nil && before.answer.stream != nil {
		_ = before.answer.stream.Close()
	}
	return now
}

// again decides whether another node is asked.
func (e *entry) again(ctx context.Context, c *call, t *trip, r result) bool {
	if ctx.Err() != nil || c.stream != nil {
		return false
	}
	if r.outcome == frame.NotRun {
		switch r.reason {
		case frame.ReasonExpired, frame.ReasonLate, frame.ReasonBad:
			return false
		case frame.ReasonDown:
			// The backend server itself turned the request away, which counts as one
			// that it got.
			return e.permit(c, t)
		}
		return true
	}
	if !c.idempotent || c.repeat || !failed(r) {
		return false
	}
	attempts := 1
	if cfg := e.o.view.Config(); cfg != nil {
		if to := cfg.Match(c.host, pathOf(c.target)); to != nil {
			attempts = to.Attempts
		}
	}
	if t.runs >= attempts || !e.permit(c, t) {
		return false
	}
	c.repeat = true
	return true
}

// permit asks for a permit to send a request once more.
func (e *entry) permit(c *call, t *trip) bool {
	t.denied = !e.o.budgets.take(e.budget(c), urgency(c))
	return !t.denied
}

// failed reports whether a result may become a better one elsewhere.
func failed(r result) bool {
	return r.outcome == frame.Unknown || r.answer.status == http.StatusInternalServerError
}

// offer asks one node to run the request.
func (e *entry) offer(ctx context.Context, c *call, vm board.VM) result {
	if vm.Name() == e.own() {
		return e.o.seat.run(ctx, c, vm.Name())
	}
	return e.o.client.run(ctx, c, vm)
}

// own returns the id of the backend server on this VM, "" while it is not listed.
func (e *entry) own() string {
	if s := e.o.seat.server.Load(); s != nil {
		return s.ID
	}
	return ""
}

// write answers the caller.
func (e *entry) write(w http.ResponseWriter, c *call, r result) {
	if e.o.leaving() {
		w.Header().Set("Connection", "close")
	}
	if r.outcome == frame.Answered && !(misleads(r.answer) && !c.idempotent) {
		r.answer.header = without(r.answer.header, platform.HeaderLoad, platform.HeaderIncarnation)
		writeAnswer(w, r.answer)
		return
	}
	status := http.StatusBadGateway
	switch {
	case r.outcome == frame.NotRun:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", e.retryAfter(c))
	case r.reason == frame.ReasonTimeout:
		status = http.StatusGatewayTimeout
	}
	e.finish(w, c, status)
}

// misleads reports whether a response has a status that promises that the
// request has not run, although it has.
func misleads(a *answer) bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryAfter tells the caller when to come back, in seconds.
func (e *entry) retryAfter(c *call) string {
	wait := startWait
	if c.objective > 0 {
		wait = time.Duration(float64(c.objective) * (retryPart + retrySpread*e.o.random()))
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

const (
	// retryPart and retrySpread place a caller's retry within its objective, so
	// that it can still be answered in time, and apart from others.
	retryPart   = 0.25
	retrySpread = 0.25
)

// reject answers a request that is not routed.
func (e *entry) reject(w http.ResponseWriter, c *call, t *trip, status int) {
	e.o.log.WithFields(logrus.Fields{
		"request": c.id, "host": c.host, "target": c.target, "status": status,
		"config": e.o.view.Version(), "took": e.o.clock.Since(t.started).Milliseconds(),
	}).Warn("reject")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", e.retryAfter(c))
	}
	e.finish(w, c, status)
}

func (e *entry) finish(w http.ResponseWriter, c *call, status int) {
	h := w.Header()
	h["Date"] = nil
	if c.id != "" {
		h.Set(platform.HeaderRequest, c.id)
	}
	w.WriteHeader(status)
}

func (e *entry) observe(c *call, t *trip, r result) {
	took := e.o.clock.Since(t.started)
	e.o.metrics.Entry(c.operation(), c.origin, className(c.class), r.outcome, r.reason, took)
	config, list := e.o.view.Ages()
	fields := logrus.Fields{
		"request": c.id, "route": c.route, "service": c.service, "class": c.class, "idempotent": c.idempotent,
		"outcome": r.outcome.String(), "reason": string(r.reason), "detail": r.detail, "instance": t.last,
		"offers": t.offers, "runs": t.runs, "denied": t.denied, "repeat": c.repeat, "took": took.Milliseconds(),
		"left":   c.left(e.o.clock.Now()).Milliseconds(),
		"config": e.o.view.Version(), "configAge": config.Milliseconds(),
		"list": e.o.view.Rev(), "listAge": list.Milliseconds(),
	}
	if r.answer != nil {
		fields["status"] = r.answer.status
	}
	e.o.log.WithFields(fields).Log(levelOf(r.outcome), "request")
}

func levelOf(o frame.Outcome) logrus.Level {
	if o == frame.Answered {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}

// className names a class in metrics.
func className(class int) string {
	kind := "new"
	if class%2 == 0 {
		kind = "inner"
	}
	return strings.Join([]string{"p" + strconv.Itoa(class/2), kind}, "-")
}
