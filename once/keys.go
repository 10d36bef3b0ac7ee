package once

import (
	"container/heap"
	"container/list"
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

// Defaults of KeyOptions.
const (
	// DefaultMaxKeys bounds the table at about 23 MB, at 349 bytes a key without
	// stored answers.
	DefaultMaxKeys = 1 << 16
	// DefaultMaxBytes bounds the bodies of stored answers, in bytes.
	DefaultMaxBytes = 16 << 20
	// DefaultRetention is how long the outcome of an expired key remains
	// available to callers.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxTTL bounds the lifetime of a key.
	DefaultMaxTTL = time.Hour
)

// KeyOptions configures Keys. Zero fields take their defaults.
type KeyOptions struct {
	// Self is the process that issues and owns the keys.
	Self frame.Incarnation
	// Clock is the monotonic clock for expiry.
	Clock clockwork.Clock
	// Secret is the key of the MAC; random if empty.
	Secret []byte
	// MaxKeys bounds the number of stored keys.
	MaxKeys int
	// MaxBytes bounds the bodies of stored answers, in bytes.
	MaxBytes int
	// Retention is how long a key stays stored after its expiry.
	Retention time.Duration
	// MaxTTL is the longest time from issue to expiry.
	MaxTTL time.Duration
}

// Keys issues operation keys and stores the outcome of each operation. It is
// safe for concurrent use.
//
// A stored key is running, answered, void (its call did not run and never will)
// or unknown (its call may have run). A key that is issued but unused is not
// stored. An entry is kept until Retention after expiry, a void one only until
// expiry, because after that a missing entry proves that the call never ran.
//
// An error of Begin with ReasonVoid or ReasonTable applies to the operation, not
// only to the one call: no call with that key ran or ever will.
type Keys struct {
	opts   KeyOptions
	secret []byte
	start  time.Time

	// mu guards the fields below and those of the entries.
	mu sync.Mutex
	// elapsed is the time since start. It never decreases, even if the clock does.
	elapsed time.Duration
	// lastIssued is the number of the last key issued.
	lastIssued uint64
	// voidThrough covers the keys that were refused because the table was full:
	// a key with a number up to it and without an entry is void.
	voidThrough uint64
	entries     map[uint64]*entry
	removals    removalHeap
	// storedAnswers holds the entries with a stored answer, oldest first.
	storedAnswers *list.List
	// storedBytes is the sum of the body lengths in storedAnswers.
	storedBytes int
}

// entry is a stored key.
type entry struct {
	number uint64
	// digest is the digest of the first call's body; it never changes.
	digest uint64
	expiry time.Duration
	// removeAt is when the entry is removed. Like expiry, it counts from Keys.start.
	removeAt time.Duration
	// heapIndex is the position in Keys.removals.
	heapIndex int
	flight    *Flight
	// answerElement is the element of Keys.storedAnswers, nil if no answer is stored.
	answerElement *list.Element
}

// NewKeys returns an empty key table.
func NewKeys(opts KeyOptions) *Keys {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.MaxKeys == 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	if opts.MaxBytes == 0 {
		opts.MaxBytes = DefaultMaxBytes
	}
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	if opts.MaxTTL == 0 {
		opts.MaxTTL = DefaultMaxTTL
	}
	k := &Keys{
		opts: opts, secret: opts.Secret, start: opts.Clock.Now(),
		entries: make(map[uint64]*entry), storedAnswers: list.New(),
	}
	if len(k.secret) == 0 {
		k.secret = make([]byte, 32)
		_, _ = rand.Read(k.secret) // never fails, see its documentation
	}
	return k
}

// Issue returns a new key for one call to the target, valid for ttl. The error is
// a *frame.OutcomeError, with ReasonTable while the table is full and ReasonBad
// if ttl is out of range.
func (k *Keys) Issue(target frame.Target, ttl time.Duration) (string, error) {
	if ttl < time.Millisecond || ttl > k.opts.MaxTTL {
		return "", frame.NotRunError(frame.ReasonBad, fmt.Sprintf("key lifetime %s: want 1ms to %s", ttl, k.opts.MaxTTL))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeExpired()
	if len(k.entries) >= k.opts.MaxKeys {
		return "", frame.NotRunError(frame.ReasonTable, "the table of operation keys is full")
	}
	k.lastIssued++
	f := keyFields{owner: k.opts.Self, expiry: (k.elapsed + ttl).Truncate(time.Millisecond), number: k.lastIssued}
	return f.encode(k.secret, target), nil
}

// Begin starts the call of a key, or waits for its result if it was started
// before. Exactly one of the three results is set: a claim if the caller must
// run the call, the answer of an earlier run, or a *frame.OutcomeError. The key
// is bound to its target when issued and to the body digest by the first call; a
// call with another target or digest fails with ReasonKey and changes nothing.
func (k *Keys) Begin(ctx context.Context, key string, target frame.Target, digest uint64) (*Claim, frame.Answer, error) {
	f, err := parseKey(key)
	if err != nil {
		return nil, frame.Answer{}, err
	}
	if f.owner != k.opts.Self {
		return nil, frame.Answer{}, frame.UnknownError(frame.ReasonOwner, "the operation key belongs to another process")
	}
	if !verify(k.secret, key, target) {
		return nil, frame.Answer{}, frame.NotRunError(frame.ReasonKey, "the operation key was not issued for "+target.String())
	}
	e, created, err := k.findOrCreate(f, digest)
	if err != nil {
		return nil, frame.Answer{}, err
	}
	if created {
		return NewClaim(func(a frame.Answer, err error) { k.settle(e, a, err) }), frame.Answer{}, nil
	}
	k.mu.Lock()
	flight := e.flight
	k.mu.Unlock()
	a, err := flight.Wait(ctx)
	return nil, a, err
}

// Len returns the number of stored keys.
func (k *Keys) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeExpired()
	return len(k.entries)
}

// Bytes returns the total length of the stored answers' bodies in bytes.
func (k *Keys) Bytes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storedBytes
}

