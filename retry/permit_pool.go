package retry

import (
	"sync"

	"dogwoodhead/frame"
)

// PermitPool holds the retry permits of one span. Every extra attempt of the
// span spends one; every child call is granted some and returns the unused ones.
// It is safe for concurrent use.
//
// Invariant: initial = available + granted + spent + forfeited + returned.
type PermitPool struct {
	mu        sync.Mutex
	initial   int
	available int
	// granted is the sum over grants that have not ended.
	granted int
	// spent counts the extra attempts of the span plus, for each grant ended by
	// Return, the permits that were not returned.
	spent int
	// forfeited counts the permits of grants that ended in any other way.
	forfeited int
	// returned is the result of Close.
	returned int
	closed   bool
	// grantRule is grantAllButOne; a test that compares rules replaces it.
	grantRule func(available int) int
}

// PermitCounts counts the permits of a pool by state.
type PermitCounts struct {
	// Initial is the sum of the other fields.
	Initial int
	// The others count the permits in each state, as in PermitPool.
	Available, Granted, Spent, Forfeited, Returned int
}

// NewPermitPool returns the pool of a span that was granted the given permits.
func NewPermitPool(permits int) *PermitPool {
	permits = max(permits, 0)
	return &PermitPool{initial: permits, available: permits, grantRule: grantAllButOne}
}

// Grant takes permits out of the pool for one attempt of a child call. A leaf
// makes no calls and is granted none. Any other call is granted all available
// permits but one: a failure is retried next to where it happens, which repeats
// the least work, and after a lost response, which forfeits the grant, one permit
// is left to call another server. The grant must be ended by exactly one call of
// Return or Forfeit.
func (p *PermitPool) Grant(leaf bool) *PermitGrant {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := &PermitGrant{pool: p}
	if leaf || p.closed {
		return g
	}
	g.permits = p.grantRule(p.available)
	p.available -= g.permits
	p.granted += g.permits
	p.assertConserved()
	return g
}

// grantAllButOne keeps one permit for an extra attempt of the span itself.
func grantAllButOne(available int) int { return max(available-1, 0) }

// Spend uses one permit for an extra attempt and reports whether there was one.
func (p *PermitPool) Spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.available == 0 {
		return false
	}
	p.available--
	p.spent++
	p.assertConserved()
	return true
}

// Available returns the number of permits that can be spent or granted.
func (p *PermitPool) Available() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.available
}

// Close closes the pool and returns the number of unused permits, which go back
// to the parent. Grants that have not ended are forfeited, because their permits
// can no longer be returned upstream. A second Close returns 0.
func (p *PermitPool) Close() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0
	}
	p.closed = true
	unused := p.available
	p.returned, p.available = unused, 0
	p.forfeited += p.granted
	p.granted = 0
	p.assertConserved()
	return unused
}

// Counts returns the permits by state.
func (p *PermitPool) Counts() PermitCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PermitCounts{
		Initial: p.initial, Available: p.available, Granted: p.granted,
		Spent: p.spent, Forfeited: p.forfeited, Returned: p.returned,
	}
}

func (p *PermitPool) assertConserved() {
	sum := p.available + p.granted + p.spent + p.forfeited + p.returned
	frame.AssertInvariant(sum == p.initial && min(p.available, p.granted, p.spent, p.forfeited, p.returned) >= 0, "permits",
		"initial %d, available %d, granted %d, spent %d, forfeited %d, returned %d",
		p.initial, p.available, p.granted, p.spent, p.forfeited, p.returned)
}

// PermitGrant holds the permits granted to one attempt of a child call.
type PermitGrant struct {
	pool    *PermitPool
	permits int
	// ended is guarded by pool.mu.
	ended bool
}

// Permits returns the number of granted permits. It is sent in the call's context.
func (g *PermitGrant) Permits() int { return g.permits }

// Return ends the grant and returns unused permits to the pool. A number outside
// 0 to Permits is a fault of the child; the whole grant is then forfeited.
func (g *PermitGrant) Return(unused int) {
	valid := unused >= 0 && unused <= g.permits
	frame.AssertInvariant(valid, "loan", "%d permits returned of %d granted", unused, g.permits)
	g.finish(unused, valid)
}

// Forfeit ends the grant when no response reports the number of unused permits.
func (g *PermitGrant) Forfeit() { g.finish(0, false) }

// finish returns unused permits and counts the rest as spent, or forfeits all.
func (g *PermitGrant) finish(unused int, known bool) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	frame.AssertInvariant(!g.ended, "loan", "a grant ended twice")
	if g.ended || p.closed {
		g.ended = true
		return
	}
	g.ended = true
	p.granted -= g.permits
	if known {
		p.available += unused
		p.spent += g.permits - unused
	} else {
		p.forfeited += g.permits
	}
	p.assertConserved()
}
