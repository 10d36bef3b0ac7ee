package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// States that /health reports.
const (
	StateLive     = "live"
	StateDraining = "draining"
	StateCold     = "cold"
	StateDown     = "down"
)

// idleConnections is enough for every slot of a backend server to keep its
// connection to the node.
const idleConnections = 1024

// Ask is the body of a request.
type Ask struct {
	// Token names the request; it comes back in the answer. The part after
	// the last dot is the position of a downstream call.
	Token string `json:"token"`
}

// Reply is the body of an answer.
type Reply struct {
	Token     string  `json:"token"`
	Service   string  `json:"service"`
	Operation string  `json:"operation"`
	Parts     []Reply `json:"parts,omitempty"`
	Pad       string  `json:"pad,omitempty"`
	Error     string  `json:"error,omitempty"`
}

// Backend is a stand-in of one backend server.
type Backend struct {
	clock   clockwork.Clock
	set     BackendSettings
	slots   *pool
	ledger  *ledger
	client  *http.Client
	reports reports

	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	knobs    Knobs
	coldFrom time.Time
	draining bool
}

// NewBackend returns a backend server; clock is the real clock where nil.
func NewBackend(s BackendSettings, clock clockwork.Clock) *Backend {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	s.fill()
	b := &Backend{
		clock: clock, set: s, slots: newPool(s.Slots), ledger: newLedger(),
		random: rand.New(rand.NewPCG(s.Seed, 1)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
		}},
	}
	b.SetKnobs(s.Knobs)
	return b
}

// Knobs returns the faults in force.
func (b *Backend) Knobs() Knobs {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knobs
}

// SetKnobs replaces the faults. A cold start begins where Cold changes.
func (b *Backend) SetKnobs(k Knobs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k.Cold != b.knobs.Cold {
		b.coldFrom = b.clock.Now()
	}
	b.knobs = k
	size := b.set.Slots
	if k.Slots > 0 {
		size = k.Slots
	}
	b.slots.resize(size)
}

// Drain makes the server report that it is draining. It still works on what
// it is sent, so that a test can see late work in the ledger.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.draining {
		b.draining = true
		b.ledger.drain(b.clock.Now())
	}
}

// Ledger returns what ran; all adds an entry for every token.
func (b *Backend) Ledger(all bool) LedgerView { return b.ledger.view(b.set.Service, all) }

// workTime returns the next service time of an operation.
func (b *Backend) workTime(operation string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := float64(b.set.workOf(operation))
	work *= 1 + b.set.Spread*(2*b.random.Float64()-1)
	if b.knobs.Slow > 0 {
		work *= b.knobs.Slow
	}
	if left := b.coldLeft(); left > 0 && b.knobs.ColdFactor > 1 {
		work *= 1 + (b.knobs.ColdFactor-1)*left
	}
	return time.Duration(work)
}

// coldLeft returns the part of the cold time that is left, 0 to 1; the caller
// holds the lock.
func (b *Backend) coldLeft() float64 {
	if b.knobs.Cold <= 0 {
		return 0
	}
	passed := b.clock.Since(b.coldFrom)
	return max(0, 1-float64(passed)/float64(b.knobs.Cold))
}

// halve reports whether the next answer is cut short.
func (b *Backend) halve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knobs.Half > 0 && b.random.Float64() < b.knobs.Half
}

// run works on one request; the caller holds a slot.
func (b *Backend) run(ctx context.Context, operation string, ask Ask, header http.Header) (outcome, error) {
	out := outcome{began: b.clock.Now()}
	b.ledger.start(operation, ask.Token, out.began)
	err := b.sleep(ctx, b.workTime(operation))
	out.work = b.clock.Since(out.began)
	if err == nil {
		out.parts, err = b.callAll(ctx, b.set.Calls[operation], ask, header)
	}
	out.how = endFinished
	switch {
	case ctx.Err() != nil:
		out.how = endCancelled
	case err != nil:
		out.how = endFailed
	}
	b.ledger.end(operation, ask.Token, out.how, b.clock.Since(out.began), out.work)
	return out, err
}

func (b *Backend) sleep(ctx context.Context, d time.Duration) error {
	t := b.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
