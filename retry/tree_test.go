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

// span is one position in a call tree, with counts over all root requests.
type span struct {
	children []*span
	rand     *rand.Rand
	// down fails every attempt; refuseProb and loseProb are the probabilities of
	// a refusal before the span runs and of a lost response.
	down                 bool
	refuseProb, loseProb float64
	// calls counts first attempts, attempts counts all.
	calls, attempts int
	budget          *Budget
}

// model runs root requests over a tree; under a baseline if newBudget is set.
type model struct {
	grantRule func(int) int
	newBudget func() *Budget
	parallel  bool
}

// run executes a span and returns its unused permits.
func (m *model) run(s *span, permits int) (unused int, err error) {
	pool := NewPermitPool(permits)
	if m.grantRule != nil {
		pool.grantRule = m.grantRule
	}
	var failed atomic.Bool
	var wg sync.WaitGroup
	for _, child := range s.children {
		if m.parallel {
			wg.Go(func() {
				if m.callWithRetries(pool, child) != nil {
					failed.Store(true)
				}
			})
		} else if m.callWithRetries(pool, child) != nil {
			failed.Store(true)
			break
		}
	}
	wg.Wait()
	frame.AssertInvariant(pool.Counts().Granted == 0, "model", "a grant has not ended")
	unused = pool.Close()
	if failed.Load() {
		err = errChild
	}
	return unused, err
}

var (
	errChild = frame.UnknownError(frame.ReasonLost, "a call of the span failed")
	errDown  = frame.NotRunError(frame.ReasonDown, "")
)

// callWithRetries is the client side of one hop.
func (m *model) callWithRetries(pool *PermitPool, child *span) error {
	child.calls++
	if m.newBudget != nil {
		if child.budget == nil {
			child.budget = m.newBudget()
		}
		child.budget.RecordFirstAttempt()
	}
	for attempts := 1; ; attempts++ {
		child.attempts++
		var err error
		if m.newBudget == nil {
			err = m.attempt(pool.Grant(len(child.children) == 0), child)
		} else {
			err = m.attemptBaseline(child)
		}
		if err == nil || !m.spendRetry(pool, child, err, attempts) {
			return err
		}
	}
}

func (m *model) spendRetry(pool *PermitPool, child *span, err error, attempts int) bool {
	if m.newBudget != nil {
		return child.budget.SpendRetry(attempts)
	}
	o, reason := frame.OutcomeOf(err)
	d := Policy{}.Decide(Failure{
		Outcome: o, Reason: reason, Idempotent: true, Permits: pool.Available(), TimeLeft: time.Second, Attempts: attempts,
	})
	return d.Action != GiveUp && pool.Spend()
}

func (m *model) attempt(grant *PermitGrant, child *span) error {
	if child.down || child.rand.Float64() < child.refuseProb {
		grant.Return(grant.Permits())
		return errDown
	}
	unused, err := m.run(child, grant.Permits())
	if child.rand.Float64() < child.loseProb {
		grant.Forfeit()
		return frame.UnknownError(frame.ReasonLost, "")
	}
	grant.Return(unused)
	return err
}

// attemptBaseline makes an attempt under a baseline, which has no permits.
func (m *model) attemptBaseline(child *span) error {
	if child.down {
		return errDown
	}
	for _, next := range child.children {
		if m.callWithRetries(nil, next) != nil {
			return errChild
		}
	}
	return nil
}

// walk calls f for the span and all its descendants.
func (s *span) walk(f func(*span)) {
	f(s)
	for _, c := range s.children {
		c.walk(f)
	}
}

func (s *span) extraAttempts() (n int) {
	s.walk(func(c *span) { n += c.attempts - c.calls })
	return n
}

func (s *span) totalAttempts() (n int) {
	s.walk(func(c *span) { n += c.attempts })
	return n
}

// newChain returns the root of a chain of depth nested calls and its last span.
func newChain(depth int, r *rand.Rand) (root, last *span) {
	root = &span{rand: r}
	last = root
	for range depth {
		next := &span{rand: r}
		last.children = []*span{next}
		last = next
	}
	return root, last
}

