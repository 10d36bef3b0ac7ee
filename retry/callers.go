package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// DefaultWindow is how long after a call the caller's same request id
	// counts as a retry.
	DefaultWindow = time.Minute
	// DefaultCallers bounds the table at about 5 MB.
	DefaultCallers = 1 << 17
)

// CallerOptions configures Callers. A field left zero takes its default.
type CallerOptions struct {
	// Clock gives the time of each call.
	Clock clockwork.Clock
	// Window is how long after its last use a request id counts as repeated.
	Window time.Duration
	// Max bounds the request ids remembered.
	Max int
}

// Callers recognises the callers' own retries by operation key or by caller and
// request id. It keeps two generations of request ids and drops the older one
// when the newer is full or Window old. A request id that was dropped early is
// taken for a new call, whose permits the Bucket still bounds. It is safe for
// concurrent use.
type Callers struct {
	o     CallerOptions
	start time.Time

	mu sync.Mutex
	// turned is when the current generation was started.
	turned time.Duration
	// current and previous hold the time of the last use by hash. Two ids with
	// one hash cost the second one its permits, nothing else. Neither holds
	// more than half of Max.
	current, previous map[uint64]time.Duration
}

// NewCallers returns an empty table.
func NewCallers(o CallerOptions) *Callers {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Max == 0 {
		o.Max = DefaultCallers
	}
	return &Callers{o: o, start: o.Clock.Now(), current: make(map[uint64]time.Duration)}
}

// Repeat records a call and reports whether the caller sent the same request id
// within the window. Without a request id nothing can be recognised.
func (c *Callers) Repeat(caller, request string) bool {
	if request == "" {
		return false
	}
	return c.repeat("r\x00" + caller + "\x00" + request)
}

// RepeatKey is Repeat for a call with an operation key.
func (c *Callers) RepeatKey(key string) bool {
	if key == "" {
		return false
	}
	return c.repeat("k\x00" + key)
}

// Len returns how many request ids are remembered.
func (c *Callers) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.current) + len(c.previous)
}

func (c *Callers) repeat(id string) bool {
	h := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Since(c.start)
	last, seen := c.current[h]
	if !seen {
		last, seen = c.previous[h]
		c.turn(now)
	}
	c.current[h] = now
	return seen && now-last < c.o.Window
}

// turn starts a new generation where the current one is full or old.
func (c *Callers) turn(now time.Duration) {
	if len(c.current) < max(c.o.Max/2, 1) && now-c.turned < c.o.Window {
		return
	}
	c.previous = c.current
	c.current = make(map[uint64]time.Duration)
	c.turned = now
}
