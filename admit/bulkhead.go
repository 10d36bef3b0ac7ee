package admit

import (
	"math"
	"slices"
	"time"

	"dogwoodhead/frame"
)

// reservationTime is how long a dependency's share is enforced after the last
// arrival of a call that does not need the dependency. Without such calls the
// reserved slots would stay unused: a graph whose calls wait for half of their
// time would lose half of its capacity.
const reservationTime = 10 * time.Second

// classShareStep is the fraction of a dependency's share by which the share of
// each class after class 1 is reduced, so that calls of higher priority get the
// slots first.
const classShareStep = 0.125

// Bulkhead counts the calls that wait on each dependency, so that a slow
// dependency occupies only a share of the limit. It bounds admission only:
// calls that were admitted before the dependency stalled may exceed the share.
// The gate's mutex guards it.
type Bulkhead struct {
	// waiting counts the waiting calls by dependency; values are at least 1.
	waiting map[string]int
	// lastIndependent is the last arrival, by dependency, of a call that does
	// not need it. It has entries for declared dependencies only.
	lastIndependent map[string]time.Time
}

func newBulkhead() *Bulkhead {
	return &Bulkhead{waiting: make(map[string]int), lastIndependent: make(map[string]time.Time)}
}

// recordArrival updates lastIndependent for a call that arrives at the gate.
func (b *Bulkhead) recordArrival(c Call, now time.Time) {
	for d := range b.waiting {
		if !slices.Contains(c.Dependencies, d) {
			b.lastIndependent[d] = now
		}
	}
}

// Waiting returns the number of calls that wait on a dependency.
func (b *Bulkhead) Waiting(dependency string) int { return b.waiting[dependency] }

// maxWaiting returns how many calls may wait on one dependency before calls of
// the class are refused. Class 0 may use the whole limit.
func (b *Bulkhead) maxWaiting(class, limit int, share float64) int {
	if class == 0 || share >= 1 {
		return math.MaxInt
	}
	fraction := max(1-classShareStep*float64(class-1), 0.5)
	return max(int(share*fraction*float64(limit)), 1)
}

// exhaustedDependency returns the first dependency of the call whose share is
// used up, "" if there is none. A share is enforced only while calls arrive that
// do not need its dependency.
func (b *Bulkhead) exhaustedDependency(c Call, limit int, share float64, now time.Time) string {
	if len(b.waiting) == 0 {
		return ""
	}
	maxWaiting := b.maxWaiting(c.Priority.Class(), limit, share)
	for _, d := range c.Dependencies {
		if b.waiting[d] >= maxWaiting && now.Sub(b.lastIndependent[d]) < reservationTime {
			return d
		}
	}
	return ""
}

func (b *Bulkhead) beginWait(dependency string) { b.waiting[dependency]++ }

func (b *Bulkhead) endWait(dependency string) {
	n := b.waiting[dependency]
	frame.AssertInvariant(n > 0, "bulkhead", "no call waits on %s", dependency)
	if n <= 1 {
		delete(b.waiting, dependency)
		return
	}
	b.waiting[dependency] = n - 1
}
