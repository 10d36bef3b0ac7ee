package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// drainPollInterval is how often a draining server checks for open requests.
const drainPollInterval = 20 * time.Millisecond

// Run listens on the addresses of the settings until ctx is done. It then
// reports that it is draining, finishes open requests and returns.
func (b *Backend) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", b.settings.ListenAddr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	return b.Serve(ctx, l)
}

// Serve is like Run with the given listener for requests.
func (b *Backend) Serve(ctx context.Context, l net.Listener) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, b.Drain)
	go func() {
		<-ctx.Done()
		b.waitDrained()
		stop()
	}()
	var g errgroup.Group
	g.Go(func() error { return Serve(serveCtx, limitConnections(l, b.settings.Connections), b.Handler()) })
	if b.settings.ControlAddr != "" {
		controlListener, err := net.Listen("tcp", b.settings.ControlAddr)
		if err != nil {
			return eris.Wrap(err, "listen for control")
		}
		g.Go(func() error { return Serve(serveCtx, controlListener, b.ControlHandler()) })
	}
	return g.Wait()
}

// waitDrained waits until DrainDelay has passed, so that the node can detect the
// drain, and no request is open. It waits at most about shutdownTimeout.
func (b *Backend) waitDrained() {
	drainStart := b.clock.Now()
	for {
		<-b.clock.After(drainPollInterval)
		elapsed := b.clock.Since(drainStart)
		if elapsed > shutdownTimeout || elapsed >= b.settings.DrainDelay.D() && b.slots.inflight() == 0 {
			return
		}
	}
}

// limitConnections closes connections beyond the limit as soon as they are
// accepted; 0 means no limit.
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

// Accept returns the next connection within the limit.
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
			_ = c.Close() // beyond the limit
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection, which no longer counts toward the limit.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
