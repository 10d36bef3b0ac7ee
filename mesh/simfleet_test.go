package mesh

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/catalog"
	"dogwoodhead/h1"
	"dogwoodhead/peer"
	"dogwoodhead/platform"
	"dogwoodhead/standin"
)

const (
	// linkDelay is the usual delay of a message, plus up to linkJitter. The fraction
	// slowMessages takes up to maxLinkDelay.
	linkDelay, linkJitter, maxLinkDelay = 5 * time.Millisecond, time.Millisecond, 400 * time.Millisecond
	slowMessages                        = 0.05
	// startStep is the time between the starts of the parts of a node.
	startStep = time.Millisecond
	// callDrain is when all calls between nodes have ended after the nodes stopped.
	callDrain = 3 * time.Second
)

// simFleet is a store, and the parts of nodes that follow it and update each other.
// It runs in a bubble of synctest.
type simFleet struct {
	// rand draws the changes and disturbances; only play uses it. If it is nil, nodes
	// pause for as long as they may, and no message is slow.
	rand      *rand.Rand
	clock     clockwork.Clock
	store     *standin.Store
	listener  standin.PipeListener
	server    *http.Server
	storeDown []period
	// zones and zoneNodes are the size of the fleet at its start.
	zones, zoneNodes int
	// nodesMu guards nodes, which only play changes.
	nodesMu sync.Mutex
	nodes   []*simNode
	// configAt and leftAt hold when the store acknowledged a version and the removal
	// of a server.
	configAt map[uint64]time.Time
	leftAt   map[string]time.Time
}

// period is the time of a disturbance.
type period struct{ from, to time.Time }

// simNode is one node of a simFleet, with its backend server.
type simNode struct {
	fleet  *simFleet
	random nodeRand
	app    *standin.App
	addr   string
	view   *catalog.View
	syncer *syncer
	feeder *feeder
	// cut is set while the node is cut off from the store; silences counts how often
	// its connections to the store went silent for good.
	cut      atomic.Bool
	silences atomic.Int32
	// isolated is set while it is cut off from the other nodes.
	isolated atomic.Bool
	// leaving is set once the backend server leaves the list for good.
	leaving  atomic.Bool
	stopped  atomic.Bool
	stop     func()
	disturbs []period

	mu sync.Mutex
	// configAt and leftAt hold when the node acted on a version and on the removal of
	// a server.
	configAt map[uint64]time.Time
	leftAt   map[string]time.Time
	listed   map[string]bool
}

