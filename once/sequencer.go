package once

import (
	"sync"

	"dogwoodhead/frame"
)

// maxReceivers bounds the receivers that a sender numbers attempts for. A node
// calls the servers of a few services; the fleet has 1,500.
const maxReceivers = 4096

// Sequencer numbers the attempts of one sending process, apart for each
// receiving incarnation and for the unknown receiver. No number is given out
// twice for a receiver: when the count of a receiver is dropped, the highest
// dropped count remains, and counting restarts above it. It is safe for
// concurrent use.
type Sequencer struct {
	self frame.Incarnation

	mu sync.Mutex
	// open counts the attempts that name no receiver.
	open uint64
	// floor is at least every dropped count.
	floor  uint64
	counts *recent[frame.Incarnation, count]
}

type count struct {
	last       uint64
	introduced bool
}

// NewSequencer returns the sequencer of the sending process self.
func NewSequencer(self frame.Incarnation) *Sequencer { return newSequencer(self, maxReceivers) }

func newSequencer(self frame.Incarnation, receivers int) *Sequencer {
	s := &Sequencer{self: self}
	s.counts = newRecent(receivers, func(_ frame.Incarnation, c *count) { s.floor = max(s.floor, c.last) })
	return s
}

// Next returns the id of a new attempt. The receiver may be the zero value for
// idempotent calls only.
func (s *Sequencer) Next(receiver frame.Incarnation) frame.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !receiver.Known() {
		s.open++
		return frame.NewAttempt(s.self, receiver, s.open)
	}
	c := s.count(receiver)
	c.last++
	return frame.NewAttempt(s.self, receiver, c.last)
}

// Raise records what a hello or beat of the receiver said: attempts up to floor
// are refused there.
func (s *Sequencer) Raise(receiver frame.Incarnation, floor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count(receiver)
	c.last = max(c.last, floor)
	c.introduced = true
}

// Introduced reports whether Raise was called for the receiver. Where it was
// not, a call that is not idempotent waits for a hello, and an idempotent call
// is sent without naming the receiver.
func (s *Sequencer) Introduced(receiver frame.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts.get(receiver)
	return c != nil && c.introduced
}

// count returns the receiver's count, a new one where there is none.
func (s *Sequencer) count(receiver frame.Incarnation) *count {
	if c := s.counts.get(receiver); c != nil {
		return c
	}
	return s.counts.add(receiver, count{last: s.floor})
}
