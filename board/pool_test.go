package board

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// conn is a fake connection.
type conn struct {
	key    int
	closed bool
}

// Guards against opening two connections for one key, exceeding the bound,
// evicting a connection other than the least recently used one, and leaking one
// whose dial ended after Close.
func TestPoolBounds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	dials := 0
	releaseDial := make(chan struct{})
	errDial := errors.New("no route")
	p := NewPool(PoolOptions[int, *conn]{
		Clock: clock, MaxConns: 3, IdleTimeout: time.Minute,
		Dial: func(_ context.Context, key int) (*conn, error) {
			dials++
			if key < 0 {
				return nil, errDial
			}
			if key == 9 {
				<-releaseDial
			}
			return &conn{key: key}, nil
		},
		Close: func(c *conn) { c.closed = true },
	})
	ctx := t.Context()
	_, err := p.Get(ctx, -1)
	require.ErrorIs(t, err, errDial)
	require.Zero(t, p.Len(), "a failed dial leaves nothing behind")
	conns := map[int]*conn{}
	for _, key := range []int{1, 2, 3, 1, 4} {
		clock.Advance(time.Second)
		conns[key], err = p.Get(ctx, key)
		require.NoError(t, err)
	}
	require.Equal(t, 5, dials)
	require.True(t, conns[2].closed, "least recently used")
	require.False(t, conns[1].closed || conns[3].closed || conns[4].closed)
	require.Equal(t, 3, p.Len())
	p.Drop(1, &conn{})
	require.Equal(t, 3, p.Len(), "another connection of the key stays")
	p.Drop(1, conns[1])
	require.True(t, conns[1].closed)
	clock.Advance(time.Minute - time.Second)
	p.Sweep()
	require.True(t, conns[3].closed)
	require.False(t, conns[4].closed)
	done := make(chan error, 2)
	go func() { _, err := p.Get(ctx, 9); done <- err }()
	require.Eventually(t, func() bool { return p.Len() == 2 }, 5*time.Second, time.Millisecond)
	go func() { _, err := p.Get(ctx, 9); done <- err }()
	p.Close()
	require.True(t, conns[4].closed)
	close(releaseDial)
	require.Error(t, <-done)
	require.Error(t, <-done)
	_, err = p.Get(ctx, 5)
	require.Error(t, err)
	require.Zero(t, p.Len())
}

// Guards against an unbounded queue, and against leaking workers after Run.
func TestWorkersBounds(t *testing.T) {
	defer goleak.VerifyNone(t)
	releaseTasks := make(chan struct{})
	started := make(chan int, 8)
	w := NewWorkers(2, 3, func(_ context.Context, task int) {
		started <- task
		<-releaseTasks
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	for task := range 2 {
		require.True(t, w.Submit(task))
	}
	<-started
	<-started
	for task := range 3 {
		require.True(t, w.Submit(task), fmt.Sprint(task))
	}
	require.False(t, w.Submit(9))
	require.Equal(t, 3, w.Queued())
	require.Equal(t, uint64(1), w.Dropped())
	close(releaseTasks)
	require.Eventually(t, func() bool { return w.Completed() == 5 }, 5*time.Second, time.Millisecond)
	cancel()
	wg.Wait()
}
