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

// fixture is a node in zone a of region r with peers of one service.
type fixture struct {
	board   *board.Board
	clock   *clockwork.FakeClock
	chooser *Chooser
	rand    *rand.Rand
	vms     []board.VM
	// process holds the incarnation that speaks for each VM.
	process map[string]frame.Incarnation
}

// newFixture returns a fixture with n VMs in each zone, named zone + number; a
// zone is "name@region". Every VM has 10 slots and spill is 0.8.
func newFixture(t require.TestingT, n int, zones ...string) *fixture {
	f := &fixture{
		clock:   clockwork.NewFakeClock(),
		rand:    rand.New(rand.NewPCG(testSeed, 1)),
		process: make(map[string]frame.Incarnation),
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
	f.board.SetInForce(board.NewInForce(frame.Revision{}, p))
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

func (f *fixture) restart(vm string) { f.process[vm] = frame.NewIncarnation(vm, f.rand) }

func (f *fixture) feedback(vm string, used int, leaving bool) *frame.Feedback {
	return &frame.Feedback{Incarnation: f.process[vm], Load: frame.NewLoad(used, 10), Leaving: leaving}
}

// setLoad records a fresh load for all VMs of a zone.
func (f *fixture) setLoad(zone string, used int) {
	for _, vm := range f.vms {
		if vm.Zone() == zone {
			f.chooser.Report(vm.Name(), Report{Feedback: f.feedback(vm.Name(), used, false)})
		}
	}
}

// spread picks n times, reports each attempt as answered with an unchanged load
// and counts the picks by key.
func (f *fixture) spread(t require.TestingT, n int, key func(board.VM) string) map[string]int {
	counts := make(map[string]int)
	for range n {
		vm, err := f.chooser.Pick(service, nil)
		require.NoError(t, err)
		counts[key(vm)]++
		p, _ := f.board.Peers().Get(vm.Name())
		f.chooser.Report(vm.Name(), Report{Feedback: f.feedback(vm.Name(), p.Load.Used(), false)})
	}
	return counts
}

// model is the oracle of TestPick: it keeps what the node was told, by itself.
type model struct {
	*fixture
	listed   map[string]bool
	said     map[string]bool
	inflight map[string]int
	failures map[string]int
}

// best returns the VMs that Pick may return, in words of the contract.
func (m *model) best(tried []string) []string {
	var groups [4][]string
	for _, vm := range m.vms {
		name := vm.Name()
		if m.listed[name] || m.said[name] {
			continue
		}
		p, _ := m.board.Peers().Get(name)
		group := 0
		if m.clock.Now().Before(p.Avoid) || m.failures[name] > 0 && m.inflight[name] > 0 {
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

func (m *model) pick(t *rapid.T) {
	tried := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a0", "a1", "b0", "b1"}), 0, 4, rapid.ID).Draw(t, "tried")
	vm, err := m.chooser.Pick(service, tried)
	best := m.best(tried)
	if len(best) == 0 {
		var refusal *frame.OutcomeError
		require.True(t, errors.As(err, &refusal))
		require.Equal(t, frame.NotRun, refusal.Outcome())
		require.Equal(t, frame.ReasonLeaving, refusal.Reason())
		return
	}
	require.NoError(t, err)
	require.Contains(t, best, vm.Name())
	m.inflight[vm.Name()]++
}

func (m *model) report(t *rapid.T) {
	var busy []string
	for _, vm := range m.vms {
		if m.inflight[vm.Name()] > 0 {
			busy = append(busy, vm.Name())
		}
	}
	if len(busy) == 0 {
		t.Skip("nothing in flight")
	}
	name := rapid.SampledFrom(busy).Draw(t, "vm")
	before, _ := m.board.Peers().Get(name)
	r := Report{}
	avoided, most := false, time.Duration(0)
	switch rapid.SampledFrom([]string{"answered", "refused", "late", "leaving", "dial", "lost", "timeout"}).Draw(t, "result") {
	case "answered":
		// The answer can be older than the word that the peer is leaving.
		r.Feedback = m.feedback(name, 3, false)
	case "refused":
		r = Report{Err: frame.NotRunError(frame.ReasonFull, ""), Feedback: m.feedback(name, 10, m.said[name])}
		avoided, most = true, refusedMax
	case "late":
		r = Report{Err: frame.NotRunError(frame.ReasonLate, ""), Feedback: m.feedback(name, 3, m.said[name])}
	case "leaving":
		r = Report{Err: frame.NotRunError(frame.ReasonLeaving, ""), Feedback: m.feedback(name, 3, true)}
		m.said[name] = true
	case "dial":
		r.Err = frame.NotRunError(frame.ReasonDial, "")
		avoided, most = true, failedMax
	case "lost":
		r.Err = frame.UnknownError(frame.ReasonLost, "")
		avoided, most = true, failedMax
	case "timeout":
		r.Err = frame.UnknownError(frame.ReasonTimeout, "")
		avoided, most = true, failedMax
	}
	m.chooser.Report(name, r)
	m.inflight[name]--
	after, _ := m.board.Peers().Get(name)
	now := m.clock.Now()
	switch {
	case r.Err == nil:
		m.failures[name] = 0
		require.False(t, now.Before(after.Avoid), "avoided after an answer")
	case avoided && !now.Before(before.Avoid):
		m.failures[name]++
		require.True(t, now.Before(after.Avoid), "not avoided after a failure")
		require.LessOrEqual(t, after.Avoid.Sub(now), most)
	default:
		require.Equal(t, before.Avoid, after.Avoid)
	}
	if r.Feedback != nil {
		require.Equal(t, m.process[name], after.Incarnation)
	} else if !m.said[name] {
		require.False(t, after.Incarnation.Known(), "incarnation is kept after a lost connection")
	}
}

// Guards against calls to a VM that is leaving, that was tried or that is
// avoided while there is another, and against attempts that are counted twice.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			fixture: newFixture(t, 2, "a@r", "b@r"),
			listed:  make(map[string]bool), said: make(map[string]bool),
			inflight: make(map[string]int), failures: make(map[string]int),
		}
		name := rapid.SampledFrom([]string{"a0", "a1", "b0", "b1"})
		t.Repeat(map[string]func(*rapid.T){
			"pick":   m.pick,
			"pick2":  m.pick,
			"report": m.report,
			"wait": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"list": func(t *rapid.T) {
				n := name.Draw(t, "vm")
				m.listed[n] = !m.listed[n]
				vms := slices.Clone(m.vms)
				for i, vm := range vms {
					f := vm.Fields()
					f.Leaving = m.listed[f.Name]
					vms[i] = board.NewVM(f)
				}
				m.board.SetMembers(board.NewMembers(2, vms))
			},
			// Another process starts on the VM and answers a call that was in flight.
			"restart": func(t *rapid.T) {
				n := name.Draw(t, "vm")
				if m.inflight[n] == 0 {
					t.Skip("nothing in flight")
				}
				m.restart(n)
				m.said[n] = false
				m.chooser.Report(n, Report{Feedback: m.feedback(n, 0, false)})
				m.inflight[n]--
				m.failures[n] = 0
			},
			"": func(t *rapid.T) {
				for _, vm := range m.vms {
					p, _ := m.board.Peers().Get(vm.Name())
					require.Equal(t, m.inflight[vm.Name()], p.Inflight)
					require.Equal(t, m.said[vm.Name()], p.Leaving)
				}
			},
		})
	})
}

// sourceFunc is a source of random numbers that can act between the look at the
// candidates and the choice.
type sourceFunc func() uint64

func (f sourceFunc) Uint64() uint64 { return f() }

// Guards against a choice that is counted although the peer said in between that
// it is leaving.
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

// Guards against a VM that gets more than its part of the calls, both while
// calls are answered at once and while they pile up.
func TestSpread(t *testing.T) {
	f := newFixture(t, 6, "a@r")
	t.Logf("seed %d", testSeed)
	for vm, n := range f.spread(t, 6000, board.VM.Name) {
		require.InDelta(t, 1000, n, 150, vm)
	}
	least, most := 1<<30, 0
	for range 300 {
		_, err := f.chooser.Pick(service, nil)
		require.NoError(t, err)
	}
	for _, v := range f.chooser.View(service).Peers {
		least, most = min(least, v.Inflight), max(most, v.Inflight)
	}
	require.LessOrEqual(t, most-least, 4)
}

// Guards against attempts in flight that are lost or counted twice when calls
// are concurrent.
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
				f.chooser.Report(vm.Name(), Report{Feedback: f.feedback(vm.Name(), 9, false)})
			}
		})
	}
	g.Wait()
	for _, v := range f.chooser.View(service).Peers {
		require.Zero(t, v.Inflight, v.VM)
	}
}

