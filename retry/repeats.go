package retry

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/frame"
	"dogwoodhead/once"
)

const (
	// DefaultRepeats is how many different calls of one span are remembered.
	DefaultRepeats = 256
	// maxRepeatBytes bounds the bodies of the answers that one span stores for
	// repeats of calls that are not idempotent.
	maxRepeatBytes = 1 << 20
)

// Claim is the right and the duty to run a call; see once.Claim.
type Claim = once.Claim

// RepeatKey tells two calls of one span apart. Equal keys are repeats.
type RepeatKey struct {
	target frame.Target
	step   string
	digest uint64
	// size makes a collision of digests of bodies of two lengths harmless.
	size int
}

// RepeatOf returns the key of an outbound call.
func RepeatOf(r frame.Request) RepeatKey {
	return RepeatKey{
		target: r.Target(), step: r.Step(),
		digest: xxhash.Sum64(r.Body()), size: len(r.Body()),
	}
}

// Repeats recognises the repeated outbound calls of one span. It is safe for
// concurrent use.
type Repeats struct {
	max int

	mu sync.Mutex
	// rows holds the calls made. The flight is nil for an idempotent call.
	rows map[RepeatKey]*once.Flight
	// bytes is the sum of the bodies stored in rows.
	bytes int
}

// NewRepeats returns the record of one span, bounded by limit different calls;
// DefaultRepeats where limit is 0.
func NewRepeats(limit int) *Repeats {
	if limit <= 0 {
		limit = DefaultRepeats
	}
	return &Repeats{max: limit, rows: make(map[RepeatKey]*once.Flight)}
}

// Begin starts a call or recognises a repeat. Exactly one of the results is
// set: a claim where the call may run, the answer of the call that it repeats,
// or a *frame.OutcomeError.
//
// An idempotent repeat runs where spend gets a permit. A repeat that is not
// idempotent joins the running call, gets its answer or its unknown outcome,
// and runs again only after not run and with a permit. Where the record is full
// an idempotent call counts as a repeat, and any other call is refused.
//
// Begin calls spend at most once, under its lock; spend must not block.
func (r *Repeats) Begin(
	ctx context.Context, key RepeatKey, idempotent bool, spend func() bool,
) (*Claim, frame.Answer, error) {
	c, running, err := r.begin(key, idempotent, spend)
	if running == nil {
		return c, frame.Answer{}, err
	}
	a, err := running.Wait(ctx)
	return nil, a, err
}

func (r *Repeats) begin(key RepeatKey, idempotent bool, spend func() bool) (*Claim, *once.Flight, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, seen := r.rows[key]
	full := !seen && len(r.rows) >= r.max
	switch {
	case full && !idempotent:
		return nil, nil, frame.NotRunError(frame.ReasonTable, "the span made too many different calls")
	case idempotent:
		if (seen || full) && !spend() {
			return nil, nil, frame.NotRunError(frame.ReasonRepeat, "no permit left for a repeated call")
		}
		if !full && !seen {
			r.rows[key] = nil
		}
		return once.NewClaim(func(frame.Answer, error) {}), nil, nil
	case !seen:
		return r.claim(key), nil, nil
	case !mayRunAgain(f):
		return nil, f, nil
	case !spend():
		return nil, nil, frame.NotRunError(frame.ReasonRepeat, "no permit left for a repeated call")
	}
	return r.claim(key), nil, nil
}

// mayRunAgain reports whether the flight ended as not run.
func mayRunAgain(f *once.Flight) bool {
	if f == nil || !f.Settled() {
		return false
	}
	_, err := f.Wait(context.Background())
	o, _ := frame.OutcomeOf(err)
	return o == frame.NotRun
}

// claim stores a new flight for the key.
func (r *Repeats) claim(key RepeatKey) *Claim {
	f := once.NewFlight()
	r.rows[key] = f
	return once.NewClaim(func(a frame.Answer, err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		f.Settle(a, err)
		if err != nil {
			return
		}
		if r.bytes+len(a.Body()) > maxRepeatBytes {
			// Calls that already wait hold f and get the answer.
			r.rows[key] = unstoredFlight
			return
		}
		r.bytes += len(a.Body())
	})
}

// unstoredFlight is the result of a call whose answer was too large to store.
var unstoredFlight = func() *once.Flight {
	f := once.NewFlight()
	f.Settle(frame.Answer{}, frame.UnknownError(frame.ReasonMemory, "the call ran; its answer is not stored"))
	return f
}()
