package route

import (
	"math"
	"time"

	"dogwoodhead/board"
)

const (
	// preallocated is the number of candidates that Pick handles without
	// allocating: most services have fewer VMs.
	preallocated = 64
	// halfLife is the age at which a reported load counts half. Service times
	// are well below it, so an older report says little about the present.
	halfLife = time.Second
	// failingHalfLife is the age at which a reported part of failures counts half,
	// so that a server that gets no calls is tried again.
	failingHalfLife = 2 * time.Second
	// failingPower weighs failures. One request can need many calls, and fails
	// with the first of them that does.
	failingPower = 8
	// tolerated is how much slower than the others a server may be. Servers of one
	// service differ, and a slower one of the own zone is still the best choice.
	tolerated = 2.5
	// minSoundness keeps a limit above 0.
	minSoundness = 0.01
)

// rank orders candidates; a smaller one is better. Only the best rank that is
// present is considered.
type rank int

const (
	rankFree rank = iota
	rankAvoided
	rankTried
	rankTriedAvoided
	rankLast
)

// rankOf ranks a peer. A peer that failed is avoided for a time and after that
// gets one call at a time until it answers, so that a peer that still fails
// costs few calls.
func rankOf(p board.Peer, now time.Time, tried bool) rank {
	avoided := now.Before(p.Avoid) || p.Failures > 0 && p.Inflight > 0
	switch {
	case tried && avoided:
		return rankTriedAvoided
	case tried:
		return rankTried
	case avoided:
		return rankAvoided
	}
	return rankFree
}

// candidate is a VM with its estimated load.
type candidate struct {
	// vm points into the snapshot of the VM list, which nobody changes.
	vm *board.VM
	// used estimates calls in flight and queued, not negative.
	used float64
	// limit is the concurrency limit, above 0; that of a server which fails calls
	// counts in part once weigh has compared it with the others.
	limit float64
	// sound is the part that counts, above 0.
	sound float64
}

// newCandidate estimates the load of a peer: the reported one, which counts less
// as it ages, and the attempts of this node that are in flight there.
func newCandidate(vm *board.VM, p board.Peer, now time.Time, slots int) candidate {
	limit := p.Load.Limit()
	if limit <= 0 {
		limit = max(vm.Slots(), slots, 1)
	}
	age := max(now.Sub(p.Seen), 0)
	reported := float64(p.Load.Used()) * math.Exp2(-float64(age)/float64(halfLife))
	return candidate{vm: vm, used: reported + float64(p.Inflight), limit: float64(limit), sound: soundness(p, age)}
}

// weigh reduces the limits of servers that fail more calls, or are slower, than
// the soundest one. Where all do, none is worth a longer way.
func weigh(cs []candidate) {
	best := minSoundness
	for i := range cs {
		best = max(best, cs[i].sound)
	}
	for i := range cs {
		cs[i].limit *= cs[i].sound / best
	}
}

// soundness returns the part of a peer's limit that counts. A backend server
// that fails many calls frees its slots early and would seem to have room.
func soundness(p board.Peer, age time.Duration) float64 {
	fade := math.Exp2(-float64(age) / float64(failingHalfLife))
	sound := math.Pow(1-p.Failing*fade, failingPower)
	if slow := p.Slow * fade; slow > tolerated {
		sound *= tolerated * tolerated / (slow * slow)
	}
	return max(sound, minSoundness)
}

func (c candidate) utilisation() float64 { return c.used / c.limit }
