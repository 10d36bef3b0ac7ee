package relay

import (
	"sync"

	"dogwoodhead/frame"
)

// Result says what became of a document that was offered to the store.
type Result int

// Results of Store.Offer.
const (
	// Ignored: the store does not keep documents of this key.
	Ignored Result = iota
	// Accepted: the document is in force now.
	Accepted
	// Known: this very document is in force already.
	Known
	// Older: a higher revision is in force.
	Older
	// Conflict: the revision in force has other bytes; it stays.
	Conflict
	// Refused: the check refused the document; the previous one stays.
	Refused
)

// Refusal is the last document of a key that the check refused.
type Refusal struct {
	rev    uint64
	digest uint64
	err    error
}

// Rev returns the refused revision, 0 where none was refused.
func (r Refusal) Rev() uint64 { return r.rev }

// Reason returns the error of the check, "" where no revision was refused.
func (r Refusal) Reason() string {
	if r.err == nil {
		return ""
	}
	return r.err.Error()
}

// StoreOptions configures a Store.
type StoreOptions struct {
	// Site selects the overlay that the store keeps.
	Site string
	// Check accepts a document or says why not. It must depend on the bytes and
	// the key only, so that all nodes decide alike.
	Check func(Document) error
	// Apply puts an accepted change into force, for example the merged policy
	// on the board. It runs under the lock of the documents, so calls come in
	// order; it may take the locks of the board's other tables.
	Apply func(Change)
}

// Change describes the state after a document was accepted.
type Change struct {
	// Changed is the document that was accepted.
	Changed Document
	// Base, Overlay and VMs are the documents in force; the zero Document where
	// there is none yet.
	Base, Overlay, VMs Document
}

// Rev returns the revision pair in force.
func (c Change) Rev() frame.Revision { return frame.NewRevision(c.Base.rev, c.Overlay.rev) }

// Counts are the totals of results since the start.
type Counts struct {
	Accepted uint64 `json:"accepted"`
	Known    uint64 `json:"known"`
	Older    uint64 `json:"older"`
	// Conflict counts documents of the revision in force with other bytes.
	Conflict uint64 `json:"conflict"`
	Refused  uint64 `json:"refused"`
}

// slot holds the documents of one key.
type slot struct {
	// current is the highest accepted revision; it never goes back.
	current Document
	// previous is what current replaced, kept as the base of a delta.
	previous Document
	// refused has a revision above current's or is history for the status.
	refused Refusal
	// parcels caches current in its compressed forms: whole, and against
	// previous. Each is used for several receivers.
	parcels []Parcel
}

// Store keeps the highest accepted revision of the base, one overlay and the
// VM list.
type Store struct {
	o       StoreOptions
	overlay string
	mu      sync.Mutex
	slots   map[string]*slot
	counts  Counts
}

// NewStore returns a store without documents.
func NewStore(o StoreOptions) *Store {
	s := &Store{o: o, overlay: OverlayKey(o.Site), slots: make(map[string]*slot)}
	for _, k := range []string{KeyBase, s.overlay, KeyVMs} {
		s.slots[k] = &slot{}
	}
	return s
}

// Keys returns the keys that the store keeps.
func (s *Store) Keys() []string { return []string{KeyBase, s.overlay, KeyVMs} }

// Offer takes a document from whatever source. It accepts one whose revision is
// above the accepted one and that passes the check. The error is the check's
// and goes with Refused.
func (s *Store) Offer(d Document) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, ok := s.slots[d.key]
	if !ok || d.rev == 0 {
		return Ignored, nil
	}
	if d.rev <= sl.current.rev {
		return s.countOld(d, sl), nil
	}
	if err := s.check(d, sl); err != nil {
		return Refused, err
	}
	sl.previous, sl.current, sl.parcels = sl.current, d, nil
	s.counts.Accepted++
	if s.o.Apply != nil {
		s.o.Apply(Change{
			Changed: d, Base: s.slots[KeyBase].current,
			Overlay: s.slots[s.overlay].current, VMs: s.slots[KeyVMs].current,
		})
	}
	return Accepted, nil
}

// check runs the check, except for the document that it refused last: the
// verdict depends on the bytes only, and several peers may offer it.
func (s *Store) check(d Document, sl *slot) error {
	if r := sl.refused; r.err != nil && r.rev == d.rev && r.digest == d.digest {
		return r.err
	}
	err := s.o.Check(d)
	if err == nil {
		return nil
	}
	s.counts.Refused++
	if d.rev >= sl.refused.rev {
		sl.refused = Refusal{rev: d.rev, digest: d.digest, err: err}
	}
	return err
}

func (s *Store) countOld(d Document, sl *slot) Result {
	switch {
	case d.rev < sl.current.rev:
		s.counts.Older++
		return Older
	case d.digest != sl.current.digest:
		s.counts.Conflict++
		return Conflict
	default:
		s.counts.Known++
		return Known
	}
}

// Current returns the document in force, the zero Document where there is none.
func (s *Store) Current(key string) Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl, ok := s.slots[key]; ok {
		return sl.current
	}
	return Document{}
}

// Parcel returns the document in force for a receiver that has revision have:
// as a delta where that is the previous revision here, whole otherwise or where
// the receiver asks for it. It returns false where the receiver is not behind.
func (s *Store) Parcel(key string, have uint64, whole bool) (Parcel, bool) {
	s.mu.Lock()
	sl, ok := s.slots[key]
	if !ok || sl.current.rev <= have {
		s.mu.Unlock()
		return Parcel{}, false
	}
	d, against := sl.current, Document{}
	if have != 0 && sl.previous.rev == have && !whole {
		against = sl.previous
	}
	for _, p := range sl.parcels {
		if p.Rev == d.rev && p.Against == against.rev {
			s.mu.Unlock()
			return p, true
		}
	}
	s.mu.Unlock()
	// Compressing takes milliseconds, so it runs without the lock. Two callers
	// may do the same work once.
	p := Pack(d, against)
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.current.rev == p.Rev && len(sl.parcels) < 2 {
		sl.parcels = append(sl.parcels, p)
	}
	return p, true
}

// previous returns the revision that the one in force replaced. Most receivers
// of a push have it.
func (s *Store) previous(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl, ok := s.slots[key]; ok {
		return sl.previous.rev
	}
	return 0
}

// Refusal returns the last refused revision of a key.
func (s *Store) Refusal(key string) Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl, ok := s.slots[key]; ok {
		return sl.refused
	}
	return Refusal{}
}

// Seen returns the highest revision of a key that was accepted or refused. A
// watch continues after it, so that a refused document is not read again and again.
func (s *Store) Seen(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, ok := s.slots[key]
	if !ok {
		return 0
	}
	return max(sl.current.rev, sl.refused.rev)
}

// Rev returns the revision pair in force.
func (s *Store) Rev() frame.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return frame.NewRevision(s.slots[KeyBase].current.rev, s.slots[s.overlay].current.rev)
}

// Revs returns the revisions of all three documents.
func (s *Store) Revs() Revs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Revs{
		Base:    s.slots[KeyBase].current.rev,
		Overlay: s.slots[s.overlay].current.rev,
		VMs:     s.slots[KeyVMs].current.rev,
	}
}

// Counts returns the totals since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
