package once

import (
	"errors"
	"sync"

	"dogwoodhead/frame"
)

const (
	// windowBits is how far a sequence number may be behind the highest one of
	// its sender. A backend server has at most 740 connections, so fewer
	// attempts than this are in flight between two nodes.
	windowBits = 1024
	// maxSenders bounds the number of windows, of about 200 bytes each. The fleet
	// has 1,500 nodes of which 170 restart a day, so the least recently used
	// window is not that of an active sender.
	maxSenders = 4096
)

var (
	errDuplicate   = frame.UnknownError(frame.ReasonDuplicate, "attempt was seen before or is too old to tell")
	errIncarnation = frame.UnknownError(frame.ReasonIncarnation, "attempt names another process")
	errUnnamed     = frame.UnknownError(frame.ReasonIncarnation, "a call that is not idempotent must name the receiving process")
)

// Window refuses duplicate attempts. It is safe for concurrent use.
//
// Attempts that name this incarnation as the receiver and attempts that name
// none have separate sequence numbers and separate windows. For one that names
// this incarnation, Accept never returns nil twice: when the window of a sender
// is evicted, the highest sequence number of all evicted windows remains as a
// floor, and attempts of a sender without a window are refused up to the floor.
// RegisterSender returns the floor to the sender. Attempts that name no receiver
// are idempotent; their duplicates are detected only while the sender's window
// is kept, so a refusal of one is never reported as not run (see ResponseError).
type Window struct {
	self frame.Incarnation

	// mu guards the fields below.
	mu sync.Mutex
	// floor is at least the highest number of every window evicted from named.
	floor uint64
	// named and unnamed are keyed by the sender's process id. Two senders with the
	// same id would share a window, which refuses more attempts, never fewer.
	named   *lru[frame.ID, senderWindow]
	unnamed *lru[frame.ID, senderWindow]
}

// senderWindow is the sliding window of the sequence numbers of one sender.
type senderWindow struct {
	// floor is the sequence number up to which all count as seen.
	floor uint64
	// highest is the highest sequence number seen, at least floor.
	highest uint64
	// seen has a bit for each of the last windowBits sequence numbers, at the
	// number modulo windowBits.
	seen [windowBits / 64]uint64
}

// NewWindow returns the replay window of the receiving process self.
func NewWindow(self frame.Incarnation) *Window { return newWindow(self, maxSenders) }

func newWindow(self frame.Incarnation, limit int) *Window {
	w := &Window{self: self}
	w.named = newLRU(limit, func(_ frame.ID, sw *senderWindow) { w.floor = max(w.floor, sw.highest) })
	w.unnamed = newLRU(limit, func(frame.ID, *senderWindow) {})
	return w
}

// Accept records the attempt as seen and returns nil if it may run. The error is
// a *frame.OutcomeError, always Unknown: a refused attempt may have been accepted
// before, by this process or by an earlier one.
func (w *Window) Accept(a frame.Attempt, idempotent bool) error {
	named := a.Receiver().Known()
	if named && a.Receiver() != w.self {
		return errIncarnation
	}
	if !named && !idempotent {
		return errUnnamed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.findOrCreateWindow(a.Sender().Process(), named).record(a.Seq()) {
		return errDuplicate
	}
	return nil
}

// RegisterSender creates the sender's window if there is none, marks it as used
// and returns the sequence number above which its attempts are accepted; the
// sender passes it to Sequencer.RaiseFloor. The receiver calls it for each hello
// and heartbeat, so that the window of a live sender is not evicted.
func (w *Window) RegisterSender(sender frame.Incarnation) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.findOrCreateWindow(sender.Process(), true).floor
}

// ResponseError returns the error to send to the client for an accepted attempt
// that failed with err. It changes NotRun to Unknown if the attempt does not name
// this process, because a late duplicate may run in a later process on the same
// address or after the sender's window was evicted.
func (w *Window) ResponseError(a frame.Attempt, err error) error {
	var oe *frame.OutcomeError
	if a.Receiver() == w.self || !errors.As(err, &oe) || oe.Outcome() != frame.NotRun {
		return err
	}
	return frame.UnknownError(oe.Reason(), oe.Detail())
}

// SenderCount returns the number of windows, of named and unnamed attempts.
func (w *Window) SenderCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.named.entries) + len(w.unnamed.entries)
}

func (w *Window) findOrCreateWindow(sender frame.ID, named bool) *senderWindow {
	if !named {
		if sw := w.unnamed.get(sender); sw != nil {
			return sw
		}
		return w.unnamed.add(sender, senderWindow{})
	}
	if sw := w.named.get(sender); sw != nil {
		return sw
	}
	return w.named.add(sender, senderWindow{floor: w.floor, highest: w.floor})
}

// record records a sequence number and reports whether it is new.
func (sw *senderWindow) record(seq uint64) bool {
	if seq <= sw.floor {
		return false
	}
	if seq > sw.highest {
		sw.advanceTo(seq)
	} else if sw.highest-seq >= windowBits {
		return false
	}
	word, bit := seq%windowBits/64, uint64(1)<<(seq%64)
	if sw.seen[word]&bit != 0 {
		return false
	}
	sw.seen[word] |= bit
	return true
}

// advanceTo raises highest to seq and clears the bits of the numbers in between.
func (sw *senderWindow) advanceTo(seq uint64) {
	if seq-sw.highest >= windowBits {
		sw.seen = [windowBits / 64]uint64{}
	} else {
		for s := sw.highest + 1; s <= seq; s++ {
			sw.seen[s%windowBits/64] &^= 1 << (s % 64)
		}
	}
	sw.highest = seq
}
