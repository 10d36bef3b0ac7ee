package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/frame"
)

// span is one position in a call tree, with counts over all root calls.
type span struct {
	children []*span
	rand     *rand.Rand
	// down fails every attempt; refuse and lose are probabilities of a refusal
	// before the span runs and of a lost answer.
	down         bool
	refuse, lose float64
	// calls counts first attempts, attempts all of them.
	calls, attempts int
	budget          *Budget
}

// model runs root calls over a tree under one control.
type model struct {
	rule     func(int) int
	budget   func() *Budget
	parallel bool
}

// run executes a span and returns its unused permits.
func (m *model) run(s *span, tries int) (left int, err error) {
	e := NewEscrow(tries)
	if m.rule != nil {
		e.lendable = m.rule
	}
	var failed atomic.Bool
	var wg sync.WaitGroup
	for _, c := range s.children {
		if m.parallel {
			wg.Go(func() {
				if m.call(e, c) != nil {
					failed.Store(true)
				}
			})
		} else if m.call(e, c) != nil {
			failed.Store(true)
			break
		}
	}
	wg.Wait()
	frame.AssertInvariant(e.Totals().Lent == 0, "model", "a loan has not ended")
	left = e.Close()
	if failed.Load() {
		err = errChild
	}
	return left, err
}

var (
	errChild = frame.UnknownError(frame.ReasonLost, "a call of the span failed")
	errDown  = frame.NotRunError(frame.ReasonDown, "")
)

// call is the client side of one hop.
func (m *model) call(e *Escrow, c *span) error {
	c.calls++
	if m.budget != nil {
		if c.budget == nil {
			c.budget = m.budget()
		}
		c.budget.First()
	}
	for made := 1; ; made++ {
		c.attempts++
		var err error
		if m.budget == nil {
			err = m.attempt(e.Lend(len(c.children) == 0), c)
		} else {
			err = m.bare(c)
		}
		if err == nil || !m.again(e, c, err, made) {
			return err
		}
	}
}

func (m *model) again(e *Escrow, c *span, err error, made int) bool {
	if m.budget != nil {
		return c.budget.Retry(made)
	}
	o, reason := frame.OutcomeOf(err)
	d := Policy{}.Decide(Failure{
		Outcome: o, Reason: reason, Idempotent: true, Permits: e.Held(), Left: time.Second, Made: made,
	})
	return d.Action != GiveUp && e.Spend()
}

func (m *model) attempt(l *Loan, c *span) error {
	if c.down || c.rand.Float64() < c.refuse {
		l.Return(l.Permits())
		return errDown
	}
	left, err := m.run(c, l.Permits())
	if c.rand.Float64() < c.lose {
		l.Forfeit()
		return frame.UnknownError(frame.ReasonLost, "")
	}
	l.Return(left)
	return err
}

// bare is an attempt under a baseline, which has no permits.
func (m *model) bare(c *span) error {
	if c.down {
		return errDown
	}
	for _, next := range c.children {
		if m.call(nil, next) != nil {
			return errChild
		}
	}
	return nil
}

// each calls f for the span and all below it.
func (s *span) each(f func(*span)) {
	f(s)
	for _, c := range s.children {
		c.each(f)
	}
}

func (s *span) extra() (n int) {
	s.each(func(c *span) { n += c.attempts - c.calls })
	return n
}

func (s *span) total() (n int) {
	s.each(func(c *span) { n += c.attempts })
	return n
}

// chain returns an entry with depth calls below one another and the last span.
func chain(depth int, r *rand.Rand) (root, last *span) {
	root = &span{rand: r}
	last = root
	for range depth {
		next := &span{rand: r}
		last.children = []*span{next}
		last = next
	}
	return root, last
}

// drawTree returns a tree of at most 14 calls below one another and at most 4
// calls per span. Every span has its own source of failures, so that parallel
// calls need no lock.
func drawTree(t *rapid.T, depth int, room *int) *span {
	r := func() *rand.Rand { return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) }
	prob := rapid.SampledFrom([]float64{0, 0, 0.1, 0.5})
	s := &span{rand: r(), refuse: prob.Draw(t, "refuse"), lose: prob.Draw(t, "lose")}
	if depth == 0 {
		return s
	}
	for range rapid.IntRange(1, 4).Draw(t, "fan-out") {
		if *room == 0 {
			break
		}
		*room--
		s.children = append(s.children, drawTree(t, depth-1, room))
	}
	return s
}

// Guards against permits that multiply on their way through the tree or vanish
// without being booked, and against more extra attempts than the root had.
func TestTreeStaysWithinPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.IntRange(1, 50).Draw(t, "spans")
		root := drawTree(t, rapid.IntRange(1, 14).Draw(t, "depth"), &room)
		m := &model{parallel: rapid.Bool().Draw(t, "parallel")}
		tries := rapid.IntRange(0, frame.MaxPermits).Draw(t, "tries")
		left, _ := m.run(root, tries)
		extra, lossless := root.extra(), true
		root.each(func(s *span) {
			lossless = lossless && s.lose == 0
			require.LessOrEqual(t, s.attempts, 1+tries, "attempts at one position")
		})
		require.LessOrEqual(t, extra, tries-left, "extra attempts against permits used")
		if lossless {
			require.Equal(t, tries, left+extra, "permits returned and spent")
		}
	})
}

