package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/policy"
)

const (
	service  = "ladder"
	testSeed = 20261204
)

// fixture is the chooser of a node in zone a of region r with peers of one service.
type fixture struct {
	board   *board.Board
	clock   *clockwork.FakeClock
	chooser *Chooser
	rand    *rand.Rand
	vms     []board.VM
	// incarnations holds the current incarnation of each VM.
	incarnations map[string]frame.Incarnation
}

// newFixture returns a fixture with n VMs in each zone, named zone + number; a
// zone is "name@region". Every VM has 10 slots and spill is 0.8.
func newFixture(t require.TestingT, n int, zones ...string) *fixture {
	f := &fixture{
		clock:        clockwork.NewFakeClock(),
		rand:         rand.New(rand.NewPCG(testSeed, 1)),
		incarnations: make(map[string]frame.Incarnation),
	}
	self := board.NewVM(board.VMFields{Name: "self", Zone: "a", Region: "r", Service: "bookings"})
	f.board = board.New(board.NewSelf(self, "s", frame.NewIncarnation("self", f.rand)))
	base, err := policy.ParseBase("base", []byte(`{"classes": ["c"], "services":
		{"ladder": {"slots": 10, "operations": {"o": {"class": "c", "idempotent": true}}}}}`))
	require.NoError(t, err)
	overlay, err := policy.ParseOverlay("overlay", []byte(`{"site": "s", "zones":
		{"b": {"delay": "5ms"}, "c": {"delay": "5ms", "cost": 3}, "d": {"delay": "5ms"}}}`))
	require.NoError(t, err)
	p, _ := policy.Merge(base, overlay)
	f.board.SetActiveConfig(board.NewActiveConfig(frame.Revision{}, p))
	for _, zone := range zones {
		name, region, _ := strings.Cut(zone, "@")
		for i := range n {
			f.vms = append(f.vms, board.NewVM(board.VMFields{
				Name: fmt.Sprintf("%s%d", name, i), Zone: name, Region: region, Service: service,
			}))
		}
	}
	for _, vm := range f.vms {
		f.restart(vm.Name())
	}
	f.board.SetMembers(board.NewMembers(1, f.vms))
	f.chooser = NewChooser(f.board, Options{Clock: f.clock, Rand: rand.New(rand.NewPCG(testSeed, 2))})
	return f
}

func (f *fixture) restart(vm string) { f.incarnations[vm] = frame.NewIncarnation(vm, f.rand) }

func (f *fixture) feedback(vm string, used int, leaving bool) *frame.Feedback {
	return &frame.Feedback{Incarnation: f.incarnations[vm], Load: frame.NewLoad(used, 10), Leaving: leaving}
}

// setLoad reports a load for all VMs of a zone.
func (f *fixture) setLoad(zone string, used int) {
	for _, vm := range f.vms {
		if vm.Zone() == zone {
			f.chooser.Report(vm.Name(), AttemptResult{Feedback: f.feedback(vm.Name(), used, false)})
		}
	}
}

// countPicks picks n times, reports each attempt as answered with an unchanged
// load and counts the picks by key.
func (f *fixture) countPicks(t require.TestingT, n int, key func(board.VM) string) map[string]int {
	counts := make(map[string]int)
	for range n {
		vm, err := f.chooser.Pick(service, nil)
		require.NoError(t, err)
		counts[key(vm)]++
		p, _ := f.board.Peers().Get(vm.Name())
		f.chooser.Report(vm.Name(), AttemptResult{Feedback: f.feedback(vm.Name(), p.Load.Used(), false)})
	}
	return counts
}

// pickModel is the oracle of TestPick. It tracks the state of peers independently
// of the chooser.
type pickModel struct {
	*fixture
	listedLeaving   map[string]bool
	reportedLeaving map[string]bool
	inflight        map[string]int
	failures        map[string]int
}

