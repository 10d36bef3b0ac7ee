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
	// beatInterval is the time between heartbeats to a peer that answers no
	// calls. At 19 peers and 19 callers it keeps control, sent and received, at
	// half of the allowed 3 KB a second.
	beatInterval = 8 * time.Second
	// beatShare is the least time per peer or caller: more of them get longer
	// intervals, so that a node sends and answers at most 2.5 heartbeats a second
	// each, whatever the call graph is.
	beatShare = 400 * time.Millisecond
	// maxBeatInterval bounds what a peer may ask for.
	maxBeatInterval = 4 * time.Minute
	// beatRetry is the time to the next heartbeat after a failed one.
	beatRetry = 2 * time.Second
	// firstBeat is the time over which a node spreads its first heartbeats, which
	// bring the incarnations that calls have to name.
	firstBeat = time.Second
	// senderTime is how long a sender gets this node's leave message: more than
	// the longest interval, so that a lost heartbeat does not drop it.
	senderTime = 10 * time.Minute
	// maxSenders bounds the table of senders.
	maxSenders = 4096
	// pauseLimit is the gap between ticks that counts as a pause. A busy machine
	// delays a tick by some hundred milliseconds.
	pauseLimit = time.Second
)

// Options configures a Member.
type Options struct {
	Board   *board.Board
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Metrics *metrics.Set
	// Services returns the services that this node calls.
	Services func() []string
	// Load returns the load of the own backend server.
	Load func() frame.Load
	// Revs returns the revisions in force.
	Revs func() relay.Revs
	// Contact takes the revisions that a peer showed.
	Contact func(vm string, revs relay.Revs)
	// Ready reports whether the documents needed for serving are there.
	Ready func() bool
	// Refresh brings the documents up to date after a pause. It may block.
	Refresh func(context.Context) error
	// Hello, Beat and Leave call the control address of another node.
	Hello, Beat func(ctx context.Context, addr string, s State) (State, error)
	Leave       func(ctx context.Context, addr string, s State) error
	// Go runs a task on the pool of workers, and reports false where its queue
	// is full. It is called under the member's lock, so it must neither block nor
	// run the task itself.
	Go func(task func(context.Context)) bool
}

// Member keeps the view of the other nodes. Methods may be called from any
// goroutine.
type Member struct {
	o      Options
	counts counters
	// lastTick is the time of the last tick in nanoseconds of the Unix epoch;
	// 0 before the first.
	lastTick atomic.Int64
	// mu is acquired after the lock of a relay and before those of the store and
	// the board. It is not held while other nodes are called.
	mu sync.Mutex
	// beats is keyed by VM name and holds the peers of called services only.
	beats map[string]*beat
	// senders is keyed by VM name; at most maxSenders rows.
	senders map[string]sender
	// farewells holds the leave messages that were not delivered yet; nil before
	// this node leaves.
	farewells map[string]*farewell
	pause     pause
}

// counters count what the node notices about itself and the others.
type counters struct {
	pauses, unrefreshed, beats, beatFailures, leaves, leaveFailures, dropped *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	get := func(name string) *metrics.Counter { return set.GetOrCreateCounter("dogwood_member_" + name + "_total") }
	return counters{
		pauses: get("pauses"), unrefreshed: get("unrefreshed_pauses"),
		beats: get("beats"), beatFailures: get("beat_failures"),
		leaves: get("leaves"), leaveFailures: get("leave_failures"), dropped: get("dropped_tasks"),
	}
}

// New returns a member without peers. The board counts as not fresh until the
// documents are there.
func New(o Options) *Member {
	return &Member{
		o: o, counts: newCounters(o.Metrics),
		beats: make(map[string]*beat), senders: make(map[string]sender),
		pause: pause{stale: true, starting: true},
	}
}

// Run calls Tick until ctx is done.
func (m *Member) Run(ctx context.Context) {
	ticker := m.o.Clock.NewTicker(TickInterval)
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

// Tick does whatever is due. It does not block.
func (m *Member) Tick() {
	now := m.o.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	m.lastTick.Store(now.UnixNano())
	m.tickRefresh(now)
	m.tickBeats(now)
	m.tickLeave(now)
	for name, s := range m.senders {
		if now.Sub(s.seen) > senderTime {
			delete(m.senders, name)
		}
	}
}

// Apply puts an accepted VM list on the board. Package relay calls it in the
// order of revisions.
func (m *Member) Apply(d relay.Document) error {
	vms, err := ParseList(d.Bytes())
	if err != nil {
		return err
	}
	list := board.NewMembers(d.Rev(), vms)
	m.o.Board.SetMembers(list)
	m.forget(list)
	return nil
}

// forget removes the rows of peers that left the list, except those that calls
// still wait on.
func (m *Member) forget(list *board.Members) {
	var gone []string
	m.o.Board.Peers().Range(func(name string, p board.Peer) bool {
		if _, ok := list.Get(name); !ok && p.Inflight == 0 {
			gone = append(gone, name)
		}
		return true
	})
	for _, name := range gone {
		m.o.Board.Peers().Update(name, func(p board.Peer, ok bool) (board.Peer, bool) {
			return p, ok && p.Inflight > 0
		})
	}
}

// State returns what this node says about itself in a beat.
func (m *Member) State() State {
	return State{
		From: m.o.Board.Self().Incarnation(), Revs: m.o.Revs(), Load: m.o.Load(), Leaving: m.o.Board.Leaving(),
	}
}

// introduction returns what this node says about itself in a hello.
func (m *Member) introduction() State {
	s := m.State()
	vm := m.o.Board.Self().VM()
	s.Service, s.Zone, s.Control = vm.Service(), vm.Zone(), vm.ControlAddr()
	return s
}

// submit runs a task on the workers; a dropped one is due again later.
func (m *Member) submit(task func(context.Context)) bool {
	if m.o.Go(task) {
		return true
	}
	m.counts.dropped.Inc()
	return false
}

// around returns a random time within 20% of d.
func (m *Member) around(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(m.o.Rand.Int64N(int64(d*2/5)))
}
