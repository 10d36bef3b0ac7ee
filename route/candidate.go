package route

import (
	"math"
	"time"

	"dogwoodhead/board"
)

const (
	// candidateBufferSize is the number of candidates that Pick handles without
	// allocating; most services have fewer VMs.
	candidateBufferSize = 64
	// loadHalfLife is the half-life of a reported load. Service times are well
	// below it, so an older report is a poor estimate of the current load.
	loadHalfLife = time.Second
	// healthHalfLife is the half-life of a reported failure fraction and slowdown,
	// so that a server that gets no calls is tried again.
	healthHalfLife = 2 * time.Second
	// failureExponent amplifies failures: a request can need many calls and fails
	// if one of them does.
	failureExponent = 8
	// toleratedSlowdown is the slowdown against the others that has no effect.
	// Servers differ, and a slower one in the local zone is still the best choice.
	toleratedSlowdown = 2.5
	// minHealth keeps a limit above 0.
	minHealth = 0.01
)

// rank orders candidates; lower is better. Only candidates of the best rank
// present are considered.
type rank int

const (
	rankAvailable rank = iota
	rankAvoided
	rankTried
	rankTriedAvoided
	rankNone
)

// rankOf ranks a peer. A peer that failed is avoided for a time and then gets one
// call at a time until it responds, so that a peer that still fails costs few
// calls.
func rankOf(p board.Peer, now time.Time, tried bool) rank {
	avoided := now.Before(p.AvoidUntil) || p.ConsecutiveFailures > 0 && p.Inflight > 0
	switch {
	case tried && avoided:
		return rankTriedAvoided
	case tried:
		return rankTried
	case avoided:
		return rankAvoided
	}
	return rankAvailable
}

// candidate is a VM with its estimated load.
type candidate struct {
	// vm points into the snapshot of the VM list, which is immutable.
	vm *board.VM
	// used is the estimated number of calls in flight and queued, at least 0.
	used float64
	// limit is the concurrency limit, above 0; scaleLimitsByHealth reduces it for
	// an unhealthy server.
	limit float64
	// health is the result of healthOf, above 0.
	health float64
}

// newCandidate estimates the load of a peer: the reported load, decayed by its
// age, plus the attempts of this node in flight there.
func newCandidate(vm *board.VM, p board.Peer, now time.Time, defaultLimit int) candidate {
	limit := p.Load.Limit()
	if limit <= 0 {
		limit = max(vm.Slots(), defaultLimit, 1)
	}
	age := max(now.Sub(p.LastResponse), 0)
	reported := float64(p.Load.Used()) * math.Exp2(-float64(age)/float64(loadHalfLife))
	return candidate{vm: vm, used: reported + float64(p.Inflight), limit: float64(limit), health: healthOf(p, age)}
}

// scaleLimitsByHealth scales limits by health relative to the healthiest server.
// If all are unhealthy, sending calls to another zone would gain nothing.
func scaleLimitsByHealth(cs []candidate) {
	best := minHealth
	for i := range cs {
		best = max(best, cs[i].health)
	}
	for i := range cs {
		cs[i].limit *= cs[i].health / best
	}
}

// healthOf returns the usable fraction of a peer's limit. A backend server that
// fails many calls frees slots early and would appear to have free capacity.
func healthOf(p board.Peer, age time.Duration) float64 {
	decay := math.Exp2(-float64(age) / float64(healthHalfLife))
	health := math.Pow(1-p.FailedFraction*decay, failureExponent)
	if slow := p.RelativeLatency * decay; slow > toleratedSlowdown {
		health *= toleratedSlowdown * toleratedSlowdown / (slow * slow)
	}
	return max(health, minHealth)
}

func (c candidate) utilisation() float64 { return c.used / c.limit }
