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
	// DefaultMaxKeys bounds the table at about 23 MB (measured: 349 bytes a key) besides
	// stored answers.
	DefaultMaxKeys = 1 << 16
	// DefaultMaxBytes bounds the bodies of stored answers.
	DefaultMaxBytes = 16 << 20
	// DefaultRetention is how long a caller can still ask what became of an
	// expired key.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxTTL bounds how long a key may be used.
	DefaultMaxTTL = time.Hour
)

// KeyOptions configures Keys. A field left zero takes its default.
type KeyOptions struct {
	// Self is the process that issues and owns the keys.
	Self frame.Incarnation
	// Clock gives the monotonic time that expiry is measured on.
	Clock clockwork.Clock
	// Secret keys the mac; random where it is empty.
	Secret []byte
	// MaxKeys bounds the keys that are running, answered, void or lost.
	MaxKeys int
	// MaxBytes bounds the bodies of stored answers, in bytes.
	MaxBytes int
	// Retention is how long a key's record outlives the key's expiry.
	Retention time.Duration
	// MaxTTL is the longest time from issue to expiry.
	MaxTTL time.Duration
}

// Keys issues operation keys and keeps what became of each operation. It is
// safe for concurrent use.
//
// A key is running, answered, void (it did not run and never will) or lost (it
// may have run). A key that is issued but not used is not stored. An entry is
// kept until Retention after expiry, a void one until expiry, because from then
// on an absent entry proves that the key never ran.
//
// A refusal of Begin with ReasonVoid or ReasonTable holds for the operation, not
// only for the one call: no call with that key ran or ever will.
type Keys struct {
	o      KeyOptions
	secret []byte
	start  time.Time

	mu sync.Mutex
	// now never goes back, even where the clock does.
	now time.Duration
	// issued is the number of the last key issued.
	issued uint64
	// voided: a key with a number up to it and without an entry is void. It
	// stands for the keys that a full table refused and could not store.
	voided uint64
	rows   map[uint64]*entry
	order  byUntil
	// answers holds the entries with a stored answer, the oldest first.
	answers *list.List
	// bytes is the sum of body lengths over answers.
	bytes int
}

// entry is one key in use.
type entry struct {
	number uint64
	// digest is that of the first call's body; it never changes.
	digest uint64
	expiry time.Duration
	// until is when the entry is removed.
	until time.Duration
	// index is the position in Keys.order.
	index  int
	flight *Flight
	// stored is the position in Keys.answers, nil where no answer is stored.
	stored *list.Element
}

// NewKeys returns an empty key table.
func NewKeys(o KeyOptions) *Keys {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.MaxKeys == 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxTTL == 0 {
		o.MaxTTL = DefaultMaxTTL
	}
	k := &Keys{
		o: o, secret: o.Secret, start: o.Clock.Now(),
		rows: make(map[uint64]*entry), answers: list.New(),
	}
	if len(k.secret) == 0 {
		k.secret = make([]byte, 32)
		_, _ = rand.Read(k.secret) // never fails, see its documentation
	}
	return k
}

// Issue returns a new key for one call of t, usable for ttl. It refuses with
// ReasonTable while the table is full, and with ReasonBad a ttl out of range.
func (k *Keys) Issue(t frame.Target, ttl time.Duration) (string, error) {
	if ttl < time.Millisecond || ttl > k.o.MaxTTL {
		return "", frame.Refuse(frame.ReasonBad, fmt.Sprintf("key lifetime %s: want 1ms to %s", ttl, k.o.MaxTTL))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	if len(k.rows) >= k.o.MaxKeys {
		return "", frame.Refuse(frame.ReasonTable, "the table of operation keys is full")
	}
	k.issued++
	f := fields{owner: k.o.Self, expiry: (k.now + ttl).Truncate(time.Millisecond), number: k.issued}
	return f.encode(k.secret, t), nil
}

// Begin starts the call that the key stands for, or joins it. Exactly one of
// the three results is set: a claim where the caller has to run the call, the
// answer where it has run, or a *frame.OutcomeError. The key is bound to its
// target when issued and to the body digest by the first call; a call with
// another target or digest is refused with ReasonKey and changes nothing.
func (k *Keys) Begin(ctx context.Context, key string, t frame.Target, digest uint64) (*Claim, frame.Answer, error) {
	f, err := parseKey(key)
	if err != nil {
		return nil, frame.Answer{}, err
	}
	if f.owner != k.o.Self {
		return nil, frame.Answer{}, frame.Lose(frame.ReasonOwner, "the operation key belongs to another process")
	}
	if !verify(k.secret, key, t) {
		return nil, frame.Answer{}, frame.Refuse(frame.ReasonKey, "the operation key was not issued for "+t.String())
	}
	e, first, err := k.find(f, digest)
	if err != nil {
		return nil, frame.Answer{}, err
	}
	if first {
		return NewClaim(func(a frame.Answer, err error) { k.settle(e, a, err) }), frame.Answer{}, nil
	}
	k.mu.Lock()
	flight := e.flight
	k.mu.Unlock()
	a, err := flight.Wait(ctx)
	return nil, a, err
}

// Len returns how many keys are stored.
func (k *Keys) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	return len(k.rows)
}

