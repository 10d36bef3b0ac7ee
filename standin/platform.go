package standin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultReadsPerSecond is the platform's read limit over all readers.
	DefaultReadsPerSecond = 2000
	// maxValueBytes is the largest value that the platform stores.
	maxValueBytes = 1 << 20
	// maxWatchWait limits how long one watch waits.
	maxWatchWait = 5 * time.Minute
	// olderWatchDelay delays the response to a watch in ModeOlder, so that a
	// reader that watches again at once does not exhaust the read limit.
	olderWatchDelay = time.Second
)

// Mode is how the platform responds to reads.
type Mode string

// Modes of the platform.
const (
	// ModeUp returns the current revision.
	ModeUp Mode = "up"
	// ModeDown responds with 503.
	ModeDown Mode = "down"
	// ModeRefuse closes the connection without a response.
	ModeRefuse Mode = "refuse"
	// ModeSilent never responds, not even after the mode has changed.
	ModeSilent Mode = "silent"
	// ModeStale returns the revisions that were current when it was set.
	ModeStale Mode = "stale"
	// ModeOlder returns the revision before the current one.
	ModeOlder Mode = "older"
)

// Value is one revision of a key.
type Value struct {
	Rev  uint64
	Body []byte
}

// PlatformStats counts the reads of a platform.
type PlatformStats struct {
	Mode Mode `json:"mode"`
	// Reads counts the reads charged to the limit, watches included.
	Reads uint64 `json:"reads"`
	// Watches counts the watches among Reads.
	Watches uint64 `json:"watches"`
	// WaitingWatches is the number of watches waiting now.
	WaitingWatches int `json:"waiting"`
	// RateLimited counts reads refused with 429.
	RateLimited uint64 `json:"limited"`
	// Unavailable counts lookups of a value while the mode made none available.
	Unavailable uint64 `json:"unavailable"`
	// PeakReadsPerSecond is the largest number of reads within one second.
	PeakReadsPerSecond int `json:"peak"`
	// ReadsByKey counts reads per key.
	ReadsByKey map[string]uint64 `json:"keys"`
	// Revisions is the current revision per key.
	Revisions map[string]uint64 `json:"revisions"`
}

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	// Clock may be nil for the real clock.
	Clock clockwork.Clock
	// ReadsPerSecond is the read limit; 0 means DefaultReadsPerSecond.
	ReadsPerSecond int
}

// Platform is a stand-in for the configuration service.
type Platform struct {
	clock          clockwork.Clock
	readsPerSecond int

	mu sync.Mutex
	// values holds all revisions of a key in the order of publication; the
	// last one is current.
	values map[string][]Value
	// frozen holds the current values at the moment ModeStale was set.
	frozen map[string]Value
	mode   Mode
	// changed is closed and replaced whenever a value or the mode changes.
	changed       chan struct{}
	currentSecond int64
	readsInSecond int
	stats         PlatformStats
}

// NewPlatform returns a platform without values.
func NewPlatform(opts PlatformOptions) *Platform {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = DefaultReadsPerSecond
	}
	return &Platform{
		clock: opts.Clock, readsPerSecond: opts.ReadsPerSecond, mode: ModeUp,
		values: make(map[string][]Value), changed: make(chan struct{}),
		stats: PlatformStats{ReadsByKey: make(map[string]uint64)},
	}
}

// Publish makes body the current value of key. Revision 0 means the next one;
// another revision is used as given, even one below the current.
func (p *Platform) Publish(key string, rev uint64, body []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rev == 0 {
		for _, v := range p.values[key] {
			rev = max(rev, v.Rev)
		}
		rev++
	}
	p.values[key] = append(p.values[key], Value{Rev: rev, Body: body})
	p.notifyWatches()
	return rev
}

// SetMode changes how the platform responds to reads.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == ModeStale && p.mode != ModeStale {
		p.frozen = make(map[string]Value)
		for key, revisions := range p.values {
			p.frozen[key] = revisions[len(revisions)-1]
		}
	}
	p.mode = m
	p.notifyWatches()
}

// notifyWatches wakes the waiting watches; the caller holds the lock.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Stats returns a copy of the counters.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Mode = p.mode
	s.ReadsByKey = maps.Clone(p.stats.ReadsByKey)
	s.Revisions = make(map[string]uint64, len(p.values))
	for key, revisions := range p.values {
		s.Revisions[key] = revisions[len(revisions)-1].Rev
	}
	return s
}

// chargeRead charges one read to the current second and reports whether the
// limit allows it. Refused reads are not charged.
func (p *Platform) chargeRead(key string, watch bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now().Unix(); now != p.currentSecond {
		p.currentSecond, p.readsInSecond = now, 0
	}
	if p.readsInSecond >= p.readsPerSecond {
		p.stats.RateLimited++
		return false
	}
	p.readsInSecond++
	p.stats.PeakReadsPerSecond = max(p.stats.PeakReadsPerSecond, p.readsInSecond)
	p.stats.Reads++
	p.stats.ReadsByKey[key]++
	if watch {
		p.stats.Watches++
	}
	return true
}

// unavailable reports whether no value is returned in this mode.
func (m Mode) unavailable() bool { return m == ModeDown || m == ModeRefuse || m == ModeSilent }

// readValue returns the value of key under the current mode, and the channel
// that is closed on the next change. It counts lookups while unavailable.
func (p *Platform) readValue(key string) (Value, Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode.unavailable() {
		p.stats.Unavailable++
	}
	revisions := p.values[key]
	switch {
	case p.mode == ModeStale:
		return p.frozen[key], p.mode, p.changed
	case len(revisions) == 0:
		return Value{}, p.mode, p.changed
	case p.mode == ModeOlder && len(revisions) > 1:
		return revisions[len(revisions)-2], p.mode, p.changed
	default:
		return revisions[len(revisions)-1], p.mode, p.changed
	}
}

// watch waits until the revision of key is above after, the platform becomes
// unavailable, or wait has passed; in ModeOlder at most olderWatchDelay.
func (p *Platform) watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, Mode) {
	p.addWaiting(1)
	defer p.addWaiting(-1)
	timer := p.clock.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	olderTimer := p.clock.NewTimer(min(wait, olderWatchDelay))
	defer olderTimer.Stop()
	olderPassed := false
	for {
		v, mode, changed := p.readValue(key)
		if v.Rev > after || mode.unavailable() || mode == ModeOlder && olderPassed {
			return v, mode
		}
		select {
		case <-changed:
		case <-olderTimer.Chan():
			olderPassed = true
		case <-timer.Chan():
			return Value{}, mode
		case <-ctx.Done():
			return Value{}, mode
		}
	}
}

func (p *Platform) addWaiting(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.WaitingWatches += delta
}
