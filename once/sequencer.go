package once

import (
	"sync"

	"dogwoodhead/frame"
)

// maxReceivers bounds the receivers with a separate sequence. A node calls the
// servers of a few services; the fleet has 1,500.
const maxReceivers = 4096

// Sequencer numbers the attempts of one sending process, separately for each
// receiving incarnation and for the unknown receiver. No number is assigned twice
// for a receiver: the highest number of all evicted receivers remains as a floor,
// and new sequences start above it. It is safe for concurrent use.
type Sequencer struct {
	self frame.Incarnation

	// mu guards the fields below.
	mu sync.Mutex
	// unnamed is the last number of the attempts that name no receiver.
	unnamed uint64
	// floor is at least the last number of every evicted receiver.
	floor     uint64
	receivers *lru[frame.Incarnation, receiverState]
}

type receiverState struct {
	// last is the last number assigned, or the floor if that is higher.
	last       uint64
	floorKnown bool
}

// NewSequencer returns the sequencer of the sending process self.
func NewSequencer(self frame.Incarnation) *Sequencer { return newSequencer(self, maxReceivers) }

func newSequencer(self frame.Incarnation, limit int) *Sequencer {
	s := &Sequencer{self: self}
	s.receivers = newLRU(limit, func(_ frame.Incarnation, state *receiverState) { s.floor = max(s.floor, state.last) })
	return s
}

// Next returns the id of a new attempt. The receiver may be the zero value only
// for idempotent calls.
func (s *Sequencer) Next(receiver frame.Incarnation) frame.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !receiver.Known() {
		s.unnamed++
		return frame.NewAttempt(s.self, receiver, s.unnamed)
	}
	state := s.findOrCreateState(receiver)
	state.last++
	return frame.NewAttempt(s.self, receiver, state.last)
}

// RaiseFloor records the floor from the receiver's response to a hello or
// heartbeat: the receiver refuses attempts numbered up to it.
func (s *Sequencer) RaiseFloor(receiver frame.Incarnation, floor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.findOrCreateState(receiver)
	state.last = max(state.last, floor)
	state.floorKnown = true
}

// FloorKnown reports whether RaiseFloor was called for the receiver. If not, a
// call that is not idempotent waits for a hello, and an idempotent call is sent
// without naming the receiver.
func (s *Sequencer) FloorKnown(receiver frame.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.receivers.get(receiver)
	return state != nil && state.floorKnown
}

func (s *Sequencer) findOrCreateState(receiver frame.Incarnation) *receiverState {
	if state := s.receivers.get(receiver); state != nil {
		return state
	}
	return s.receivers.add(receiver, receiverState{last: s.floor})
}
