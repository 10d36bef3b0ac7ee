package source

import (
	"context"
	"sync"
	"time"
)

// Watcher runs each watch in its own goroutine, so that a watch that waits does
// not occupy a worker.
type Watcher struct {
	client *Client
	wg     sync.WaitGroup
	mu     sync.Mutex // keeps Start from adding to wg once Close waits
	ctx    context.Context
	cancel context.CancelFunc
}

// NewWatcher returns a watcher that uses the client.
func NewWatcher(c *Client) *Watcher {
	w := &Watcher{client: c}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Start starts a watch without waiting for it; done is called once with the
// result of Client.Watch. After Close it does nothing.
func (w *Watcher) Start(key string, afterRev uint64, wait time.Duration, done func(Value, error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	w.wg.Go(func() { done(w.client.Watch(w.ctx, key, afterRev, wait)) })
}

// Close cancels all watches and waits until their calls of done have returned.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.wg.Wait()
}
