package mesh

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetLast guards against a bucket that never serves the least important
// requests, however full it is.
func TestBudgetLast(t *testing.T) {
	for _, nodes := range []int{1, 16, 500} {
		b := newBudgets(0.2, 48, clockwork.NewFakeClock())
		b.resize(nodes)
		k := budgetKey{service: "s"}
		for range 2000 {
			b.request(k, false)
		}
		require.True(t, b.take(k, 0.999), "%d nodes", nodes)
	}
}

// TestBudgetRestart guards against fresh slack in a restarted node.
func TestBudgetRestart(t *testing.T) {
	b := newBudgets(0.2, 48, clockwork.NewFakeClock())
	require.False(t, b.take(budgetKey{service: "s"}, 0))
}

// TestBudgetSum guards against repeats beyond the bound over all nodes: a random
// fleet under random, uneven load, restarts included, is held against
// ratio x requests + slack in every window.
func TestBudgetSum(t *testing.T) {
	const (
		ratio, slack = 0.2, 48
		window       = 10
		seconds      = 40
	)
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		n := rapid.IntRange(1, 40).Draw(t, "nodes")
		kinds := rapid.SampledFrom([][]bool{{true}, {false}, {true, false}}).Draw(t, "kinds")
		fresh := func() *budgets {
			b := newBudgets(ratio, slack, clock)
			b.resize(n)
			return b
		}
		nodes := make([]*budgets, n)
		for i := range nodes {
			nodes[i] = fresh()
		}
		var requests, repeats [seconds]int
		for s := range seconds {
			for i := range nodes {
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
					nodes[i] = fresh()
				}
				load := rapid.IntRange(0, 30).Draw(t, "load")
				for range load {
					for _, deep := range kinds {
						k := budgetKey{service: "s", deep: deep}
						nodes[i].request(k, false)
						requests[s]++
						for nodes[i].take(k, 0) {
							repeats[s]++
						}
					}
				}
			}
			clock.Advance(time.Second)
		}
		for from := range seconds - window + 1 {
			asked, again := 0, 0
			for s := from; s < from+window; s++ {
				asked += requests[s]
				again += repeats[s]
			}
			require.LessOrEqual(t, float64(again), ratio*float64(asked)+slack, "window from %d", from)
		}
	})
}
