package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
)

const (
	// feedInterval is the longest time between two feeds of a reader. A feed also
	// follows each response of the store, after watchWait of package catalog if there are
	// no changes, so that two feeds lie between.
	feedInterval = 450 * time.Millisecond
	// feedDelay is how long a feed waits for what follows the change that it carries: one
	// response of the store may change the list and the configuration.
	feedDelay = 2 * time.Millisecond
	// maxFeedsPerRound bounds the consecutive feeds to one node.
	maxFeedsPerRound = 4
)

// feederOptions configures a feeder. All fields are required.
type feederOptions struct {
	clock clockwork.Clock
	log   *logrus.Logger
	sync  *syncer
	// selfAddr is this node's control address.
	selfAddr string
	// storeUp reports whether the store responds to this node.
	storeUp func() bool
	// listed reports whether the local backend server is listed.
	listed func() bool
	// sendFeed sends one feed and returns the receiver's versions after it.
	sendFeed func(ctx context.Context, addr string, f peer.Feed) (peer.ViewRequest, error)
}

// feeder decides whether this node reads the store, and feeds what it reads to
// the nodes of its zone. All nodes compute the same order of readers without
// messages, from a hash of the addresses (rendezvous hashing, Thaler and
// Ravishankar 1998). It is safe for concurrent use.
type feeder struct {
	opts    feederOptions
	contact *storeContact
	// pending holds at most one signal that there is something to feed.
	pending chan struct{}
	// startedAt is when the node started.
	startedAt time.Time

	mu sync.Mutex
	// lastFed is when a reader last fed this node.
	lastFed time.Time
	// targets holds the state of the feeds to each node of the zone, by address.
	targets map[string]*feedTarget
}

// feedTarget is the state of the feeds to one node.
type feedTarget struct {
	// known holds the versions that the node reported last, if it has reported any.
	known    peer.ViewRequest
	reported bool
	// sending reports that a feed is in progress.
	sending bool
	// resend reports that something changed during the feed.
	resend bool
}

func newFeeder(opts feederOptions) *feeder {
	return &feeder{opts: opts, contact: newStoreContact(opts.clock), startedAt: opts.clock.Now(), pending: make(chan struct{}, 1), targets: make(map[string]*feedTarget)}
}

// notify signals that there is something to feed.
func (f *feeder) notify() {
	select {
	case f.pending <- struct{}{}:
	default:
	}
}

// sinceLastFeed returns the time since a reader last fed this node.
func (f *feeder) sinceLastFeed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.clock.Since(f.lastFed)
}

// receivesChanges reports whether the store or a reader sends changes to this node.
func (f *feeder) receivesChanges() bool {
	if min(f.contact.sinceReaders(), f.contact.sinceOwn()) > catalog.MaxResponseInterval {
		return false
	}
	return f.opts.storeUp() || f.sinceLastFeed() < feedTimeout
}

// handleFeed applies a feed from a reader.
func (f *feeder) handleFeed(_ context.Context, msg peer.Feed) (peer.ViewRequest, error) {
	f.contact.recordReader(msg.Age)
	f.mu.Lock()
	f.lastFed = f.opts.clock.Now()
	f.mu.Unlock()
	f.opts.sync.applyUpdate(msg.Update, msg.From)
	return f.opts.sync.viewRequest(), nil
}

// recordResponse records that the store has responded to this node, and feeds that:
// without changes the zone would hear of it up to feedInterval later, and take the
// store for away.
func (f *feeder) recordResponse() {
	f.contact.recordOwn()
	f.notify()
}

// run feeds the zone after each response and change and every feedInterval, while the
// store responds to this node.
func (f *feeder) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.awaitFeed(ctx)
		if ctx.Err() != nil || !f.opts.storeUp() {
			continue
		}
		addrs := f.opts.sync.zonePeers()
		f.deleteTargets(addrs)
		for _, addr := range addrs {
			f.startFeed(ctx, addr)
		}
	}
}

// awaitFeed waits until a feed is due or ctx is done.
func (f *feeder) awaitFeed(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-f.opts.clock.After(feedInterval):
		return
	case <-f.pending:
	}
	f.opts.clock.Sleep(feedDelay)
	select {
	case <-f.pending:
	default:
	}
}

// deleteTargets deletes the state of nodes that are not in addrs, because they
// left the zone.
func (f *feeder) deleteTargets(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) <= len(addrs) {
		return
	}
	for addr := range f.targets {
		if !slices.Contains(addrs, addr) {
			delete(f.targets, addr)
		}
	}
}

// startFeed feeds one node, or marks it for another feed if one is in progress.
func (f *feeder) startFeed(ctx context.Context, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.targets[addr]
	if target == nil {
		target = &feedTarget{}
		f.targets[addr] = target
	}
	if target.sending {
		target.resend = true
		return
	}
	target.sending = true
	go f.feed(ctx, addr, target)
}

// feed feeds one node until nothing is newer here, at most maxFeedsPerRound times.
func (f *feeder) feed(ctx context.Context, addr string, target *feedTarget) {
	for range maxFeedsPerRound {
		reported, err := f.opts.sendFeed(ctx, addr, peer.Feed{
			Update: f.nextUpdate(target), From: f.opts.selfAddr, Age: f.contact.sinceOwn(),
		})
		if err != nil {
			f.opts.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("feed failed")
		}
		f.mu.Lock()
		if err == nil {
			target.known, target.reported = reported, true
		}
		// A restarted node has older versions than before; the next feed starts there.
		again := err == nil && (target.resend || reported.Rev < f.opts.sync.opts.view.Rev() || reported.Version < f.opts.sync.opts.view.ConfigVersion())
		target.resend = false
		f.mu.Unlock()
		if !again {
			break
		}
	}
	f.mu.Lock()
	target.sending = false
	f.mu.Unlock()
}

// nextUpdate returns the update for the next feed to a node. The first one holds
// the versions only: most nodes are up to date, and a list is large.
func (f *feeder) nextUpdate(target *feedTarget) peer.Update {
	f.mu.Lock()
	known, reported := target.known, target.reported
	f.mu.Unlock()
	if !reported {
		return f.opts.sync.versions()
	}
	return f.opts.sync.updateFor(known)
}
