package admit

import (
	"math"
	"slices"
	"time"

	"dogwoodhead/frame"
)

// sparedTime is how long a dependency's share is kept to after a call arrived
// that does not need the dependency. Without such calls nobody gains from slots
// that are kept free, and a graph whose calls wait for half of their time would
// lose that part of its capacity.
const sparedTime = 10 * time.Second

// classStep is the part of a dependency's share that each class below the
// second gives up, so that the share fills with the more important calls first.
const classStep = 0.125

// Bulkhead counts the calls that wait on each dependency, so that a slow
// dependency holds only a share of the limit. It bounds admission: calls that
// are past the gate when the dependency stalls may still join the waiting ones.
// The gate's mutex guards it.
type Bulkhead struct {
	// waiting never holds a value below 1.
	waiting map[string]int
	// spared is when a call arrived last that does not need the dependency. It
	// has rows for declared dependencies only.
	spared map[string]time.Time
}

func newBulkhead() *Bulkhead {
	return &Bulkhead{waiting: make(map[string]int), spared: make(map[string]time.Time)}
}

// arrive notes a call that was offered to the gate.
func (b *Bulkhead) arrive(c Call, now time.Time) {
	for d := range b.waiting {
		if !slices.Contains(c.Dependencies, d) {
			b.spared[d] = now
		}
	}
}

// Waiting returns how many calls wait on a dependency.
func (b *Bulkhead) Waiting(dependency string) int { return b.waiting[dependency] }

// room returns how many calls may wait on one dependency before calls of the
// class are refused. The most important class may use the whole limit.
func (b *Bulkhead) room(class, limit int, share float64) int {
	if class == 0 || share >= 1 {
		return math.MaxInt
	}
	part := max(1-classStep*float64(class-1), 0.5)
	return max(int(share*part*float64(limit)), 1)
}

// blocked returns the first declared dependency whose share is used up, "" if
// there is none. A share binds while calls arrive that do not need its
// dependency.
func (b *Bulkhead) blocked(c Call, limit int, share float64, now time.Time) string {
	if len(b.waiting) == 0 {
		return ""
	}
	room := b.room(c.Priority.Class(), limit, share)
	for _, d := range c.Dependencies {
		if b.waiting[d] >= room && now.Sub(b.spared[d]) < sparedTime {
			return d
		}
	}
	return ""
}

func (b *Bulkhead) begin(dependency string) { b.waiting[dependency]++ }

func (b *Bulkhead) end(dependency string) {
	n := b.waiting[dependency]
	frame.AssertInvariant(n > 0, "bulkhead", "no call waits on %s", dependency)
	if n <= 1 {
		delete(b.waiting, dependency)
		return
	}
	b.waiting[dependency] = n - 1
}
