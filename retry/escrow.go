package retry

import (
	"sync"

	"dogwoodhead/frame"
)

// Escrow holds the retry permits of one span. Every extra attempt that the span
// makes spends one, every call that it makes borrows some and gives the unused
// ones back. It is safe for concurrent use.
//
// Permits are conserved: created = held + lent + spent + forfeited + returned.
type Escrow struct {
	mu      sync.Mutex
	created int
	held    int
	// lent is the sum over loans that have not ended.
	lent int
	// spent counts the permits spent here and, for loans that were returned,
	// those not given back by the child.
	spent     int
	forfeited int
	// returned is what Close gave back to the span's own lender.
	returned int
	closed   bool
	// lendable is the lending rule; the measurement of other rules replaces it.
	lendable func(held int) int
}

// Totals says where the permits of an escrow are.
type Totals struct {
	// Created is the sum of the other fields.
	Created int
	// Held, Lent, Spent, Forfeited and Returned are counts of permits.
	Held, Lent, Spent, Forfeited, Returned int
}

// NewEscrow returns the escrow of a span that was given tries permits.
func NewEscrow(tries int) *Escrow {
	tries = max(tries, 0)
	return &Escrow{created: tries, held: tries, lendable: keepOne}
}

// Lend takes permits for one attempt of a call that the span makes. A leaf
// calls nothing and is lent none. Any other call is lent all but one of the
// permits held: a deep failure is repaired next to where it happens, where a
// retry repeats the least work, and a lost answer, which forfeits the loan,
// still leaves one permit to call elsewhere from here. The loan ends by exactly
// one of Return and Forfeit.
func (e *Escrow) Lend(leaf bool) *Loan {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &Loan{escrow: e}
	if leaf || e.closed {
		return l
	}
	l.permits = e.lendable(e.held)
	e.held -= l.permits
	e.lent += l.permits
	e.check()
	return l
}

// keepOne is the lending rule in force.
func keepOne(held int) int { return max(held-1, 0) }

// Spend takes one permit for an extra attempt and reports whether there was one.
func (e *Escrow) Spend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.held == 0 {
		return false
	}
	e.held--
	e.spent++
	e.check()
	return true
}

// Held returns the permits that can be spent or lent now.
func (e *Escrow) Held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// Close ends the span and returns the permits to give back to its lender. Loans
// that have not ended are forfeited, because their permits can no longer travel
// up. A second Close returns 0.
func (e *Escrow) Close() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return 0
	}
	e.closed = true
	n := e.held
	e.returned, e.held = n, 0
	e.forfeited += e.lent
	e.lent = 0
	e.check()
	return n
}

// Totals returns where the permits are.
func (e *Escrow) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Totals{
		Created: e.created, Held: e.held, Lent: e.lent,
		Spent: e.spent, Forfeited: e.forfeited, Returned: e.returned,
	}
}

func (e *Escrow) check() {
	sum := e.held + e.lent + e.spent + e.forfeited + e.returned
	frame.AssertInvariant(sum == e.created && min(e.held, e.lent, e.spent, e.forfeited, e.returned) >= 0, "permits",
		"created %d, held %d, lent %d, spent %d, forfeited %d, returned %d",
		e.created, e.held, e.lent, e.spent, e.forfeited, e.returned)
}

// Loan is what one attempt of a child call was lent.
type Loan struct {
	escrow  *Escrow
	permits int
	// ended is guarded by escrow.mu.
	ended bool
}

// Permits returns the number lent, for the call's context.
func (l *Loan) Permits() int { return l.permits }

// Return ends the loan with n unused permits given back. A number that the
// child cannot have is a fault in the child; the whole loan is then forfeited.
func (l *Loan) Return(n int) {
	sane := n >= 0 && n <= l.permits
	frame.AssertInvariant(sane, "loan", "%d permits returned of %d lent", n, l.permits)
	l.end(n, sane)
}

// Forfeit ends the loan where no answer says how many permits are left.
func (l *Loan) Forfeit() { l.end(0, false) }

// end returns n permits and books the rest as spent, or forfeits the loan.
func (l *Loan) end(n int, known bool) {
	e := l.escrow
	e.mu.Lock()
	defer e.mu.Unlock()
	frame.AssertInvariant(!l.ended, "loan", "a loan ended twice")
	if l.ended || e.closed {
		l.ended = true
		return
	}
	l.ended = true
	e.lent -= l.permits
	if known {
		e.held += n
		e.spent += l.permits - n
	} else {
		e.forfeited += l.permits
	}
	e.check()
}
