package retry

// maxAttempts is how many attempts a hop makes of one call in both baselines.
const maxAttempts = 3

// Budget is the retry rule of one hop in the baselines "fixed" and "ratio",
// which know nothing of the rest of the graph. It is safe for concurrent use.
type Budget struct {
	// bucket is nil for the fixed rule.
	bucket *Bucket
}

// NewFixedBudget returns the rule of control "fixed": every hop makes up to 3
// attempts.
func NewFixedBudget() *Budget { return &Budget{} }

// NewRatioBudget returns the rule of control "ratio": up to 3 attempts as well,
// but the retries of this hop stay below ratio times its first attempts plus
// burst.
func NewRatioBudget(ratio float64, burst int) *Budget {
	return &Budget{bucket: NewBucket(BucketOptions{Ratio: ratio, Burst: burst})}
}

// First counts a first attempt.
func (b *Budget) First() {
	if b.bucket != nil {
		b.bucket.Earn()
	}
}

// Retry reports whether another attempt may follow the made ones, and charges
// the budget for it.
func (b *Budget) Retry(made int) bool {
	if made >= maxAttempts {
		return false
	}
	return b.bucket == nil || b.bucket.Take(1) == 1
}
