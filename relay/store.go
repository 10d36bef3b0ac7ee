package relay

import (
	"sync"

	"dogwoodhead/frame"
)

// Result is the outcome of offering a document to the store.
type Result int

// Results of Store.Offer.
const (
	// Ignored: the store does not keep documents of this key.
	Ignored Result = iota
	// Accepted: the document is now active.
	Accepted
	// Known: the same document is already active.
	Known
	// Older: a higher revision is active.
	Older
	// Conflict: the active document of the same revision has other bytes; it stays.
	Conflict
	// Rejected: the check rejected the document; the previous one stays active.
	Rejected
)

// Rejection describes the last document of a key that the check rejected.
type Rejection struct {
	rev    uint64
	digest uint64
	err    error
}

// Rev returns the rejected revision, 0 if none was rejected.
func (r Rejection) Rev() uint64 { return r.rev }

// Reason returns the error text of the check, "" if no revision was rejected.
func (r Rejection) Reason() string {
	if r.err == nil {
		return ""
	}
	return r.err.Error()
}

// StoreOptions configures a Store.
type StoreOptions struct {
	// Site selects the overlay that the store keeps.
	Site string
	// Check returns an error if the document must be rejected. It must depend on
	// the bytes and the key only, so that all nodes decide alike.
	Check func(Document) error
	// Apply activates an accepted change, for example by publishing the merged
	// policy on the board. It is called with the store's mutex held, so calls are
	// in order; it may acquire the locks of the board.
	Apply func(Change)
}

// Change describes the state after a document was accepted.
type Change struct {
	// Changed is the accepted document.
	Changed Document
	// Base, Overlay and VMs are the active documents; the zero Document where
	// there is none yet.
	Base, Overlay, VMs Document
}

// RevisionPair returns the active revision pair.
func (c Change) RevisionPair() frame.Revision { return frame.NewRevision(c.Base.rev, c.Overlay.rev) }

// Counts are the totals of results of Store.Offer since the start.
type Counts struct {
	Accepted uint64 `json:"accepted"`
	Known    uint64 `json:"known"`
	Older    uint64 `json:"older"`
	// Conflict counts documents of the active revision with different bytes.
	Conflict uint64 `json:"conflict"`
	Rejected uint64 `json:"refused"`
}

// entry holds the documents of one key.
type entry struct {
	// current is the active document. Its revision never decreases.
	current Document
	// previous is the document that current replaced, kept as the base of a delta.
	previous Document
	// lastRejected is used only in the status if its revision is below current's.
	lastRejected Rejection
	// encoded caches the encoded forms of current for several receivers: in full
	// and as a delta to previous.
	encoded []EncodedDocument
}

// Store keeps the highest accepted revision of the base, one overlay and the
// VM list. Its methods are safe for concurrent use.
type Store struct {
	opts       StoreOptions
	overlayKey string
	mu         sync.Mutex
	entries    map[string]*entry
	counts     Counts
}

// NewStore returns a store without documents.
func NewStore(opts StoreOptions) *Store {
	s := &Store{opts: opts, overlayKey: OverlayKey(opts.Site), entries: make(map[string]*entry)}
	for _, k := range []string{KeyBase, s.overlayKey, KeyVMs} {
		s.entries[k] = &entry{}
	}
	return s
}

// Keys returns the keys that the store keeps.
func (s *Store) Keys() []string { return []string{KeyBase, s.overlayKey, KeyVMs} }

// Offer accepts a document whose revision is above the active one and that passes
// the check. The error is that of the check; it is non-nil only with Rejected.
func (s *Store) Offer(d Document) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[d.key]
	if !ok || d.rev == 0 {
		return Ignored, nil
	}
	if d.rev <= e.current.rev {
		return s.countNotNewer(d, e), nil
	}
	if err := s.check(d, e); err != nil {
		return Rejected, err
	}
	e.previous, e.current, e.encoded = e.current, d, nil
	s.counts.Accepted++
	if s.opts.Apply != nil {
		s.opts.Apply(Change{
			Changed: d, Base: s.entries[KeyBase].current,
			Overlay: s.entries[s.overlayKey].current, VMs: s.entries[KeyVMs].current,
		})
	}
	return Accepted, nil
}

// check runs the check, except for the last rejected document: several peers may
// offer it, and the result depends on the bytes only. The caller holds mu.
func (s *Store) check(d Document, e *entry) error {
	if r := e.lastRejected; r.err != nil && r.rev == d.rev && r.digest == d.digest {
		return r.err
	}
	err := s.opts.Check(d)
	if err == nil {
		return nil
	}
	s.counts.Rejected++
	if d.rev >= e.lastRejected.rev {
		e.lastRejected = Rejection{rev: d.rev, digest: d.digest, err: err}
	}
	return err
}

func (s *Store) countNotNewer(d Document, e *entry) Result {
	switch {
	case d.rev < e.current.rev:
		s.counts.Older++
		return Older
	case d.digest != e.current.digest:
		s.counts.Conflict++
		return Conflict
	default:
		s.counts.Known++
		return Known
	}
}

// Current returns the active document, the zero Document if there is none.
func (s *Store) Current(key string) Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return e.current
	}
	return Document{}
}

// Encoded returns the active document for a receiver that has receiverRev: as a
// delta if that is the previous revision of this store and full is false, in full
// otherwise. It returns false if the receiver is not behind.
func (s *Store) Encoded(key string, receiverRev uint64, full bool) (EncodedDocument, bool) {
	s.mu.Lock()
	e, ok := s.entries[key]
	if !ok || e.current.rev <= receiverRev {
		s.mu.Unlock()
		return EncodedDocument{}, false
	}
	d, base := e.current, Document{}
	if receiverRev != 0 && e.previous.rev == receiverRev && !full {
		base = e.previous
	}
	for _, enc := range e.encoded {
		if enc.Rev == d.rev && enc.BaseRev == base.rev {
			s.mu.Unlock()
			return enc, true
		}
	}
	s.mu.Unlock()
	// Encoding takes milliseconds, so it runs without the lock. Concurrent callers
	// may encode the same document.
	enc := Encode(d, base)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.current.rev == enc.Rev && len(e.encoded) < 2 {
		e.encoded = append(e.encoded, enc)
	}
	return enc, true
}

// previousRev returns the revision that the active one replaced. Most receivers
// of a push have it.
func (s *Store) previousRev(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return e.previous.rev
	}
	return 0
}

// Rejection returns the last rejection of a key.
func (s *Store) Rejection(key string) Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return e.lastRejected
	}
	return Rejection{}
}

// HighestSeen returns the highest revision of a key that was accepted or rejected.
// A watch continues after it, so that a rejected document is not read repeatedly.
func (s *Store) HighestSeen(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return 0
	}
	return max(e.current.rev, e.lastRejected.rev)
}

// RevisionPair returns the active revision pair.
func (s *Store) RevisionPair() frame.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return frame.NewRevision(s.entries[KeyBase].current.rev, s.entries[s.overlayKey].current.rev)
}

// Revs returns the active revisions of all three documents.
func (s *Store) Revs() Revs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Revs{
		Base:    s.entries[KeyBase].current.rev,
		Overlay: s.entries[s.overlayKey].current.rev,
		VMs:     s.entries[KeyVMs].current.rev,
	}
}

// Counts returns the totals since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
