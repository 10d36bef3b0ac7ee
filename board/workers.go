package board

import (
	"context"
	"sync"
	"sync/atomic"
)

// Workers runs tasks of one kind on a fixed number of goroutines. The queue is
// bounded: tasks beyond it are dropped and counted, so that a flood of control
// messages cannot exhaust the memory of a node. No lock of the board is
// held while a task runs.
type Workers[T any] struct {
	handle    func(context.Context, T)
	queue     chan T
	count     int
	dropped   atomic.Uint64
	completed atomic.Uint64
}

// NewWorkers returns a pool of count goroutines with a queue of the given
// length. They start in Run.
func NewWorkers[T any](count, queue int, handle func(context.Context, T)) *Workers[T] {
	return &Workers[T]{handle: handle, queue: make(chan T, queue), count: count}
}

// Submit queues a task. It returns false if the queue is full.
func (w *Workers[T]) Submit(task T) bool {
	select {
	case w.queue <- task:
		return true
	default:
		w.dropped.Add(1)
		return false
	}
}

// Run runs queued tasks until ctx is done, and returns once the running ones have
// finished. Tasks that are still queued then are discarded.
func (w *Workers[T]) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range w.count {
		wg.Go(func() { w.runQueued(ctx) })
	}
	wg.Wait()
}

func (w *Workers[T]) runQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-w.queue:
			w.handle(ctx, task)
			w.completed.Add(1)
		}
	}
}

// Queued returns the number of queued tasks.
func (w *Workers[T]) Queued() int { return len(w.queue) }

// Dropped returns the number of tasks dropped because the queue was full.
func (w *Workers[T]) Dropped() uint64 { return w.dropped.Load() }

// Completed returns the number of completed tasks.
func (w *Workers[T]) Completed() uint64 { return w.completed.Load() }
