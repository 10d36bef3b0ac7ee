package mesh

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// storeAwayGap is how long at least no node hears from a store that is away for so long
// that entries expire: three heartbeats are missed then, 3 s or more apart from the
// first to the last. A failed connection alone leaves a node without a response for
// less, even if the next response is slow.
const storeAwayGap = 2500 * time.Millisecond

// storeContact records when the store last responded, to this node and to the readers
// that feed it. A call that waits says nothing: the store may have no changes, or be
// away. It is safe for concurrent use.
type storeContact struct {
	clock clockwork.Clock

	mu sync.Mutex
	// own is when the store last responded to this node, the node's start before;
	// readers is when it last responded to a reader that fed this node, zero before.
	own, readers time.Time
	// returned is when the store responded to any of them after storeAwayGap without a
	// response.
	returned time.Time
}

func newStoreContact(clock clockwork.Clock) *storeContact {
	return &storeContact{clock: clock, own: clock.Now()}
}

// recordOwn records that the store has responded to this node.
func (c *storeContact) recordOwn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.recordReturn(now)
	c.own = now
}

// recordReader records a feed of a reader to which the store responded age ago.
func (c *storeContact) recordReader(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.clock.Now().Add(-max(age, 0)); at.After(c.readers) {
		c.recordReturn(at)
		c.readers = at
	}
}

// recordReturn sets returned after a response at a time, if it ended a gap. It is called
// with mu held, before own or readers is set.
func (c *storeContact) recordReturn(at time.Time) {
	if c.isAway(at) {
		c.returned = at
	}
}

// isAway reports whether there was no response in storeAwayGap before a time.
func (c *storeContact) isAway(at time.Time) bool {
	return at.Sub(c.own) > storeAwayGap && at.Sub(c.readers) > storeAwayGap
}

// outageEnded returns how long ago the store's last outage ended, as far as this node and
// its readers know: 0 if the store has not responded since, and false if there was none.
func (c *storeContact) outageEnded() (ago time.Duration, away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.isAway(now) {
		return 0, true
	}
	return now.Sub(c.returned), !c.returned.IsZero()
}

// sinceOwn returns the time since the store last responded to this node.
func (c *storeContact) sinceOwn() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Since(c.own)
}

// sinceReaders returns the time since the store last responded to a reader that fed
// this node.
func (c *storeContact) sinceReaders() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Since(c.readers)
}
