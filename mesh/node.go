package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"dogwoodhead/admit"
	"dogwoodhead/board"
	"dogwoodhead/catalog"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/operator"
	"dogwoodhead/peer"
	"dogwoodhead/platform"
	"dogwoodhead/route"
	"dogwoodhead/settings"
)

const (
	// dialTimeout bounds opening a connection to another VM.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken: a VM behind a partition does not respond.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount set the keep-alive that detects dead
	// connections.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// usableFraction is the fraction of a backend server's slots that is used:
	// some servers slow down when nearly full.
	usableFraction = 0.94
	// spillUtilisation is the utilisation of the local zone above which other zones
	// are used. Traffic between zones is expensive, and queues absorb a small excess
	// over the slots.
	spillUtilisation = 1
	// queuePerSlot is the queue length per slot. The maximum queue wait and
	// deadlines bound the wait; a short queue would evict child requests.
	queuePerSlot = 16
)

// Node is the process beside one backend server. New builds it, Run starts it.
type Node struct {
	settings *settings.Mesh
	version  string
	log      *logrus.Logger
	clock    clockwork.Clock

	view           *catalog.View
	follower       *catalog.Follower
	board          *board.Board
	chooser        *route.Chooser
	gate           *admit.Gate
	budgets        *retryBudgets
	splitter       *splitter
	localBackend   *localBackend
	ingress        *ingress
	peerServer     *peerServer
	sent           *sentRequests
	syncer         *syncer
	feeder         *feeder
	metrics        *operator.Metrics
	controlMetrics *metrics.Set
	// bodyMemory limits the bytes of all buffered request and response bodies.
	bodyMemory *semaphore.Weighted
	// peerHTTP, backendHTTP and storeHTTP are the HTTP clients for other nodes, the
	// backend server and the platform's store.
	peerHTTP, backendHTTP, storeHTTP *h1.Client
	controlClient                    *peer.ControlClient
	controlServer                    *peer.ControlServer
	// leaving is set when shutdown starts, backendClosed when the node stops
	// accepting work for its backend server, callersClosed when it stops accepting
	// requests of callers.
	leaving, backendClosed, callersClosed atomic.Bool
	// latestDeadline is the latest deadline of the requests that this node takes, nil
	// until shutdown starts.
	latestDeadline atomic.Pointer[time.Time]
	// lifetime ends when a stop interrupts the requests in progress.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// grace is the shutdown grace period, a time.Duration.
	grace atomic.Int64
	// holdLimits bound what the clients of the listeners make the process hold.
	holdLimits holdLimits
	// incarnations is used by applyServers, whose calls do not overlap.
	incarnations *incarnations
}

// dialFunc is the type of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New builds a node from its settings. Run starts it.
func New(s *settings.Mesh, version string, log *logrus.Logger, clock clockwork.Clock) *Node {
	return newNode(s, version, log, clock, newDialer().DialContext)
}

// newNode is New with a dial function, for tests that cut or delay connections.
func newNode(s *settings.Mesh, version string, log *logrus.Logger, clock clockwork.Clock, dial dialFunc) *Node {
	n := &Node{
		settings: s, version: version, log: log, clock: clock,
		metrics: operator.NewMetrics(), controlMetrics: metrics.NewSet(), bodyMemory: semaphore.NewWeighted(s.MemoryLimit() / bodyMemoryDivisor),
		holdLimits: newHoldLimits(descriptorLimit(s, log), s.MemoryLimit()),
		budgets:    newRetryBudgets(s.RetryRatio(), s.RetrySlack(), clock), splitter: newSplitter(rand.Float64),
	}
	n.lifetime, n.endLifetime = context.WithCancel(context.Background())
	n.grace.Store(int64(s.Grace()))
	self := frame.NewIncarnation(s.VM(), newRand())
	n.board = board.New(board.NewSelf(board.NewVM(board.VMFields{
		Name: s.VM(), Zone: s.Zone(), Region: s.Region(), Service: s.Service(),
	}), s.Region(), self))
	n.incarnations = newIncarnations(clock, n.board.Peers())
	n.gate = admit.NewGate(admit.Options{
		Clock: clock, Limits: admit.Limits{Slots: 1, MaxConnections: 1, Enabled: true},
		// The list sets the number of slots when it arrives.
		Algorithm: admit.AlgorithmFixed,
	})
	n.chooser = route.NewChooser(n.board, route.Options{Clock: clock, Rand: newRand(), SpillThreshold: spillUtilisation})
	n.view = catalog.NewView(catalog.ViewOptions{Clock: clock, ServersChanged: n.applyServers, ConfigChanged: n.applyConfig, RemovalDeferred: n.logDeferredRemoval})
	n.buildClients(dial)
	n.controlClient = peer.NewControlClient(peer.ControlClientOptions{Clock: n.clock, Metrics: n.controlMetrics, Dial: dial})
	n.buildCallPath()
	n.buildControl()
	return n
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) buildClients(dial dialFunc) {
	n.peerHTTP = h1.NewClient(h1.Options{Clock: n.clock, Dial: dial, MaxIdle: n.holdLimits.idlePeerConns})
	n.backendHTTP = h1.NewClient(h1.Options{
		Clock: n.clock, Dial: dial, MaxIdlePerServer: n.holdLimits.idleBackendConns, RequestIDHeader: platform.HeaderRequestID,
	})
	n.storeHTTP = h1.NewClient(h1.Options{Clock: n.clock, Dial: dial, IdleTimeout: storeIdleTimeout})
}