// cutConn is a connection to the store. It stays silent once a read or write ends
// while the node is cut off from the store, or after the node's connections went silent.
type cutConn struct {
	net.Conn
	node *simNode
	// silences is that of the node when the connection was opened.
	silences int32
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (c *cutConn) isSilent() bool {
	if c.node.cut.Load() || c.node.silences.Load() != c.silences {
		c.silent.Store(true)
	}
	return c.silent.Load()
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// newSimFleet returns a store without nodes.
func newSimFleet(random *rand.Rand) *simFleet {
	f := &simFleet{
		rand: random, clock: clockwork.NewRealClock(), store: standin.NewStore(), listener: standin.NewPipeListener(),
		configAt: make(map[uint64]time.Time), leftAt: make(map[string]time.Time),
	}
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: waitLimit}
	go func() { _ = f.server.Serve(f.listener) }()
	return f
}

// close stops the store and all nodes, and waits for the calls between them.
func (f *simFleet) close() {
	for _, n := range f.nodes {
		if !n.stopped.Load() {
			n.stop()
		}
	}
	time.Sleep(callDrain)
	_ = f.server.Close()
}

// add starts a node whose backend server is listed.
func (f *simFleet) add(zone int) *simNode {
	ip := fmt.Sprintf("10.0.%d.%d", zone, len(f.nodes)+1)
	app := standin.NewApp(standin.AppOptions{ID: "i-" + ip, Service: "s", Zone: fmt.Sprint(zone), Addr: ip + ":80", Slots: 1})
	app.Register(f.store, false)
	return f.start(ip+":1", fmt.Sprint(zone), app)
}

// start starts a node.
func (f *simFleet) start(addr, zone string, app *standin.App) *simNode {
	var random nodeRand
	if f.rand != nil {
		seed := f.rand.Uint64()
		random.seed = &seed
	}
	n := &simNode{
		fleet: f, random: random, addr: addr, app: app, configAt: make(map[uint64]time.Time), leftAt: make(map[string]time.Time),
	}
	n.view = catalog.NewView(catalog.ViewOptions{Clock: f.clock, ServersChanged: n.recordServers, ConfigChanged: n.recordConfig})
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := h1.NewClient(h1.Options{Clock: f.clock, Dial: n.dialStore, IdleTimeout: storeIdleTimeout})
	store := platform.NewStore("store:1", client, func(string, error) {})
	follower := catalog.NewFollower(catalog.FollowerOptions{
		Clock: f.clock, View: n.view, Read: store.Read, Random: func() float64 { return random.float64("pause") },
		Watch: func(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Event, uint64, error) {
			defer random.delay("watch")
			return store.Watch(ctx, after, wait)
		},
		Mode: func() catalog.ReadMode { return n.feeder.readMode() }, MaxRetryDelay: func() time.Duration { return n.feeder.maxRetryDelay() },
		Responded: func() { n.feeder.recordResponse() }, StoreUnavailable: isStoreUnavailable,
		OutageEnded:       func() (time.Duration, bool) { return n.feeder.contact.outageEnded() },
		ConnectionChanged: func(error) {}, ReadingStopped: func() {},
		CallFailed: func(error, time.Duration, time.Duration) {}, StaleReadFailed: func(error) {},
	})
	n.syncer = newSyncer(syncerOptions{
		clock: f.clock, log: log, view: n.view, selfAddr: n.addr, port: 1, zone: zone, randomIntN: random.intN,
		receivesChanges: func() bool { return n.feeder.receivesChanges() },
		outageEnded:     func() (time.Duration, bool) { return n.feeder.contact.outageEnded() },
		requestView: func(ctx context.Context, addr string, r peer.ViewRequest) (peer.Update, error) {
			return callNode(ctx, n, addr, "view", func(to *simNode) (peer.Update, error) { return to.syncer.handleView(ctx, r) })
		},
	})
	n.feeder = newFeeder(feederOptions{
		clock: f.clock, log: log, sync: n.syncer, selfAddr: n.addr, storeUp: follower.Connected, listed: func() bool { return true },
		sendFeed: func(ctx context.Context, addr string, feed peer.Feed) (peer.ViewRequest, error) {
			return callNode(ctx, n, addr, "feed", func(to *simNode) (peer.ViewRequest, error) { return to.feeder.handleFeed(ctx, feed) })
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, run := range []func(context.Context){follower.Run, n.syncer.run, n.feeder.run, n.removeExpired} {
		wg.Go(func() {
			// What starts at the same time runs in any order.
			time.Sleep(time.Duration(i) * startStep)
			run(ctx)
		})
	}
	n.stop = func() {
		n.stopped.Store(true)
		cancel()
		client.Close()
		wg.Wait()
	}
	f.nodesMu.Lock()
	defer f.nodesMu.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

// callNode calls another node. A node that has stopped does not respond.
func callNode[T any](ctx context.Context, from *simNode, addr, message string, handle func(*simNode) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	message += " " + addr
	from.random.delay(message)
	to := from.fleet.node(addr)
	if to == nil || to.isolated.Load() || from.isolated.Load() {
		var none T
		<-ctx.Done()
		return none, ctx.Err()
	}
	result, err := handle(to)
	from.random.delay(message)
	return result, err
}

// node returns the node that runs at a control address, or nil.
func (f *simFleet) node(addr string) *simNode {
	f.nodesMu.Lock()
	defer f.nodesMu.Unlock()
	if i := slices.IndexFunc(f.nodes, func(n *simNode) bool { return n.addr == addr && !n.stopped.Load() }); i >= 0 {
		return f.nodes[i]
	}
	return nil
}

// nodeRand draws the random numbers of one node. Without a seed all numbers are as large
// as possible.
type nodeRand struct{ seed *uint64 }

// float64 returns a number in [0, 1) that depends only on the seed, the purpose and the
// time. If the goroutines of a node drew numbers of one sequence, the order in which
// they run would decide who gets which, and a seed would not repeat its run.
func (r nodeRand) float64(purpose string) float64 {
	if r.seed == nil {
		return math.Nextafter(1, 0)
	}
	hash := xxhash.Sum64String(fmt.Sprint(*r.seed, purpose, time.Now().UnixNano()))
	return rand.New(rand.NewPCG(hash, 0)).Float64()
}

func (r nodeRand) intN(n int) int { return int(r.float64("index") * float64(n)) }

// delay waits for a message to arrive. No two messages take equally long, since those
// that arrive at the same time are handled in any order.
func (r nodeRand) delay(message string) {
	delay := linkDelay
	if r.float64("slow "+message) < slowMessages {
		delay = time.Duration(r.float64("delay "+message) * float64(maxLinkDelay))
	}
	time.Sleep(delay + time.Duration(r.float64("jitter "+message)*float64(linkJitter)))
}

func (n *simNode) dialStore(ctx context.Context, network, addr string) (net.Conn, error) {
	if n.cut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := n.fleet.listener.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, node: n, silences: n.silences.Load(), closed: make(chan struct{})}, nil
}

func (n *simNode) removeExpired(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(gateInterval)
		n.view.RemoveExpired()
	}
}

func (n *simNode) recordConfig(c *catalog.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configAt[c.Version()] = time.Now()
}

// history returns when the node acted on what.
func (n *simNode) history() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	// fmt prints maps in the order of their keys.
	return fmt.Sprint(n.addr, n.configAt, n.leftAt)
}

// recordServers records when a server was last removed.
func (n *simNode) recordServers(servers []catalog.Server) {
	n.mu.Lock()
	listed := make(map[string]bool)
	for _, s := range servers {
		listed[s.ID] = true
	}
	for id := range n.listed {
		if !listed[id] {
			n.leftAt[id] = time.Now()
		}
	}
	n.listed = listed
	n.mu.Unlock()
	n.syncer.updatePeers(servers)
	n.feeder.notify()
}
