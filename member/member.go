package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/relay"
)

const (
	// TickInterval is how often Run calls Tick.
	TickInterval = 250 * time.Millisecond
	// heartbeatInterval is the time between heartbeats to a peer that responds to
	// no calls. With 19 peers and 19 callers it keeps control traffic, sent and
	// received, at half of the allowed 3 KB a second.
	heartbeatInterval = 8 * time.Second
	// heartbeatIntervalPerPeer is the minimum interval per peer or caller: the
	// interval grows with their number, so that a node sends at most 2.5 heartbeats
	// a second and receives at most as many, in any call graph.
	heartbeatIntervalPerPeer = 400 * time.Millisecond
	// maxHeartbeatInterval bounds the interval, including one that a peer requests.
	maxHeartbeatInterval = 4 * time.Minute
	// heartbeatRetryDelay is the time to the next heartbeat after a failed one.
	heartbeatRetryDelay = 2 * time.Second
	// firstHeartbeatJitter bounds the random delay of the first heartbeat to a
	// peer, which returns the incarnation that calls must name.
	firstHeartbeatJitter = time.Second
	// senderRetention is how long a sender is kept as a receiver of this node's
	// leave notice. It exceeds the longest interval, so that a lost heartbeat does
	// not remove the sender.
	senderRetention = 10 * time.Minute
	// maxSenders bounds the table of senders.
	maxSenders = 4096
	// pauseThreshold is the gap between ticks that counts as a pause. A busy
	// machine delays a tick by several hundred milliseconds.
	pauseThreshold = time.Second
)

// Options configures a Membership.
type Options struct {
	Board   *board.Board
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Metrics *metrics.Set
	// Services returns the services that this node calls.
	Services func() []string
	// Load returns the load of the local backend server.
	Load func() frame.Load
	// Revs returns the active revisions.
	Revs func() relay.Revs
	// ObserveRevs is called with the revisions that a peer reported.
	ObserveRevs func(vm string, revs relay.Revs)
	// Ready reports whether the documents needed for serving are available.
	Ready func() bool
	// Refresh updates the documents after a pause. It may block.
	Refresh func(context.Context) error
	// Hello, Heartbeat and Leave call the control address of another node.
	Hello, Heartbeat func(ctx context.Context, addr string, s State) (State, error)
	Leave            func(ctx context.Context, addr string, s State) error
	// Go queues a task for the worker pool, and returns false if the queue is
	// full. It is called with the Membership's mutex held, so it must neither
	// block nor run the task itself.
	Go func(task func(context.Context)) bool
}

// Membership tracks the other nodes. It is safe for concurrent use.
type Membership struct {
	opts     Options
	counters counters
	// lastTick is when the last tick ran, in Unix nanoseconds; 0 before the first.
	lastTick atomic.Int64
	// mu guards opts.Rand and the fields below. It is acquired after the lock of
	// a relay and before those of the store and the board, and is not held while
	// other nodes are called.
	mu sync.Mutex
	// heartbeats is keyed by VM name and holds the peers of called services only.
	heartbeats map[string]*heartbeat
	// senders is keyed by VM name; at most maxSenders entries.
	senders map[string]sender
	// leaveNotices holds the leave notice to each sender, keyed by VM name; nil
	// before this node leaves.
	leaveNotices map[string]*leaveNotice
	refreshState refreshState
}

// counters are the metrics of a Membership.
type counters struct {
	pauses, unrefreshedPauses, heartbeats, heartbeatFailures, leaveNotices, leaveFailures, droppedTasks, droppedSenders *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	newCounter := func(name string) *metrics.Counter { return set.GetOrCreateCounter("dogwood_member_" + name + "_total") }
	return counters{
		pauses: newCounter("pauses"), unrefreshedPauses: newCounter("unrefreshed_pauses"),
		heartbeats: newCounter("beats"), heartbeatFailures: newCounter("beat_failures"),
		leaveNotices: newCounter("leaves"), leaveFailures: newCounter("leave_failures"), droppedTasks: newCounter("dropped_tasks"),
		droppedSenders: newCounter("dropped_senders"),
	}
}

// New returns a Membership without peers. The board is not fresh until the
// documents are available.
func New(opts Options) *Membership {
	return &Membership{
		opts: opts, counters: newCounters(opts.Metrics),
		heartbeats: make(map[string]*heartbeat), senders: make(map[string]sender),
		refreshState: refreshState{stale: true, starting: true},
	}
}

// Run calls Tick until ctx is done.
func (m *Membership) Run(ctx context.Context) {
	ticker := m.opts.Clock.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		m.Tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Tick runs the periodic work that is due. It does not block.
func (m *Membership) Tick() {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detectPause(now)
	m.lastTick.Store(now.UnixNano())
	m.tickRefresh(now)
	m.tickHeartbeats(now)
	m.tickLeaveNotices(now)
	for name, s := range m.senders {
		if now.Sub(s.lastSeen) > senderRetention {
			delete(m.senders, name)
		}
	}
}

// ApplyList puts an accepted VM list on the board. It must be called in the
// order of revisions, as package relay does. Errors are *ListError.
func (m *Membership) ApplyList(doc relay.Document) error {
	vms, err := ParseList(doc.Bytes())
	if err != nil {
		return err
	}
	list := board.NewMembers(doc.Rev(), vms)
	m.opts.Board.SetMembers(list)
	m.removeUnlisted(list)
	return nil
}

// removeUnlisted removes the board's peers that are not in the list, except
// those with calls in flight.
func (m *Membership) removeUnlisted(list *board.Members) {
	var unlisted []string
	m.opts.Board.Peers().Range(func(name string, p board.Peer) bool {
		if _, ok := list.Get(name); !ok && p.Inflight == 0 {
			unlisted = append(unlisted, name)
		}
		return true
	})
	for _, name := range unlisted {
		m.opts.Board.Peers().Update(name, func(p board.Peer, ok bool) (board.Peer, bool) {
			return p, ok && p.Inflight > 0
		})
	}
}

// State returns the state that this node reports in a heartbeat.
func (m *Membership) State() State {
	return State{
		From: m.opts.Board.Self().Incarnation(), Revs: m.opts.Revs(), Load: m.opts.Load(), Leaving: m.opts.Board.Leaving(),
	}
}

// helloState returns the state that this node reports in a hello.
func (m *Membership) helloState() State {
	s := m.State()
	vm := m.opts.Board.Self().VM()
	s.Service, s.Zone, s.ControlAddr = vm.Service(), vm.Zone(), vm.ControlAddr()
	return s
}

// submit queues a task for the worker pool and reports whether it was queued.
// Callers retry a dropped task later.
func (m *Membership) submit(task func(context.Context)) bool {
	if m.opts.Go(task) {
		return true
	}
	m.counters.droppedTasks.Inc()
	return false
}

// withJitter returns a random duration within 20% of d. The caller holds mu.
func (m *Membership) withJitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(m.opts.Rand.Int64N(int64(d*2/5)))
}
