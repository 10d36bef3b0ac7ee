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
	// pollInterval is the mean time between two reads of all keys by every node,
	// so that a node that no peer reaches still gets changes. 1,500 nodes with
	// three keys make 15 reads a second.
	pollInterval = 5 * time.Minute
	// seedPullInterval is the mean time between pulls from a seed without a VM list.
	seedPullInterval = 500 * time.Millisecond
	// antiEntropyInterval is the mean time between pulls from a random peer.
	// Every second one is in a remote zone, so that the sides of a healed
	// partition converge within 3 s even without calls between them.
	antiEntropyInterval = 1500 * time.Millisecond
	// antiEntropyRetry is the time to the next such pull after a failed one.
	antiEntropyRetry = 300 * time.Millisecond
	// defaultStartJitter is the default of Options.StartJitter: 1,500 nodes make
	// 600 reads a second.
	defaultStartJitter = 2500 * time.Millisecond
	// firstPollJitter bounds the random delay of the first poll after the start.
	firstPollJitter = time.Minute
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
	// Lookup returns a VM that is not in the VM list, for example with the
	// address from its hello. It may be nil.
	Lookup func(name string) (board.VM, bool)
	// Seeds are control addresses of other nodes, from the settings file. A node
	// without a VM list pulls from them, so that it can start while the platform
	// is down. It may be empty.
	Seeds []string
	// StoresKey reports whether a VM keeps documents of a key. Nil means that all
	// VMs do; a VM list of several sites needs it for their overlays.
	StoresKey func(key string, vm board.VM) bool
	// Push and Pull send a request to another node.
	Push func(context.Context, board.VM, PushRequest) (PushReply, error)
	Pull func(context.Context, board.VM, PullRequest) (PullReply, error)
	// Read reads a key from the platform.
	Read func(ctx context.Context, key string) (source.Value, error)
	// Watch starts a watch for a revision above after and does not block. It calls
	// done once with the result, after Watch has returned.
	Watch func(key string, after uint64, wait time.Duration, done func(source.Value, error))
	// Go queues a task for the worker pool, and returns false if the queue is
	// full. It is called with the relay's mutex held, so it must neither block nor
	// run the task itself.
	Go func(task func(context.Context)) bool
	// ReadersPerZone is the number of readers per availability zone; 0 means 3.
	ReadersPerZone int
	// StartJitter bounds the random delay of the first read, which spreads the
	// reads of nodes that start at the same time; 0 means 2.5 s.
	StartJitter time.Duration
}

// Relay distributes documents. Its methods are safe for concurrent use.
type Relay struct {
	opts     Options
	counters counters
	// mu guards the fields below. It is acquired before any lock of the board, the
	// store or package member.
	mu   sync.Mutex
	rand *rand.Rand
	// watches is keyed by document key.
	watches map[string]*watchState
	// lastMembers is the VM list that readerKeys and the peers were computed from.
	lastMembers *board.Members
	// readerKeys holds the keys that this node is a reader of.
	readerKeys map[string]bool
	// localPeers and remotePeers are the names of the VMs in the local zone,
	// without this node, and in the remote zones.
	localPeers, remotePeers []string
	// nextStartRead is the earliest time of the next read of missing documents.
	nextStartRead time.Time
	// overlayChecked is set once a read of the overlay has succeeded or reported
	// it missing, so that a missing overlay is not read again and again.
	overlayChecked bool
	// Earliest times of the next poll, anti-entropy pull and other pull.
	nextPoll, nextAntiEntropy, nextPull time.Time
	// remoteTurn alternates with each call of nextRandomPeer: whether it prefers
	// a peer in a remote zone.
	remoteTurn bool
	// pulling is set while a pull for an observed revision runs; pendingPull is
	// the next one, nil for none.
	pulling     bool
	pendingPull *pullTarget
	// unproductive holds the last unproductive pull from each peer, so that it is
	// not repeated for every call. It has at most maxUnproductive entries.
	unproductive map[string]unproductivePull
}

// counters are the metrics of requests, platform reads and dropped tasks.
type counters struct {
	pushes, pushFailures, pulls, pullFailures, reads, readFailures, droppedTasks *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	newCounter := func(name string) *metrics.Counter { return set.GetOrCreateCounter("dogwood_relay_" + name + "_total") }
	return counters{
		pushes: newCounter("pushes"), pushFailures: newCounter("push_failures"),
		pulls: newCounter("pulls"), pullFailures: newCounter("pull_failures"),
		reads: newCounter("platform_reads"), readFailures: newCounter("platform_failures"), droppedTasks: newCounter("dropped_tasks"),
	}
}

// New returns a relay that has sent nothing yet.
func New(opts Options) *Relay {
	if opts.ReadersPerZone == 0 {
		opts.ReadersPerZone = defaultReadersPerZone
	}
	if opts.StartJitter == 0 {
		opts.StartJitter = defaultStartJitter
	}
	if opts.Lookup == nil {
		opts.Lookup = func(string) (board.VM, bool) { return board.VM{}, false }
	}
	r := &Relay{
		opts: opts, counters: newCounters(opts.Metrics), rand: opts.Rand,
		watches: make(map[string]*watchState), readerKeys: make(map[string]bool), unproductive: make(map[string]unproductivePull),
	}
	now := opts.Clock.Now()
	r.nextStartRead = now.Add(r.randomBelow(opts.StartJitter))
	r.nextPoll = now.Add(opts.StartJitter + r.randomBelow(firstPollJitter))
	r.nextAntiEntropy = now
	for _, k := range opts.Store.Keys() {
		r.watches[k] = &watchState{}
	}
	return r
}

// Run calls Tick until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	ticker := r.opts.Clock.NewTicker(TickInterval)
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

// Tick starts the watches, reads and pulls that are due. It does not block.
func (r *Relay) Tick() {
	now := r.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickWatches(now)
	r.tickReads(now)
	r.tickAntiEntropy(now)
	r.startPull(now)
}

// Ready reports whether the node has a base document and a VM list.
func (r *Relay) Ready() bool {
	revs := r.opts.Store.Revs()
	return revs.Base != 0 && revs.VMs != 0
}

// IsReader reports whether this node watches a key at the platform.
func (r *Relay) IsReader(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readerKeys[key]
}

// submit queues a task for the worker pool and reports whether it was queued.
// Later heartbeats, calls and polls compensate for a dropped task.
func (r *Relay) submit(task func(context.Context)) bool {
	if r.opts.Go(task) {
		return true
	}
	r.counters.droppedTasks.Inc()
	return false
}

// offer passes a document to the store and propagates it if the store accepts it.
// From is the name of the VM that sent it, "" for the platform.
func (r *Relay) offer(d Document, from string) Result {
	result, _ := r.opts.Store.Offer(d)
	if result == Accepted {
		r.propagate(d, from)
	}
	return result
}

// lookup returns a VM by name, from the VM list or Options.Lookup.
func (r *Relay) lookup(name string) (board.VM, bool) {
	if v, ok := r.opts.Members().Get(name); ok {
		return v, true
	}
	return r.opts.Lookup(name)
}

func (r *Relay) selfName() string { return r.opts.Self.VM().Name() }

// randomBelow returns a random duration below d. The caller holds mu.
func (r *Relay) randomBelow(d time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(d)))
}

// withJitter returns a random duration within 20% of d. The caller holds mu.
func (r *Relay) withJitter(d time.Duration) time.Duration { return d*4/5 + r.randomBelow(d*2/5) }
