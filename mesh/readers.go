package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/catalog"
)

const (
	// zoneReaders is how many nodes of a zone read the store in normal operation.
	zoneReaders = 2
	// feedTimeout is how long the first node after the readers waits for a feed
	// before reading the store itself; each later one waits feedTimeoutStep longer,
	// up to maxFeedTimeout, which leaves time for a read within the convergence bound.
	// They wait likewise, from catalog.MaxResponseInterval on, for a feed of a reader to
	// which the store still responds.
	feedTimeout     = 900 * time.Millisecond
	feedTimeoutStep = 100 * time.Millisecond
	maxFeedTimeout  = 1300 * time.Millisecond
	// startPeriod is how long after its start a node counts as just started. It
	// watches the store then only if it was not fed for startFeedTimeout.
	startPeriod      = 4 * time.Second
	startFeedTimeout = feedInterval + 100*time.Millisecond
	// startWatchersDivisor sets the fraction of the nodes that watch the store before
	// their backend servers are listed.
	startWatchersDivisor = 8
	// readerRetryDelay is the longest pause of a reader after failed calls to the
	// store, otherRetryDelay that of the other nodes. All readers may be cut off when the
	// store returns, so any node must notice that within the 3 s after which it must act
	// on changes, though a call made before may hang for 1 s.
	readerRetryDelay = time.Second
	otherRetryDelay  = 1500 * time.Millisecond
)

// readerRank returns this node's place in the order of the readers of its zone.
// Nodes whose backend servers left the list have no place: they stop soon, and
// while the store is away nobody would look often whether it is back.
func (f *feeder) readerRank() int {
	selfHash := xxhash.Sum64String(f.opts.selfAddr)
	rank := 0
	for _, addr := range f.opts.sync.listedZonePeers() {
		if h := xxhash.Sum64String(addr); h < selfHash || h == selfHash && addr < f.opts.selfAddr {
			rank++
		}
	}
	return rank
}

// readMode returns how this node reads the store: it watches the store as one of
// the readers of its zone, without a list, or if it was not fed for its timeout by a
// reader to which the store responds.
//
// A node that has just started may not know yet who the readers are. It does not
// watch while another node to which the store responds feeds it, and most nodes make
// stale reads until the local backend server is listed: when a fleet starts, the servers
// are listed one by one, and a watch by every node would return for each of them.
func (f *feeder) readMode() catalog.ReadMode {
	if f.opts.sync.opts.view.Rev() == 0 {
		return catalog.ReadFresh
	}
	started, unfed := f.opts.clock.Since(f.startedAt), f.sinceLastFeed()
	rank := f.readerRank()
	delay := min(time.Duration(max(rank-zoneReaders, 0))*feedTimeoutStep, maxFeedTimeout-feedTimeout)
	readersCutOff := min(started, f.contact.sinceReaders()) > catalog.MaxResponseInterval+delay
	watches := rank < zoneReaders || min(started, unfed) > feedTimeout+delay || readersCutOff
	switch {
	case started <= startPeriod && !f.opts.listed() && !f.startsAsWatcher():
		return catalog.ReadStale
	case started <= startPeriod && unfed <= startFeedTimeout && !readersCutOff, !watches:
		return catalog.ReadNone
	}
	return catalog.ReadFresh
}

// startsAsWatcher reports whether this node watches the store before the local
// backend server is listed, so that some nodes of a fleet do.
func (f *feeder) startsAsWatcher() bool {
	return xxhash.Sum64String(f.opts.selfAddr)%startWatchersDivisor == 0
}

// maxRetryDelay returns the longest pause after failed calls to the store. The readers,
// which must feed the others too, look more often whether it is back.
func (f *feeder) maxRetryDelay() time.Duration {
	if f.readerRank() < zoneReaders {
		return readerRetryDelay
	}
	return otherRetryDelay
}
