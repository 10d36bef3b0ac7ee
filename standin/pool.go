package standin

import (
	"container/list"
	"context"
	"sync"
)

// pool is a first-in-first-out semaphore whose size can change while in use.
type pool struct {
	mu      sync.Mutex
	size    int
	used    int
	waiters list.List // of chan struct{}; closed when a slot is handed over
}

func newPool(size int) *pool { return &pool{size: size} }

// acquire takes a slot, waiting in order of arrival.
func (p *pool) acquire(ctx context.Context) error {
	p.mu.Lock()
	if p.used < p.size && p.waiters.Len() == 0 {
		p.used++
		p.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	e := p.waiters.PushBack(ready)
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-ready: // handed over at the same moment: pass it on
		p.used--
		p.wake()
	default:
		p.waiters.Remove(e)
	}
	return ctx.Err()
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.wake()
}

// resize changes the number of slots. Slots in use beyond the new size are
// given up as their holders finish.
func (p *pool) resize(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size = size
	p.wake()
}

// wake hands free slots to the longest waiting; the caller holds the lock.
func (p *pool) wake() {
	for p.used < p.size && p.waiters.Len() > 0 {
		e := p.waiters.Front()
		p.waiters.Remove(e)
		p.used++
		close(e.Value.(chan struct{}))
	}
}

// inflight returns the slots in use and the waiting requests together.
func (p *pool) inflight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used + p.waiters.Len()
}
