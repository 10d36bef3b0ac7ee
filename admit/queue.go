package admit

import (
	"slices"
	"time"

	"dogwoodhead/frame"
)

// entry is one queued call. Its fields are guarded by the gate's mutex until
// done is closed; after that ticket and err do not change.
type entry struct {
	call     Call
	seq      uint64
	arrived  time.Time
	deadline time.Time
	queued   bool
	done     chan struct{}
	ticket   *Ticket
	err      *frame.OutcomeError
}

// patience returns how long the entry may wait, where the gate allows the given
// time to calls that bring no bound of their own. Those of class 0 wait as long
// as their deadline allows.
func (e *entry) patience(allowed time.Duration) time.Duration {
	switch {
	case e.call.Patience > 0:
		return e.call.Patience
	case e.call.Priority.Class() == 0:
		return e.call.Left
	}
	return allowed
}

// before reports whether e is served before o.
func (e *entry) before(o *entry) bool {
	if e.call.Priority != o.call.Priority {
		return e.call.Priority < o.call.Priority
	}
	return e.seq < o.seq
}

// Queue holds the calls that wait for a slot, ordered by class, rank and
// arrival. It is not safe for concurrent use; the gate's mutex guards it.
type Queue struct {
	// entries is sorted by entry.before. A sorted slice is faster than a heap
	// at the lengths in use (tens of entries), and any entry can leave.
	entries []*entry
	seq     uint64
	// since is when the queue last stopped being empty; zero while it is empty.
	since   time.Time
	byClass [frame.MaxClass + 1]int
}

// Len returns the number of queued calls.
func (q *Queue) Len() int { return len(q.entries) }

// Class returns the number of queued calls of a class.
func (q *Queue) Class(class int) int { return q.byClass[class] }

// Since returns when the queue last stopped being empty, zero while it is empty.
func (q *Queue) Since() time.Time { return q.since }

// Ahead returns how many queued calls would be served before a new one of the
// given priority.
func (q *Queue) Ahead(p frame.Level) int {
	i, _ := slices.BinarySearchFunc(q.entries, p, func(e *entry, p frame.Level) int {
		if e.call.Priority <= p {
			return -1
		}
		return 1
	})
	return i
}

// push adds an entry behind those of the same priority.
func (q *Queue) push(e *entry) {
	if len(q.entries) == 0 {
		q.since = e.arrived
	}
	q.seq++
	e.seq = q.seq
	e.queued = true
	q.entries = slices.Insert(q.entries, q.Ahead(e.call.Priority), e)
	q.byClass[e.call.Priority.Class()]++
}

// first returns the most important entry, nil where the queue is empty.
func (q *Queue) first() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

// last returns the least important entry, nil where the queue is empty.
func (q *Queue) last() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[len(q.entries)-1]
}

// remove takes an entry out and reports whether it was queued.
func (q *Queue) remove(e *entry) bool {
	if !e.queued {
		return false
	}
	i, ok := slices.BinarySearchFunc(q.entries, e, func(a, b *entry) int {
		switch {
		case a == b:
			return 0
		case a.before(b):
			return -1
		default:
			return 1
		}
	})
	frame.AssertInvariant(ok, "queue", "entry %d marked as queued is not in the queue", e.seq)
	if !ok {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.forget(e)
	return true
}

// removeIf takes out the entries for which f returns true, in order, and
// returns them.
func (q *Queue) removeIf(f func(*entry) bool) []*entry {
	var out []*entry
	kept := q.entries[:0]
	for _, e := range q.entries {
		if f(e) {
			out = append(out, e)
			continue
		}
		kept = append(kept, e)
	}
	clear(q.entries[len(kept):])
	q.entries = kept
	for _, e := range out {
		q.forget(e)
	}
	return out
}

func (q *Queue) forget(e *entry) {
	e.queued = false
	q.byClass[e.call.Priority.Class()]--
	if len(q.entries) == 0 {
		q.since = time.Time{}
	}
}
