package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
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
	// unacked is how long sent bytes may stay unacknowledged before a connection
	// counts as broken: a VM behind a partition answers nothing.
	unacked = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections that went silent.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// usablePart is the part of a backend server's slots that is used: some get
	// slower when nearly full.
	usablePart = 0.94
	// spill is the utilisation of the own zone above which others are used. Bytes
	// between zones are dear, and the queue holds what is a little above the slots.
	spill = 1
	// queuePart is the length of the queue in slots. Patience and deadlines bound
	// the wait; a short queue would evict calls of running work.
	queuePart = 16
)

// Node is one process on the users' platform.
type Node struct {
	set     *settings.Mesh
	version string
	log     *logrus.Logger
	clock   clockwork.Clock

	view       *catalog.View
	follower   *catalog.Follower
	board      *board.Board
	chooser    *route.Chooser
	gate       *admit.Gate
	budgets    *budgets
	splitter   *splitter
	seat       *seat
	entry      *entry
	server     *server
	syncer     *syncer
	feeder     *feeder
	metrics    *operator.Metrics
	controlSet *metrics.Set
	// memory is for the bodies of all requests and responses, in bytes.
	memory *semaphore.Weighted
	// peers, backend and store are the connections to other nodes, to the backend
	// server and to the platform's store.
	peers, backend, store *h1.Client
	controlClient         *peer.ControlClient
	controlServer         *peer.ControlServer
	// leaving is set when the process is to end, closed when its backend server
	// takes no more work.
	leaving, closed atomic.Bool
	// grace is a time.Duration.
	grace atomic.Int64
}

// dialFunc is the type of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New builds a node from its settings. Nothing runs yet.
func New(s *settings.Mesh, version string, log *logrus.Logger, clock clockwork.Clock) *Node {
	return newNode(s, version, log, clock, newDialer().DialContext)
}

// newNode is New with a seam through which tests cut and delay connections.
func newNode(s *settings.Mesh, version string, log *logrus.Logger, clock clockwork.Clock, dial dialFunc) *Node {
	n := &Node{
		set: s, version: version, log: log, clock: clock,
		metrics: operator.NewMetrics(), controlSet: metrics.NewSet(), memory: semaphore.NewWeighted(s.Memory() / keptPart),
		budgets: newBudgets(s.Ratio(), s.Slack(), clock), splitter: newSplitter(rand.Float64),
	}
	n.grace.Store(int64(s.Grace()))
	self := frame.NewIncarnation(s.VM(), newRand())
	n.board = board.New(board.NewSelf(board.NewVM(board.VMFields{
		Name: s.VM(), Zone: s.Zone(), Region: s.Region(), Service: s.Service(),
	}), s.Region(), self))
	n.gate = admit.NewGate(admit.Options{
		Clock: clock, Limits: admit.Limits{Slots: 1, Connections: 1, Enabled: true},
		// The list says how many slots the backend server has.
		Algorithm: admit.AlgorithmFixed,
	})
	n.chooser = route.NewChooser(n.board, route.Options{Clock: clock, Rand: newRand(), Spill: spill})
	n.view = catalog.NewView(catalog.ViewOptions{Clock: clock, Changed: n.changed, Configured: n.configured})
	n.wireClients(dial)
	n.wireCalls()
	n.wireControl(dial)
	return n
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) wireClients(dial dialFunc) {
	n.peers = h1.NewClient(h1.Options{Clock: n.clock, Dial: dial})
	n.backend = h1.NewClient(h1.Options{Clock: n.clock, Dial: dial, Idle: backendIdle, Echo: platform.HeaderRequest})
	n.store = h1.NewClient(h1.Options{Clock: n.clock, Dial: dial})
}

// backendIdle is how many idle connections to the backend server are kept: more
// than the slots of any, so that a burst does not open them again.
const backendIdle = 256

// newDialer returns a dialer whose connections notice a silent peer.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

func (n *Node) wireCalls() {
	n.seat = newSeat(seatOptions{
		clock: n.clock, log: n.log, gate: n.gate, http: n.backend, metrics: n.metrics, memory: n.memory,
		address: n.set.Backend(), leaving: n.closed.Load,
	})
	n.server = &server{clock: n.clock, seat: n.seat, memory: n.memory, service: n.set.Service()}
	n.entry = newEntry(entryOptions{
		clock: n.clock, log: n.log, view: n.view, board: n.board, chooser: n.chooser, budgets: n.budgets,
		splitter: n.splitter, seat: n.seat, client: &client{clock: n.clock, http: n.peers, memory: n.memory}, metrics: n.metrics,
		memory:  n.memory,
		service: n.set.Service(), random: rand.Float64, leaving: n.leaving.Load,
	})
}

