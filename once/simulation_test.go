package once_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/frame"
	"dogwoodhead/once"
	"dogwoodhead/retry"
)

// operation is a call that a caller or backend server makes, once or repeatedly;
// runs counts its executions.
type operation struct {
	name       string
	idempotent bool
	key        string
	runs       int
	// reportedVoid: the key's owner reported that it did not run and never will.
	reportedVoid bool
	// The span that makes the call if there is no key.
	localNode        *node
	localIncarnation frame.Incarnation
	outboundCalls    *retry.OutboundCalls
	permits          *retry.PermitPool
}

// request is one call of an operation through an ingress node.
type request struct {
	op             *operation
	permits        *retry.PermitPool
	claim          *retry.Claim
	attempts       int
	runs           int
	err            error
	reportedNotRun bool
}

// message is an attempt, or the response to it if reply is set.
type message struct {
	to, from *node
	attempt  frame.Attempt
	req      *request
	reply    bool
	answer   frame.Answer
	digest   uint64
	err      error
}

// expiredContext makes waiting for a result return at once.
var expiredContext, _ = context.WithDeadline(context.Background(), time.Time{})

type execution struct {
	message message
	claim   *once.Claim
}

// node is one VM; a restart replaces its contents and keeps its address.
type node struct {
	incarnation frame.Incarnation
	window      *once.Window
	sequencer   *once.Sequencer
	keys        *once.Keys
	knownPeers  map[*node]frame.Incarnation
	// pending holds the requests of the attempts without a response.
	pending    map[frame.Attempt]*request
	executions []execution
	paused     bool
	inbox      []message
}

type simulation struct {
	t          *rapid.T
	clock      *clockwork.FakeClock
	rand       *rand.Rand
	nodes      []*node
	inTransit  []message
	operations []*operation
	target     frame.Target
	outcomes   map[string]int
}

func (s *simulation) restart(n *node) {
	incarnation := frame.NewIncarnation("vm", s.rand)
	*n = node{
		incarnation: incarnation, window: once.NewBoundedWindow(incarnation, 2), sequencer: once.NewBoundedSequencer(incarnation, 2),
		keys: once.NewKeys(once.KeyOptions{
			Self: incarnation, Clock: s.clock, Secret: []byte("test"), MaxKeys: 2, MaxBytes: 5, Retention: 20 * time.Second,
		}),
		knownPeers: map[*node]frame.Incarnation{}, pending: map[frame.Attempt]*request{},
	}
}

func (s *simulation) chance(name string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(s.t, name) >= 100-percent
}

func (s *simulation) anyNode(name string) *node { return rapid.SampledFrom(s.nodes).Draw(s.t, name) }

// anyActiveNode returns an arbitrary node that is not paused.
func (s *simulation) anyActiveNode(name string) *node {
	active := slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.paused })
	if len(active) == 0 {
		s.t.Skip("all nodes are paused")
	}
	return rapid.SampledFrom(active).Draw(s.t, name)
}

// sendAttempt sends the next attempt of a request, to the owner of the key or to
// an arbitrary node if there is no key.
func (s *simulation) sendAttempt(n *node, r *request) {
	to := s.anyNode("to")
	owner, _ := once.Owner(r.op.key)
	if r.op.key != "" {
		i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.incarnation == owner })
		if i < 0 {
			s.reportResult(r, frame.Answer{}, frame.UnknownError(frame.ReasonOwner, ""))
			return
		}
		to = s.nodes[i]
	}
	incarnation := n.knownPeers[to]
	if !n.sequencer.FloorKnown(incarnation) {
		incarnation = frame.Incarnation{}
	}
	if !incarnation.Known() && (!r.op.idempotent || s.chance("hello", 30)) && !to.paused {
		incarnation = to.incarnation
		n.knownPeers[to] = incarnation
		n.sequencer.RaiseFloor(incarnation, to.window.RegisterSender(n.incarnation))
	}
	r.attempts++
	if !incarnation.Known() && !r.op.idempotent || s.chance("dial fails", 10) {
		s.handleFailure(n, r, frame.NotRunError(frame.ReasonDial, ""))
		return
	}
	a := n.sequencer.Next(incarnation)
	n.pending[a] = r
	s.inTransit = append(s.inTransit, message{to: to, from: n, attempt: a, req: r})
}

