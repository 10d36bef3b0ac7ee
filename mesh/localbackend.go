package mesh

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/admit"
	"dogwoodhead/catalog"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/operator"
	"dogwoodhead/peer"
	"dogwoodhead/platform"
)

// localBackendOptions configures a localBackend. All fields are required.
type localBackendOptions struct {
	clock   clockwork.Clock
	log     *logrus.Logger
	gate    *admit.Gate
	http    *h1.Client
	metrics *operator.Metrics
	// bodyMemory limits the bytes of all buffered request and response bodies.
	bodyMemory *semaphore.Weighted
	// addr is the backend server's ip:port.
	addr string
	// leaving reports whether the node refuses new work for its backend server.
	leaving func() bool
}

// localBackend runs requests at the backend server beside this node.
type localBackend struct {
	opts localBackendOptions
	// server is the backend server's entry in the list, nil while it is not listed.
	server atomic.Pointer[catalog.Server]
	// goneIDs holds the ids of earlier backend servers at the address: those whose
	// entries have not expired, and the one whose entry was in use before. Only
	// setServer accesses lastID, the id of the latter.
	goneIDs atomic.Pointer[map[string]bool]
	lastID  string

	health *health
	// announced applies what the backend server announces in its responses.
	announced *announced
	// childBackpressure holds what the child requests of each route report.
	childBackpressure *routeBackpressure

	// waiting holds the requests that wait for a slot.
	waiting *waitingRequests

	mu sync.Mutex
	// running holds the requests at the backend server by id.
	running map[string]*call
}

func newLocalBackend(opts localBackendOptions) *localBackend {
	return &localBackend{
		opts: opts, running: make(map[string]*call), health: newHealth(opts.clock), announced: newAnnounced(opts.log, opts.gate),
		childBackpressure: newRouteBackpressure(opts.clock), waiting: newWaitingRequests(),
	}
}

// parent returns the running request that made the child request with the id,
// nil if none is known. Backend servers derive the ids of child requests from
// that of the parent; this is only a hint, and no guarantee depends on it.
func (b *localBackend) parent(id string) *call {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running[id[:i]]
}

// run passes a request to the backend server once a slot is free.
func (b *localBackend) run(ctx context.Context, c *call, instance string) result {
	started := b.opts.clock.Now()
	r := b.admitAndRun(ctx, c, instance)
	took := b.opts.clock.Since(started)
	r.feedback = b.feedback(c)
	b.opts.metrics.ObserveInbound(c.operation(), className(c.class), r.outcome, r.reason, took)
	b.logRun(c, instance, r, took)
	return r
}

// feedback returns the state of this node as reported to the sender of a request.
func (b *localBackend) feedback(c *call) *frame.Feedback {
	return &frame.Feedback{
		Load: b.opts.gate.Load(), Leaving: b.opts.leaving(), FailedFraction: b.health.failedFraction(),
		Backpressure: max(b.opts.gate.Backpressure(), b.childBackpressure.get(c.route)), HasChildRequests: b.childBackpressure.has(c.route),
		TypicalLatency: b.opts.gate.TypicalSelfTime(c.operation()),
	}
}

// recordChild records the result of a child request of parent.
func (b *localBackend) recordChild(parent *call, r result) {
	if r.outcome != frame.Answered || r.response.status >= http.StatusInternalServerError {
		parent.childFailed.Store(true)
	}
	if r.feedback != nil {
		b.childBackpressure.record(parent.route, r.feedback.Backpressure)
	}
}

// maxQueueWait returns how long a request may wait for a slot. A child request
// may wait longer: refusing it would waste the work of its parent.
func maxQueueWait(c *call, timeLeft time.Duration) time.Duration {
	switch {
	case c.class < firstSheddable:
		return timeLeft
	case c.isChild():
		return timeLeft / childWaitDivisor
	}
	return timeLeft / newWaitDivisor
}

const (
	// firstSheddable is the first class whose queue wait is limited to less than
	// the time left; the classes before it have higher priority.
	firstSheddable = 2
	// childWaitDivisor and newWaitDivisor divide the time left to give the maximum
	// queue wait of a child request and of a new one.
	childWaitDivisor = 2
	newWaitDivisor   = 8
)

// admitAndRun runs the request once a slot is free, or returns a refusal.
func (b *localBackend) admitAndRun(ctx context.Context, c *call, instance string) result {
	if r, ok := b.unavailable(instance); ok {
		return r
	}
	ticket, err := b.enter(ctx, c)
	var refusal *frame.OutcomeError
	if errors.As(err, &refusal) {
		return refused(refusal.Reason(), refusal.Detail())
	}
	// The server's state may have changed while the request was queued.
	if r, ok := b.unavailable(instance); ok {
		ticket.Release(false)
		return r
	}
	if peer.Disconnected(ctx) {
		ticket.Release(false)
		return refused(frame.ReasonCancelled, "the client has disconnected")
	}
	c.ticket = ticket
	r := b.exchange(ctx, c, instance)
	b.health.record(c, r)
	if r.response != nil && r.response.stream != nil {
		r.response.stream = &slotReleasingBody{ReadCloser: r.response.stream, release: func() { ticket.Release(true) }}
		return r
	}
	ticket.Release(r.outcome == frame.Answered)
	return r
}

