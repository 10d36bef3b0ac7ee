package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/peer"
)

const (
	// zoneReaders is how many nodes of a zone read the store while all is well.
	zoneReaders = 2
	// feedInterval is the longest time between two feeds of a reader.
	feedInterval = 400 * time.Millisecond
	// maxFeeds bounds the feeds to one node without a pause.
	maxFeeds = 4
	// firstSilence is how long no reader may feed a node before the next one in
	// the order reads by itself; each later one waits silenceStep more, up to
	// lastSilence, which leaves time for a read within the convergence bound.
	firstSilence = 900 * time.Millisecond
	silenceStep  = 100 * time.Millisecond
	lastSilence  = 1300 * time.Millisecond
)

// feedOptions configures a feeder. All fields are required.
type feedOptions struct {
	clock clockwork.Clock
	log   *logrus.Logger
	sync  *syncer
	// self is this node's control address.
	self string
	// up reports whether the store answers this node.
	up func() bool
	// send makes one feed.
	send func(ctx context.Context, addr string, f peer.Feed) (peer.ViewRequest, error)
}

// feeder decides whether this node reads the store, and passes on what it reads
// to the nodes of its zone. All nodes agree on the order of readers without
// messages: it is that of a hash over the addresses (rendezvous hashing, Thaler
// and Ravishankar 1998). It is safe for concurrent use.
type feeder struct {
	o feedOptions
	// dirty has room for one signal that something changed.
	dirty chan struct{}

	mu sync.Mutex
	// fed is when a reader fed this node last.
	fed time.Time
	// rows is what each node of the zone is known to have.
	rows map[string]*feedRow
}

type feedRow struct {
	state peer.ViewRequest
	// busy says that a feed is on its way.
	busy bool
	// again says that something changed meanwhile.
	again bool
}

func newFeeder(o feedOptions) *feeder {
	return &feeder{o: o, dirty: make(chan struct{}, 1), rows: make(map[string]*feedRow)}
}

// changed says that there is something to feed.
func (f *feeder) changed() {
	select {
	case f.dirty <- struct{}{}:
	default:
	}
}

// rank returns this node's place in the order of the readers of its zone.
func (f *feeder) rank() int {
	own := xxhash.Sum64String(f.o.self)
	rank := 0
	for _, addr := range f.o.sync.neighbours() {
		if h := xxhash.Sum64String(addr); h < own || h == own && addr < f.o.self {
			rank++
		}
	}
	return rank
}

// reading reports whether this node is to read the store.
func (f *feeder) reading() bool {
	if f.o.sync.o.view.Rev() == 0 {
		return true
	}
	rank := f.rank()
	if rank < zoneReaders {
		return true
	}
	allowed := min(firstSilence+time.Duration(rank-zoneReaders)*silenceStep, lastSilence)
	return f.silence() > allowed
}

// silence returns how long no reader has fed this node.
func (f *feeder) silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.o.clock.Since(f.fed)
}

// informed reports whether this node is told of changes.
func (f *feeder) informed() bool { return f.o.up() || f.silence() < firstSilence }

// handle takes over what a reader feeds.
func (f *feeder) handle(_ context.Context, m peer.Feed) (peer.ViewRequest, error) {
	f.mu.Lock()
	f.fed = f.o.clock.Now()
	f.mu.Unlock()
	f.o.sync.take(m.Update, m.From)
	return f.o.sync.state(), nil
}

// run feeds the zone, after each change and now and then, while the store
// answers this node.
func (f *feeder) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-f.dirty:
		case <-f.o.clock.After(feedInterval):
		}
		if !f.o.up() {
			continue
		}
		for _, addr := range f.o.sync.neighbours() {
			f.start(ctx, addr)
		}
	}
}

// start feeds one node, unless a feed to it is on its way already.
func (f *feeder) start(ctx context.Context, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.rows[addr]
	if row == nil {
		row = &feedRow{}
		f.rows[addr] = row
	}
	if row.busy {
		row.again = true
		return
	}
	row.busy = true
	go f.feed(ctx, addr, row)
}

func (f *feeder) feed(ctx context.Context, addr string, row *feedRow) {
	for range maxFeeds {
		f.mu.Lock()
		state := row.state
		f.mu.Unlock()
		got, err := f.o.send(ctx, addr, peer.Feed{Update: f.o.sync.update(state), From: f.o.self})
		if err != nil {
			f.o.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("feed failed")
		}
		f.mu.Lock()
		if err == nil {
			row.state = got
		}
		// A node that was restarted knows less than before; it is fed from its new state.
		more := err == nil && (row.again || got.Rev < f.o.sync.o.view.Rev() || got.Version < f.o.sync.o.view.ConfigVersion())
		row.again = false
		f.mu.Unlock()
		if !more {
			break
		}
	}
	f.mu.Lock()
	row.busy = false
	f.mu.Unlock()
}
