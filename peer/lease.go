package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// MemoryLease is the memory that one call has reserved for its bodies from the
// node's budget. All of it is released when the call ends.
type MemoryLease struct {
	budget *semaphore.Weighted
	// controller sets the read deadline of the connection; nil for the node's own
	// calls.
	controller *http.ResponseController
	mu         sync.Mutex
	// reserved is in bytes; never negative, zero after release.
	reserved int64
}

// bodyReadTimeout bounds the reading of a request body, so that a sender that
// stops half-way does not keep memory reserved. The deadline is cleared when the
// body is read; if it expired later, it would cancel the call.
const bodyReadTimeout = 15 * time.Second

type leaseContextKey struct{}

// WithMemoryLease wraps a handler: each request gets a lease on the budget, which
// is released when the handler returns.
func WithMemoryLease(budget *semaphore.Weighted, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l := &MemoryLease{budget: budget, controller: http.NewResponseController(w)}
		defer l.release()
		_ = l.controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), leaseContextKey{}, l)))
	})
}

// leaseFromContext returns the lease of the call, or an unlimited one if the
// context has none (the node's own calls).
func leaseFromContext(ctx context.Context) *MemoryLease {
	if l, ok := ctx.Value(leaseContextKey{}).(*MemoryLease); ok {
		return l
	}
	return &MemoryLease{}
}

// acquire reserves n bytes. It waits for them until ctx is done.
func (l *MemoryLease) acquire(ctx context.Context, n int64) error {
	if l.budget == nil {
		return nil
	}
	if err := l.budget.Acquire(ctx, n); err != nil {
		return err
	}
	l.add(n)
	return nil
}

// tryAcquire reserves n bytes if they are available, and reports whether it did.
func (l *MemoryLease) tryAcquire(n int64) bool {
	if l.budget == nil {
		return true
	}
	if !l.budget.TryAcquire(n) {
		return false
	}
	l.add(n)
	return true
}

// clearReadDeadline ends bodyReadTimeout.
func (l *MemoryLease) clearReadDeadline() {
	if l.controller != nil {
		_ = l.controller.SetReadDeadline(time.Time{})
	}
}

func (l *MemoryLease) add(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved += n
}

func (l *MemoryLease) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.budget != nil && l.reserved > 0 {
		l.budget.Release(l.reserved)
	}
	l.reserved = 0
}
