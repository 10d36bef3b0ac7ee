package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// rateBurst is the time whose calls may be admitted at once under a rate limit.
const rateBurst = 250 * time.Millisecond

// minDispatchDelay bounds how often queued calls are checked for a free token.
const minDispatchDelay = time.Millisecond

// rateLimit bounds the calls that the gate admits per second. The gate's mutex
// guards it.
type rateLimit struct {
	// bucket is nil while there is no limit.
	bucket *rate.Limiter
	// scheduled reports that a dispatch will run when a token is free.
	scheduled bool
}

// set sets the limit in calls per second; rate.Inf removes it.
func (r *rateLimit) set(limit rate.Limit, now time.Time) {
	if limit == rate.Inf {
		r.bucket = nil
		return
	}
	burst := max(int(float64(limit)*rateBurst.Seconds()), 1)
	if r.bucket == nil {
		r.bucket = rate.NewLimiter(limit, burst)
		return
	}
	r.bucket.SetLimitAt(now, limit)
	r.bucket.SetBurstAt(now, burst)
}

// delay returns how long until a call may be admitted, 0 if it may be now.
func (r *rateLimit) delay(now time.Time) time.Duration {
	if r.bucket == nil {
		return 0
	}
	missing := 1 - r.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(time.Duration(missing/float64(r.bucket.Limit())*float64(time.Second)), minDispatchDelay)
}

// take takes the token of an admitted call.
func (r *rateLimit) take(now time.Time) {
	if r.bucket != nil {
		r.bucket.AllowN(now, 1)
	}
}

// interval returns the mean time between two admissions at the limit.
func (r *rateLimit) interval() time.Duration {
	if r.bucket == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / float64(r.bucket.Limit()))
}

// concurrency returns the calls in flight at the limit if each takes slotTime on
// average (Little's law), at least 1; limit if that is less.
func (r *rateLimit) concurrency(slotTime time.Duration, limit int) int {
	if r.bucket == nil {
		return limit
	}
	calls := math.Ceil(float64(r.bucket.Limit()) * slotTime.Seconds())
	return int(min(max(calls, 1), float64(limit)))
}

// SetRateLimit bounds the calls that the gate admits per second, which must be
// above 0; rate.Inf removes the bound. Queued calls wait for it as for a slot.
func (g *Gate) SetRateLimit(limit rate.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.rate.set(limit, now)
	g.dispatch(now)
}

// scheduleDispatch dispatches queued calls once the rate limit admits one.
func (g *Gate) scheduleDispatch(now time.Time) {
	delay := g.rate.delay(now)
	if delay == 0 || g.rate.scheduled || g.queue.Len() == 0 {
		return
	}
	g.rate.scheduled = true
	g.clock.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.rate.scheduled = false
		g.dispatch(g.clock.Now())
	})
}
