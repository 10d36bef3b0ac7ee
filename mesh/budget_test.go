package mesh

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a full bucket refusing the lowest priority.
func TestBudgetLowestPriority(t *testing.T) {
	for _, nodes := range []int{1, 16, 500} {
		b := newRetryBudgets(0.2, 48, clockwork.NewFakeClock())
		b.setNodes(nodes)
		k := budgetKey{service: "s"}
		for range 2000 {
			b.countRequest(k, false)
		}
		require.True(t, b.takePermit(k, 0.999), "%d nodes", nodes)
	}
}

// Guards against a restarted node starting with new slack.
func TestBudgetRestart(t *testing.T) {
	b := newRetryBudgets(0.2, 48, clockwork.NewFakeClock())
	require.False(t, b.takePermit(budgetKey{service: "s"}, 0))
}

// Guards against the retries of all nodes together exceeding ratio x requests +
// slack in any window, for random fleets under uneven load with restarts.
func TestBudgetSum(t *testing.T) {
	const (
		ratio, slack = 0.2, 48
		window       = 10
		seconds      = 40
	)
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		n := rapid.IntRange(1, 40).Draw(t, "nodes")
		nonLeafKinds := rapid.SampledFrom([][]bool{{true}, {false}, {true, false}}).Draw(t, "kinds")
		newBudgets := func() *retryBudgets {
			b := newRetryBudgets(ratio, slack, clock)
			b.setNodes(n)
			return b
		}
		nodes := make([]*retryBudgets, n)
		for i := range nodes {
			nodes[i] = newBudgets()
		}
		var requests, retries [seconds]int
		for s := range seconds {
			for i := range nodes {
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
					nodes[i] = newBudgets()
				}
				load := rapid.IntRange(0, 30).Draw(t, "load")
				for range load {
					for _, nonLeaf := range nonLeafKinds {
						k := budgetKey{service: "s", nonLeaf: nonLeaf}
						nodes[i].countRequest(k, false)
						requests[s]++
						for nodes[i].takePermit(k, 0) {
							retries[s]++
						}
					}
				}
			}
			clock.Advance(time.Second)
		}
		for from := range seconds - window + 1 {
			requested, retried := 0, 0
			for s := from; s < from+window; s++ {
				requested += requests[s]
				retried += retries[s]
			}
			require.LessOrEqual(t, float64(retried), ratio*float64(requested)+slack, "window from %d", from)
		}
	})
}