// Guards against retries that grow with the number of failing root calls while
// the deepest service is down.
func TestBucketBoundsAllRootCalls(t *testing.T) {
	const roots, ratio, burst = 5000, 0.1, 100
	for _, depth := range []int{1, 3, 8, 14} {
		root, last := chain(depth, rand.New(rand.NewPCG(1, 2)))
		b := NewBucket(BucketOptions{Ratio: ratio, Burst: burst, Start: burst})
		m := &model{}
		for i := range roots {
			last.down = i%3 != 0 // so that some permits come back
			b.Earn()
			left, _ := m.run(root, b.Take(3))
			b.Return(left)
		}
		require.LessOrEqual(t, root.extra(), int(ratio*roots)+burst, "depth %d", depth)
		require.Greater(t, root.extra(), int(ratio*roots)/2, "depth %d: the permits are of use", depth)
	}
}

// Measures attempts at the deepest service per root call while it is down, for
// the escrow and both baselines on the same trees, and fails where the escrow
// exceeds its bound.
func TestAttemptsPerRootCall(t *testing.T) {
	const ratio, burst = 0.1, 100
	t.Log("depth  escrow  ratio 0.1 per hop  fixed 3 per hop   (attempts at the deepest service per root call)")
	for _, depth := range []int{1, 2, 4, 8, 11, 14} {
		measure := func(m *model, roots int) float64 {
			root, last := chain(depth, rand.New(rand.NewPCG(1, 2)))
			last.down = true
			b := NewBucket(BucketOptions{Ratio: ratio, Burst: burst})
			for range roots {
				b.Earn()
				if m.budget != nil {
					_ = m.bare(root)
					continue
				}
				left, _ := m.run(root, b.Take(3))
				b.Return(left)
			}
			return float64(last.attempts) / float64(roots)
		}
		escrow := measure(&model{}, 2000)
		perHop := measure(&model{budget: func() *Budget { return NewRatioBudget(ratio, burst) }}, 2000)
		fixed := measure(&model{budget: NewFixedBudget}, 1)
		t.Logf("%5d %7.3f %18.3f %16.0f", depth, escrow, perHop, fixed)
		require.LessOrEqual(t, escrow, 1+ratio+1e-9)
		require.InDelta(t, math.Pow(1+ratio, float64(depth)), perHop, 0.05)
	}
}

// Measures lending rules: share of root calls that complete and span runs per
// root call. Guards against a rule in force that is worse at both than another.
func TestLendingRules(t *testing.T) {
	rules := []struct {
		name string
		rule func(int) int
	}{
		{"all", func(held int) int { return held }},
		{"half", func(held int) int { return held / 2 }},
		{"none", func(int) int { return 0 }},
		{"all but one", keepOne},
	}
	cases := []struct {
		name         string
		fan          int
		refuse, lose float64
	}{
		{"deep refusals 20%", 1, 0.2, 0},
		{"lost answers 3% per hop", 1, 0, 0.03},
		{"both", 1, 0.2, 0.03},
		{"both, fan-out 3 in parallel", 3, 0.2, 0.03},
	}
	const roots, tries, depth = 2000, 3, 8
	for _, c := range cases {
		complete, runs := map[string]float64{}, map[string]float64{}
		for _, r := range rules {
			root := lendingTree(depth, c.fan, c.refuse, c.lose)
			m := &model{rule: r.rule, parallel: c.fan > 1}
			done := 0
			for range roots {
				if _, err := m.run(root, tries); err == nil {
					done++
				}
			}
			complete[r.name], runs[r.name] = float64(done)/roots, float64(root.total())/roots
			t.Logf("%-28s %-12s complete %.3f  span runs per root call %.2f",
				c.name, r.name, complete[r.name], runs[r.name])
		}
		for _, r := range rules {
			better := complete[r.name] > complete["all but one"]+0.02 && runs[r.name] < runs["all but one"]
			require.False(t, better && c.fan == 1, "rule %q is better at both", r.name) // parallel calls depend on scheduling
		}
	}
}

// lendingTree returns an entry that calls fan chains, whose last spans refuse.
func lendingTree(depth, fan int, refuse, lose float64) *span {
	root := &span{}
	for i := range fan {
		top, last := chain(depth, rand.New(rand.NewPCG(3, uint64(i))))
		top.each(func(s *span) { s.lose = lose })
		last.refuse = refuse
		root.children = append(root.children, top.children...)
	}
	return root
}

// Measures charging permits when they come back instead of reserving them at
// entry, with a number of root calls under way at once and all of them failing.
// Guards against a reservation that overshoots its bound.
func TestReserveAgainstCharge(t *testing.T) {
	const ratio, burst, tries, rounds = 0.1, 100, 3, 50
	t.Log("calls at once  reserve  charge on return   (extra attempts above ratio x root calls + burst)")
	for _, atOnce := range []int{1, 10, 100, 1000} {
		b := NewBucket(BucketOptions{Ratio: ratio, Burst: burst, Start: burst})
		level, reserve, charge := float64(burst), math.Inf(-1), math.Inf(-1)
		reserved, charged, calls := 0, 0, 0
		for range rounds {
			used := 0
			for range atOnce { // all start before the first one ends
				calls++
				b.Earn()
				reserved += b.Take(tries)
				level = min(level+ratio, burst)
				if level >= 1 {
					used += tries
				}
			}
			charged += used
			level -= float64(used)
			bound := ratio*float64(calls) + burst
			reserve = max(reserve, float64(reserved)-bound)
			charge = max(charge, float64(charged)-bound)
		}
		t.Logf("%13d %8.1f %17.1f", atOnce, max(reserve, 0), max(charge, 0))
		require.LessOrEqual(t, reserve, 1e-6)
	}
}
