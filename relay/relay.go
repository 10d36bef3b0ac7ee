package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/source"
)

const (
	// TickInterval is how often Run calls Tick.
	TickInterval = 100 * time.Millisecond
	// pollInterval is how often every node reads the platform, so that a node
	// that nobody reaches still learns of changes. 1,500 nodes with three keys
	// make 15 reads a second.
	pollInterval = 5 * time.Minute
	// seedInterval is how often a node without a VM list asks a seed.
	seedInterval = 500 * time.Millisecond
	// probeInterval is how often a node compares revisions with a random peer.
	// Every second probe goes to another zone, so that two sides of a healed
	// partition meet within 3 s also without calls between them.
	probeInterval = 1500 * time.Millisecond
	// probeRetry is the time to the next probe after one that got no answer.
	probeRetry = 300 * time.Millisecond
	// defaultSpread is the time over which nodes that start at once spread
	// their first read: 1,500 nodes make 600 reads a second.
	defaultSpread = 2500 * time.Millisecond
	// checkSpread is the time over which started nodes spread their first poll.
	checkSpread = time.Minute
)

// Options configures a Relay.
type Options struct {
	Self    board.Self
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Store   *Store
	Metrics *metrics.Set
	// Members returns the current VM list.
	Members func() *board.Members
	// Lookup finds a VM that is missing from the list, for example by the
	// address in its hello. It may be nil.
	Lookup func(name string) (board.VM, bool)
	// Seeds are control addresses of other nodes, from the settings file. A node
	// without a VM list asks them, so that it can start while the platform is
	// down. There may be none.
	Seeds []string
	// Scope says whether a VM keeps documents of a key. Nil stands for all VMs;
	// a list that spans sites needs it for their overlays.
	Scope func(key string, vm board.VM) bool
	// Push and Pull call another node.
	Push func(context.Context, board.VM, PushRequest) (PushReply, error)
	Pull func(context.Context, board.VM, PullRequest) (PullReply, error)
	// Read reads the platform.
	Read func(ctx context.Context, key string) (source.Value, error)
	// Watch starts a watch and returns. It calls done once with the result, not
	// before it has returned.
	Watch func(key string, after uint64, wait time.Duration, done func(source.Value, error))
	// Go runs a task on the pool of workers, and reports false where its queue
	// is full. It is called under the relay's lock, so it must neither block nor
	// run the task itself.
	Go func(task func(context.Context)) bool
	// Readers is the number of readers per zone; 3 where it is 0.
	Readers int
	// Spread is the time over which nodes that start at once spread their first
	// read; 2.5 s where it is 0.
	Spread time.Duration
}

// Relay distributes documents. Methods may be called from any goroutine.
type Relay struct {
	o      Options
	counts counters
	// mu is acquired before any lock of the board, the store or package member.
	mu   sync.Mutex
	rand *rand.Rand
	// watches is keyed by document key.
	watches map[string]*watch
	// readersOf is the list that reading, near and others were computed for.
	readersOf *board.Members
	// reading holds the keys that this node watches.
	reading map[string]bool
	// near and others are the VMs of the own zone and of the other zones,
	// without this node.
	near, others []string
	// bootRead is when a node without documents reads the platform next.
	bootRead time.Time
	// overlayRead is set when the platform has answered a read of the overlay. A
	// site without one must not be asked again and again.
	overlayRead bool
	// nextPoll, nextProbe and nextPull are when each may happen next.
	nextPoll, nextProbe, nextPull time.Time
	// far alternates: whether the next probe goes to another zone.
	far bool
	// pulling is set while a pull runs; want is the next one to make.
	pulling bool
	want    *contact
	// barren remembers what a peer showed when a pull from it brought nothing,
	// so that the pull is not repeated for every call. At most maxBarren rows.
	barren map[string]fruitless
}

// counters count what a node sends, reads and ignores.
type counters struct {
	pushes, pushFailures, pulls, pullFailures, reads, readFailures, dropped *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	get := func(name string) *metrics.Counter { return set.GetOrCreateCounter("dogwood_relay_" + name + "_total") }
	return counters{
		pushes: get("pushes"), pushFailures: get("push_failures"),
		pulls: get("pulls"), pullFailures: get("pull_failures"),
		reads: get("platform_reads"), readFailures: get("platform_failures"), dropped: get("dropped_tasks"),
	}
}

// New returns a relay that has sent nothing yet.
func New(o Options) *Relay {
	if o.Readers == 0 {
		o.Readers = defaultReaders
	}
	if o.Spread == 0 {
		o.Spread = defaultSpread
	}
	if o.Lookup == nil {
		o.Lookup = func(string) (board.VM, bool) { return board.VM{}, false }
	}
	r := &Relay{
		o: o, counts: newCounters(o.Metrics), rand: o.Rand,
		watches: make(map[string]*watch), reading: make(map[string]bool), barren: make(map[string]fruitless),
	}
	now := o.Clock.Now()
	r.bootRead = now.Add(r.upTo(o.Spread))
	r.nextPoll = now.Add(o.Spread + r.upTo(checkSpread))
	r.nextProbe = now
	for _, k := range o.Store.Keys() {
		r.watches[k] = &watch{}
	}
	return r
}

// Run calls Tick until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	ticker := r.o.Clock.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		r.Tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Tick starts whatever is due. It does not block.
func (r *Relay) Tick() {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickWatches(now)
	r.tickReads(now)
	r.tickProbe(now)
	r.startPull(now)
}

// Ready reports whether the node has a base document and a VM list.
func (r *Relay) Ready() bool {
	revs := r.o.Store.Revs()
	return revs.Base != 0 && revs.VMs != 0
}

// Reading reports whether this node watches a key at the platform.
func (r *Relay) Reading(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reading[key]
}

// submit runs a task on the workers; a dropped one is made up for by later
// contacts.
func (r *Relay) submit(task func(context.Context)) bool {
	if r.o.Go(task) {
		return true
	}
	r.counts.dropped.Inc()
	return false
}

// accept offers a document to the store and spreads it when it is new here.
// From is the VM that it came from, empty for the platform.
func (r *Relay) accept(d Document, from string) Result {
	result, _ := r.o.Store.Offer(d)
	if result == Accepted {
		r.spread(d, from)
	}
	return result
}

// lookup finds a VM by name.
func (r *Relay) lookup(name string) (board.VM, bool) {
	if v, ok := r.o.Members().Get(name); ok {
		return v, true
	}
	return r.o.Lookup(name)
}

func (r *Relay) self() string { return r.o.Self.VM().Name() }

// upTo returns a random time below d.
func (r *Relay) upTo(d time.Duration) time.Duration { return time.Duration(r.rand.Int64N(int64(d))) }

// around returns a random time within 20% of d.
func (r *Relay) around(d time.Duration) time.Duration { return d*4/5 + r.upTo(d*2/5) }
