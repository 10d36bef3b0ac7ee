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
	// initialPermits is the number of retry permits in the bucket at start. It is
	// low so that restarts do not create permits.
	initialPermits = 5
	// keyLifetime is how long an operation key is valid, much longer than a caller
	// retries one booking.
	keyLifetime = 5 * time.Minute
	// maxKeys limits the operation keys in use to about 18 MB of memory. At the
	// target size a node serves 193 calls/s; if one in ten has a key, 17,400 keys
	// are stored over their lifetime and retention.
	maxKeys = 1 << 15
	// initialSlots is the concurrency limit until a configuration is active; no
	// call is admitted before.
	initialSlots = 1
)

// Node is the overload control process beside one backend server.
type Node struct {
	settings   *settings.Settings
	version    string
	log        *logrus.Logger
	clock      clockwork.Clock
	bodyMemory *semaphore.Weighted

	board          *board.Board
	gate           *admit.Gate
	levels         *level.Table
	window         *once.Window
	sequencer      *once.Sequencer
	operationKeys  *once.Keys
	spans          *peer.Spans
	permitBucket   *retry.Bucket
	callerRequests *retry.CallerRequests
	chooser        *route.Chooser
	metrics        *operator.Metrics
	// dial replaces the default dialer between nodes in tests; otherwise nil.
	dial dialFunc

	peerClient      *peer.Client
	failureDetector *peer.FailureDetector
	forwarder       *peer.Forwarder
	peerServer      *peer.Server
	backendClient   *backend.Client
	backendMonitor  *backend.Monitor
	outbound        *backend.Outbound
	ingress         *caller.Ingress
	control         *controlPlane
}

// dialFunc is the type of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New builds a node from its settings without starting it.
func New(s *settings.Settings, version string, log *logrus.Logger, clock clockwork.Clock) *Node {
	return newNode(s, version, log, clock, nil)
}

// newNode is New with a dial function, for tests that cut the links between nodes.
func newNode(s *settings.Settings, version string, log *logrus.Logger, clock clockwork.Clock, dial dialFunc) *Node {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	vm := board.NewVM(board.VMFields{
		Name: s.VM(), Zone: s.Zone(), Region: s.Region(), Service: s.Service(),
		CallAddr: s.CallAddr(), ControlAddr: s.ControlAddr(),
	})
	self := frame.NewIncarnation(s.VM(), random)
	n := &Node{
		settings: s, version: version, log: log, clock: clock,
		bodyMemory:     semaphore.NewWeighted(s.BodyMemory()),
		board:          board.New(board.NewSelf(vm, s.Site(), self)),
		levels:         level.NewTable(level.Options{Clock: clock}),
		window:         once.NewWindow(self),
		sequencer:      once.NewSequencer(self),
		operationKeys:  once.NewKeys(once.KeyOptions{Self: self, Clock: clock, MaxKeys: maxKeys}),
		spans:          peer.NewSpans(),
		permitBucket:   retry.NewBucket(retry.BucketOptions{Ratio: policy.DefaultPermitRatio, Burst: policy.DefaultPermitBurst, Start: initialPermits}),
		callerRequests: retry.NewCallerRequests(retry.CallerRequestOptions{Clock: clock}),
		metrics:        operator.NewMetrics(),
		dial:           dial,
	}
	n.gate = admit.NewGate(admit.Options{Clock: clock, Limits: admit.Limits{Slots: initialSlots, Enabled: true}})
	n.chooser = route.NewChooser(n.board, route.Options{Clock: clock, Rand: newRand()})
	n.control = newControlPlane(n)
	n.buildCallPath()
	return n
}

