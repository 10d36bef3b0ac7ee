package board

import (
	"context"
	"sync"
	"sync/atomic"
)

// Workers runs tasks of one kind on a fixed number of goroutines. The queue is
// bounded: a task that does not fit is dropped and counted, so that a flood of
// control messages cannot grow the memory of a node. Workers holds no lock of
// the board while a task runs.
type Workers[T any] struct {
	handle  func(context.Context, T)
	queue   chan T
	count   int
	dropped atomic.Uint64
	done    atomic.Uint64
}

// NewWorkers returns a pool of count goroutines with a queue of the given
// length. They start in Run.
func NewWorkers[T any](count, queue int, handle func(context.Context, T)) *Workers[T] {
	return &Workers[T]{handle: handle, queue: make(chan T, queue), count: count}
}

// Submit queues a task and reports whether there was room for it.
func (w *Workers[T]) Submit(task T) bool {
	select {
	case w.queue <- task:
		return true
	default:
		w.dropped.Add(1)
		return false
	}
}

// Run works on queued tasks until ctx is done and the running ones have
// returned. Tasks that are still queued then are discarded.
func (w *Workers[T]) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range w.count {
		wg.Go(func() { w.work(ctx) })
	}
	wg.Wait()
}

func (w *Workers[T]) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-w.queue:
			w.handle(ctx, task)
			w.done.Add(1)
		}
	}
}

// Queued returns the number of tasks that wait.
func (w *Workers[T]) Queued() int { return len(w.queue) }

// Dropped returns the number of tasks that found the queue full.
func (w *Workers[T]) Dropped() uint64 { return w.dropped.Load() }

// Done returns the number of finished tasks.
func (w *Workers[T]) Done() uint64 { return w.done.Load() }