// findOrCreate returns the entry of a verified key, and whether it is new.
func (k *Keys) findOrCreate(f keyFields, digest uint64) (e *entry, created bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeExpired()
	e, ok := k.entries[f.number]
	switch {
	case k.elapsed >= f.expiry+k.opts.Retention:
		return nil, false, frame.UnknownError(frame.ReasonKey, "the operation key expired too long ago")
	case ok && e.digest != digest:
		return nil, false, frame.NotRunError(frame.ReasonKey, "the operation key was used with another body")
	case ok:
		return e, false, nil
	case k.elapsed >= f.expiry:
		return nil, false, frame.NotRunError(frame.ReasonVoid, "the operation key expired unused")
	case f.number <= k.voidThrough:
		return nil, false, frame.NotRunError(frame.ReasonVoid, "the operation key was refused while the table was full")
	case len(k.entries) >= k.opts.MaxKeys:
		k.voidThrough = f.number
		return nil, false, frame.NotRunError(frame.ReasonTable, "the table of operation keys is full")
	}
	e = &entry{
		number: f.number, digest: digest, expiry: f.expiry,
		removeAt: f.expiry + k.opts.Retention, flight: NewFlight(),
	}
	k.entries[e.number] = e
	heap.Push(&k.removals, e)
	return e, true, nil
}

// settle settles the flight of an entry and stores the result.
func (k *Keys) settle(e *entry, a frame.Answer, err error) {
	if outcome, _ := frame.OutcomeOf(err); outcome == frame.NotRun {
		err = frame.NotRunError(frame.ReasonVoid, err.Error())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	e.flight.Settle(a, err)
	k.removeExpired()
	if k.entries[e.number] != e {
		return
	}
	outcome, _ := frame.OutcomeOf(err)
	switch outcome {
	case frame.Answered:
		k.storeAnswer(e, a)
	case frame.NotRun:
		e.removeAt = e.expiry
		heap.Fix(&k.removals, e.heapIndex)
	}
}

// storeAnswer stores an answer and evicts the oldest ones above MaxBytes.
func (k *Keys) storeAnswer(e *entry, a frame.Answer) {
	if len(a.Body()) > k.opts.MaxBytes {
		e.flight = evictedFlight
		return
	}
	e.answerElement = k.storedAnswers.PushBack(e)
	k.storedBytes += len(a.Body())
	for k.storedBytes > k.opts.MaxBytes {
		oldest := k.storedAnswers.Front().Value.(*entry)
		k.removeAnswer(oldest)
		// Calls that are waiting hold the previous flight and get the answer.
		oldest.flight = evictedFlight
	}
}

// removeAnswer removes the entry from the stored answers.
func (k *Keys) removeAnswer(e *entry) {
	if e.answerElement == nil {
		return
	}
	k.storedBytes -= len(e.flight.answer.Body())
	k.storedAnswers.Remove(e.answerElement)
	e.answerElement = nil
}

// removeExpired updates elapsed and removes the entries due by then.
func (k *Keys) removeExpired() {
	k.elapsed = max(k.elapsed, k.opts.Clock.Since(k.start))
	for len(k.removals) > 0 && k.removals[0].removeAt <= k.elapsed {
		e := heap.Pop(&k.removals).(*entry)
		k.removeAnswer(e)
		delete(k.entries, e.number)
	}
}

// evictedFlight is the flight of a call whose answer was evicted or is too large.
var evictedFlight = func() *Flight {
	f := NewFlight()
	f.Settle(frame.Answer{}, frame.UnknownError(frame.ReasonMemory, "the call ran; its answer is no longer stored"))
	return f
}()

// removalHeap is a min-heap of entries by removeAt.
type removalHeap []*entry

func (h removalHeap) Len() int           { return len(h) }
func (h removalHeap) Less(i, j int) bool { return h[i].removeAt < h[j].removeAt }
func (h removalHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *removalHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *removalHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
