package mesh

import (
	"sync"

	"dogwoodhead/retry"
)

const (
	// ratioPart is the part of the allowed ratio that one hop spends on its own
	// repeats. The rest is for the requests that repeated work makes further down.
	ratioPart = 0.4
	// slackPart is the part of the allowed slack that all nodes together hold.
	slackPart = 0.5
)

// budgets hold this node's share of the repeats that each service may get. The
// nodes agree on nothing: each spends at most its own part of the ratio and of
// the slack, so the sum keeps the bound.
type budgets struct {
	mu           sync.Mutex
	ratio, slack float64
	nodes        int
	buckets      map[string]*retry.Bucket
}

func newBudgets(ratio, slack float64) *budgets {
	return &budgets{ratio: ratio, slack: slack, nodes: 1, buckets: make(map[string]*retry.Bucket)}
}

// resize tells how many nodes share the slack.
func (b *budgets) resize(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(nodes, 1)
	b.apply()
}

// configure changes the bounds.
func (b *budgets) configure(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
	b.apply()
}

func (b *budgets) apply() {
	for _, k := range b.buckets {
		k.Configure(ratioPart*b.ratio, b.burst())
	}
}

// burst is this node's part of the slack, at least one repeat.
func (b *budgets) burst() int { return max(int(slackPart*b.slack/float64(b.nodes)), 1) }

// of returns the bucket of a service. It starts empty, because a restarted node
// must not bring fresh slack.
func (b *budgets) of(service string) *retry.Bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[service]
	if k == nil {
		k = retry.NewBucket(retry.BucketOptions{Ratio: ratioPart * b.ratio, Burst: b.burst()})
		b.buckets[service] = k
	}
	return k
}
