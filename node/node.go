package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/admit"
	"dogwoodhead/backend"
	"dogwoodhead/board"
	"dogwoodhead/caller"
	"dogwoodhead/frame"
	"dogwoodhead/level"
	"dogwoodhead/once"
	"dogwoodhead/operator"
	"dogwoodhead/peer"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
	"dogwoodhead/route"
	"dogwoodhead/settings"
)

const (
	// startPermits is the content of the entry bucket at start. A restarted
	// node starts low, so that restarts do not create permits.
	startPermits = 5
	// keyLifetime is how long an operation key may be used. A caller's retries
	// of one booking are over long before.
	keyLifetime = 5 * time.Minute
	// maxKeys bounds the operation keys in use to about 18 MB. At the target size
	// a node serves 193 calls a second; if one in ten has a key, 17,400 are kept
	// over their lifetime and retention.
	maxKeys = 1 << 15
	// startSlots is the concurrency limit until a configuration is in force; no
	// call is admitted before.
	startSlots = 1
)

// Node is one process.
type Node struct {
	set     *settings.Settings
	version string
	log     *logrus.Logger
	clock   clockwork.Clock
	memory  *semaphore.Weighted

	board     *board.Board
	gate      *admit.Gate
	levels    *level.Table
	window    *once.Window
	sequencer *once.Sequencer
	keys      *once.Keys
	spans     *peer.Spans
	bucket    *retry.Bucket
	callers   *retry.CallerRequests
	chooser   *route.Chooser
	metrics   *operator.Metrics
	// dial opens connections to other nodes; nil outside tests.
	dial dialFunc

	client    *peer.Client
	watch     *peer.Watch
	forwarder *peer.Forwarder
	server    *peer.Server
	backend   *backend.Client
	monitor   *backend.Monitor
	outbound  *backend.Outbound
	entry     *caller.Ingress
	control   *control
}

// dialFunc is the type of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New builds a node from its settings. Nothing runs yet.
func New(s *settings.Settings, version string, log *logrus.Logger, clock clockwork.Clock) *Node {
	return newNode(s, version, log, clock, nil)
}

// newNode is New with a seam through which tests cut the links between nodes.
func newNode(s *settings.Settings, version string, log *logrus.Logger, clock clockwork.Clock, dial dialFunc) *Node {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	vm := board.NewVM(board.VMFields{
		Name: s.VM(), Zone: s.Zone(), Region: s.Region(), Service: s.Service(),
		CallAddr: s.Call(), ControlAddr: s.Control(),
	})
	self := frame.NewIncarnation(s.VM(), random)
	n := &Node{
		set: s, version: version, log: log, clock: clock,
		memory:    semaphore.NewWeighted(s.Memory()),
		board:     board.New(board.NewSelf(vm, s.Site(), self)),
		levels:    level.NewTable(level.Options{Clock: clock}),
		window:    once.NewWindow(self),
		sequencer: once.NewSequencer(self),
		keys:      once.NewKeys(once.KeyOptions{Self: self, Clock: clock, MaxKeys: maxKeys}),
		spans:     peer.NewSpans(),
		bucket:    retry.NewBucket(retry.BucketOptions{Ratio: policy.DefaultRatio, Burst: policy.DefaultBurst, Start: startPermits}),
		callers:   retry.NewCallerRequests(retry.CallerRequestOptions{Clock: clock}),
		metrics:   operator.NewMetrics(),
		dial:      dial,
	}
	n.gate = admit.NewGate(admit.Options{Clock: clock, Limits: admit.Limits{Slots: startSlots, Enabled: true}})
	n.chooser = route.NewChooser(n.board, route.Options{Clock: clock, Rand: newRand()})
	n.control = newControl(n)
	n.wireCalls()
	return n
}

