package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Lease is the part of the node's memory budget that one call holds for its
// bodies. It is given back as a whole when the call ends.
type Lease struct {
	budget *semaphore.Weighted
	// reader sets the read deadline of the connection; nil for calls that the
	// node makes for itself.
	reader *http.ResponseController
	mu     sync.Mutex
	// held is in bytes; never negative, zero after release.
	held int64
}

// bodyTimeout bounds the reading of a request, so that a sender that stops
// half-way does not hold memory. It ends when the body is read, because a
// deadline that passes later would cancel the call.
const bodyTimeout = 15 * time.Second

type leaseKey struct{}

// Leased wraps a handler: each request gets a lease on the budget, which is
// given back when the handler returns.
func Leased(budget *semaphore.Weighted, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l := &Lease{budget: budget, reader: http.NewResponseController(w)}
		defer l.release()
		_ = l.reader.SetReadDeadline(time.Now().Add(bodyTimeout))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), leaseKey{}, l)))
	})
}

// leaseOf returns the lease of the call, or an unbounded one where the context
// has none (calls that the node makes for itself).
func leaseOf(ctx context.Context) *Lease {
	if l, ok := ctx.Value(leaseKey{}).(*Lease); ok {
		return l
	}
	return &Lease{}
}

// wait takes n bytes and waits for them until ctx is done.
func (l *Lease) wait(ctx context.Context, n int64) error {
	if l.budget == nil {
		return nil
	}
	if err := l.budget.Acquire(ctx, n); err != nil {
		return err
	}
	l.add(n)
	return nil
}

// try takes n bytes if they are free.
func (l *Lease) try(n int64) bool {
	if l.budget == nil {
		return true
	}
	if !l.budget.TryAcquire(n) {
		return false
	}
	l.add(n)
	return true
}

// read ends the time limit on the request body.
func (l *Lease) read() {
	if l.reader != nil {
		_ = l.reader.SetReadDeadline(time.Time{})
	}
}

func (l *Lease) add(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held += n
}

func (l *Lease) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.budget != nil && l.held > 0 {
		l.budget.Release(l.held)
	}
	l.held = 0
}
