package retry

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/frame"
	"dogwoodhead/once"
)

const (
	// DefaultMaxOutboundCalls bounds the different calls recorded per span.
	DefaultMaxOutboundCalls = 256
	// maxStoredBytes bounds the response bodies that one span stores for retries
	// of calls that are not idempotent.
	maxStoredBytes = 1 << 20
)

// Claim is the exclusive right to run a call; see once.Claim.
type Claim = once.Claim

// OutboundCallKey identifies a call within a span; a retry has the same key.
type OutboundCallKey struct {
	target frame.Target
	step   string
	digest uint64
	// size distinguishes bodies of different lengths whose digests collide.
	size int
}

// OutboundCallKeyOf returns the key of an outbound call.
func OutboundCallKeyOf(r frame.Request) OutboundCallKey {
	return OutboundCallKey{
		target: r.Target(), step: r.Step(),
		digest: xxhash.Sum64(r.Body()), size: len(r.Body()),
	}
}

// OutboundCalls records the outbound calls of one span and detects the retries
// that the backend server makes. It is safe for concurrent use.
type OutboundCalls struct {
	maxCalls int

	mu sync.Mutex
	// flights holds the calls made; nil for an idempotent call.
	flights map[OutboundCallKey]*once.Flight
	// storedBytes is the total size of the bodies stored in flights.
	storedBytes int
}

// NewOutboundCalls returns an empty record for one span, bounded to limit
// different calls; to DefaultMaxOutboundCalls if limit is 0.
func NewOutboundCalls(limit int) *OutboundCalls {
	if limit <= 0 {
		limit = DefaultMaxOutboundCalls
	}
	return &OutboundCalls{maxCalls: limit, flights: make(map[OutboundCallKey]*once.Flight)}
}

// Begin starts a call or detects a retry. Exactly one of the results is set: a
// claim if the call may run, the response of the call that it retries, or a
// *frame.OutcomeError.
//
// An idempotent retry runs if spend gets a permit. Any other retry joins the
// running call, gets its response or its unknown outcome, and runs only if the
// call was not run and spend gets a permit. When the record is full, a new
// idempotent call counts as a retry, and any other new call is refused.
//
// Begin calls spend at most once, under its lock; spend must not block.
func (o *OutboundCalls) Begin(
	ctx context.Context, key OutboundCallKey, idempotent bool, spend func() bool,
) (*Claim, frame.Answer, error) {
	c, running, err := o.begin(key, idempotent, spend)
	if running == nil {
		return c, frame.Answer{}, err
	}
	a, err := running.Wait(ctx)
	return nil, a, err
}

func (o *OutboundCalls) begin(key OutboundCallKey, idempotent bool, spend func() bool) (*Claim, *once.Flight, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f, seen := o.flights[key]
	full := !seen && len(o.flights) >= o.maxCalls
	switch {
	case full && !idempotent:
		return nil, nil, frame.NotRunError(frame.ReasonTable, "the span made too many different calls")
	case idempotent:
		if (seen || full) && !spend() {
			return nil, nil, frame.NotRunError(frame.ReasonRepeat, "no permit left for a repeated call")
		}
		if !full && !seen {
			o.flights[key] = nil
		}
		return once.NewClaim(func(frame.Answer, error) {}), nil, nil
	case !seen:
		return o.startFlight(key), nil, nil
	case !endedNotRun(f):
		return nil, f, nil
	case !spend():
		return nil, nil, frame.NotRunError(frame.ReasonRepeat, "no permit left for a repeated call")
	}
	return o.startFlight(key), nil, nil
}

// endedNotRun reports whether the flight is settled as not run.
func endedNotRun(f *once.Flight) bool {
	if f == nil || !f.Settled() {
		return false
	}
	_, err := f.Wait(context.Background())
	o, _ := frame.OutcomeOf(err)
	return o == frame.NotRun
}

// startFlight stores a new flight and returns its claim. r.mu must be held.
func (o *OutboundCalls) startFlight(key OutboundCallKey) *Claim {
	f := once.NewFlight()
	o.flights[key] = f
	return once.NewClaim(func(a frame.Answer, err error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		f.Settle(a, err)
		if err != nil {
			return
		}
		if o.storedBytes+len(a.Body()) > maxStoredBytes {
			// Calls that already wait on f still get the response.
			o.flights[key] = unstoredFlight
			return
		}
		o.storedBytes += len(a.Body())
	})
}

// unstoredFlight replaces the flight of a response that is too large to store.
var unstoredFlight = func() *once.Flight {
	f := once.NewFlight()
	f.Settle(frame.Answer{}, frame.UnknownError(frame.ReasonMemory, "the call ran; its answer is not stored"))
	return f
}()
