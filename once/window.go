package once

import (
	"errors"
	"sync"

	"dogwoodhead/frame"
)

const (
	// windowBits is how far an attempt may lag behind the highest sequence of
	// its sender. A backend server has at most 740 connections, so fewer
	// attempts than this are ever under way between two nodes.
	windowBits = 1024
	// maxSenders bounds the windows kept, at about 200 bytes each. The fleet
	// has 1,500 nodes of which 170 restart on a day, so a sender that still
	// sends is far from being the least recently used one.
	maxSenders = 4096
)

var (
	errDuplicate   = frame.Lose(frame.ReasonDuplicate, "attempt was seen before or is too old to tell")
	errIncarnation = frame.Lose(frame.ReasonIncarnation, "attempt names another process")
	errUnnamed     = frame.Lose(frame.ReasonIncarnation, "a call that is not idempotent must name the receiving process")
)

// Window refuses attempts that were seen before. It is safe for concurrent use.
//
// Attempts that name this incarnation and attempts that name none are numbered
// apart by their sender and are kept apart here. For attempts that name this
// incarnation, Accept returns nil at most once, for ever: when the window of a
// sender is dropped, the highest sequence of all dropped windows remains as a
// floor, and a sender without a window is refused up to the floor. It learns
// the floor from Introduce. Attempts that name no receiver are idempotent; they
// are recognised only while their sender's window is kept, and so a refusal of
// one is never reported as not run (see Report).
type Window struct {
	self frame.Incarnation

	mu sync.Mutex
	// floor is at least the highest sequence of every dropped window in named.
	floor uint64
	// named and open are keyed by the sender's process id. Should two senders
	// have the same id, they share a window, which refuses more, never less.
	named *recent[frame.ID, history]
	open  *recent[frame.ID, history]
}

// history holds which sequences of one sender were seen.
type history struct {
	// floor: sequences up to it count as seen.
	floor uint64
	// highest is the highest sequence seen, at least floor.
	highest uint64
	// seen has a bit for each of the last windowBits sequences, at the
	// sequence modulo windowBits.
	seen [windowBits / 64]uint64
}

// NewWindow returns the replay window of the receiving process self.
func NewWindow(self frame.Incarnation) *Window { return newWindow(self, maxSenders) }

func newWindow(self frame.Incarnation, senders int) *Window {
	w := &Window{self: self}
	w.named = newRecent(senders, func(_ frame.ID, h *history) { w.floor = max(w.floor, h.highest) })
	w.open = newRecent(senders, func(frame.ID, *history) {})
	return w
}

// Accept records the attempt as seen and returns nil where it may run. The
// error is a *frame.OutcomeError, always Unknown: a refused attempt may have
// been accepted before, by this process or by an earlier one.
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
	if !w.history(a.Sender().Process(), named).mark(a.Seq()) {
		return errDuplicate
	}
	return nil
}

// Introduce keeps a window for the sender and returns the sequence above which
// its attempts are accepted; the sender hands it to Sequencer.Raise. The
// receiver calls it for each hello and beat, so that the window of a sender
// that is alive is not the least recently used one.
func (w *Window) Introduce(sender frame.Incarnation) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.history(sender.Process(), true).floor
}

// Report returns the error to send back for an accepted attempt that failed
// with err. A refusal as not run becomes unknown where the attempt does not
// name this process, because a late duplicate may run in a later process on
// the same address or after the sender's window was dropped.
func (w *Window) Report(a frame.Attempt, err error) error {
	var oe *frame.OutcomeError
	if a.Receiver() == w.self || !errors.As(err, &oe) || oe.Outcome() != frame.NotRun {
		return err
	}
	return frame.Lose(oe.Reason(), oe.Detail())
}

// Senders returns how many windows are kept.
func (w *Window) Senders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.named.rows) + len(w.open.rows)
}

// history returns the sender's window, a new one where there is none.
func (w *Window) history(sender frame.ID, named bool) *history {
	if !named {
		if h := w.open.get(sender); h != nil {
			return h
		}
		return w.open.add(sender, history{})
	}
	if h := w.named.get(sender); h != nil {
		return h
	}
	return w.named.add(sender, history{floor: w.floor, highest: w.floor})
}

// mark records a sequence and reports whether it is new.
func (h *history) mark(seq uint64) bool {
	if seq <= h.floor {
		return false
	}
	if seq > h.highest {
		h.advance(seq)
	} else if h.highest-seq >= windowBits {
		return false
	}
	word, bit := seq%windowBits/64, uint64(1)<<(seq%64)
	if h.seen[word]&bit != 0 {
		return false
	}
	h.seen[word] |= bit
	return true
}

// advance raises highest to seq and clears the bits of the sequences passed.
func (h *history) advance(seq uint64) {
	if seq-h.highest >= windowBits {
		h.seen = [windowBits / 64]uint64{}
	} else {
		for s := h.highest + 1; s <= seq; s++ {
			h.seen[s%windowBits/64] &^= 1 << (s % 64)
		}
	}
	h.highest = seq
}
