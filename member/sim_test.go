package member

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/relay"
	"dogwoodhead/source"
)

const simSite = "ogun-west"

var (
	simOverlay     = relay.OverlayKey(simSite)
	simKeys        = []string{relay.KeyBase, simOverlay, relay.KeyVMs}
	errUnreachable = errors.New("no route")
)

// sim runs many nodes on one fake clock, with a fake network and a fake platform.
type sim struct {
	clock    *clockwork.FakeClock
	rng      *rand.Rand
	platform *simPlatform
	nodes    map[string]*simNode
	// byAddr is keyed by control address.
	byAddr map[string]*simNode
	names  []string
	queue  []simTask
	// partition is the network partition of each node, by VM name; the platform
	// is reachable from those in platformPartitions, from all if that is nil.
	partition          map[string]int
	platformPartitions map[int]bool
	// calls maps a service to the services that its nodes call.
	calls map[string][]string
	// readersPerZone is 0 for the default.
	readersPerZone int
	// sharedList, if set, replaces the parsing of VM lists by every node of a
	// large sim.
	sharedList *board.Members
	// sent counts messages by kind, including failed ones.
	sent map[string]int
}

type simTask struct {
	node *simNode
	run  func(context.Context)
}

type simNode struct {
	sim    *sim
	vm     board.VM
	up     bool
	paused bool
	board  *board.Board
	store  *relay.Store
	relay  *relay.Relay
	member *Membership
}

func newSim(seed uint64, start time.Time) *sim {
	s := &sim{
		clock: clockwork.NewFakeClockAt(start), rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*simNode), byAddr: make(map[string]*simNode), partition: make(map[string]int), sent: make(map[string]int),
		calls: map[string][]string{"front": {"middle"}, "middle": {"leaf"}},
	}
	s.platform = &simPlatform{sim: s, docs: make(map[string][]source.Value), up: true}
	return s
}

// add creates a VM entry and its node, without starting it.
func (s *sim) add(i int, zone, service string) *simNode {
	vm := board.NewVM(board.VMFields{
		Name: fmt.Sprintf("vm-%04d", i), Zone: zone, Service: service,
		CallAddr:    fmt.Sprintf("10.%d.%d.1:7001", i/200, i%200),
		ControlAddr: fmt.Sprintf("10.%d.%d.1:7002", i/200, i%200),
	})
	n := &simNode{sim: s, vm: vm}
	s.nodes[vm.Name()] = n
	s.byAddr[vm.ControlAddr()] = n
	s.names = append(s.names, vm.Name())
	return n
}

// addNineNodes adds nine nodes in three zones and three services.
func (s *sim) addNineNodes() {
	for i := range 9 {
		s.add(i, fmt.Sprintf("zone-%d", i%3), []string{"front", "middle", "leaf"}[i/3])
	}
}

func (s *sim) newRand() *rand.Rand { return rand.New(rand.NewPCG(s.rng.Uint64(), 2)) }