// Guards against calls that leave the zone without need, a busy zone that keeps
// its calls, and a choice of zone that ignores cost, room or region.
func TestZones(t *testing.T) {
	zone := func(vm board.VM) string { return vm.Zone() }
	for _, c := range []struct {
		name        string
		a, b, c, d  int
		check       func(t *testing.T, n map[string]int)
		withoutZone string
	}{
		{name: "own zone at spill", a: 8, check: func(t *testing.T, n map[string]int) {
			require.Equal(t, 1000, n["a"])
		}},
		{name: "own zone above spill", a: 9, check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["a"], 450)
			require.Greater(t, n["b"], 100)
			require.Zero(t, n["d"])
		}},
		{name: "own zone full", a: 12, check: func(t *testing.T, n map[string]int) {
			require.Less(t, n["a"], 150)
			require.Greater(t, n["b"], 2*n["c"])
			require.Positive(t, n["c"])
			require.Zero(t, n["d"])
		}},
		{name: "own region full", a: 12, b: 12, c: 12, check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["d"], 800)
		}},
		{name: "all zones full", a: 12, b: 12, c: 12, d: 12, check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["a"], 950)
		}},
		{name: "own zone gone", withoutZone: "a", check: func(t *testing.T, n map[string]int) {
			require.Greater(t, n["b"], 600)
			require.Positive(t, n["c"])
			require.Zero(t, n["d"])
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 3, "a@r", "b@r", "c@r", "d@q")
			for zone, used := range map[string]int{"a": c.a, "b": c.b, "c": c.c, "d": c.d} {
				f.setLoad(zone, used)
			}
			f.board.SetMembers(board.NewMembers(2, slices.DeleteFunc(f.vms, func(vm board.VM) bool {
				return vm.Zone() == c.withoutZone
			})))
			t.Logf("seed %d", testSeed)
			c.check(t, f.spread(t, 1000, zone))
		})
	}
}

// Guards against a high load that is believed long after it was reported.
func TestOldLoadCountsLess(t *testing.T) {
	f := newFixture(t, 1, "a@r")
	f.setLoad("a", 10)
	require.InDelta(t, 1, f.chooser.View(service).Utilisation, 1e-9)
	f.clock.Advance(2 * halfLife)
	require.InDelta(t, 0.25, f.chooser.View(service).Utilisation, 1e-9)
}

// Guards against a failing peer that costs many calls, and against one that
// stays avoided after it works again.
func TestFailingPeer(t *testing.T) {
	f := newFixture(t, 3, "a@r")
	const step = 10 * time.Millisecond
	run := func(d time.Duration, broken bool) (calls int) {
		for range d / step {
			f.clock.Advance(step)
			vm, err := f.chooser.Pick(service, nil)
			require.NoError(t, err)
			r := Report{Feedback: f.feedback(vm.Name(), 0, false)}
			if vm.Name() == "a0" {
				calls++
				if broken {
					r = Report{Err: frame.UnknownError(frame.ReasonTimeout, "")}
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
	require.Positive(t, run(failedMax+100*time.Millisecond, false), "first call after the fault")
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
				f.chooser.Report(vm.Name(), Report{})
			}
		})
	}
}