// eligible returns the VMs that Pick may return.
func (m *pickModel) eligible(tried []string) []string {
	var groups [4][]string
	for _, vm := range m.vms {
		name := vm.Name()
		if m.listedLeaving[name] || m.reportedLeaving[name] {
			continue
		}
		p, _ := m.board.Peers().Get(name)
		group := 0
		if m.clock.Now().Before(p.AvoidUntil) || m.failures[name] > 0 && m.inflight[name] > 0 {
			group = 1
		}
		if slices.Contains(tried, name) {
			group += 2
		}
		groups[group] = append(groups[group], name)
	}
	for _, g := range groups {
		if len(g) > 0 {
			return g
		}
	}
	return nil
}

func (m *pickModel) pick(t *rapid.T) {
	tried := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a0", "a1", "b0", "b1"}), 0, 4, rapid.ID).Draw(t, "tried")
	vm, err := m.chooser.Pick(service, tried)
	eligible := m.eligible(tried)
	if len(eligible) == 0 {
		var refusal *frame.OutcomeError
		require.True(t, errors.As(err, &refusal))
		require.Equal(t, frame.NotRun, refusal.Outcome())
		require.Equal(t, frame.ReasonLeaving, refusal.Reason())
		return
	}
	require.NoError(t, err)
	require.Contains(t, eligible, vm.Name())
	m.inflight[vm.Name()]++
}

func (m *pickModel) report(t *rapid.T) {
	var withInflight []string
	for _, vm := range m.vms {
		if m.inflight[vm.Name()] > 0 {
			withInflight = append(withInflight, vm.Name())
		}
	}
	if len(withInflight) == 0 {
		t.Skip("nothing in flight")
	}
	name := rapid.SampledFrom(withInflight).Draw(t, "vm")
	before, _ := m.board.Peers().Get(name)
	result := AttemptResult{}
	avoided, maxAvoid := false, time.Duration(0)
	switch rapid.SampledFrom([]string{"answered", "refused", "late", "leaving", "dial", "lost", "timeout"}).Draw(t, "result") {
	case "answered":
		// The response can be older than the report that the peer is leaving.
		result.Feedback = m.feedback(name, 3, false)
	case "refused":
		result = AttemptResult{Err: frame.NotRunError(frame.ReasonFull, ""), Feedback: m.feedback(name, 10, m.reportedLeaving[name])}
		avoided, maxAvoid = true, refusedAvoidMax
	case "late":
		result = AttemptResult{Err: frame.NotRunError(frame.ReasonLate, ""), Feedback: m.feedback(name, 3, m.reportedLeaving[name])}
	case "leaving":
		result = AttemptResult{Err: frame.NotRunError(frame.ReasonLeaving, ""), Feedback: m.feedback(name, 3, true)}
		m.reportedLeaving[name] = true
	case "dial":
		result.Err = frame.NotRunError(frame.ReasonDial, "")
		avoided, maxAvoid = true, failedAvoidMax
	case "lost":
		result.Err = frame.UnknownError(frame.ReasonLost, "")
		avoided, maxAvoid = true, failedAvoidMax
	case "timeout":
		result.Err = frame.UnknownError(frame.ReasonTimeout, "")
		avoided, maxAvoid = true, failedAvoidMax
	}
	m.chooser.Report(name, result)
	m.inflight[name]--
	after, _ := m.board.Peers().Get(name)
	now := m.clock.Now()
	switch {
	case result.Err == nil:
		m.failures[name] = 0
		require.False(t, now.Before(after.AvoidUntil), "avoided after a response")
	case avoided && !now.Before(before.AvoidUntil):
		m.failures[name]++
		require.True(t, now.Before(after.AvoidUntil), "not avoided after a failure")
		require.LessOrEqual(t, after.AvoidUntil.Sub(now), maxAvoid)
	default:
		require.Equal(t, before.AvoidUntil, after.AvoidUntil)
	}
	if result.Feedback != nil {
		require.Equal(t, m.incarnations[name], after.Incarnation)
	} else if !m.reportedLeaving[name] {
		require.False(t, after.Incarnation.Known(), "incarnation is kept after a lost connection")
	}
}

