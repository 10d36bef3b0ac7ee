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

// maxIdleConns per host lets every slot of a backend server keep its connection
// to the node.
const maxIdleConns = 1024

// RequestBody is the body of a request.
type RequestBody struct {
	// Token identifies the request and is echoed in the response. For a
	// downstream call, the suffix after the last dot is its position.
	Token string `json:"token"`
}

// ResponseBody is the body of a response.
type ResponseBody struct {
	Token          string         `json:"token"`
	Service        string         `json:"service"`
	Operation      string         `json:"operation"`
	ChildResponses []ResponseBody `json:"parts,omitempty"`
	Padding        string         `json:"pad,omitempty"`
	Error          string         `json:"error,omitempty"`
}

// Backend is a stand-in for one backend server.
type Backend struct {
	clock    clockwork.Clock
	settings BackendSettings
	slots    *slotPool
	ledger   *ledger
	client   *http.Client
	reports  reports

	mu          sync.Mutex // guards the fields below
	random      *rand.Rand
	faults      BackendFaults
	warmUpStart time.Time
	draining    bool
}

// NewBackend returns a backend server. A nil clock means the real clock.
func NewBackend(s BackendSettings, clock clockwork.Clock) *Backend {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	s.setDefaults()
	b := &Backend{
		clock: clock, settings: s, slots: newSlotPool(s.Slots), ledger: newLedger(),
		random: rand.New(rand.NewPCG(s.Seed, 1)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
		}},
	}
	b.SetFaults(s.Faults)
	return b
}

// Faults returns the active faults.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// SetFaults replaces the faults. A warm-up begins if WarmUp changes.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if faults.WarmUp != b.faults.WarmUp {
		b.warmUpStart = b.clock.Now()
	}
	b.faults = faults
	size := b.settings.Slots
	if faults.Slots > 0 {
		size = faults.Slots
	}
	b.slots.resize(size)
}

// Drain makes the server report that it is draining. It still runs new
// requests, so that a test can find late ones in the ledger.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.draining {
		b.draining = true
		b.ledger.recordDrain(b.clock.Now())
	}
}

// Ledger returns a snapshot; withTokens adds an entry for every token.
func (b *Backend) Ledger(withTokens bool) LedgerView {
	return b.ledger.snapshot(b.settings.Service, withTokens)
}

// drawSelfTime returns a random self time, with the active faults applied.
func (b *Backend) drawSelfTime(operation string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	selfTime := float64(b.settings.meanSelfTime(operation))
	selfTime *= 1 + b.settings.SelfTimeJitter*(2*b.random.Float64()-1)
	if b.faults.SlowFactor > 0 {
		selfTime *= b.faults.SlowFactor
	}
	if left := b.warmUpLeft(); left > 0 && b.faults.WarmUpFactor > 1 {
		selfTime *= 1 + (b.faults.WarmUpFactor-1)*left
	}
	return time.Duration(selfTime)
}

// warmUpLeft returns the remaining fraction of the warm-up, 0 to 1; the caller
// holds the lock.
func (b *Backend) warmUpLeft() float64 {
	if b.faults.WarmUp <= 0 {
		return 0
	}
	elapsed := b.clock.Since(b.warmUpStart)
	return max(0, 1-float64(elapsed)/float64(b.faults.WarmUp))
}

// drawTruncation reports whether to truncate the next response.
func (b *Backend) drawTruncation() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.TruncatedFraction > 0 && b.random.Float64() < b.faults.TruncatedFraction
}

// run executes one request; the caller holds a slot.
func (b *Backend) run(ctx context.Context, operation string, reqBody RequestBody, header http.Header) (runResult, error) {
	result := runResult{startedAt: b.clock.Now()}
	b.ledger.recordStart(operation, reqBody.Token, result.startedAt)
	err := b.sleep(ctx, b.drawSelfTime(operation))
	result.selfTime = b.clock.Since(result.startedAt)
	if err == nil {
		result.childResponses, err = b.makeCalls(ctx, b.settings.Calls[operation], reqBody, header)
	}
	result.end = endFinished
	switch {
	case ctx.Err() != nil:
		result.end = endCancelled
	case err != nil:
		result.end = endFailed
	}
	b.ledger.recordEnd(operation, reqBody.Token, result.end, b.clock.Since(result.startedAt), result.selfTime)
	return result, err
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
