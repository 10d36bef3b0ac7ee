package standin

import (
	"container/list"
	"context"
	"sync"
)

// slotPool is a FIFO semaphore whose size can change while in use.
type slotPool struct {
	mu      sync.Mutex
	size    int
	used    int
	waiters list.List // of chan struct{}; closed when a slot is granted
}

func newSlotPool(size int) *slotPool { return &slotPool{size: size} }

// acquire takes a slot, waiting in order of arrival until ctx is done.
func (p *slotPool) acquire(ctx context.Context) error {
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
	case <-ready: // granted concurrently: give it to the next waiter
		p.used--
		p.grantFreeSlots()
	default:
		p.waiters.Remove(e)
	}
	return ctx.Err()
}

func (p *slotPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.grantFreeSlots()
}

// resize changes the number of slots. Slots in use beyond the new size are
// removed as they are released.
func (p *slotPool) resize(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size = size
	p.grantFreeSlots()
}

// grantFreeSlots serves the longest waiters first; the caller holds the lock.
func (p *slotPool) grantFreeSlots() {
	for p.used < p.size && p.waiters.Len() > 0 {
		e := p.waiters.Front()
		p.waiters.Remove(e)
		p.used++
		close(e.Value.(chan struct{}))
	}
}

// inflight returns the number of slots in use plus waiting requests.
func (p *slotPool) inflight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used + p.waiters.Len()
}
