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
	"dogwoodhead/platform"
)

// seatOptions configures a seat. All fields are required.
type seatOptions struct {
	clock   clockwork.Clock
	log     *logrus.Logger
	gate    *admit.Gate
	http    *h1.Client
	metrics *operator.Metrics
	// memory is for the bodies of all requests and responses, in bytes.
	memory *semaphore.Weighted
	// address is the backend server's ip:port.
	address string
	// leaving reports whether the node takes no new work for its backend server.
	leaving func() bool
}

// seat runs requests at the backend server beside this node.
type seat struct {
	o seatOptions
	// server is the backend server's entry in the list, nil while there is none.
	server atomic.Pointer[catalog.Server]
	// departed is the id of the backend server's entry that vanished last.
	departed atomic.Pointer[string]

	health *health
	// path is the strain of what each route's runs call.
	path *strains

	mu sync.Mutex
	// running holds the requests at the backend server by id.
	running map[string]*call
}

func newSeat(o seatOptions) *seat {
	return &seat{o: o, running: make(map[string]*call), health: newHealth(o.clock), path: newStrains(o.clock)}
}

// parent returns the running request that made the request with the id, nil
// where none is known. Backend servers name their own requests after the one
// that they work on; that is a hint on which nothing rests that must hold.
func (s *seat) parent(id string) *call {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id[:i]]
}

// run passes a request to the backend server once a slot is free.
func (s *seat) run(ctx context.Context, c *call, instance string) result {
	started := s.o.clock.Now()
	r := s.admit(ctx, c, instance)
	took := s.o.clock.Since(started)
	r.feedback = s.feedback(c)
	s.o.metrics.ObserveInbound(c.operation(), className(c.class), r.outcome, r.reason, took)
	s.logRun(c, instance, r, took)
	return r
}

// feedback returns what the node says of itself to the sender of a request.
func (s *seat) feedback(c *call) *frame.Feedback {
	return &frame.Feedback{
		Load: s.o.gate.Load(), Leaving: s.o.leaving(), FailedFraction: s.health.failing(),
		Backpressure: max(s.o.gate.Strain(), s.path.of(c.route)), HasChildRequests: s.path.known(c.route),
		TypicalLatency: s.o.gate.Typical(c.operation()),
	}
}

// called records what became of a request that a running one made.
func (s *seat) called(parent *call, r result) {
	if r.outcome != frame.Answered || r.answer.status >= http.StatusInternalServerError {
		parent.hindered.Store(true)
	}
	if r.feedback != nil {
		s.path.learn(parent.route, r.feedback.Backpressure)
	}
}

// patience returns how long a request may wait for a slot. One of running work
// may wait longer: its refusal would waste what was done already.
func patience(c *call, left time.Duration) time.Duration {
	switch {
	case c.class < firstSheddable:
		return left
	case c.inner():
		return left / innerPatience
	}
	return left / newPatience
}

const (
	// firstSheddable is the least important class that waits as long as its
	// deadline allows, plus one.
	firstSheddable = 2
	// innerPatience and newPatience are the parts of the time left, as divisors,
	// that a request of running work and a new one may wait.
	innerPatience = 2
	newPatience   = 8
)

// admit waits for a slot.
func (s *seat) admit(ctx context.Context, c *call, instance string) result {
	if r, ok := s.unavailable(instance); ok {
		return r
	}
	left := c.left(s.o.clock.Now())
	ticket, err := s.o.gate.Enter(ctx, admit.Call{
		Priority: frame.NewLevel(c.class, c.rank()),
		Left:     left,
		Target:   c.operation(),
		Patience: patience(c, left),
	})
	var refusal *frame.OutcomeError
	if errors.As(err, &refusal) {
		return refused(refusal.Reason(), refusal.Detail())
	}
	// The request may have waited long.
	if r, ok := s.unavailable(instance); ok {
		ticket.Leave(false)
		return r
	}
	c.ticket = ticket
	r := s.exchange(ctx, c, instance)
	s.health.record(c, r)
	if r.answer != nil && r.answer.stream != nil {
		r.answer.stream = &releasing{ReadCloser: r.answer.stream, release: func() { ticket.Leave(true) }}
		return r
	}
	ticket.Leave(r.outcome == frame.Answered)
	return r
}

// unavailable returns a refusal where an incarnation takes no new work.
func (s *seat) unavailable(instance string) (result, bool) {
	if s.o.leaving() {
		return refused(frame.ReasonLeaving, "the node is stopping"), true
	}
	if own := s.server.Load(); own != nil && own.ID == instance {
		return refused(frame.ReasonDraining, "the backend server is draining"), own.Draining
	}
	gone := s.departed.Load()
	return refused(frame.ReasonDraining, "the backend server has left the list"), gone != nil && *gone == instance
}

// seated takes over the entry of the backend server, nil where it has none, and
// returns the one before.
func (s *seat) seated(own *catalog.Server) *catalog.Server {
	before := s.server.Swap(own)
	if before != nil && (own == nil || own.ID != before.ID) {
		s.departed.Store(&before.ID)
	}
	return before
}

// releasing frees the slot when the body ends.
type releasing struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

func (r *releasing) Close() error {
	err := r.ReadCloser.Close()
	r.once.Do(r.release)
	return err
}

// exchange sends the request to the backend server and reads its response.
func (s *seat) exchange(ctx context.Context, c *call, instance string) result {
	s.enter(c)
	defer s.leave(c)
	h := maps.Clone(c.header)
	stampDeadline(h, c.left(s.o.clock.Now()))
	h.Set(platform.HeaderTargetInstance, instance)
	h.Set(platform.HeaderCallerService, c.origin)
	resp, err := s.o.http.Do(ctx, s.o.address, c.request(h))
	if err != nil {
		return failure(ctx, err)
	}
	if resp.Header.Get(platform.HeaderNotExecuted) != "" || resp.Status == http.StatusMisdirectedRequest {
		_ = drain(resp.Body)
		return refused(frame.ReasonDown, "the backend server answered "+http.StatusText(resp.Status)+" without running the request")
	}
	return receive(resp, s.o.memory)
}

func (s *seat) enter(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[c.id] = c
}

func (s *seat) leave(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[c.id] == c {
		delete(s.running, c.id)
	}
}

func (s *seat) logRun(c *call, instance string, r result, took time.Duration) {
	load := r.feedback.Load
	now := s.o.clock.Now()
	operator.LogLine(s.o.log, now, levelOf(r.outcome), "run", logrus.Fields{
		"request": c.id, "route": c.route, "class": c.class, "instance": instance,
		"outcome": r.outcome.String(), "reason": string(r.reason), "detail": r.detail,
		"left": c.left(now).Milliseconds(), "took": took.Milliseconds(), "load": load.String(),
	})
}