func (n *Node) wireControl(dial dialFunc) {
	store := platform.NewStore(n.set.Store(), n.store, func(key string, err error) {
		n.log.WithFields(logrus.Fields{"key": key, "error": err.Error()}).Warn("entry names no backend server")
	})
	n.follower = catalog.NewFollower(catalog.FollowerOptions{
		Clock: n.clock, View: n.view, Config: store.Config, List: store.List, Watch: store.Watch,
		Connected: n.connected, Random: rand.Float64, Reading: func() bool { return n.feeder.reading() },
	})
	n.controlClient = peer.NewControlClient(peer.ControlClientOptions{Clock: n.clock, Metrics: n.controlSet, Dial: dial})
	n.syncer = newSyncer(syncOptions{
		clock: n.clock, log: n.log, view: n.view,
		self: net.JoinHostPort(n.set.IP(), strconv.Itoa(n.set.ControlPort())), port: n.set.ControlPort(),
		zone: n.set.Zone(), informed: func() bool { return n.feeder.informed() }, ask: n.controlClient.View,
	})
	n.feeder = newFeeder(feedOptions{
		clock: n.clock, log: n.log, sync: n.syncer, self: n.syncer.o.self, up: n.follower.Up, send: n.controlClient.Feed,
	})
	n.controlServer = peer.NewControlServer(peer.ControlServerOptions{
		Metrics: n.controlSet, Handlers: peer.Handlers{View: n.syncer.handle, Feed: n.feeder.handle},
	})
}

// connected logs that the store was lost or regained.
func (n *Node) connected(err error) {
	fields := logrus.Fields{"store": n.set.Store(), "config": n.view.Version(), "list": n.view.Rev()}
	if err != nil {
		fields["error"] = err.Error()
		n.log.WithFields(fields).Warn("store lost")
		return
	}
	n.log.WithFields(fields).Info("store connected")
}

// configured takes over a new configuration.
func (n *Node) configured(c *catalog.Config) {
	n.splitter.configure()
	n.feeder.changed()
	n.log.WithFields(logrus.Fields{"config": c.Version(), "routes": len(c.Document().Routes)}).Info("configuration in force")
}

// changed takes over a new list of backend servers.
func (n *Node) changed(servers []catalog.Server) {
	zones := n.set.Zones()
	vms := make([]board.VM, 0, len(servers))
	var own *catalog.Server
	for _, s := range servers {
		vms = append(vms, board.NewVM(board.VMFields{
			Name: s.ID, Zone: s.Zone, Region: zones[s.Zone], Service: s.Service, Slots: s.Slots,
			CallAddr: onPort(s.Address, n.set.CallPort()), ControlAddr: onPort(s.Address, n.set.ControlPort()),
			Leaving: s.Draining,
		}))
		if s.Address == n.set.Backend() && s.Service == n.set.Service() && (own == nil || s.Born > own.Born) {
			own = &s
		}
	}
	n.board.SetMembers(board.NewMembers(n.view.Rev(), vms))
	n.feeder.changed()
	n.forget(servers)
	n.syncer.learn(servers)
	n.budgets.resize(n.syncer.nodes() + 1)
	n.seated(own)
	n.log.WithFields(logrus.Fields{"list": n.view.Rev(), "servers": len(servers)}).Info("list in force")
}

// forget drops what is known of peers that are no longer listed.
func (n *Node) forget(servers []catalog.Server) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	var gone []string
	n.board.Peers().Range(func(name string, p board.Peer) bool {
		if !listed[name] && p.Inflight == 0 {
			gone = append(gone, name)
		}
		return true
	})
	for _, name := range gone {
		n.board.Peers().Delete(name)
	}
}

// seated takes over the entry of the own backend server, nil where it has none.
func (n *Node) seated(own *catalog.Server) {
	before := n.seat.seated(own)
	if own == nil || before != nil && before.Slots == own.Slots {
		return
	}
	limit := max(int(usablePart*float64(own.Slots)), 1)
	n.gate.Configure(admit.Limits{Slots: limit, Connections: limit, Queue: queuePart * own.Slots, Enabled: true})
	n.log.WithFields(logrus.Fields{"instance": own.ID, "slots": own.Slots, "limit": limit}).Info("own backend server is listed")
}

// Reload takes over the settings that may change while the process runs: the
// log level, the grace and the retry bounds. The others need a restart.
func (n *Node) Reload(s *settings.Mesh) {
	level, err := logrus.ParseLevel(s.Log())
	if err != nil {
		n.log.WithField("error", err.Error()).Warn("log level of the new settings is not known")
	} else {
		n.log.SetLevel(level)
	}
	n.grace.Store(int64(s.Grace()))
	n.budgets.configure(s.Ratio(), s.Slack())
	n.log.WithFields(logrus.Fields{"grace": s.Grace().String(), "ratio": s.Ratio(), "slack": s.Slack()}).Info("reload")
}
