package board

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PoolOptions configures a Pool.
type PoolOptions[K comparable, C comparable] struct {
	// Clock is the source of time.
	Clock clockwork.Clock
	// MaxConns is the maximum number of open connections. When it is reached, the
	// least recently used one is closed before another is opened.
	MaxConns int
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// Dial opens a connection. It runs without the pool's lock.
	Dial func(ctx context.Context, key K) (C, error)
	// Close closes a connection. It runs without the pool's lock.
	Close func(C)
}

// Pool keeps at most one open connection per key and a bounded number in total.
// Connections are shared: several goroutines may use one at the same time.
type Pool[K comparable, C comparable] struct {
	opts   PoolOptions[K, C]
	mu     sync.Mutex
	closed bool
	conns  map[K]*pooledConn[C]
}

type pooledConn[C comparable] struct {
	// ready is closed when conn or err is set.
	ready    chan struct{}
	conn     C
	err      error
	lastUsed time.Time
}

// NewPool returns an empty pool.
func NewPool[K comparable, C comparable](opts PoolOptions[K, C]) *Pool[K, C] {
	return &Pool[K, C]{opts: opts, conns: make(map[K]*pooledConn[C])}
}

// Get returns the connection of a key and opens it if there is none. Concurrent
// calls for the same key share one dial, which uses the context of the first
// call. After Close the error is context.Canceled.
func (p *Pool[K, C]) Get(ctx context.Context, key K) (C, error) {
	var zero C
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return zero, context.Canceled
	}
	pooled, ok := p.conns[key]
	if ok {
		pooled.lastUsed = p.opts.Clock.Now()
		p.mu.Unlock()
		select {
		case <-pooled.ready:
			return pooled.conn, pooled.err
		case <-ctx.Done():
			return zero, ctx.Err()
		}
	}
	pooled = &pooledConn[C]{ready: make(chan struct{}), lastUsed: p.opts.Clock.Now()}
	evicted, evict := p.evictLocked()
	p.conns[key] = pooled
	p.mu.Unlock()
	if evict {
		p.opts.Close(evicted)
	}
	return p.dial(ctx, key, pooled)
}

func (p *Pool[K, C]) dial(ctx context.Context, key K, pooled *pooledConn[C]) (C, error) {
	var zero C
	conn, err := p.opts.Dial(ctx, key)
	p.mu.Lock()
	closedMeanwhile := p.closed && err == nil
	if closedMeanwhile {
		err = context.Canceled
	}
	if err != nil && p.conns[key] == pooled {
		delete(p.conns, key)
	}
	if err == nil {
		pooled.conn = conn
	}
	pooled.err = err
	close(pooled.ready)
	p.mu.Unlock()
	if closedMeanwhile {
		p.opts.Close(conn)
	}
	if err != nil {
		return zero, err
	}
	return conn, nil
}

// Drop closes a failed connection. A newer connection of the key stays open.
func (p *Pool[K, C]) Drop(key K, conn C) {
	p.mu.Lock()
	if e, ok := p.conns[key]; ok && e.opened() && e.conn == conn {
		delete(p.conns, key)
	}
	p.mu.Unlock()
	p.opts.Close(conn)
}

// Sweep closes the connections that were unused for IdleTimeout.
func (p *Pool[K, C]) Sweep() {
	now := p.opts.Clock.Now()
	p.closeMatching(func(e *pooledConn[C]) bool { return now.Sub(e.lastUsed) >= p.opts.IdleTimeout })
}

// Close closes all connections; later calls of Get fail.
func (p *Pool[K, C]) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeMatching(func(*pooledConn[C]) bool { return true })
}

// Len returns the number of open connections, including those being opened.
func (p *Pool[K, C]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// closeMatching removes and closes the opened connections that match.
func (p *Pool[K, C]) closeMatching(match func(*pooledConn[C]) bool) {
	var removed []C
	p.mu.Lock()
	for k, e := range p.conns {
		if e.opened() && match(e) {
			removed = append(removed, e.conn)
			delete(p.conns, k)
		}
	}
	p.mu.Unlock()
	for _, c := range removed {
		p.opts.Close(c)
	}
}

// evictLocked removes the least recently used opened connection, if the pool is
// full. The caller closes it after unlocking mu, which it holds.
func (p *Pool[K, C]) evictLocked() (C, bool) {
	var zero C
	if len(p.conns) < p.opts.MaxConns {
		return zero, false
	}
	var key K
	var oldest *pooledConn[C]
	for k, e := range p.conns {
		if e.opened() && (oldest == nil || e.lastUsed.Before(oldest.lastUsed)) {
			key, oldest = k, e
		}
	}
	if oldest == nil {
		return zero, false
	}
	delete(p.conns, key)
	return oldest.conn, true
}

// opened reports whether the dial succeeded.
func (e *pooledConn[C]) opened() bool {
	select {
	case <-e.ready:
		return e.err == nil
	default:
		return false
	}
}