// Guards against calls to a VM that is leaving, calls to one that was tried or is
// avoided while there is another, and wrong counts of attempts in flight.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &pickModel{
			fixture:       newFixture(t, 2, "a@r", "b@r"),
			listedLeaving: make(map[string]bool), reportedLeaving: make(map[string]bool),
			inflight: make(map[string]int), failures: make(map[string]int),
		}
		anyVM := rapid.SampledFrom([]string{"a0", "a1", "b0", "b1"})
		t.Repeat(map[string]func(*rapid.T){
			"pick":   m.pick,
			"pick2":  m.pick,
			"report": m.report,
			"wait": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"list": func(t *rapid.T) {
				n := anyVM.Draw(t, "vm")
				m.listedLeaving[n] = !m.listedLeaving[n]
				vms := slices.Clone(m.vms)
				for i, vm := range vms {
					f := vm.Fields()
					f.Leaving = m.listedLeaving[f.Name]
					vms[i] = board.NewVM(f)
				}
				m.board.SetMembers(board.NewMembers(2, vms))
			},
			// A new process starts on the VM and responds to a call in flight.
			"restart": func(t *rapid.T) {
				n := anyVM.Draw(t, "vm")
				if m.inflight[n] == 0 {
					t.Skip("nothing in flight")
				}
				m.restart(n)
				m.reportedLeaving[n] = false
				m.chooser.Report(n, AttemptResult{Feedback: m.feedback(n, 0, false)})
				m.inflight[n]--
				m.failures[n] = 0
			},
			"": func(t *rapid.T) {
				for _, vm := range m.vms {
					p, _ := m.board.Peers().Get(vm.Name())
					require.Equal(t, m.inflight[vm.Name()], p.Inflight)
					require.Equal(t, m.reportedLeaving[vm.Name()], p.Leaving)
				}
			},
		})
	})
}

// sourceFunc is a source of random numbers that can change the board between the
// lookup of the candidates and the choice.
type sourceFunc func() uint64

func (f sourceFunc) Uint64() uint64 { return f() }

// Guards against choosing a peer that reports during Pick that it is leaving.
func TestPickRechecksLeaving(t *testing.T) {
	f := newFixture(t, 2, "a@r")
	f.chooser.rand = rand.New(sourceFunc(func() uint64 {
		f.board.Peers().Put("a0", board.Peer{Leaving: true})
		return 0
	}))
	for range 10 {
		f.board.Peers().Put("a0", board.Peer{})
		vm, err := f.chooser.Pick(service, nil)
		require.NoError(t, err)
		require.Equal(t, "a1", vm.Name())
	}
}

// Guards against an uneven spread of calls over equal VMs, both with immediate
// responses and while calls accumulate in flight.
func TestSpread(t *testing.T) {
	f := newFixture(t, 6, "a@r")
	t.Logf("seed %d", testSeed)
	for vm, n := range f.countPicks(t, 6000, board.VM.Name) {
		require.InDelta(t, 1000, n, 150, vm)
	}
	minInflight, maxInflight := 1<<30, 0
	for range 300 {
		_, err := f.chooser.Pick(service, nil)
		require.NoError(t, err)
	}
	for _, v := range f.chooser.View(service).Peers {
		minInflight, maxInflight = min(minInflight, v.Inflight), max(maxInflight, v.Inflight)
	}
	require.LessOrEqual(t, maxInflight-minInflight, 4)
}

// Guards against wrong counts of attempts in flight with concurrent calls.
func TestConcurrentCalls(t *testing.T) {
	f := newFixture(t, 3, "a@r", "b@r")
	var g sync.WaitGroup
	for range 8 {
		g.Go(func() {
			for range 500 {
				vm, err := f.chooser.Pick(service, nil)
				if !assert.NoError(t, err) {
					return
				}
				f.chooser.View(service)
				f.chooser.Report(vm.Name(), AttemptResult{Feedback: f.feedback(vm.Name(), 9, false)})
			}
		})
	}
	g.Wait()
	for _, v := range f.chooser.View(service).Peers {
		require.Zero(t, v.Inflight, v.VM)
	}
}

