package mesh

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/retry"
)

const (
	// nonLeafFraction and leafFraction are the fractions of the allowed ratio that
	// retries may use. A retry on a non-leaf route repeats its child requests at
	// every service further down, so few are allowed.
	nonLeafFraction = 0.2
	leafFraction    = 0.65
	// slackFraction is the fraction of the allowed slack that all nodes share.
	slackFraction = 0.5
	// savedFraction bounds the unspent permits: savedFraction x ratio x requests
	// of the last budgetWindow.
	savedFraction = 0.1
	// budgetWindow is how far back requests count for savedFraction.
	budgetWindow = 10 * time.Second
)

// retryBudgets holds this node's share of the retries that each service may get.
// The nodes don't coordinate: each spends at most its share of the ratio and of
// the slack, so the sum stays within the bound. It is safe for concurrent use.
type retryBudgets struct {
	clock clockwork.Clock

	mu           sync.Mutex
	ratio, slack float64
	nodes        int
	byKey        map[budgetKey]*retryBudget
}

// budgetKey names the budget of a service's non-leaf or leaf routes.
type budgetKey struct {
	service string
	nonLeaf bool
}

// retryBudget is one bucket of permits and the requests that earned them.
type retryBudget struct {
	bucket  *retry.Bucket
	nonLeaf bool
	// requests is the number of recent requests; it decays over budgetWindow.
	requests float64
	updated  time.Time
	burst    int
}

func newRetryBudgets(ratio, slack float64, clock clockwork.Clock) *retryBudgets {
	return &retryBudgets{clock: clock, ratio: ratio, slack: slack, nodes: 1, byKey: make(map[budgetKey]*retryBudget)}
}

// setNodes sets how many nodes share the slack.
func (b *retryBudgets) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(nodes, 1)
}

// configure sets the ratio of retries to requests and the slack, in retries.
func (b *retryBudgets) configure(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// countRequest counts a request. A new one earns permits; one that belongs to a
// retry is charged to this node's permits, as far as it has any.
func (b *retryBudgets) countRequest(k budgetKey, isRetry bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.refresh(k)
	if isRetry {
		budget.bucket.Charge(1)
		return
	}
	budget.requests++
	budget.bucket.Earn()
}

// takePermit takes a permit for a retry and reports whether it got one. priority
// runs from 0 (highest) to below 1; lower priorities leave permits for higher.
func (b *retryBudgets) takePermit(k budgetKey, priority float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.refresh(k)
	// A full bucket serves every priority.
	if budget.bucket.Permits() < 1+int(priority*float64(budget.burst-1)) {
		return false
	}
	return budget.bucket.Take(1) == 1
}

// refresh returns a budget after updating its decay and bounds; b.mu must be held.
// A new budget starts empty, so that a restarted node does not add slack.
func (b *retryBudgets) refresh(k budgetKey) *retryBudget {
	now := b.clock.Now()
	budget := b.byKey[k]
	if budget == nil {
		budget = &retryBudget{bucket: retry.NewBucket(retry.BucketOptions{}), nonLeaf: k.nonLeaf, updated: now}
		b.byKey[k] = budget
	}
	fraction := leafFraction
	burst := slackFraction * b.slack / float64(b.nodes)
	if budget.nonLeaf {
		fraction, burst = nonLeafFraction, 0
	}
	budget.requests *= max(1-float64(now.Sub(budget.updated))/float64(budgetWindow), 0)
	budget.updated = now
	budget.burst = max(int(burst+savedFraction*b.ratio*budget.requests), 1)
	budget.bucket.Configure(fraction*b.ratio, budget.burst)
	return budget
}
