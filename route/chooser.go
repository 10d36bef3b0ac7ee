package route

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/policy"
)

// Options are what a Chooser needs besides the board.
type Options struct {
	// Clock tells how old a report is and when an avoidance ends.
	Clock clockwork.Clock
	// Rand draws choices and jitter. The chooser uses it alone.
	Rand *rand.Rand
	// Spill is the utilisation of the own zone above which others are used, for
	// services of which the policy says nothing; policy.DefaultSpill where it is 0.
	Spill float64
}

// Chooser chooses VMs. It is safe for concurrent use.
type Chooser struct {
	board *board.Board
	clock clockwork.Clock
	// fallback is the spill without a policy.
	fallback float64

	// mu guards rand; no other lock is acquired while it is held.
	mu   sync.Mutex
	rand *rand.Rand
}

// NewChooser returns a chooser that reads and writes b.
func NewChooser(b *board.Board, o Options) *Chooser {
	if o.Spill == 0 {
		o.Spill = policy.DefaultSpillThreshold
	}
	return &Chooser{board: b, clock: o.Clock, rand: o.Rand, fallback: o.Spill}
}

func (c *Chooser) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.Float64()
}

func (c *Chooser) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// Pick returns the VM for the next attempt of a call to a service and counts the
// attempt as in flight there until Report. VMs in tried are chosen again only
// where no other is left. The error is a *frame.OutcomeError with NotRun and
// ReasonDown where no VM serves the service, ReasonLeaving where all are leaving.
func (c *Chooser) Pick(service string, tried []string) (board.VM, error) {
	vms := c.board.Members().Service(service)
	// A peer that says it is leaving between the look and the count makes
	// another look necessary. Each VM can do so once.
	for range len(vms) + 1 {
		var buf [preallocated]candidate
		cs := c.candidates(buf[:0], service, vms, tried)
		if len(cs) == 0 {
			break
		}
		vm := c.choose(service, cs).vm
		if c.enter(vm.Name()) {
			return *vm, nil
		}
	}
	if len(vms) == 0 {
		return board.VM{}, frame.Refuse(frame.ReasonDown, "no VM serves "+service)
	}
	return board.VM{}, frame.Refuse(frame.ReasonLeaving, "every VM of "+service+" is leaving")
}

// enter counts an attempt at a peer, unless the peer is leaving.
func (c *Chooser) enter(vm string) bool {
	entered := false
	c.board.Peers().Update(vm, func(p board.Peer, _ bool) (board.Peer, bool) {
		if entered = !p.Leaving; entered {
			p.Inflight++
		}
		return p, true
	})
	return entered
}

// candidates appends the VMs of the best rank that is present; leaving ones
// have none.
func (c *Chooser) candidates(cs []candidate, service string, vms []board.VM, tried []string) []candidate {
	now := c.clock.Now()
	slots := c.slots(service)
	best := rankLast
	for i := range vms {
		vm := &vms[i]
		p, _ := c.board.Peers().Get(vm.Name())
		if vm.Leaving() || p.Leaving {
			continue
		}
		r := rankOf(p, now, slices.Contains(tried, vm.Name()))
		if r > best {
			continue
		}
		if r < best {
			best, cs = r, cs[:0]
		}
		cs = append(cs, newCandidate(vm, p, now, slots))
	}
	weigh(cs)
	return cs
}

// choose returns one of the candidates, of which there is at least one.
func (c *Chooser) choose(service string, cs []candidate) candidate {
	zone := c.zone(cs, c.spill(service))
	n := 0
	for i := range cs {
		if cs[i].vm.Zone() == zone {
			cs[n] = cs[i]
			n++
		}
	}
	return c.lighter(cs[:n])
}

// lighter draws two different candidates and returns the one with less load.
func (c *Chooser) lighter(cs []candidate) candidate {
	if len(cs) == 1 {
		return cs[0]
	}
	i, j := c.intn(len(cs)), c.intn(len(cs)-1)
	if j >= i {
		j++
	}
	if cs[j].utilisation() < cs[i].utilisation() {
		return cs[j]
	}
	return cs[i]
}

func (c *Chooser) service(name string) (*policy.Service, bool) {
	f := c.board.InForce()
	if f == nil {
		return nil, false
	}
	return f.Policy().Service(name)
}

// slots is the limit assumed for a peer that has not reported one.
func (c *Chooser) slots(service string) int {
	if s, ok := c.service(service); ok {
		return s.Slots()
	}
	return 1
}

func (c *Chooser) spill(service string) float64 {
	if s, ok := c.service(service); ok {
		return s.SpillThreshold()
	}
	return c.fallback
}

func (c *Chooser) zoneSettings(name string) policy.Zone {
	if f := c.board.InForce(); f != nil {
		return f.Policy().Zone(name)
	}
	return policy.Zone{}
}
