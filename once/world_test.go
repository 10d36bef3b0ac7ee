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

// operation is what a caller or backend server wants done; the ledger counts
// its runs.
type operation struct {
	name       string
	idempotent bool
	key        string
	runs       int
	// void: the owner of the key said that it never ran and never will.
	void bool
	// The span that makes the call where there is no key.
	entry   *node
	sender  frame.Incarnation
	repeats *retry.OutboundCalls
	escrow  *retry.PermitPool
}

// request is one call of an operation through an entry node.
type request struct {
	op     *operation
	escrow *retry.PermitPool
	claim  *retry.Claim
	made   int
	runs   int
	err    error
	notrun bool
}

// message is an attempt, or its answer where reply is set.
type message struct {
	to, from *node
	attempt  frame.Attempt
	req      *request
	reply    bool
	answer   frame.Answer
	digest   uint64
	err      error
}

// gone has ended, so that a joined call does not block the model.
var gone, _ = context.WithDeadline(context.Background(), time.Time{})

type running struct {
	m     message
	claim *once.Claim
}

// node is one VM; a restart replaces everything but its place.
type node struct {
	inc     frame.Incarnation
	window  *once.Window
	seq     *once.Sequencer
	keys    *once.Keys
	known   map[*node]frame.Incarnation
	pending map[frame.Attempt]*request
	runs    []running
	paused  bool
	inbox   []message
}

type world struct {
	t      *rapid.T
	clock  *clockwork.FakeClock
	rand   *rand.Rand
	nodes  []*node
	wire   []message
	ops    []*operation
	target frame.Target
	count  map[string]int
}

func (w *world) restart(n *node) {
	inc := frame.NewIncarnation("vm", w.rand)
	*n = node{
		inc: inc, window: once.SmallWindow(inc, 2), seq: once.SmallSequencer(inc, 2),
		keys: once.NewKeys(once.KeyOptions{
			Self: inc, Clock: w.clock, Secret: []byte("test"), MaxKeys: 2, MaxBytes: 5, Retention: 20 * time.Second,
		}),
		known: map[*node]frame.Incarnation{}, pending: map[frame.Attempt]*request{},
	}
}

func (w *world) chance(name string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.t, name) >= 100-percent
}

func (w *world) pick(name string) *node { return rapid.SampledFrom(w.nodes).Draw(w.t, name) }

// live returns an arbitrary node that is not paused.
func (w *world) live(name string) *node {
	live := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.paused })
	if len(live) == 0 {
		w.t.Skip("all nodes are paused")
	}
	return rapid.SampledFrom(live).Draw(w.t, name)
}

// send makes the next attempt of a request: the owner of the key gets it, or
// any node where there is no key.
func (w *world) send(n *node, r *request) {
	to := w.pick("to")
	owner, _ := once.Owner(r.op.key)
	if r.op.key != "" {
		i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.inc == owner })
		if i < 0 {
			w.finish(r, frame.Answer{}, frame.Lose(frame.ReasonOwner, ""))
			return
		}
		to = w.nodes[i]
	}
	inc := n.known[to]
	if !n.seq.Introduced(inc) {
		inc = frame.Incarnation{}
	}
	if !inc.Known() && (!r.op.idempotent || w.chance("hello", 30)) && !to.paused {
		inc = to.inc
		n.known[to] = inc
		n.seq.Raise(inc, to.window.Introduce(n.inc))
	}
	r.made++
	if !inc.Known() && !r.op.idempotent || w.chance("dial fails", 10) {
		w.failed(n, r, frame.Refuse(frame.ReasonDial, ""))
		return
	}
	a := n.seq.Next(inc)
	n.pending[a] = r
	w.wire = append(w.wire, message{to: to, from: n, attempt: a, req: r})
}

// failed decides on another attempt after one without an answer.
func (w *world) failed(n *node, r *request, err error) {
	o, reason := frame.OutcomeOf(err)
	r.err = retry.MergeErrors(r.err, err)
	d := retry.Policy{}.Decide(retry.Failure{
		Outcome: o, Reason: reason, Idempotent: r.op.idempotent, Keyed: r.op.key != "",
		Permits: r.escrow.Available(), TimeLeft: time.Second, Attempts: r.made,
	})
	if d.Action == retry.GiveUp || !r.escrow.Spend() {
		w.finish(r, frame.Answer{}, r.err)
		return
	}
	w.send(n, r)
}