// wireCalls builds the parts that carry calls.
func (n *Node) wireCalls() {
	delays := n.set.Delays()
	n.client = peer.NewClient(peer.ClientOptions{
		Clock: n.clock, Body: n.body, Dial: n.dial,
		Delay: func(zone string) time.Duration { return delays[zone] },
	})
	n.watch = peer.NewWatch(n.clock, n.board, n.control.probe, n.chooser.Suspect)
	n.forwarder = peer.NewForwarder(peer.ForwarderOptions{
		Clock: n.clock, Board: n.board, Client: n.client, Chooser: n.chooser, Levels: n.levels,
		Watch: n.watch, Sequencer: n.sequencer, Budgets: peer.NewBudgets(policy.DefaultRatio),
		Hello: n.control.hello, Introduce: n.control.introduce, Contact: n.control.relay.Contact,
		Extra: n.metrics.Attempt, Random: rand.Float64,
	})
	n.monitor = backend.NewMonitor(backend.MonitorOptions{
		Address: n.set.Backend(), Clock: n.clock, ColdStarted: n.gate.BeginSlowStart,
	})
	n.backend = backend.NewClient(backend.ClientOptions{
		Address: n.set.Backend(), Clock: n.clock, MaxBody: n.body, ConnectFailed: n.monitor.RecordConnectFailure,
	})
	n.server = peer.NewServer(peer.ServerOptions{
		Clock: n.clock, Board: n.board, Window: n.window, Keys: n.keys, Gate: n.gate, Levels: n.levels,
		Spans: n.spans, Run: n.backend.Run, Unavailable: n.unavailable,
		Contact: n.control.called, Observe: n.metrics.Inbound,
	})
	n.outbound = backend.NewOutbound(backend.OutboundOptions{
		Clock: n.clock, Board: n.board, Spans: n.spans, Forward: n.forwarder.Do, NewID: randomID,
		ObserveStray:      func(frame.Target) { n.metrics.Count("dogwood_stray_calls_total") },
		ObserveUndeclared: n.undeclared,
	})
	n.entry = caller.New(caller.Options{
		Clock: n.clock, Board: n.board, Levels: n.levels, PermitBucket: n.bucket, CallerRequests: n.callers,
		Forward: n.forwarder.Do, IssueKey: n.issue, NewID: randomID, ObserveCall: n.observeEntry, CheckFresh: n.control.member.Fresh,
	})
}

// body returns the largest body in force, in bytes.
func (n *Node) body() int64 {
	if f := n.board.ActiveConfig(); f != nil {
		return f.Policy().Body()
	}
	return policy.DefaultBody
}

// unavailable returns why the backend server takes no new work, or "".
func (n *Node) unavailable() frame.Reason {
	if n.board.Leaving() {
		return frame.ReasonLeaving
	}
	if n.board.ListedLeaving() {
		return frame.ReasonDraining
	}
	return n.monitor.UnavailableReason()
}

func (n *Node) undeclared(from, to frame.Target) {
	n.metrics.Count("dogwood_undeclared_calls_total")
	n.log.WithFields(logrus.Fields{"from": from.String(), "to": to.String()}).Debug("call is not declared in the graph")
}

func (n *Node) observeEntry(c caller.Call, o frame.Outcome, r frame.Reason, took time.Duration) {
	class := "other"
	if f := n.board.ActiveConfig(); f != nil {
		class = f.Policy().ClassName(c.Class())
	}
	n.metrics.Entry(c.Target(), c.Caller(), class, o, r, took)
}

// configure maps the policy in force to the parts that it concerns.
func (n *Node) configure(p *policy.Policy) {
	n.bucket.Configure(p.Ratio(), p.Burst())
	s, ok := p.Service(n.set.Service())
	if !ok {
		n.log.WithField("service", n.set.Service()).Warn("the configuration in force does not declare this node's service")
		return
	}
	n.gate.Configure(admit.Limits{
		Slots: s.Slots(), Connections: s.Connections(), Queue: s.Queue(), Share: s.Share(),
		Enabled: p.Control() == policy.ControlFull,
	})
}

// issue gets an operation key from a node of the service, this one included.
func (n *Node) issue(ctx context.Context, t frame.Target) (string, error) {
	var tried []string
	for range 3 {
		vm, err := n.chooser.Pick(t.Service(), tried)
		if err != nil {
			return "", err
		}
		tried = append(tried, vm.Name())
		key, err := n.client.Key(ctx, vm, t)
		n.chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		if err == nil {
			return key, nil
		}
	}
	return "", frame.NotRunError(frame.ReasonDial, "no node of "+t.Service()+" issued a key")
}

// ownKey issues a key for an operation of this node's service.
func (n *Node) ownKey(t frame.Target) (string, error) {
	if reason := n.unavailable(); reason != "" {
		return "", frame.NotRunError(reason, "the backend server takes no new work")
	}
	if t.Service() != n.set.Service() {
		return "", frame.NotRunError(frame.ReasonService, "this node serves "+n.set.Service())
	}
	key, err := n.keys.Issue(t, keyLifetime)
	return key, eris.Wrap(err, "issue key")
}

func randomID() frame.ID { return frame.NewID(rand.Uint64) }
