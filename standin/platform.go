package standin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultReads is the platform's limit of reads a second over all readers.
	DefaultReads = 2000
	// maxValue is the largest value that the platform holds, in bytes.
	maxValue = 1 << 20
	// maxWait bounds how long one watch waits.
	maxWait = 5 * time.Minute
	// olderWait delays a watch that is answered with an older revision, so
	// that a reader that repeats it at once does not use up the read limit.
	olderWait = time.Second
)

// Mode says how the platform answers reads.
type Mode string

// Modes of the platform.
const (
	// ModeUp answers with the current revision.
	ModeUp Mode = "up"
	// ModeDown answers 503.
	ModeDown Mode = "down"
	// ModeRefuse closes the connection without an answer.
	ModeRefuse Mode = "refuse"
	// ModeStale answers with the revisions that were current when it was set.
	ModeStale Mode = "stale"
	// ModeOlder answers with the revision before the current one.
	ModeOlder Mode = "older"
)

// Value is one revision of a key.
type Value struct {
	Rev  uint64
	Body []byte
}

// PlatformStats counts what readers did.
type PlatformStats struct {
	Mode Mode `json:"mode"`
	// Reads counts every counted call, watches included, refused ones not.
	Reads uint64 `json:"reads"`
	// Watches counts the watches among Reads.
	Watches uint64 `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// Limited counts calls refused with 429.
	Limited uint64 `json:"limited"`
	// Unavailable counts calls met by ModeDown or ModeRefuse.
	Unavailable uint64 `json:"unavailable"`
	// Peak is the largest number of reads within one second.
	Peak int `json:"peak"`
	// Keys counts reads per key.
	Keys map[string]uint64 `json:"keys"`
	// Revisions is the current revision per key.
	Revisions map[string]uint64 `json:"revisions"`
}

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	// Clock is the real clock where nil.
	Clock clockwork.Clock
	// Reads is the limit of reads a second, DefaultReads where 0.
	Reads int
}

// Platform is a stand-in of the configuration service.
type Platform struct {
	clock clockwork.Clock
	reads int

	mu sync.Mutex
	// values holds all revisions of a key in the order of publication, the
	// last one is current.
	values map[string][]Value
	// frozen holds the current values at the moment ModeStale was set.
	frozen map[string]Value
	mode   Mode
	// changed is closed and replaced whenever a value or the mode changes.
	changed chan struct{}
	second  int64
	inSec   int
	stats   PlatformStats
}

// NewPlatform returns a platform without values.
func NewPlatform(o PlatformOptions) *Platform {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Reads == 0 {
		o.Reads = DefaultReads
	}
	return &Platform{
		clock: o.Clock, reads: o.Reads, mode: ModeUp,
		values: make(map[string][]Value), changed: make(chan struct{}),
		stats: PlatformStats{Keys: make(map[string]uint64)},
	}
}

// Publish makes body the current value of key. Revision 0 takes the next one;
// another revision is taken as given, even one below the current.
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
	p.notify()
	return rev
}

// SetMode changes how reads are answered.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == ModeStale && p.mode != ModeStale {
		p.frozen = make(map[string]Value)
		for key, vs := range p.values {
			p.frozen[key] = vs[len(vs)-1]
		}
	}
	p.mode = m
	p.notify()
}

// notify wakes the waiting watches; the caller holds the lock.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Stats returns a copy of the counters.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Mode = p.mode
	s.Keys = maps.Clone(p.stats.Keys)
	s.Revisions = make(map[string]uint64, len(p.values))
	for key, vs := range p.values {
		s.Revisions[key] = vs[len(vs)-1].Rev
	}
	return s
}

// count charges one read to the current second and reports whether the limit
// allows it. Refused reads are not charged.
func (p *Platform) count(key string, watch bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now().Unix(); now != p.second {
		p.second, p.inSec = now, 0
	}
	if p.inSec >= p.reads {
		p.stats.Limited++
		return false
	}
	p.inSec++
	p.stats.Peak = max(p.stats.Peak, p.inSec)
	p.stats.Reads++
	p.stats.Keys[key]++
	if watch {
		p.stats.Watches++
	}
	return true
}

// view returns what a reader sees of key now, and the channel that is closed
// on the next change.
func (p *Platform) view(key string) (Value, Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeDown || p.mode == ModeRefuse {
		p.stats.Unavailable++
	}
	vs := p.values[key]
	switch {
	case p.mode == ModeStale:
		return p.frozen[key], p.mode, p.changed
	case len(vs) == 0:
		return Value{}, p.mode, p.changed
	case p.mode == ModeOlder && len(vs) > 1:
		return vs[len(vs)-2], p.mode, p.changed
	default:
		return vs[len(vs)-1], p.mode, p.changed
	}
}

// watch waits until the value seen is above after, the platform becomes
// unavailable, or the wait is over.
func (p *Platform) watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, Mode) {
	p.waiting(1)
	defer p.waiting(-1)
	timer := p.clock.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	older := p.clock.NewTimer(min(wait, olderWait))
	defer older.Stop()
	olderPassed := false
	for {
		v, mode, changed := p.view(key)
		unavailable := mode == ModeDown || mode == ModeRefuse
		if v.Rev > after || unavailable || mode == ModeOlder && olderPassed {
			return v, mode
		}
		select {
		case <-changed:
		case <-older.Chan():
			olderPassed = true
		case <-timer.Chan():
			return Value{}, mode
		case <-ctx.Done():
			return Value{}, mode
		}
	}
}

func (p *Platform) waiting(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Waiting += by
}
