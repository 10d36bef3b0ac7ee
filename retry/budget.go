package retry

// maxBaselineAttempts bounds the attempts of one call at one hop.
const maxBaselineAttempts = 3

// Budget is the retry budget of one hop in the baselines "fixed" and "ratio",
// which bound retries per hop, independent of the rest of the call graph. It is
// safe for concurrent use.
type Budget struct {
	// bucket is nil for control "fixed".
	bucket *Bucket
}

// NewFixedBudget returns the budget of control "fixed": up to 3 attempts per
// call.
func NewFixedBudget() *Budget { return &Budget{} }

// NewRatioBudget returns the budget of control "ratio": up to 3 attempts per
// call, and at most ratio * first attempts + burst retries at this hop.
func NewRatioBudget(ratio float64, burst int) *Budget {
	return &Budget{bucket: NewBucket(BucketOptions{Ratio: ratio, Burst: burst})}
}

// RecordFirstAttempt counts the first attempt of a call.
func (b *Budget) RecordFirstAttempt() {
	if b.bucket != nil {
		b.bucket.Earn()
	}
}

// SpendRetry reports whether a call may be attempted again after the given number
// of attempts, and charges the budget if so.
func (b *Budget) SpendRetry(attempts int) bool {
	if attempts >= maxBaselineAttempts {
		return false
	}
	return b.bucket == nil || b.bucket.Take(1) == 1
}
