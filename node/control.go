package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/member"
	"dogwoodhead/operator"
	"dogwoodhead/peer"
	"dogwoodhead/policy"
	"dogwoodhead/relay"
	"dogwoodhead/source"
)

const (
	// controlWorkers and controlQueueLength bound the pool that sends control messages.
	controlWorkers     = 8
	controlQueueLength = 512
	// helloTimeout bounds a hello that requests a peer's incarnation while a call waits.
	helloTimeout = 500 * time.Millisecond
	// minHelloInterval is the shortest time between two background hellos to one VM.
	minHelloInterval = time.Second
)

// controlPlane distributes the configuration, the VM list and heartbeats.
type controlPlane struct {
	node       *Node
	metricSet  *metrics.Set
	platform   *source.Client
	watcher    *source.Watcher
	client     *peer.ControlClient
	server     *peer.ControlServer
	workers    *board.Workers[func(context.Context)]
	store      *relay.Store
	relay      *relay.Relay
	membership *member.Membership

	mu sync.Mutex
	// lastHello is the time of the last background hello by VM name, guarded by mu.
	lastHello map[string]time.Time
}

func newControlPlane(n *Node) *controlPlane {
	c := &controlPlane{node: n, metricSet: metrics.NewSet(), lastHello: make(map[string]time.Time)}
	c.platform = source.NewClient(source.Options{Addr: strings.TrimPrefix(n.settings.PlatformURL(), "http://")})
	c.watcher = source.NewWatcher(c.platform)
	c.client = peer.NewControlClient(peer.ControlClientOptions{Clock: n.clock, Metrics: c.metricSet, Dial: n.dial})
	c.workers = board.NewWorkers(controlWorkers, controlQueueLength, func(ctx context.Context, task func(context.Context)) { task(ctx) })
	c.store = relay.NewStore(relay.StoreOptions{Site: n.settings.Site(), Check: checkDocument, Apply: c.applyChange})
	c.relay = relay.New(relay.Options{
		Self: n.board.Self(), Clock: n.clock, Rand: newRand(), Store: c.store, Metrics: c.metricSet,
		Members: n.board.Members, Lookup: func(name string) (board.VM, bool) { return c.membership.Lookup(name) },
		StoresKey: inScope,
		Push: func(ctx context.Context, vm board.VM, r relay.PushRequest) (relay.PushReply, error) {
			return c.client.Push(ctx, vm.ControlAddr(), r)
		},
		Pull: func(ctx context.Context, vm board.VM, r relay.PullRequest) (relay.PullReply, error) {
			return c.client.Pull(ctx, vm.ControlAddr(), r)
		},
		Seeds: n.settings.Seeds(), Read: c.platform.Read, Watch: c.watcher.Start, Go: c.workers.Submit,
	})
	c.membership = member.New(member.Options{
		Board: n.board, Clock: n.clock, Rand: newRand(), Metrics: c.metricSet,
		Services: c.calledServices, Load: n.gate.Load, Revs: c.store.Revs, ObserveRevs: c.relay.ObserveRevs,
		Ready: c.relay.Ready, Refresh: c.relay.Refresh,
		Hello: c.sendHello, Heartbeat: c.sendHeartbeat, Leave: c.client.Leave, Go: c.workers.Submit,
	})
	c.server = peer.NewControlServer(peer.ControlServerOptions{Metrics: c.metricSet, Handlers: peer.Handlers{
		Hello: c.withSequenceFloor(c.membership.HandleHello), Heartbeat: c.withSequenceFloor(c.membership.HandleHeartbeat), Leave: c.membership.HandleLeave,
		Push: c.relay.HandlePush, Pull: c.relay.HandlePull,
	}})
	return c
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run serves control messages until ctx is done.
func (c *controlPlane) run(ctx context.Context) error {
	ln, err := peer.Listen(c.node.settings.ControlAddr())
	if err != nil {
		return eris.Wrapf(err, "listen on %s for control messages", c.node.settings.ControlAddr())
	}
	metrics.RegisterSet(c.metricSet)
	defer metrics.UnregisterSet(c.metricSet, true)
	var wg sync.WaitGroup
	wg.Go(func() { c.workers.Run(ctx) })
	wg.Go(func() { c.relay.Run(ctx) })
	wg.Go(func() { c.membership.Run(ctx) })
	wg.Go(func() { c.client.Run(ctx) })
	err = c.server.Serve(ctx, ln)
	wg.Wait()
	c.watcher.Close()
	c.platform.Close()
	return eris.Wrap(err, "serve control messages")
}

// withSequenceFloor sets, in the reply to a hello or heartbeat, the sequence
// number above which this node accepts the sender's attempts.
func (c *controlPlane) withSequenceFloor(next func(context.Context, member.State) (member.State, error)) func(context.Context, member.State) (member.State, error) {
	return func(ctx context.Context, s member.State) (member.State, error) {
		reply, err := next(ctx, s)
		reply.SequenceFloor = c.node.window.RegisterSender(s.From)
		return reply, err
	}
}

func (c *controlPlane) sendHello(ctx context.Context, addr string, s member.State) (member.State, error) {
	return c.raiseFloor(c.client.Hello(ctx, addr, s))
}

func (c *controlPlane) sendHeartbeat(ctx context.Context, addr string, s member.State) (member.State, error) {
	return c.raiseFloor(c.client.Heartbeat(ctx, addr, s))
}

// raiseFloor records above which sequence number a peer accepts this process's attempts.
func (c *controlPlane) raiseFloor(reply member.State, err error) (member.State, error) {
	if err == nil {
		c.node.sequencer.RaiseFloor(reply.From, reply.SequenceFloor)
	}
	return reply, err
}

// requestIncarnation sends a hello to a VM's node and returns its incarnation.
// It blocks for at most helloTimeout.
func (c *controlPlane) requestIncarnation(ctx context.Context, vm board.VM) (frame.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := c.membership.SendHello(ctx, vm)
	return reply.From, err
}

// probe sends a hello in the background to check that a VM's node responds.
func (c *controlPlane) probe(vm board.VM) {
	c.workers.Submit(func(ctx context.Context) { _, _ = c.requestIncarnation(ctx, vm) })
}

// scheduleHello sends a VM a hello in the background, limited by minHelloInterval.
func (c *controlPlane) scheduleHello(vm board.VM) {
	now := c.node.clock.Now()
	c.mu.Lock()
	due := now.Sub(c.lastHello[vm.Name()]) >= minHelloInterval
	if due {
		c.lastHello[vm.Name()] = now
	}
	c.mu.Unlock()
	if due {
		c.workers.Submit(func(ctx context.Context) { _, _ = c.requestIncarnation(ctx, vm) })
	}
}

// recordPeerCall passes on the revision pair received with a call from another
// node, and records the node as a recipient of this one's leave notice.
func (c *controlPlane) recordPeerCall(vm string, rev frame.Revision) {
	c.membership.RecordCall(vm)
	c.relay.ObserveRevisionPair(vm, rev)
}

// sendLeaveNotices sends a leave notice to the nodes that call this one.
func (c *controlPlane) sendLeaveNotices() { c.membership.Leave() }

// calledServices returns the services that this node's backend server calls.
func (c *controlPlane) calledServices() []string {
	active := c.node.board.ActiveConfig()
	if active == nil {
		return nil
	}
	s, ok := active.Policy().Service(c.node.settings.Service())
	if !ok {
		return nil
	}
	seen := make(map[string]bool)
	var names []string
	for op := range s.Operations() {
		for _, name := range op.Dependencies() {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// inScope reports whether a VM stores the document of a key: an overlay is stored
// in the region that its site is named after, other documents on all VMs.
func inScope(key string, vm board.VM) bool {
	site, ok := strings.CutPrefix(key, relay.OverlayKey(""))
	return !ok || vm.Region() == site
}

// checkDocument validates a document. The result depends only on its key and
// bytes, so all nodes accept the same documents.
func checkDocument(d relay.Document) error {
	switch {
	case d.Key() == relay.KeyBase:
		_, err := policy.ParseBase(d.Key(), d.Bytes())
		return err
	case relay.IsOverlay(d.Key()):
		_, err := policy.ParseOverlay(d.Key(), d.Bytes())
		return err
	default:
		_, err := member.ParseList(d.Bytes())
		return err
	}
}

// applyChange activates an accepted change. The store makes these calls in order.
func (c *controlPlane) applyChange(change relay.Change) {
	log := c.node.log.WithFields(logrus.Fields{"key": change.Changed.Key(), "revision": change.Changed.Rev()})
	if change.Changed.Key() == relay.KeyVMs {
		if err := c.membership.ApplyList(change.VMs); err != nil {
			log.WithError(err).Error("accepted VM list does not parse")
		}
		return
	}
	p, warnings, err := mergeDocuments(change)
	if err != nil {
		log.WithError(err).Error("accepted configuration does not parse")
		return
	}
	if p == nil {
		return
	}
	for _, w := range warnings {
		log.WithField("warning", w.String()).Warn("part of the configuration has no effect")
	}
	c.node.board.SetActiveConfig(board.NewActiveConfig(change.RevisionPair(), p))
	c.node.applyPolicy(p)
	log.WithField("pair", change.RevisionPair().String()).Info("configuration in force")
}

// mergeDocuments returns the policy of the active documents, nil without a base.
func mergeDocuments(change relay.Change) (*policy.Policy, []policy.Warning, error) {
	if change.Base.Rev() == 0 {
		return nil, nil, nil
	}
	base, err := policy.ParseBase(change.Base.Key(), change.Base.Bytes())
	if err != nil {
		return nil, nil, err
	}
	var overlay *policy.Overlay
	if change.Overlay.Rev() != 0 {
		if overlay, err = policy.ParseOverlay(change.Overlay.Key(), change.Overlay.Bytes()); err != nil {
			return nil, nil, err
		}
	}
	p, warnings := policy.Merge(base, overlay)
	return p, warnings, nil
}

// rejectedDocuments lists the documents whose newest revision was rejected.
func (c *controlPlane) rejectedDocuments() []operator.Rejected {
	var list []operator.Rejected
	for _, key := range c.store.Keys() {
		r := c.store.Rejection(key)
		if r.Rev() > c.store.Current(key).Rev() {
			list = append(list, operator.Rejected{Key: key, Revision: r.Rev(), Reason: r.Reason()})
		}
	}
	return list
}