// finish hands the result to the caller or backend server and checks it.
func (w *world) finish(r *request, a frame.Answer, err error) {
	o, reason := frame.OutcomeOf(err)
	w.count[o.String()]++
	switch o {
	case frame.Answered:
		require.Equal(w.t, r.op.name, string(a.Body()), "an answer reached another request")
	case frame.NotRun:
		require.Zero(w.t, r.runs, "a request reported as not run has run")
		r.notrun = true
		if r.op.key != "" && (reason == frame.ReasonVoid || reason == frame.ReasonTable) {
			require.Zero(w.t, r.op.runs, "an operation reported as void has run")
			r.op.void = true
		}
	}
	switch {
	case r.claim == nil:
	case o == frame.Answered:
		r.claim.Answer(a)
	case o == frame.NotRun:
		r.claim.Void(err)
	default:
		r.claim.Lose(err)
	}
}

// receive handles a message at its VM, whatever process runs there now.
func (w *world) receive(m message) {
	n := m.to
	if n.paused {
		n.inbox = append(n.inbox, m)
		return
	}
	if !m.reply {
		w.serve(n, m)
		return
	}
	r := n.pending[m.attempt]
	delete(n.pending, m.attempt)
	switch {
	case r == nil: // a late or duplicate answer
	case m.err != nil:
		w.failed(n, r, m.err)
	case m.answer.Digest() != m.digest:
		w.failed(n, r, frame.Lose(frame.ReasonPartial, ""))
	default:
		w.finish(r, m.answer, nil)
	}
}

// serve is the receiving side of a hop: dedupe, admit, run.
func (w *world) serve(n *node, m message) {
	if err := n.window.Accept(m.attempt, m.req.op.idempotent); err != nil {
		w.reply(m, frame.Answer{}, err)
		return
	}
	claim := once.NewClaim(func(frame.Answer, error) {})
	if key := m.req.op.key; key != "" {
		var a frame.Answer
		var err error
		if claim, a, err = n.keys.Begin(gone, key, w.target, 1); claim == nil {
			w.reply(m, a, err)
			return
		}
	}
	if w.chance("refuse", 25) {
		err := frame.Refuse(frame.ReasonFull, "")
		claim.Void(err)
		m.req.op.void = m.req.op.void || m.req.op.key != "" // the owner of the key has spoken
		w.reply(m, frame.Answer{}, n.window.Report(m.attempt, err))
		return
	}
	m.req.runs++
	m.req.op.runs++
	require.False(w.t, m.req.notrun, "a request ran after it was reported as not run")
	require.False(w.t, m.req.op.void, "an operation ran after it was reported as void")
	require.True(w.t, m.req.op.idempotent || m.req.op.runs == 1, "%s ran twice", m.req.op.name)
	n.runs = append(n.runs, running{m: m, claim: claim})
}

func (w *world) reply(m message, a frame.Answer, err error) {
	w.wire = append(w.wire, message{
		to: m.from, attempt: m.attempt, req: m.req, reply: true, answer: a, digest: a.Digest(), err: err,
	})
}

// take removes an arbitrary message from the wire, so that messages reorder.
func (w *world) take() message {
	if len(w.wire) == 0 {
		w.t.Skip("nothing under way")
	}
	i := rapid.IntRange(0, len(w.wire)-1).Draw(w.t, "message")
	m := w.wire[i]
	w.wire = slices.Delete(w.wire, i, i+1)
	return m
}