// storeIdleTimeout is longer than the pauses between the calls of a node that reads the
// store. One that takes over from the readers opens a new connection: while an old one
// was idle it may have gone silent unnoticed.
const storeIdleTimeout = time.Second

// maxIdleBackendConns is how many idle connections to the backend server are
// kept: more than any server has slots, so that a burst opens no new ones.
const maxIdleBackendConns = 256

// newDialer returns a dialer whose connections detect an unresponsive peer.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}

func (n *Node) buildCallPath() {
	n.localBackend = newLocalBackend(localBackendOptions{
		clock: n.clock, log: n.log, gate: n.gate, http: n.backendHTTP, metrics: n.metrics, bodyMemory: n.bodyMemory,
		addr: n.settings.BackendAddr(), leaving: n.backendClosed.Load,
	})
	n.peerServer = &peerServer{clock: n.clock, localBackend: n.localBackend, bodyMemory: n.bodyMemory, service: n.settings.Service(), lifetime: n.lifetime}
	n.sent = newSentRequests(n.log, n.controlClient.Withdraw)
	n.ingress = newIngress(ingressOptions{
		clock: n.clock, log: n.log, view: n.view, board: n.board, chooser: n.chooser, budgets: n.budgets,
		splitter: n.splitter, localBackend: n.localBackend, client: &peerClient{clock: n.clock, http: n.peerHTTP, bodyMemory: n.bodyMemory}, metrics: n.metrics, sent: n.sent,
		bodyMemory: n.bodyMemory,
		service:    n.settings.Service(), random: rand.Float64, leaving: n.leaving.Load, closed: n.callersClosed.Load,
		latestDeadline: n.loadLatestDeadline, lifetime: n.lifetime,
	})
}

// loadLatestDeadline returns the latest deadline of the requests that this node
// takes, and true once shutdown has started.
func (n *Node) loadLatestDeadline() (time.Time, bool) {
	if latest := n.latestDeadline.Load(); latest != nil {
		return *latest, true
	}
	return time.Time{}, false
}

func (n *Node) buildControl() {
	store := platform.NewStore(n.settings.StoreAddr(), n.storeHTTP, n.logInvalidEntry)
	n.follower = catalog.NewFollower(catalog.FollowerOptions{
		Clock: n.clock, View: n.view, Read: store.Read, Watch: store.Watch, ConnectionChanged: n.logStoreState, Random: rand.Float64,
		Mode: func() catalog.ReadMode { return n.feeder.readMode() }, MaxRetryDelay: func() time.Duration { return n.feeder.maxRetryDelay() },
		Responded: func() { n.feeder.recordResponse() }, StoreUnavailable: isStoreUnavailable, CallFailed: n.logFailedStoreCall,
		OutageEnded: func() (time.Duration, bool) { return n.feeder.contact.outageEnded() }, ReadingStopped: n.logReadingStopped,
		StaleReadFailed: func(err error) { n.log.WithField("error", err.Error()).Debug("stale read failed") },
	})
	n.syncer = newSyncer(syncerOptions{
		clock: n.clock, log: n.log, view: n.view,
		// The other nodes know this one by the address of its backend server.
		selfAddr: onPort(n.settings.BackendAddr(), n.settings.ControlPort()), port: n.settings.ControlPort(),
		zone: n.settings.Zone(), receivesChanges: func() bool { return n.feeder.receivesChanges() },
		outageEnded: func() (time.Duration, bool) { return n.feeder.contact.outageEnded() }, requestView: n.controlClient.View,
	})
	n.feeder = newFeeder(feederOptions{
		clock: n.clock, log: n.log, sync: n.syncer, selfAddr: n.syncer.opts.selfAddr, storeUp: n.follower.Connected, sendFeed: n.controlClient.Feed,
		listed: func() bool { return n.localBackend.server.Load() != nil },
	})
	n.controlServer = peer.NewControlServer(peer.ControlServerOptions{
		Metrics: n.controlMetrics, Handlers: peer.Handlers{View: n.syncer.handleView, Feed: n.feeder.handleFeed, Withdraw: n.localBackend.withdraw},
	})
}