// enter waits for a slot. The wait also ends if the request is withdrawn.
func (b *localBackend) enter(ctx context.Context, c *call) (*admit.Ticket, error) {
	ctx = b.waiting.add(ctx, c)
	defer b.waiting.remove(c)
	timeLeft := c.timeLeft(b.opts.clock.Now())
	ticket, err := b.opts.gate.Enter(ctx, admit.Call{
		Priority:     frame.NewLevel(c.class, c.rank()),
		TimeLeft:     timeLeft,
		Target:       c.operation(),
		MaxQueueWait: maxQueueWait(c, timeLeft),
	})
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errWithdrawn) {
		return nil, frame.NotRunError(frame.ReasonLeaving, cause.Error())
	}
	return ticket, err
}

// withdraw refuses those of another node's requests that wait for a slot.
func (b *localBackend) withdraw(_ context.Context, w peer.Withdrawal) error {
	b.waiting.withdraw(w.IDs)
	return nil
}

// unavailable returns a refusal and true if the instance takes no new work.
func (b *localBackend) unavailable(instance string) (result, bool) {
	if b.opts.leaving() {
		return refused(frame.ReasonLeaving, "the node is stopping"), true
	}
	if b.announced.isLeaving(instance) {
		return refused(frame.ReasonDraining, "the backend server says that it leaves"), true
	}
	if local := b.server.Load(); local != nil && local.ID == instance {
		return refused(frame.ReasonDraining, "the backend server is draining"), local.Draining
	}
	gone := b.goneIDs.Load()
	return refused(frame.ReasonDraining, "the backend server has left the list"), gone != nil && (*gone)[instance]
}

// setServer replaces the list entry of the backend server, nil if it is not
// listed, and the ids of the servers that it replaced. It returns the previous
// entry. Calls must not overlap.
func (b *localBackend) setServer(local *catalog.Server, replaced []string) *catalog.Server {
	prev := b.server.Swap(local)
	if prev != nil && (local == nil || local.ID != prev.ID) {
		b.lastID = prev.ID
	}
	gone := make(map[string]bool, len(replaced)+1)
	if b.lastID != "" {
		gone[b.lastID] = true
	}
	for _, id := range replaced {
		gone[id] = true
	}
	b.goneIDs.Store(&gone)
	if local != nil {
		b.announced.setInstance(local.ID, local.StartedMillis)
	}
	return prev
}

// slotReleasingBody releases the slot when the body is closed.
type slotReleasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

func (r *slotReleasingBody) Close() error {
	err := r.ReadCloser.Close()
	r.once.Do(r.release)
	return err
}

// exchange sends the request to the backend server and reads its response.
func (b *localBackend) exchange(ctx context.Context, c *call, instance string) result {
	b.addRunning(c)
	defer b.removeRunning(c)
	h := maps.Clone(c.header)
	setDeadlineHeader(h, c.timeLeft(b.opts.clock.Now()))
	h.Set(platform.HeaderTargetInstance, instance)
	h.Set(platform.HeaderCallerService, c.origin)
	sentAt := b.opts.clock.Now()
	resp, err := b.opts.http.Do(ctx, b.opts.addr, c.httpRequest(h))
	if err != nil {
		return failedExchange(ctx, err)
	}
	if resp.Status != http.StatusMisdirectedRequest {
		b.announced.record(resp.Header, instance, sentAt, b.opts.clock.Now())
	}
	if resp.Header.Get(platform.HeaderNotExecuted) != "" || resp.Status == http.StatusMisdirectedRequest {
		_ = drainBody(resp.Body)
		return refused(frame.ReasonDown, "the backend server answered "+http.StatusText(resp.Status)+" without running the request")
	}
	return readResponse(resp, b.opts.bodyMemory)
}

// isRunning reports whether the backend server runs a request, which may make calls.
func (b *localBackend) isRunning() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running) > 0
}

func (b *localBackend) addRunning(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[c.id] = c
}

func (b *localBackend) removeRunning(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[c.id] == c {
		delete(b.running, c.id)
	}
}

func (b *localBackend) logRun(c *call, instance string, r result, took time.Duration) {
	load := r.feedback.Load
	now := b.opts.clock.Now()
	operator.LogLine(b.opts.log, now, logLevel(r.outcome), operator.MsgRun, logrus.Fields{
		"request": c.id, "route": c.route, "class": c.class, "instance": instance,
		"outcome": r.outcome.String(), "reason": string(r.reason), "detail": r.detail,
		"left": c.timeLeft(now).Milliseconds(), "took": took.Milliseconds(), "load": load.String(),
	})
}