// drawTree returns a tree with at most depth nested calls (up to 14), at most 4
// calls per span and at most *spansLeft spans below the root. Every span has its
// own random source, so that parallel calls need no lock.
func drawTree(t *rapid.T, depth int, spansLeft *int) *span {
	newRand := func() *rand.Rand { return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) }
	prob := rapid.SampledFrom([]float64{0, 0, 0.1, 0.5})
	s := &span{rand: newRand(), refuseProb: prob.Draw(t, "refuse"), loseProb: prob.Draw(t, "lose")}
	if depth == 0 {
		return s
	}
	for range rapid.IntRange(1, 4).Draw(t, "fan-out") {
		if *spansLeft == 0 {
			break
		}
		*spansLeft--
		s.children = append(s.children, drawTree(t, depth-1, spansLeft))
	}
	return s
}

// Guards against permits that are created or lost within the tree, and against
// more extra attempts than the root had permits.
func TestTreeStaysWithinPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spansLeft := rapid.IntRange(1, 50).Draw(t, "spans")
		root := drawTree(t, rapid.IntRange(1, 14).Draw(t, "depth"), &spansLeft)
		m := &model{parallel: rapid.Bool().Draw(t, "parallel")}
		permits := rapid.IntRange(0, frame.MaxPermits).Draw(t, "tries")
		unused, _ := m.run(root, permits)
		extra, lossless := root.extraAttempts(), true
		root.walk(func(s *span) {
			lossless = lossless && s.loseProb == 0
			require.LessOrEqual(t, s.attempts, 1+permits, "attempts at one position")
		})
		require.LessOrEqual(t, extra, permits-unused, "extra attempts against permits used")
		if lossless {
			require.Equal(t, permits, unused+extra, "permits returned and spent")
		}
	})
}

// Guards against retries that grow with the number of failing root requests while
// the deepest service is down.
func TestBucketBoundsAllRootRequests(t *testing.T) {
	const requests, ratio, burst = 5000, 0.1, 100
	for _, depth := range []int{1, 3, 8, 14} {
		root, leaf := newChain(depth, rand.New(rand.NewPCG(1, 2)))
		b := NewBucket(BucketOptions{Ratio: ratio, Burst: burst, Start: burst})
		m := &model{}
		for i := range requests {
			leaf.down = i%3 != 0 // so that some permits are returned
			b.Earn()
			unused, _ := m.run(root, b.Take(3))
			b.Return(unused)
		}
		require.LessOrEqual(t, root.extraAttempts(), int(ratio*requests)+burst, "depth %d", depth)
		require.Greater(t, root.extraAttempts(), int(ratio*requests)/2, "depth %d: at least half of the earned permits are spent", depth)
	}
}

// Measures attempts at the deepest service per root request while it is down, for
// permit pools and both baselines on the same trees, and fails if permit pools
// exceed their bound.
func TestAttemptsPerRootRequest(t *testing.T) {
	const ratio, burst = 0.1, 100
	t.Log("depth   pools  ratio 0.1 per hop  fixed 3 per hop   (attempts at the deepest service per root request)")
	for _, depth := range []int{1, 2, 4, 8, 11, 14} {
		measure := func(m *model, requests int) float64 {
			root, leaf := newChain(depth, rand.New(rand.NewPCG(1, 2)))
			leaf.down = true
			b := NewBucket(BucketOptions{Ratio: ratio, Burst: burst})
			for range requests {
				b.Earn()
				if m.newBudget != nil {
					_ = m.attemptBaseline(root)
					continue
				}
				unused, _ := m.run(root, b.Take(3))
				b.Return(unused)
			}
			return float64(leaf.attempts) / float64(requests)
		}
		pooled := measure(&model{}, 2000)
		perHop := measure(&model{newBudget: func() *Budget { return NewRatioBudget(ratio, burst) }}, 2000)
		fixed := measure(&model{newBudget: NewFixedBudget}, 1)
		t.Logf("%5d %7.3f %18.3f %16.0f", depth, pooled, perHop, fixed)
		require.LessOrEqual(t, pooled, 1+ratio+1e-9)
		require.InDelta(t, math.Pow(1+ratio, float64(depth)), perHop, 0.05)
	}
}

