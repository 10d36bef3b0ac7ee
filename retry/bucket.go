package retry

import (
	"math"
	"sync"
)

// unit is one permit in the bucket's integer arithmetic, so that earning a
// fraction many times does not drift.
const unit = 1_000_000

// maxDebt bounds, in permits, how far the content falls below zero, so that a
// bucket gives permits again soon after repeated work has ended.
const maxDebt = 50

// BucketOptions configures a Bucket.
type BucketOptions struct {
	// Ratio is the number of permits earned per root call, 0 to 1.
	Ratio float64
	// Burst is the most permits that the bucket holds.
	Burst int
	// Start is the number of permits at start, at most Burst. A restarted node
	// starts low, so that restarts do not create permits.
	Start int
}

// Bucket is the entry node's token bucket of retry permits. Permits are
// reserved before the root call starts and unused ones are returned, so the
// permits spent never exceed Burst + Ratio * root calls. It is safe for
// concurrent use.
type Bucket struct {
	mu sync.Mutex
	// level is the content in units, -maxDebt to burst.
	level int64
	earn  int64
	burst int64
}

// NewBucket returns a bucket.
func NewBucket(o BucketOptions) *Bucket {
	b := &Bucket{}
	b.Configure(o.Ratio, o.Burst)
	b.level = min(int64(max(o.Start, 0))*unit, b.burst)
	return b
}

// Configure changes ratio and burst. Permits above a smaller burst are dropped.
func (b *Bucket) Configure(ratio float64, burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn = int64(math.Floor(min(max(ratio, 0), 1) * unit))
	b.burst = int64(max(burst, 0)) * unit
	b.level = min(b.level, b.burst)
}

// Earn counts one root call. A root call that repeats another (see Callers)
// earns nothing, otherwise aggressive callers would pay for more retries.
func (b *Bucket) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.earn, b.burst)
}

// Take reserves up to n whole permits and returns how many.
func (b *Bucket) Take(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := max(min(int64(max(n, 0)), b.level/unit), 0)
	b.level -= got * unit
	return int(got)
}

// Charge takes n permits that were spent without asking. The content may fall
// below zero; Take then gives nothing until it is earned back.
func (b *Bucket) Charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = max(b.level-int64(max(n, 0))*unit, -maxDebt*unit)
}

// Return puts back n permits that were taken and not used.
func (b *Bucket) Return(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+int64(max(n, 0))*unit, b.burst)
}

// Permits returns how many whole permits the bucket holds.
func (b *Bucket) Permits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.level / unit)
}