// isStoreUnavailable reports whether a failed call shows that the store is
// unavailable. A connection that was in use before may have gone silent alone.
func isStoreUnavailable(err error) bool {
	var failed *h1.Error
	return !errors.As(err, &failed) || !failed.Reused()
}

// applyConfig reacts to a new active configuration.
func (n *Node) applyConfig(c *catalog.Config) {
	n.splitter.reset()
	n.feeder.notify()
	n.log.WithFields(logrus.Fields{"config": c.Version(), "routes": len(c.Document().Routes)}).Info("configuration in force")
}

// applyServers applies a new list of backend servers.
func (n *Node) applyServers(servers []catalog.Server) {
	zones := n.settings.ZoneRegions()
	current, replaced := catalog.SplitReplaced(servers)
	vms := make([]board.VM, 0, len(current))
	var local *catalog.Server
	for _, s := range current {
		vms = append(vms, board.NewVM(board.VMFields{
			Name: s.ID, Zone: s.Zone, Region: zones[s.Zone], Service: s.Service, Slots: s.Slots,
			CallAddr: onPort(s.Addr, n.settings.CallPort()), ControlAddr: onPort(s.Addr, n.settings.ControlPort()),
			Leaving: s.Draining,
		}))
		if s.Addr == n.settings.BackendAddr() && s.Service == n.settings.Service() {
			local = &s
		}
	}
	n.board.SetMembers(board.NewMembers(n.view.Rev(), vms))
	n.feeder.notify()
	n.incarnations.update(current)
	n.syncer.updatePeers(current)
	n.budgets.setNodes(n.syncer.peerCount() + 1)
	n.setLocalServer(local, n.localIDs(replaced))
	n.log.WithFields(logrus.Fields{"list": n.view.Rev(), "servers": len(current), "replaced": len(replaced)}).Info("list in force")
}

// localIDs returns the ids of the servers at the local backend server's address.
func (n *Node) localIDs(servers []catalog.Server) []string {
	var ids []string
	for _, s := range servers {
		if s.Addr == n.settings.BackendAddr() {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// setLocalServer applies the local backend server's list entry, nil if not listed,
// and the ids of the servers that it replaced.
func (n *Node) setLocalServer(local *catalog.Server, replaced []string) {
	prev := n.localBackend.setServer(local, replaced)
	if local == nil || prev != nil && prev.Slots == local.Slots {
		return
	}
	limit := max(int(usableFraction*float64(local.Slots)), 1)
	n.gate.Configure(admit.Limits{Slots: limit, MaxConnections: limit, Queue: queuePerSlot * local.Slots, Enabled: true})
	n.log.WithFields(logrus.Fields{"instance": local.ID, "slots": local.Slots, "limit": limit}).Info("own backend server is listed")
}

// Reload applies the settings that may change while the process runs: the log
// level, the grace period and the retry bounds. Other settings need a restart.
func (n *Node) Reload(s *settings.Mesh) {
	level, err := logrus.ParseLevel(s.LogLevel())
	if err != nil {
		n.log.WithField("error", err.Error()).Warn("log level of the new settings is not known")
	} else {
		n.log.SetLevel(level)
	}
	n.grace.Store(int64(s.Grace()))
	n.budgets.configure(s.RetryRatio(), s.RetrySlack())
	n.log.WithFields(logrus.Fields{"grace": s.Grace().String(), "ratio": s.RetryRatio(), "slack": s.RetrySlack()}).Info("reload")
}
