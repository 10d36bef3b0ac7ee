package admit

import (
	"slices"
	"time"

	"dogwoodhead/frame"
)

// entry is one queued call. The gate's mutex guards its fields; ticket and err
// do not change after done is closed and may then be read without it.
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

// maxQueueWait returns how long the entry may wait: the call's own bound if it
// has one, until the deadline in class 0, else defaultWait.
func (e *entry) maxQueueWait(defaultWait time.Duration) time.Duration {
	switch {
	case e.call.MaxQueueWait > 0:
		return e.call.MaxQueueWait
	case e.call.Priority.Class() == 0:
		return e.call.TimeLeft
	}
	return defaultWait
}

// before reports whether e precedes o in order of service.
func (e *entry) before(other *entry) bool {
	if e.call.Priority != other.call.Priority {
		return e.call.Priority < other.call.Priority
	}
	return e.seq < other.seq
}

// Queue holds the calls that wait for a slot, in order of class, rank and
// arrival. It is not safe for concurrent use; the gate's mutex guards it.
type Queue struct {
	// entries is sorted by entry.before. A sorted slice is faster than a heap
	// at the usual lengths (tens of entries), and any entry can be removed.
	entries []*entry
	seq     uint64
	// nonEmptySince is when the queue last became non-empty; zero while empty.
	nonEmptySince time.Time
	byClass       [frame.MaxClass + 1]int
}

// Len returns the number of queued calls.
func (q *Queue) Len() int { return len(q.entries) }

// ClassLen returns the number of queued calls of a class.
func (q *Queue) ClassLen(class int) int { return q.byClass[class] }

// NonEmptySince returns when the queue last became non-empty, zero while empty.
func (q *Queue) NonEmptySince() time.Time { return q.nonEmptySince }

// Ahead returns the number of queued calls that precede a new one of priority p.
func (q *Queue) Ahead(p frame.Level) int {
	i, _ := slices.BinarySearchFunc(q.entries, p, func(e *entry, p frame.Level) int {
		if e.call.Priority <= p {
			return -1
		}
		return 1
	})
	return i
}

// push inserts an entry after those of the same priority.
func (q *Queue) push(e *entry) {
	if len(q.entries) == 0 {
		q.nonEmptySince = e.arrived
	}
	q.seq++
	e.seq = q.seq
	e.queued = true
	q.entries = slices.Insert(q.entries, q.Ahead(e.call.Priority), e)
	q.byClass[e.call.Priority.Class()]++
}

// first returns the entry that is served next, nil if the queue is empty.
func (q *Queue) first() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

// last returns the entry that is served last, nil if the queue is empty.
func (q *Queue) last() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[len(q.entries)-1]
}

// remove removes an entry and reports whether it was queued.
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
	q.markRemoved(e)
	return true
}

// removeIf removes and returns, in order, the entries for which f returns true.
func (q *Queue) removeIf(f func(*entry) bool) []*entry {
	var removed []*entry
	kept := q.entries[:0]
	for _, e := range q.entries {
		if f(e) {
			removed = append(removed, e)
			continue
		}
		kept = append(kept, e)
	}
	clear(q.entries[len(kept):])
	q.entries = kept
	for _, e := range removed {
		q.markRemoved(e)
	}
	return removed
}

func (q *Queue) markRemoved(e *entry) {
	e.queued = false
	q.byClass[e.call.Priority.Class()]--
	if len(q.entries) == 0 {
		q.nonEmptySince = time.Time{}
	}
}