// start runs a new process with empty memory.
func (n *simNode) start() {
	s := n.sim
	set := metrics.NewSet()
	self := board.NewSelf(n.vm, simSite, frame.NewIncarnation(n.vm.Name(), s.newRand()))
	b := board.New(self)
	process := &simNode{sim: s, vm: n.vm, board: b}
	submit := func(task func(context.Context)) bool {
		s.queue = append(s.queue, simTask{node: n, run: func(ctx context.Context) {
			if n.store == process.store {
				task(ctx)
			}
		}})
		return true
	}
	process.store = relay.NewStore(relay.StoreOptions{Site: simSite, Check: simCheck(s), Apply: func(c relay.Change) {
		if c.Changed.Key() != relay.KeyVMs {
			return
		}
		if s.sharedList != nil {
			b.SetMembers(s.sharedList)
			return
		}
		if err := process.member.ApplyList(c.Changed); err != nil {
			panic(err)
		}
	}})
	process.member = New(Options{
		Board: b, Clock: s.clock, Rand: s.newRand(), Metrics: set,
		Services:    func() []string { return s.calls[n.vm.Service()] },
		Load:        func() frame.Load { return frame.NewLoad(3, 50) },
		Revs:        process.store.Revs,
		ObserveRevs: func(vm string, revs relay.Revs) { process.relay.ObserveRevs(vm, revs) },
		Ready:       func() bool { return process.relay.Ready() },
		Refresh:     func(ctx context.Context) error { return process.relay.Refresh(ctx) },
		Go:          submit,
		Hello: func(ctx context.Context, addr string, st State) (State, error) {
			return deliver(s, n, addr, "hello", st, func(to *simNode, st State) (State, error) { return to.member.HandleHello(ctx, st) })
		},
		Heartbeat: func(ctx context.Context, addr string, st State) (State, error) {
			return deliver(s, n, addr, "beat", st, func(to *simNode, st State) (State, error) { return to.member.HandleHeartbeat(ctx, st) })
		},
		Leave: func(ctx context.Context, addr string, st State) error {
			_, err := deliver(s, n, addr, "leave", st, func(to *simNode, st State) (State, error) { return State{}, to.member.HandleLeave(ctx, st) })
			return err
		},
	})
	process.relay = relay.New(relay.Options{
		Self: self, Clock: s.clock, Rand: s.newRand(), Store: process.store, Metrics: set,
		Members: b.Members, Lookup: process.member.Lookup, Go: submit, ReadersPerZone: s.readersPerZone, Seeds: s.seeds(),
		Push: func(ctx context.Context, vm board.VM, r relay.PushRequest) (relay.PushReply, error) {
			return deliver(s, n, vm.ControlAddr(), "push", r, func(to *simNode, r relay.PushRequest) (relay.PushReply, error) { return to.relay.HandlePush(ctx, r) })
		},
		Pull: func(ctx context.Context, vm board.VM, r relay.PullRequest) (relay.PullReply, error) {
			return deliver(s, n, vm.ControlAddr(), "pull", r, func(to *simNode, r relay.PullRequest) (relay.PullReply, error) { return to.relay.HandlePull(ctx, r) })
		},
		Read: func(_ context.Context, key string) (source.Value, error) { return s.platform.read(n, key) },
		Watch: func(key string, after uint64, _ time.Duration, done func(source.Value, error)) {
			s.platform.watch(n, process.store, key, after, done)
		},
	})
	n.board, n.store, n.relay, n.member = process.board, process.store, process.relay, process.member
	n.up, n.paused = true, false
}

// simCheck rejects texts that start with "bad" and VM lists that do not parse.
func simCheck(s *sim) func(relay.Document) error {
	return func(d relay.Document) error {
		if bytes.HasPrefix(d.Bytes(), []byte("bad")) {
			return errors.New("bad document")
		}
		if d.Key() != relay.KeyVMs || s.sharedList != nil {
			return nil
		}
		_, err := ParseList(d.Bytes())
		return err
	}
}

func (s *sim) seeds() []string {
	if s.sharedList != nil {
		return nil
	}
	return []string{s.nodes[s.names[0]].vm.ControlAddr(), s.nodes[s.names[4]].vm.ControlAddr(), s.nodes[s.names[8]].vm.ControlAddr()}
}

func (n *simNode) reachable() bool { return n.up && !n.paused }

// deliver sends one message and counts it, even if the receiver is unreachable.
func deliver[Q, A any](s *sim, from *simNode, addr, kind string, request Q, handle func(*simNode, Q) (A, error)) (A, error) {
	var none A
	s.sent[kind]++
	to := s.byAddr[addr]
	if to.vm.Zone() != from.vm.Zone() {
		s.sent[kind+" to another zone"]++
	}
	if !to.reachable() || s.partition[to.vm.Name()] != s.partition[from.vm.Name()] {
		return none, errUnreachable
	}
	return handle(to, request)
}

// step advances the clock by one tick of the relay and runs what is due, in
// random order.
func (s *sim) step() {
	s.clock.Advance(relay.TickInterval)
	s.platform.tick()
	for _, i := range s.rng.Perm(len(s.names)) {
		if n := s.nodes[s.names[i]]; n.reachable() {
			n.relay.Tick()
			n.member.Tick()
		}
	}
	s.drain()
}

