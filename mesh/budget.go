package mesh

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/retry"
)

const (
	// deepPart and leafPart are the parts of the allowed ratio that repeats may
	// use. One repeat of a request whose run makes requests of its own is repeated
	// work for every service further down, so few are allowed.
	deepPart = 0.2
	leafPart = 0.65
	// slackPart is the part of the allowed slack that all nodes together hold.
	slackPart = 0.5
	// savedPart is the part of the requests of the last budgetWindow that unspent
	// permits may reach, as a part of the allowed ratio.
	savedPart = 0.1
	// budgetWindow is how far back requests count for savedPart.
	budgetWindow = 10 * time.Second
)

// budgets hold this node's share of the repeats that each service may get. The
// nodes agree on nothing: each spends at most its own part of the ratio and of
// the slack, so the sum keeps the bound.
type budgets struct {
	clock clockwork.Clock

	mu           sync.Mutex
	ratio, slack float64
	nodes        int
	rows         map[budgetKey]*budget
}

// budgetKey names a budget: that of a service's requests that make requests of
// their own, or that of the others.
type budgetKey struct {
	service string
	deep    bool
}

// budget is one bucket of permits and the requests that earned them.
type budget struct {
	bucket *retry.Bucket
	deep   bool
	// requests fades with budgetWindow.
	requests float64
	at       time.Time
	burst    int
}

func newBudgets(ratio, slack float64, clock clockwork.Clock) *budgets {
	return &budgets{clock: clock, ratio: ratio, slack: slack, nodes: 1, rows: make(map[budgetKey]*budget)}
}

// resize tells how many nodes share the slack.
func (b *budgets) resize(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(nodes, 1)
}

// configure changes the bounds.
func (b *budgets) configure(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// request counts a request for a service. Repeated work pays with the permits
// of this node, where it has any.
func (b *budgets) request(k budgetKey, repeat bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(k)
	if repeat {
		row.bucket.Charge(1)
		return
	}
	row.requests++
	row.bucket.Earn()
}

// take asks for a permit to send a request once more. urgency is 0 for the most
// important request and below 1: the others leave permits for it.
func (b *budgets) take(k budgetKey, urgency float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(k)
	// With a full bucket every request gets a permit.
	if row.bucket.Permits() < 1+int(urgency*float64(row.burst-1)) {
		return false
	}
	return row.bucket.Take(1) == 1
}

// row returns a budget with its current bounds. It starts empty, because a
// restarted node must not bring fresh slack.
func (b *budgets) row(k budgetKey) *budget {
	now := b.clock.Now()
	row := b.rows[k]
	if row == nil {
		row = &budget{bucket: retry.NewBucket(retry.BucketOptions{}), deep: k.deep, at: now}
		b.rows[k] = row
	}
	part := leafPart
	burst := slackPart * b.slack / float64(b.nodes)
	if row.deep {
		part, burst = deepPart, 0
	}
	row.requests *= max(1-float64(now.Sub(row.at))/float64(budgetWindow), 0)
	row.at = now
	row.burst = max(int(burst+savedPart*b.ratio*row.requests), 1)
	row.bucket.Configure(part*b.ratio, row.burst)
	return row
}