func (w *world) actions() map[string]func(*rapid.T) {
	act := map[string]func(){
		"callWithKey": func() {
			key, err := w.live("owner").keys.Issue(w.target, time.Duration(rapid.IntRange(10, 120).Draw(w.t, "ttl"))*time.Second)
			if err == nil {
				w.call(w.newOperation(&operation{key: key}))
			}
		},
		"callFromSpan": func() {
			n := w.live("span")
			w.call(w.newOperation(&operation{
				entry: n, sender: n.inc, repeats: retry.NewOutboundCalls(0), escrow: retry.NewPermitPool(rapid.IntRange(0, 4).Draw(w.t, "tries")),
				idempotent: w.chance("idempotent", 60),
			}))
		},
		"callAgain": func() {
			if len(w.ops) > 0 {
				w.call(rapid.SampledFrom(w.ops).Draw(w.t, "op"))
			}
		},
		"deliver":   func() { w.receive(w.take()) },
		"drop":      func() { w.take() },
		"duplicate": func() { m := w.take(); w.wire = append(w.wire, m, m, m) },
		"truncate": func() {
			m := w.take()
			if m.reply && m.err == nil {
				m.answer = frame.NewAnswer(200, "", m.answer.Body()[:1])
			}
			w.receive(m)
		},
		"timeout": func() {
			n := w.live("sender")
			for _, m := range w.wire { // map order would not be reproducible
				if r, ok := n.pending[m.attempt]; ok {
					delete(n.pending, m.attempt)
					w.failed(n, r, frame.Lose(frame.ReasonTimeout, ""))
					return
				}
			}
		},
		"finish": w.finishRun,
		"pause":  func() { w.live("node").paused = true },
		"wake":   func() { w.wake(w.pick("node")) },
		"restart": func() {
			if w.chance("restart", 40) {
				w.restart(w.pick("node"))
			}
		},
		"advance": func() {
			w.clock.Advance(time.Duration(rapid.IntRange(1, 40).Draw(w.t, "seconds")) * time.Second)
		},
	}
	out := map[string]func(*rapid.T){}
	for name, f := range act {
		out[name] = func(t *rapid.T) { w.t = t; f() }
	}
	for i := range 4 { // more progress than faults
		out[fmt.Sprint("deliver", i)] = out["deliver"]
		out[fmt.Sprint("finish", i)] = out["finish"]
		out[fmt.Sprint("duplicate", i/2)] = out["duplicate"]
	}
	return out
}

func (w *world) newOperation(op *operation) *operation {
	op.name = fmt.Sprintf("op%d", len(w.ops))
	w.ops = append(w.ops, op)
	return op
}

// call makes a request: a caller's through any entry node, a span's through
// Repeats at its own node.
func (w *world) call(op *operation) {
	if op.key != "" {
		w.send(w.live("entry"), &request{op: op, escrow: retry.NewPermitPool(2)})
		return
	}
	if op.entry.inc != op.sender || op.entry.paused { // the span died with its node, or waits
		return
	}
	key := retry.OutboundCallKeyOf(frame.NewRequest(w.target, []byte(op.name), ""))
	claim, a, err := op.repeats.Begin(gone, key, op.idempotent, op.escrow.Spend)
	r := &request{op: op, escrow: op.escrow, claim: claim}
	if claim == nil {
		w.finish(r, a, err)
		return
	}
	w.send(op.entry, r)
}

// finishRun ends one run with an answer or a crash of the backend server.
func (w *world) finishRun() {
	n := w.live("node")
	if len(n.runs) == 0 {
		return
	}
	r := n.runs[0]
	n.runs = n.runs[1:]
	if w.chance("crash", 20) {
		err := frame.Lose(frame.ReasonLost, "")
		r.claim.Lose(err)
		w.reply(r.m, frame.Answer{}, err)
		return
	}
	a := frame.NewAnswer(200, "", []byte(r.m.req.op.name))
	r.claim.Answer(a)
	w.reply(r.m, a, nil)
}

func (w *world) wake(n *node) {
	late := n.inbox
	n.paused, n.inbox = false, nil
	for _, m := range late {
		w.receive(m)
	}
}

// Guards against an operation that runs twice, a refusal of what ran or runs
// later, and an answer that reaches another request or is cut short, while
// messages are delayed, dropped, duplicated, reordered and truncated, nodes
// pause, wake late and restart on the same address, and callers retry.
func TestOutcomes(t *testing.T) {
	count := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, clock: clockwork.NewFakeClock(), rand: rand.New(rand.NewPCG(1, 2)), count: count}
		w.target, _ = frame.NewTarget("bookings", "book")
		for range 4 {
			n := &node{}
			w.nodes = append(w.nodes, n)
			w.restart(n)
		}
		t.Repeat(w.actions())
	})
	t.Logf("results: %v", count)
	require.Greater(t, count["answered"], 100, "the model hardly ever answers")
}