// buildCallPath builds the components that receive, forward and run calls.
func (n *Node) buildCallPath() {
	zoneDelays := n.settings.ZoneDelays()
	n.peerClient = peer.NewClient(peer.ClientOptions{
		Clock: n.clock, MaxBody: n.maxBodyBytes, Dial: n.dial,
		Delay: func(zone string) time.Duration { return zoneDelays[zone] },
	})
	n.failureDetector = peer.NewFailureDetector(n.clock, n.board, n.control.probe, n.chooser.Suspect)
	n.forwarder = peer.NewForwarder(peer.ForwarderOptions{
		Clock: n.clock, Board: n.board, Client: n.peerClient, Chooser: n.chooser, Levels: n.levels,
		FailureDetector: n.failureDetector, Sequencer: n.sequencer, Budgets: peer.NewBaselineBudgets(policy.DefaultPermitRatio),
		Hello: n.control.requestIncarnation, HelloAsync: n.control.scheduleHello, ObserveRevision: n.control.relay.ObserveRevisionPair,
		ObserveExtraAttempt: n.metrics.CountExtraAttempt, Random: rand.Float64,
	})
	n.backendMonitor = backend.NewMonitor(backend.MonitorOptions{
		Addr: n.settings.BackendAddr(), Clock: n.clock, ColdStarted: n.gate.BeginSlowStart,
	})
	n.backendClient = backend.NewClient(backend.ClientOptions{
		Addr: n.settings.BackendAddr(), Clock: n.clock, MaxBody: n.maxBodyBytes, ConnectFailed: n.backendMonitor.RecordConnectFailure,
	})
	n.peerServer = peer.NewServer(peer.ServerOptions{
		Clock: n.clock, Board: n.board, Window: n.window, Keys: n.operationKeys, Gate: n.gate, Levels: n.levels,
		Spans: n.spans, Run: n.backendClient.Run, Unavailable: n.unavailableReason,
		ObserveRevision: n.control.recordPeerCall, ObserveCall: n.metrics.ObserveInbound,
	})
	n.outbound = backend.NewOutbound(backend.OutboundOptions{
		Clock: n.clock, Board: n.board, Spans: n.spans, Forward: n.forwarder.Forward, NewID: randomID,
		ObserveStray:      func(frame.Target) { n.metrics.Count("dogwood_stray_calls_total") },
		ObserveUndeclared: n.recordUndeclaredCall,
	})
	n.ingress = caller.New(caller.Options{
		Clock: n.clock, Board: n.board, Levels: n.levels, PermitBucket: n.permitBucket, CallerRequests: n.callerRequests,
		Forward: n.forwarder.Forward, IssueKey: n.requestKey, NewID: randomID, ObserveCall: n.observeIngress, CheckFresh: n.control.membership.CheckFresh,
	})
}

// maxBodyBytes returns the body size limit of the active configuration.
func (n *Node) maxBodyBytes() int64 {
	if active := n.board.ActiveConfig(); active != nil {
		return active.Policy().MaxBodyBytes()
	}
	return policy.DefaultMaxBodyBytes
}

// unavailableReason returns why the backend server accepts no new work, or "".
func (n *Node) unavailableReason() frame.Reason {
	if n.board.Leaving() {
		return frame.ReasonLeaving
	}
	if n.board.ListedLeaving() {
		return frame.ReasonDraining
	}
	return n.backendMonitor.UnavailableReason()
}

func (n *Node) recordUndeclaredCall(from, to frame.Target) {
	n.metrics.Count("dogwood_undeclared_calls_total")
	n.log.WithFields(logrus.Fields{"from": from.String(), "to": to.String()}).Debug("call is not declared in the graph")
}

func (n *Node) observeIngress(c caller.Call, o frame.Outcome, r frame.Reason, latency time.Duration) {
	class := "other"
	if active := n.board.ActiveConfig(); active != nil {
		class = active.Policy().ClassName(c.Class())
	}
	n.metrics.ObserveIngress(c.Target(), c.Caller(), class, o, r, latency)
}

// applyPolicy configures the permit bucket and the admission gate from the policy.
func (n *Node) applyPolicy(p *policy.Policy) {
	n.permitBucket.Configure(p.PermitRatio(), p.PermitBurst())
	s, ok := p.Service(n.settings.Service())
	if !ok {
		n.log.WithField("service", n.settings.Service()).Warn("the configuration in force does not declare this node's service")
		return
	}
	n.gate.Configure(admit.Limits{
		Slots: s.Slots(), MaxConnections: s.MaxConnections(), Queue: s.QueueCapacity(), Share: s.DependencyShare(),
		Enabled: p.ControlMode() == policy.ControlFull,
	})
}

// requestKey requests an operation key from any node of the service, this one included.
func (n *Node) requestKey(ctx context.Context, t frame.Target) (string, error) {
	var tried []string
	for range 3 {
		vm, err := n.chooser.Pick(t.Service(), tried)
		if err != nil {
			return "", err
		}
		tried = append(tried, vm.Name())
		key, err := n.peerClient.RequestKey(ctx, vm, t)
		n.chooser.Report(vm.Name(), route.AttemptResult{Err: err})
		if err == nil {
			return key, nil
		}
	}
	return "", frame.NotRunError(frame.ReasonDial, "no node of "+t.Service()+" issued a key")
}

// issueLocalKey issues a key for an operation of this node's service.
func (n *Node) issueLocalKey(t frame.Target) (string, error) {
	if reason := n.unavailableReason(); reason != "" {
		return "", frame.NotRunError(reason, "the backend server takes no new work")
	}
	if t.Service() != n.settings.Service() {
		return "", frame.NotRunError(frame.ReasonService, "this node serves "+n.settings.Service())
	}
	key, err := n.operationKeys.Issue(t, keyLifetime)
	return key, eris.Wrap(err, "issue key")
}

func randomID() frame.ID { return frame.NewID(rand.Uint64) }
