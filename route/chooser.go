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

// Options configures a Chooser.
type Options struct {
	// Clock determines the age of reports and the end of avoidances.
	Clock clockwork.Clock
	// Rand is the source of choices and jitter. It must not be used elsewhere.
	Rand *rand.Rand
	// SpillThreshold is the utilisation of the local zone above which other zones
	// are used, for services without a policy; 0 selects
	// policy.DefaultSpillThreshold.
	SpillThreshold float64
}

// Chooser chooses VMs. It is safe for concurrent use.
type Chooser struct {
	board *board.Board
	clock clockwork.Clock
	// defaultSpillThreshold applies to services without a policy.
	defaultSpillThreshold float64

	// mu guards rand; no other lock is acquired while it is held.
	mu   sync.Mutex
	rand *rand.Rand
}

// NewChooser returns a chooser that reads and writes b.
func NewChooser(b *board.Board, opts Options) *Chooser {
	if opts.SpillThreshold == 0 {
		opts.SpillThreshold = policy.DefaultSpillThreshold
	}
	return &Chooser{board: b, clock: opts.Clock, rand: opts.Rand, defaultSpillThreshold: opts.SpillThreshold}
}

func (c *Chooser) randFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.Float64()
}

func (c *Chooser) randIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// Pick returns the VM for the next attempt of a call to a service and counts the
// attempt as in flight there until Report. VMs in tried are chosen again only if
// no other is left. The error is a *frame.OutcomeError with NotRun and
// ReasonDown if no VM serves the service, or ReasonLeaving if all are leaving.
func (c *Chooser) Pick(service string, tried []string) (board.VM, error) {
	vms := c.board.Members().ByService(service)
	// Choose again if the chosen peer has reported since the lookup that it is
	// leaving, at most once for each VM.
	for range len(vms) + 1 {
		var buf [candidateBufferSize]candidate
		cs := c.bestCandidates(buf[:0], service, vms, tried)
		if len(cs) == 0 {
			break
		}
		vm := c.choose(service, cs).vm
		if c.startUnlessLeaving(vm.Name()) {
			return *vm, nil
		}
	}
	if len(vms) == 0 {
		return board.VM{}, frame.NotRunError(frame.ReasonDown, "no VM serves "+service)
	}
	return board.VM{}, frame.NotRunError(frame.ReasonLeaving, "every VM of "+service+" is leaving")
}

// startUnlessLeaving counts an attempt at a peer, unless the peer is leaving.
func (c *Chooser) startUnlessLeaving(vm string) bool {
	started := false
	c.board.Peers().Update(vm, func(p board.Peer, _ bool) (board.Peer, bool) {
		if started = !p.Leaving; started {
			p.Inflight++
		}
		return p, true
	})
	return started
}

// bestCandidates appends the VMs of the best rank present, except leaving ones.
func (c *Chooser) bestCandidates(cs []candidate, service string, vms []board.VM, tried []string) []candidate {
	now := c.clock.Now()
	defaultLimit := c.defaultLimit(service)
	best := rankNone
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
		cs = append(cs, newCandidate(vm, p, now, defaultLimit))
	}
	scaleLimitsByHealth(cs)
	return cs
}

// choose returns one of the candidates; cs must not be empty.
func (c *Chooser) choose(service string, cs []candidate) candidate {
	zone := c.chooseZone(cs, c.spillThreshold(service))
	n := 0
	for i := range cs {
		if cs[i].vm.Zone() == zone {
			cs[n] = cs[i]
			n++
		}
	}
	return c.lessLoadedOfTwo(cs[:n])
}

// lessLoadedOfTwo returns the less loaded of two different random candidates.
func (c *Chooser) lessLoadedOfTwo(cs []candidate) candidate {
	if len(cs) == 1 {
		return cs[0]
	}
	i, j := c.randIntN(len(cs)), c.randIntN(len(cs)-1)
	if j >= i {
		j++
	}
	if cs[j].utilisation() < cs[i].utilisation() {
		return cs[j]
	}
	return cs[i]
}

func (c *Chooser) servicePolicy(name string) (*policy.Service, bool) {
	active := c.board.ActiveConfig()
	if active == nil {
		return nil, false
	}
	return active.Policy().Service(name)
}

// defaultLimit returns the concurrency limit of a peer that has not reported one.
func (c *Chooser) defaultLimit(service string) int {
	if s, ok := c.servicePolicy(service); ok {
		return s.Slots()
	}
	return 1
}

func (c *Chooser) spillThreshold(service string) float64 {
	if s, ok := c.servicePolicy(service); ok {
		return s.SpillThreshold()
	}
	return c.defaultSpillThreshold
}

func (c *Chooser) zonePolicy(name string) policy.Zone {
	if active := c.board.ActiveConfig(); active != nil {
		return active.Policy().Zone(name)
	}
	return policy.Zone{}
}
