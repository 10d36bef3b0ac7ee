package retry

import (
	"math"
	"sync"
)

// unitsPerPermit is the resolution of the balance. Integer arithmetic keeps
// repeated additions of a fraction from drifting.
const unitsPerPermit = 1_000_000

// maxDebt bounds how far the balance falls below zero, in permits, so that the
// bucket issues permits again soon after the retries have stopped.
const maxDebt = 50

// BucketOptions configures a Bucket.
type BucketOptions struct {
	// Ratio is the number of permits earned per root request, 0 to 1.
	Ratio float64
	// Burst is the maximum number of permits in the bucket.
	Burst int
	// Start is the initial number of permits, capped at Burst. A restarted node
	// starts low, so that restarts do not create permits.
	Start int
}

// Bucket is the ingress node's token bucket of retry permits. Permits are
// reserved before the root request starts and unused ones are returned, so the
// permits spent never exceed Burst + Ratio * root requests. It is safe for
// concurrent use.
type Bucket struct {
	mu sync.Mutex
	// All three are in units; balance is between -maxDebt permits and burst.
	balance        int64
	earnPerRequest int64
	burst          int64
}

// NewBucket returns a bucket with the given options.
func NewBucket(opts BucketOptions) *Bucket {
	b := &Bucket{}
	b.Configure(opts.Ratio, opts.Burst)
	b.balance = min(int64(max(opts.Start, 0))*unitsPerPermit, b.burst)
	return b
}

// Configure changes ratio and burst. Permits above the new burst are dropped.
func (b *Bucket) Configure(ratio float64, burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earnPerRequest = int64(math.Floor(min(max(ratio, 0), 1) * unitsPerPermit))
	b.burst = int64(max(burst, 0)) * unitsPerPermit
	b.balance = min(b.balance, b.burst)
}

// Earn adds the permits of one root request. It is not called for a caller's
// retry (see CallerRequests), which would let aggressive callers earn permits.
func (b *Bucket) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.earnPerRequest, b.burst)
}

// Take reserves up to n whole permits and returns the number reserved.
func (b *Bucket) Take(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := max(min(int64(max(n, 0)), b.balance/unitsPerPermit), 0)
	b.balance -= got * unitsPerPermit
	return int(got)
}

// Charge deducts n permits that were spent without Take. The balance may fall
// below zero; Take then returns 0 until enough permits are earned.
func (b *Bucket) Charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = max(b.balance-int64(max(n, 0))*unitsPerPermit, -maxDebt*unitsPerPermit)
}

// Return puts back n permits that were reserved with Take and not spent.
func (b *Bucket) Return(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+int64(max(n, 0))*unitsPerPermit, b.burst)
}

// Permits returns the balance in whole permits, which is negative in debt.
func (b *Bucket) Permits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.balance / unitsPerPermit)
}
