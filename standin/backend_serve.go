package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// drainPoll is how often a stopping backend server looks for open requests.
const drainPoll = 20 * time.Millisecond

// Run listens on the addresses of the settings until ctx ends. It then reports
// that it is draining, finishes what it has and returns.
func (b *Backend) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", b.set.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	return b.Serve(ctx, l)
}

// Serve is Run on a listener of the caller.
func (b *Backend) Serve(ctx context.Context, l net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, b.Drain)
	go func() {
		<-ctx.Done()
		b.waitIdle()
		stop()
	}()
	var g errgroup.Group
	g.Go(func() error { return Serve(serving, limitConnections(l, b.set.Connections), b.Handler()) })
	if b.set.Control != "" {
		c, err := net.Listen("tcp", b.set.Control)
		if err != nil {
			return eris.Wrap(err, "listen for control")
		}
		g.Go(func() error { return Serve(serving, c, b.ControlHandler()) })
	}
	return g.Wait()
}

// waitIdle gives the node time to notice the drain and the open requests time
// to finish.
func (b *Backend) waitIdle() {
	from := b.clock.Now()
	for {
		<-b.clock.After(drainPoll)
		passed := b.clock.Since(from)
		if passed > shutdownLimit || passed >= b.set.Linger.D() && b.slots.inflight() == 0 {
			return
		}
	}
}

// limitConnections closes connections beyond max as soon as they are accepted;
// 0 sets no bound.
func limitConnections(l net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitedListener{Listener: l, open: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	// open holds one element per open connection.
	open chan struct{}
}

// Accept returns the next connection within the bound.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			_ = c.Close() // beyond the bound: refused
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close frees the connection's place.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