// handleFailure retries a request after a failed attempt, or reports its failure.
func (s *simulation) handleFailure(n *node, r *request, err error) {
	o, reason := frame.OutcomeOf(err)
	r.err = retry.MergeErrors(r.err, err)
	d := retry.Policy{}.Decide(retry.Failure{
		Outcome: o, Reason: reason, Idempotent: r.op.idempotent, Keyed: r.op.key != "",
		Permits: r.permits.Available(), TimeLeft: time.Second, Attempts: r.attempts,
	})
	if d.Action == retry.GiveUp || !r.permits.Spend() {
		s.reportResult(r, frame.Answer{}, r.err)
		return
	}
	s.sendAttempt(n, r)
}

// reportResult checks the result and reports it to the caller or backend server.
func (s *simulation) reportResult(r *request, a frame.Answer, err error) {
	o, reason := frame.OutcomeOf(err)
	s.outcomes[o.String()]++
	switch o {
	case frame.Answered:
		require.Equal(s.t, r.op.name, string(a.Body()), "an answer reached another request")
	case frame.NotRun:
		require.Zero(s.t, r.runs, "a request reported as not run has run")
		r.reportedNotRun = true
		if r.op.key != "" && (reason == frame.ReasonVoid || reason == frame.ReasonTable) {
			require.Zero(s.t, r.op.runs, "an operation reported as void has run")
			r.op.reportedVoid = true
		}
	}
	switch {
	case r.claim == nil:
	case o == frame.Answered:
		r.claim.SettleAnswered(a)
	case o == frame.NotRun:
		r.claim.SettleNotRun(err)
	default:
		r.claim.SettleUnknown(err)
	}
}

// receive delivers a message to the process now running on its VM.
func (s *simulation) receive(m message) {
	n := m.to
	if n.paused {
		n.inbox = append(n.inbox, m)
		return
	}
	if !m.reply {
		s.serve(n, m)
		return
	}
	r := n.pending[m.attempt]
	delete(n.pending, m.attempt)
	switch {
	case r == nil: // a late or duplicate response
	case m.err != nil:
		s.handleFailure(n, r, m.err)
	case m.answer.Digest() != m.digest:
		s.handleFailure(n, r, frame.UnknownError(frame.ReasonPartial, ""))
	default:
		s.reportResult(r, m.answer, nil)
	}
}

// serve deduplicates, admits and starts an attempt at its receiver.
func (s *simulation) serve(n *node, m message) {
	if err := n.window.Accept(m.attempt, m.req.op.idempotent); err != nil {
		s.reply(m, frame.Answer{}, err)
		return
	}
	claim := once.NewClaim(func(frame.Answer, error) {})
	if key := m.req.op.key; key != "" {
		var a frame.Answer
		var err error
		if claim, a, err = n.keys.Begin(expiredContext, key, s.target, 1); claim == nil {
			s.reply(m, a, err)
			return
		}
	}
	if s.chance("refuse", 25) {
		err := frame.NotRunError(frame.ReasonFull, "")
		claim.SettleNotRun(err)
		m.req.op.reportedVoid = m.req.op.reportedVoid || m.req.op.key != "" // the owner of the key reported NotRun
		s.reply(m, frame.Answer{}, n.window.ResponseError(m.attempt, err))
		return
	}
	m.req.runs++
	m.req.op.runs++
	require.False(s.t, m.req.reportedNotRun, "a request ran after it was reported as not run")
	require.False(s.t, m.req.op.reportedVoid, "an operation ran after it was reported as void")
	require.True(s.t, m.req.op.idempotent || m.req.op.runs == 1, "%s ran twice", m.req.op.name)
	n.executions = append(n.executions, execution{message: m, claim: claim})
}

func (s *simulation) reply(m message, a frame.Answer, err error) {
	s.inTransit = append(s.inTransit, message{
		to: m.from, attempt: m.attempt, req: m.req, reply: true, answer: a, digest: a.Digest(), err: err,
	})
}