// Measures grant rules: fraction of root requests that complete, and span runs
// per root request. Guards against another rule that is better at both than
// grantAllButOne.
func TestGrantRules(t *testing.T) {
	rules := []struct {
		name string
		rule func(int) int
	}{
		{"all", func(available int) int { return available }},
		{"half", func(available int) int { return available / 2 }},
		{"none", func(int) int { return 0 }},
		{"all but one", grantAllButOne},
	}
	cases := []struct {
		name                 string
		fanOut               int
		refuseProb, loseProb float64
	}{
		{"deep refusals 20%", 1, 0.2, 0},
		{"lost responses 3% per hop", 1, 0, 0.03},
		{"both", 1, 0.2, 0.03},
		{"both, fan-out 3 in parallel", 3, 0.2, 0.03},
	}
	const requests, permits, depth = 2000, 3, 8
	for _, c := range cases {
		completed, runs := map[string]float64{}, map[string]float64{}
		for _, r := range rules {
			root := newFanOutTree(depth, c.fanOut, c.refuseProb, c.loseProb)
			m := &model{grantRule: r.rule, parallel: c.fanOut > 1}
			done := 0
			for range requests {
				if _, err := m.run(root, permits); err == nil {
					done++
				}
			}
			completed[r.name], runs[r.name] = float64(done)/requests, float64(root.totalAttempts())/requests
			t.Logf("%-28s %-12s complete %.3f  span runs per root request %.2f",
				c.name, r.name, completed[r.name], runs[r.name])
		}
		for _, r := range rules {
			better := completed[r.name] > completed["all but one"]+0.02 && runs[r.name] < runs["all but one"]
			require.False(t, better && c.fanOut == 1, "rule %q is better at both", r.name) // parallel calls depend on scheduling
		}
	}
}

// newFanOutTree returns a root with fanOut chains, whose last spans refuse.
func newFanOutTree(depth, fanOut int, refuseProb, loseProb float64) *span {
	root := &span{}
	for i := range fanOut {
		top, leaf := newChain(depth, rand.New(rand.NewPCG(3, uint64(i))))
		top.walk(func(s *span) { s.loseProb = loseProb })
		leaf.refuseProb = refuseProb
		root.children = append(root.children, top.children...)
	}
	return root
}

// Compares charging permits after a root request with reserving them before it,
// with many root requests in flight and all of them failing. Guards against
// reservations that exceed their bound.
func TestReserveAgainstCharge(t *testing.T) {
	const ratio, burst, permits, rounds = 0.1, 100, 3, 50
	t.Log("    in flight  reserve  charge on return   (extra attempts above ratio x root requests + burst)")
	for _, inFlight := range []int{1, 10, 100, 1000} {
		b := NewBucket(BucketOptions{Ratio: ratio, Burst: burst, Start: burst})
		balance, reserve, charge := float64(burst), math.Inf(-1), math.Inf(-1)
		reserved, charged, requests := 0, 0, 0
		for range rounds {
			used := 0
			for range inFlight { // all start before the first one ends
				requests++
				b.Earn()
				reserved += b.Take(permits)
				balance = min(balance+ratio, burst)
				if balance >= 1 {
					used += permits
				}
			}
			charged += used
			balance -= float64(used)
			bound := ratio*float64(requests) + burst
			reserve = max(reserve, float64(reserved)-bound)
			charge = max(charge, float64(charged)-bound)
		}
		t.Logf("%13d %8.1f %17.1f", inFlight, max(reserve, 0), max(charge, 0))
		require.LessOrEqual(t, reserve, 1e-6)
	}
}