// Guards against calls that leave the local zone needlessly, calls that stay in a
// full zone, and choosing zones regardless of cost, free capacity or region.
func TestZones(t *testing.T) {
	zoneOf := func(vm board.VM) string { return vm.Zone() }
	for _, c := range []struct {
		name                       string
		usedA, usedB, usedC, usedD int
		check                      func(t *testing.T, n map[string]int)
		withoutZone                string
	}{
		{name: "local zone at spill", usedA: 8, check: func(t *testing.T, n map[string]int) {
			require.Equal(t, 1000, n["a"])
		}},
		{name: "local zone above spill", usedA: 9, check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["a"], 450)
			require.Greater(t, n["b"], 100)
			require.Zero(t, n["d"])
		}},
		{name: "local zone full", usedA: 12, check: func(t *testing.T, n map[string]int) {
			require.Less(t, n["a"], 150)
			require.Greater(t, n["b"], 2*n["c"])
			require.Positive(t, n["c"])
			require.Zero(t, n["d"])
		}},
		{name: "local region full", usedA: 12, usedB: 12, usedC: 12, check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["d"], 800)
		}},
		{name: "all zones full", usedA: 12, usedB: 12, usedC: 12, usedD: 12, check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["a"], 950)
		}},
		{name: "no VM in local zone", withoutZone: "a", check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["b"], 600)
			require.Positive(t, n["c"])
			require.Zero(t, n["d"])
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 3, "a@r", "b@r", "c@r", "d@q")
			for zone, used := range map[string]int{"a": c.usedA, "b": c.usedB, "c": c.usedC, "d": c.usedD} {
				f.setLoad(zone, used)
			}
			f.board.SetMembers(board.NewMembers(2, slices.DeleteFunc(f.vms, func(vm board.VM) bool {
				return vm.Zone() == c.withoutZone
			})))
			t.Logf("seed %d", testSeed)
			c.check(t, f.countPicks(t, 1000, zoneOf))
		})
	}
}

// Guards against a reported load that does not decay with age.
func TestOldLoadCountsLess(t *testing.T) {
	f := newFixture(t, 1, "a@r")
	f.setLoad("a", 10)
	require.InDelta(t, 1, f.chooser.View(service).Utilisation, 1e-9)
	f.clock.Advance(2 * loadHalfLife)
	require.InDelta(t, 0.25, f.chooser.View(service).Utilisation, 1e-9)
}

// Guards against spending many calls on a failing peer, and against avoiding a
// peer after it has recovered.
func TestFailingPeer(t *testing.T) {
	f := newFixture(t, 3, "a@r")
	const step = 10 * time.Millisecond
	run := func(d time.Duration, broken bool) (calls int) {
		for range d / step {
			f.clock.Advance(step)
			vm, err := f.chooser.Pick(service, nil)
			require.NoError(t, err)
			r := AttemptResult{Feedback: f.feedback(vm.Name(), 0, false)}
			if vm.Name() == "a0" {
				calls++
				if broken {
					r = AttemptResult{Err: frame.UnknownError(frame.ReasonTimeout, "")}
				}
			}
			f.chooser.Report(vm.Name(), r)
		}
		return calls
	}
	t.Logf("seed %d", testSeed)
	calls := run(time.Minute, true)
	require.Less(t, calls, 100, "calls lost in a minute of 6000 calls")
	require.Greater(t, calls, 25, "a broken peer is tried again")
	require.Positive(t, run(failedAvoidMax+100*time.Millisecond, false), "first call after the fault")
	require.Greater(t, run(time.Second, false), 20, "of 100 calls to 3 VMs")
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{6, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(b, n/3, "a@r", "b@r", "c@r")
			for _, zone := range []string{"a", "b", "c"} {
				f.setLoad(zone, 9)
			}
			b.ReportAllocs()
			for b.Loop() {
				vm, err := f.chooser.Pick(service, nil)
				if err != nil {
					b.Fatal(err)
				}
				f.chooser.Report(vm.Name(), AttemptResult{})
			}
		})
	}
}