// Bytes returns the length of the stored answers' bodies in bytes.
func (k *Keys) Bytes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes
}

// find returns the entry of a verified key. first says that it is new.
func (k *Keys) find(f fields, digest uint64) (e *entry, first bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	e, ok := k.rows[f.number]
	switch {
	case k.now >= f.expiry+k.o.Retention:
		return nil, false, frame.Lose(frame.ReasonKey, "the operation key expired too long ago")
	case ok && e.digest != digest:
		return nil, false, frame.Refuse(frame.ReasonKey, "the operation key was used with another body")
	case ok:
		return e, false, nil
	case k.now >= f.expiry:
		return nil, false, frame.Refuse(frame.ReasonVoid, "the operation key expired unused")
	case f.number <= k.voided:
		return nil, false, frame.Refuse(frame.ReasonVoid, "the operation key was refused while the table was full")
	case len(k.rows) >= k.o.MaxKeys:
		k.voided = f.number
		return nil, false, frame.Refuse(frame.ReasonTable, "the table of operation keys is full")
	}
	e = &entry{
		number: f.number, digest: digest, expiry: f.expiry,
		until: f.expiry + k.o.Retention, flight: NewFlight(),
	}
	k.rows[e.number] = e
	heap.Push(&k.order, e)
	return e, true, nil
}

// settle ends the flight of an entry and stores the result.
func (k *Keys) settle(e *entry, a frame.Answer, err error) {
	if outcome, _ := frame.OutcomeOf(err); outcome == frame.NotRun {
		err = frame.Refuse(frame.ReasonVoid, err.Error())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	e.flight.Settle(a, err)
	k.advance()
	if k.rows[e.number] != e {
		return
	}
	outcome, _ := frame.OutcomeOf(err)
	switch outcome {
	case frame.Answered:
		k.store(e, a)
	case frame.NotRun:
		e.until = e.expiry
		heap.Fix(&k.order, e.index)
	}
}

// store keeps an answer and drops the oldest answers above the byte bound.
func (k *Keys) store(e *entry, a frame.Answer) {
	if len(a.Body()) > k.o.MaxBytes {
		e.flight = droppedFlight
		return
	}
	e.stored = k.answers.PushBack(e)
	k.bytes += len(a.Body())
	for k.bytes > k.o.MaxBytes {
		oldest := k.answers.Front().Value.(*entry)
		k.unstore(oldest)
		// Calls that already wait hold the earlier flight and get the answer.
		oldest.flight = droppedFlight
	}
}

// unstore takes the entry off the list of stored answers.
func (k *Keys) unstore(e *entry) {
	if e.stored == nil {
		return
	}
	k.bytes -= len(e.flight.answer.Body())
	k.answers.Remove(e.stored)
	e.stored = nil
}

// advance reads the clock and removes the entries whose time has come.
func (k *Keys) advance() {
	k.now = max(k.now, k.o.Clock.Since(k.start))
	for len(k.order) > 0 && k.order[0].until <= k.now {
		e := heap.Pop(&k.order).(*entry)
		k.unstore(e)
		delete(k.rows, e.number)
	}
}

// droppedFlight is the result of a call whose answer was dropped to make room.
var droppedFlight = func() *Flight {
	f := NewFlight()
	f.Settle(frame.Answer{}, frame.Lose(frame.ReasonMemory, "the call ran; its answer is no longer stored"))
	return f
}()

// byUntil is a heap of entries, the first to be removed at the front.
type byUntil []*entry

func (h byUntil) Len() int           { return len(h) }
func (h byUntil) Less(i, j int) bool { return h[i].until < h[j].until }
func (h byUntil) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an entry; for container/heap only.
func (h *byUntil) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry; for container/heap only.
func (h *byUntil) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
