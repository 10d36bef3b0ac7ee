package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// DefaultRetryWindow is how long after a request the same request ID of the
	// caller counts as a retry.
	DefaultRetryWindow = time.Minute
	// DefaultMaxRequestIDs bounds the table at about 5 MB.
	DefaultMaxRequestIDs = 1 << 17
)

// CallerRequestOptions configures CallerRequests. A zero field takes its default.
type CallerRequestOptions struct {
	// Clock is the real clock by default.
	Clock clockwork.Clock
	// Window is how long after its last use a request ID counts as a retry.
	Window time.Duration
	// MaxRequestIDs bounds the number of request IDs stored.
	MaxRequestIDs int
}

// CallerRequests detects the callers' own retries by operation key or by caller
// and request ID. It keeps two generations of IDs and drops the older one when
// the newer is full or as old as Window. A retry whose ID was dropped early
// counts as a new request; its permits are still bounded by the Bucket. It is
// safe for concurrent use.
type CallerRequests struct {
	opts  CallerRequestOptions
	epoch time.Time

	mu sync.Mutex
	// currentSince is when the current generation started, since epoch.
	currentSince time.Duration
	// current and previous map the hash of an ID to its last use, since epoch.
	// On a collision the second request gets no permits, nothing else. Neither
	// holds more than half of MaxRequestIDs.
	current, previous map[uint64]time.Duration
}

// NewCallerRequests returns an empty table.
func NewCallerRequests(opts CallerRequestOptions) *CallerRequests {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Window == 0 {
		opts.Window = DefaultRetryWindow
	}
	if opts.MaxRequestIDs == 0 {
		opts.MaxRequestIDs = DefaultMaxRequestIDs
	}
	return &CallerRequests{opts: opts, epoch: opts.Clock.Now(), current: make(map[uint64]time.Duration)}
}

// RecordRequestID records a request and reports whether the caller sent the same
// request ID within the window. A request without an ID never counts as a retry.
func (c *CallerRequests) RecordRequestID(caller, requestID string) bool {
	if requestID == "" {
		return false
	}
	return c.record("r\x00" + caller + "\x00" + requestID)
}

// RecordOperationKey is RecordRequestID for a request with an operation key.
func (c *CallerRequests) RecordOperationKey(key string) bool {
	if key == "" {
		return false
	}
	return c.record("k\x00" + key)
}

// Len returns the number of request IDs and operation keys stored.
func (c *CallerRequests) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.current) + len(c.previous)
}

func (c *CallerRequests) record(id string) bool {
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Since(c.epoch)
	last, seen := c.current[hash]
	if !seen {
		last, seen = c.previous[hash]
		c.rotateIfNeeded(now)
	}
	c.current[hash] = now
	return seen && now-last < c.opts.Window
}

// rotateIfNeeded replaces a full or expired generation. c.mu must be held.
func (c *CallerRequests) rotateIfNeeded(now time.Duration) {
	if len(c.current) < max(c.opts.MaxRequestIDs/2, 1) && now-c.currentSince < c.opts.Window {
		return
	}
	c.previous = c.current
	c.current = make(map[uint64]time.Duration)
	c.currentSince = now
}
