package node

import (
	"context"
	"math/rand/v2"
	"net"
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
	// controlWorkers and controlQueue bound the pool that sends control messages.
	controlWorkers = 8
	controlQueue   = 512
	// helloTimeout bounds the question for a peer's incarnation that a call waits for.
	helloTimeout = 500 * time.Millisecond
	// helloInterval is the least time between two background hellos to one VM.
	helloInterval = time.Second
)

// control holds the parts that carry configuration, VM list and heartbeats.
type control struct {
	n        *Node
	set      *metrics.Set
	platform *source.Client
	watcher  *source.Watcher
	client   *peer.ControlClient
	server   *peer.ControlServer
	workers  *board.Workers[func(context.Context)]
	store    *relay.Store
	relay    *relay.Relay
	member   *member.Member

	mu sync.Mutex
	// asked is when a VM was last sent a background hello.
	asked map[string]time.Time
}

func newControl(n *Node) *control {
	c := &control{n: n, set: metrics.NewSet(), asked: make(map[string]time.Time)}
	c.platform = source.NewClient(source.Options{Addr: strings.TrimPrefix(n.set.Platform(), "http://")})
	c.watcher = source.NewWatcher(c.platform)
	c.client = peer.NewControlClient(peer.ControlClientOptions{Clock: n.clock, Metrics: c.set, Dial: n.dial})
	c.workers = board.NewWorkers(controlWorkers, controlQueue, func(ctx context.Context, task func(context.Context)) { task(ctx) })
	c.store = relay.NewStore(relay.StoreOptions{Site: n.set.Site(), Check: checkDocument, Apply: c.apply})
	c.relay = relay.New(relay.Options{
		Self: n.board.Self(), Clock: n.clock, Rand: newRand(), Store: c.store, Metrics: c.set,
		Members: n.board.Members, Lookup: func(name string) (board.VM, bool) { return c.member.Lookup(name) },
		Scope: inScope,
		Push: func(ctx context.Context, vm board.VM, r relay.PushRequest) (relay.PushReply, error) {
			return c.client.Push(ctx, vm.ControlAddr(), r)
		},
		Pull: func(ctx context.Context, vm board.VM, r relay.PullRequest) (relay.PullReply, error) {
			return c.client.Pull(ctx, vm.ControlAddr(), r)
		},
		Seeds: n.set.Seeds(), Read: c.platform.Read, Watch: c.watcher.Start, Go: c.workers.Submit,
	})
	c.member = member.New(member.Options{
		Board: n.board, Clock: n.clock, Rand: newRand(), Metrics: c.set,
		Services: c.services, Load: n.gate.Load, Revs: c.store.Revs, Contact: c.relay.ContactRevs,
		Ready: c.relay.Ready, Refresh: c.relay.Refresh,
		Hello: c.callHello, Beat: c.callBeat, Leave: c.client.Leave, Go: c.workers.Submit,
	})
	c.server = peer.NewControlServer(peer.ControlServerOptions{Metrics: c.set, Handlers: peer.Handlers{
		Hello: c.handle(c.member.HandleHello), Beat: c.handle(c.member.HandleBeat), Leave: c.member.HandleLeave,
		Push: c.relay.HandlePush, Pull: c.relay.HandlePull,
	}})
	return c
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run serves control messages until ctx ends.
func (c *control) run(ctx context.Context) error {
	ln, err := net.Listen("tcp", c.n.set.Control())
	if err != nil {
		return eris.Wrapf(err, "listen on %s for control", c.n.set.Control())
	}
	metrics.RegisterSet(c.set)
	defer metrics.UnregisterSet(c.set, true)
	var wg sync.WaitGroup
	wg.Go(func() { c.workers.Run(ctx) })
	wg.Go(func() { c.relay.Run(ctx) })
	wg.Go(func() { c.member.Run(ctx) })
	wg.Go(func() { c.client.Run(ctx) })
	err = c.server.Serve(ctx, ln)
	wg.Wait()
	c.watcher.Close()
	c.platform.Close()
	return eris.Wrap(err, "serve control")
}

// handle adds to a hello's or beat's answer the sequence above which the
// sender's attempts are accepted here.
func (c *control) handle(next func(context.Context, member.State) (member.State, error)) func(context.Context, member.State) (member.State, error) {
	return func(ctx context.Context, s member.State) (member.State, error) {
		reply, err := next(ctx, s)
		reply.Floor = c.n.window.RegisterSender(s.From)
		return reply, err
	}
}

func (c *control) callHello(ctx context.Context, addr string, s member.State) (member.State, error) {
	return c.raise(c.client.Hello(ctx, addr, s))
}

func (c *control) callBeat(ctx context.Context, addr string, s member.State) (member.State, error) {
	return c.raise(c.client.Beat(ctx, addr, s))
}

// raise books what a peer answered about this process's attempts.
func (c *control) raise(reply member.State, err error) (member.State, error) {
	if err == nil {
		c.n.sequencer.RaiseFloor(reply.From, reply.Floor)
	}
	return reply, err
}

// hello asks a VM's node for its incarnation, for a call that waits.
func (c *control) hello(ctx context.Context, vm board.VM) (frame.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := c.member.Ask(ctx, vm)
	return reply.From, err
}

// probe asks a VM's node for a sign of life in the background.
func (c *control) probe(vm board.VM) {
	c.workers.Submit(func(ctx context.Context) { _, _ = c.hello(ctx, vm) })
}

// introduce says hello to a VM's node in the background.
func (c *control) introduce(vm board.VM) {
	now := c.n.clock.Now()
	c.mu.Lock()
	due := now.Sub(c.asked[vm.Name()]) >= helloInterval
	if due {
		c.asked[vm.Name()] = now
	}
	c.mu.Unlock()
	if due {
		c.workers.Submit(func(ctx context.Context) { _, _ = c.hello(ctx, vm) })
	}
}

// called takes the revision pair that another node showed with a call, and
// remembers the node for this one's leave message.
func (c *control) called(vm string, rev frame.Revision) {
	c.member.Heard(vm)
	c.relay.Contact(vm, rev)
}

// leave tells the nodes that call this one.
func (c *control) leave() { c.member.Leave() }

// services returns the services that this node's backend server calls.
func (c *control) services() []string {
	f := c.n.board.ActiveConfig()
	if f == nil {
		return nil
	}
	s, ok := f.Policy().Service(c.n.set.Service())
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

// inScope says which VMs keep a document: an overlay concerns the VMs of the
// region that the site is named for, the rest concerns all.
func inScope(key string, vm board.VM) bool {
	site, ok := strings.CutPrefix(key, relay.OverlayKey(""))
	return !ok || vm.Region() == site
}

// checkDocument accepts a document by its bytes and key alone, so that all
// nodes decide alike.
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

// apply puts an accepted change into force. The store calls it in order.
func (c *control) apply(change relay.Change) {
	log := c.n.log.WithFields(logrus.Fields{"key": change.Changed.Key(), "revision": change.Changed.Rev()})
	if change.Changed.Key() == relay.KeyVMs {
		if err := c.member.Apply(change.VMs); err != nil {
			log.WithError(err).Error("accepted VM list does not parse")
		}
		return
	}
	p, warnings, err := merge(change)
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
	c.n.board.SetActiveConfig(board.NewActiveConfig(change.Rev(), p))
	c.n.configure(p)
	log.WithField("pair", change.Rev().String()).Info("configuration in force")
}

// merge returns the policy of the documents in force, nil before the first base.
func merge(change relay.Change) (*policy.Policy, []policy.Warning, error) {
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

// rejected lists the documents whose newest revision was refused.
func (c *control) rejected() []operator.Rejected {
	var list []operator.Rejected
	for _, key := range c.store.Keys() {
		r := c.store.Refusal(key)
		if r.Rev() > c.store.Current(key).Rev() {
			list = append(list, operator.Rejected{Key: key, Revision: r.Rev(), Reason: r.Reason()})
		}
	}
	return list
}