// drain runs the queued tasks; those of paused nodes wait until they resume.
func (s *sim) drain() {
	var deferred []simTask
	for len(s.queue) > 0 {
		i := s.rng.IntN(len(s.queue))
		t := s.queue[i]
		s.queue[i] = s.queue[len(s.queue)-1]
		s.queue = s.queue[:len(s.queue)-1]
		switch {
		case !t.node.up:
		case t.node.paused:
			deferred = append(deferred, t)
		default:
			t.run(context.Background())
		}
	}
	s.queue = deferred
}

func (s *sim) advance(d time.Duration) {
	for ; d > 0; d -= relay.TickInterval {
		s.step()
	}
}

// listText returns the VM list without the entries in skip.
func (s *sim) listText(skip, leaving map[string]bool) []byte {
	var doc listDocument
	for _, name := range s.names {
		f := s.nodes[name].vm.Fields()
		f.Leaving = leaving[name]
		if !skip[name] {
			doc.VMs = append(doc.VMs, f)
		}
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return text
}

// simPlatform is the fake configuration service.
type simPlatform struct {
	sim *sim
	// docs holds all revisions of each key, in order.
	docs map[string][]source.Value
	up   bool
	// revsBehind is how many revisions the values that the service returns are old.
	revsBehind int
	watchers   []simWatch
	reads      int
	// maxReadsPerSecond is the largest number of reads within one second;
	// readsBeforeSecond is the value of reads when the current second began.
	maxReadsPerSecond, readsBeforeSecond int
}

type simWatch struct {
	node     *simNode
	store    *relay.Store
	key      string
	after    uint64
	deadline time.Time
	done     func(source.Value, error)
}

func (p *simPlatform) publish(key string, text []byte) {
	p.docs[key] = append(p.docs[key], source.NewValue(key, uint64(len(p.docs[key])+1), text))
}

// current returns the value that the service now returns for a key.
func (p *simPlatform) current(key string) (source.Value, bool) {
	i := len(p.docs[key]) - 1 - p.revsBehind
	if i < 0 {
		return source.Value{}, false
	}
	return p.docs[key][i], true
}

func (p *simPlatform) reachable(n *simNode) bool {
	return p.up && (p.sim.platformPartitions == nil || p.sim.platformPartitions[p.sim.partition[n.vm.Name()]])
}

func (p *simPlatform) read(n *simNode, key string) (source.Value, error) {
	p.reads++
	if !p.reachable(n) {
		return source.Value{}, &source.UnavailableError{}
	}
	v, ok := p.current(key)
	if !ok {
		return source.Value{}, &source.NotFoundError{}
	}
	return v, nil
}

func (p *simPlatform) watch(n *simNode, store *relay.Store, key string, after uint64, done func(source.Value, error)) {
	p.reads++
	deadline := p.sim.clock.Now().Add(30 * time.Second)
	p.watchers = append(p.watchers, simWatch{node: n, store: store, key: key, after: after, deadline: deadline, done: done})
}

// tick completes the watches that have a result.
func (p *simPlatform) tick() {
	now := p.sim.clock.Now()
	if now.Sub(now.Truncate(time.Second)) < relay.TickInterval {
		p.readsBeforeSecond = p.reads
	}
	p.maxReadsPerSecond = max(p.maxReadsPerSecond, p.reads-p.readsBeforeSecond)
	p.watchers = slices.DeleteFunc(p.watchers, func(w simWatch) bool {
		v, ok := p.current(w.key)
		var err error
		switch {
		case !p.reachable(w.node):
			err = &source.UnavailableError{}
		case ok && v.Rev() > w.after:
		case !now.Before(w.deadline):
			err = source.ErrUnchanged
		default:
			return false
		}
		p.sim.queue = append(p.sim.queue, simTask{node: w.node, run: func(context.Context) {
			if w.node.store == w.store {
				w.done(v, err)
			}
		}})
		return true
	})
}