// takeMessage removes an arbitrary message in transit, so that messages reorder.
func (s *simulation) takeMessage() message {
	if len(s.inTransit) == 0 {
		s.t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(s.inTransit)-1).Draw(s.t, "message")
	m := s.inTransit[i]
	s.inTransit = slices.Delete(s.inTransit, i, i+1)
	return m
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	actions := map[string]func(){
		"callWithKey": func() {
			key, err := s.anyActiveNode("owner").keys.Issue(s.target, time.Duration(rapid.IntRange(10, 120).Draw(s.t, "ttl"))*time.Second)
			if err == nil {
				s.call(s.newOperation(&operation{key: key}))
			}
		},
		"callFromSpan": func() {
			n := s.anyActiveNode("span")
			s.call(s.newOperation(&operation{
				localNode: n, localIncarnation: n.incarnation, outboundCalls: retry.NewOutboundCalls(0), permits: retry.NewPermitPool(rapid.IntRange(0, 4).Draw(s.t, "tries")),
				idempotent: s.chance("idempotent", 60),
			}))
		},
		"callAgain": func() {
			if len(s.operations) > 0 {
				s.call(rapid.SampledFrom(s.operations).Draw(s.t, "op"))
			}
		},
		"deliver":   func() { s.receive(s.takeMessage()) },
		"drop":      func() { s.takeMessage() },
		"duplicate": func() { m := s.takeMessage(); s.inTransit = append(s.inTransit, m, m, m) },
		"truncate": func() {
			m := s.takeMessage()
			if m.reply && m.err == nil {
				m.answer = frame.NewAnswer(200, "", m.answer.Body()[:1])
			}
			s.receive(m)
		},
		"timeout": func() {
			n := s.anyActiveNode("sender")
			for _, m := range s.inTransit { // pending has no reproducible order
				if r, ok := n.pending[m.attempt]; ok {
					delete(n.pending, m.attempt)
					s.handleFailure(n, r, frame.UnknownError(frame.ReasonTimeout, ""))
					return
				}
			}
		},
		"finish": s.finishExecution,
		"pause":  func() { s.anyActiveNode("node").paused = true },
		"wake":   func() { s.resume(s.anyNode("node")) },
		"restart": func() {
			if s.chance("restart", 40) {
				s.restart(s.anyNode("node"))
			}
		},
		"advance": func() {
			s.clock.Advance(time.Duration(rapid.IntRange(1, 40).Draw(s.t, "seconds")) * time.Second)
		},
	}
	out := map[string]func(*rapid.T){}
	for name, f := range actions {
		out[name] = func(t *rapid.T) { s.t = t; f() }
	}
	for i := range 4 { // more progress than faults
		out[fmt.Sprint("deliver", i)] = out["deliver"]
		out[fmt.Sprint("finish", i)] = out["finish"]
		out[fmt.Sprint("duplicate", i/2)] = out["duplicate"]
	}
	return out
}

func (s *simulation) newOperation(op *operation) *operation {
	op.name = fmt.Sprintf("op%d", len(s.operations))
	s.operations = append(s.operations, op)
	return op
}

// call makes a request: a caller's through an arbitrary ingress node, a span's
// through OutboundCalls at its local node.
func (s *simulation) call(op *operation) {
	if op.key != "" {
		s.sendAttempt(s.anyActiveNode("ingress"), &request{op: op, permits: retry.NewPermitPool(2)})
		return
	}
	if op.localNode.incarnation != op.localIncarnation || op.localNode.paused { // the span ended with its process, or is paused
		return
	}
	key := retry.OutboundCallKeyOf(frame.NewRequest(s.target, []byte(op.name), ""))
	claim, a, err := op.outboundCalls.Begin(expiredContext, key, op.idempotent, op.permits.Spend)
	r := &request{op: op, permits: op.permits, claim: claim}
	if claim == nil {
		s.reportResult(r, a, err)
		return
	}
	s.sendAttempt(op.localNode, r)
}

// finishExecution ends an execution with an answer or a backend server crash.
func (s *simulation) finishExecution() {
	n := s.anyActiveNode("node")
	if len(n.executions) == 0 {
		return
	}
	r := n.executions[0]
	n.executions = n.executions[1:]
	if s.chance("crash", 20) {
		err := frame.UnknownError(frame.ReasonLost, "")
		r.claim.SettleUnknown(err)
		s.reply(r.message, frame.Answer{}, err)
		return
	}
	a := frame.NewAnswer(200, "", []byte(r.message.req.op.name))
	r.claim.SettleAnswered(a)
	s.reply(r.message, a, nil)
}

func (s *simulation) resume(n *node) {
	delayed := n.inbox
	n.paused, n.inbox = false, nil
	for _, m := range delayed {
		s.receive(m)
	}
}

// Guards against an operation that runs twice, a NotRun outcome for a call that
// ran or runs later, and an answer that is truncated or reaches another request.
// Messages are delayed, dropped, duplicated, reordered and truncated. Nodes pause,
// resume late and restart on the same address, and callers retry.
func TestOutcomes(t *testing.T) {
	count := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, clock: clockwork.NewFakeClock(), rand: rand.New(rand.NewPCG(1, 2)), outcomes: count}
		s.target, _ = frame.NewTarget("bookings", "book")
		for range 4 {
			n := &node{}
			s.nodes = append(s.nodes, n)
			s.restart(n)
		}
		t.Repeat(s.actions())
	})
	t.Logf("results: %v", count)
	require.Greater(t, count["answered"], 100, "too few calls of the simulation are answered")
}
