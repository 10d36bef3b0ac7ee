package board

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PoolOptions configures a Pool.
type PoolOptions[K comparable, C comparable] struct {
	// Clock gives the time of the last use.
	Clock clockwork.Clock
	// Max is the largest number of open connections; the one that was unused
	// for longest is closed to make room.
	Max int
	// Idle is how long an unused connection stays open.
	Idle time.Duration
	// Dial opens a connection. It runs without the pool's lock.
	Dial func(ctx context.Context, key K) (C, error)
	// Close closes a connection. It runs without the pool's lock.
	Close func(C)
}

// Pool keeps at most one open connection per key and a bounded number in all.
// Connections are shared: several callers may use one at the same time.
type Pool[K comparable, C comparable] struct {
	o      PoolOptions[K, C]
	mu     sync.Mutex
	closed bool
	conns  map[K]*pooled[C]
}

type pooled[C comparable] struct {
	// ready is closed when conn or err is set.
	ready chan struct{}
	conn  C
	err   error
	used  time.Time
}

// NewPool returns an empty pool.
func NewPool[K comparable, C comparable](o PoolOptions[K, C]) *Pool[K, C] {
	return &Pool[K, C]{o: o, conns: make(map[K]*pooled[C])}
}

// Get returns the connection of a key and opens it if there is none. Callers
// that ask for the same key share one dial; it is bound by the context of the
// first of them.
func (p *Pool[K, C]) Get(ctx context.Context, key K) (C, error) {
	var none C
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return none, context.Canceled
	}
	e, ok := p.conns[key]
	if ok {
		e.used = p.o.Clock.Now()
		p.mu.Unlock()
		select {
		case <-e.ready:
			return e.conn, e.err
		case <-ctx.Done():
			return none, ctx.Err()
		}
	}
	e = &pooled[C]{ready: make(chan struct{}), used: p.o.Clock.Now()}
	victim, evict := p.evictLocked()
	p.conns[key] = e
	p.mu.Unlock()
	if evict {
		p.o.Close(victim)
	}
	return p.open(ctx, key, e)
}

func (p *Pool[K, C]) open(ctx context.Context, key K, e *pooled[C]) (C, error) {
	var none C
	conn, err := p.o.Dial(ctx, key)
	p.mu.Lock()
	late := p.closed && err == nil
	if late {
		err = context.Canceled
	}
	if err != nil && p.conns[key] == e {
		delete(p.conns, key)
	}
	if err == nil {
		e.conn = conn
	}
	e.err = err
	close(e.ready)
	p.mu.Unlock()
	if late {
		p.o.Close(conn)
	}
	if err != nil {
		return none, err
	}
	return conn, nil
}

// Drop closes a connection that failed. A newer connection of the key stays.
func (p *Pool[K, C]) Drop(key K, conn C) {
	p.mu.Lock()
	if e, ok := p.conns[key]; ok && e.opened() && e.conn == conn {
		delete(p.conns, key)
	}
	p.mu.Unlock()
	p.o.Close(conn)
}

// Sweep closes the connections that were not used for the idle time.
func (p *Pool[K, C]) Sweep() {
	now := p.o.Clock.Now()
	p.take(func(e *pooled[C]) bool { return now.Sub(e.used) >= p.o.Idle })
}

// Close closes all connections; Get fails from now on.
func (p *Pool[K, C]) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.take(func(*pooled[C]) bool { return true })
}

// Len returns the number of open connections, including those being opened.
func (p *Pool[K, C]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// take removes and closes the opened connections that match.
func (p *Pool[K, C]) take(match func(*pooled[C]) bool) {
	var out []C
	p.mu.Lock()
	for k, e := range p.conns {
		if e.opened() && match(e) {
			out = append(out, e.conn)
			delete(p.conns, k)
		}
	}
	p.mu.Unlock()
	for _, c := range out {
		p.o.Close(c)
	}
}

// evictLocked removes the opened connection that was unused for longest, if
// the pool is full.
func (p *Pool[K, C]) evictLocked() (C, bool) {
	var none C
	if len(p.conns) < p.o.Max {
		return none, false
	}
	var key K
	var oldest *pooled[C]
	for k, e := range p.conns {
		if e.opened() && (oldest == nil || e.used.Before(oldest.used)) {
			key, oldest = k, e
		}
	}
	if oldest == nil {
		return none, false
	}
	delete(p.conns, key)
	return oldest.conn, true
}

// opened reports whether the dial succeeded.
func (e *pooled[C]) opened() bool {
	select {
	case <-e.ready:
		return e.err == nil
	default:
		return false
	}
}
