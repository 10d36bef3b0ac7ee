package mesh

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// storeContact records when the store last responded, to this node and to the readers
// that feed it. A call that waits says nothing: the store may have no changes, or be
// away. It is safe for concurrent use.
type storeContact struct {
	clock clockwork.Clock

	mu sync.Mutex
	// own is when the store last responded to this node, readers when it last
	// responded to a reader that fed this node. Both are zero before.
	own, readers time.Time
}

func newStoreContact(clock clockwork.Clock) *storeContact { return &storeContact{clock: clock} }

// recordOwn records that the store has responded to this node.
func (c *storeContact) recordOwn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = c.clock.Now()
}

// recordReader records a feed of a reader to which the store responded age ago.
func (c *storeContact) recordReader(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.clock.Now().Add(-max(age, 0)); at.After(c.readers) {
		c.readers = at
	}
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
