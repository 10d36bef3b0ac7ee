package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"golang.org/x/exp/jsonrpc2"

	"dogwoodhead/board"
	"dogwoodhead/member"
	"dogwoodhead/relay"
)

// ControlClientOptions configures a ControlClient.
type ControlClientOptions struct {
	Clock clockwork.Clock
	// Metrics holds the byte counters.
	Metrics *metrics.Set
	// Dial opens a TCP connection; net.Dialer.DialContext where it is nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Timeout bounds a call, dial included; one second where it is 0.
	Timeout time.Duration
	// Conns and Idle bound the pool of connections; 128 and 30 s where they are 0.
	Conns int
	Idle  time.Duration
}

// ControlClient makes control calls to other nodes. Calls to one node share a
// connection. It is safe for concurrent use.
type ControlClient struct {
	o       ControlClientOptions
	traffic traffic
	pool    *board.Pool[string, *session]
}

// session is an open connection to one node.
type session struct {
	rpc  *jsonrpc2.Connection
	wire *wire
	// gone is done when the connection is closed. The library does not fail the
	// calls in flight then.
	gone context.Context
}

// opened hands a connection that is open already to the library.
type opened struct{ wire *wire }

// Dial implements jsonrpc2.Dialer.
func (o opened) Dial(context.Context) (io.ReadWriteCloser, error) { return o.wire, nil }

// NewControlClient returns a client without connections.
func NewControlClient(o ControlClientOptions) *ControlClient {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Timeout == 0 {
		o.Timeout = controlTimeout
	}
	if o.Conns == 0 {
		o.Conns = controlConns
	}
	if o.Idle == 0 {
		o.Idle = controlIdle
	}
	c := &ControlClient{o: o, traffic: newTraffic(o.Metrics)}
	c.pool = board.NewPool(board.PoolOptions[string, *session]{
		Clock: o.Clock, MaxConns: o.Conns, IdleTimeout: o.Idle, Dial: c.dial,
		Close: func(s *session) { _ = s.wire.Close() },
	})
	return c
}

// Hello introduces this node and returns the peer's state.
func (c *ControlClient) Hello(ctx context.Context, addr string, s member.State) (member.State, error) {
	return call[member.State](ctx, c, addr, methodHello, s)
}

// Beat tells the state of this node and returns the peer's.
func (c *ControlClient) Beat(ctx context.Context, addr string, s member.State) (member.State, error) {
	return call[member.State](ctx, c, addr, methodBeat, s)
}

// Leave says that this node takes no new work.
func (c *ControlClient) Leave(ctx context.Context, addr string, s member.State) error {
	_, err := call[ack](ctx, c, addr, methodLeave, s)
	return err
}

// Push hands a document on.
func (c *ControlClient) Push(ctx context.Context, addr string, r relay.PushRequest) (relay.PushReply, error) {
	return call[relay.PushReply](ctx, c, addr, methodPush, r)
}

// Pull asks for newer documents.
func (c *ControlClient) Pull(ctx context.Context, addr string, r relay.PullRequest) (relay.PullReply, error) {
	return call[relay.PullReply](ctx, c, addr, methodPull, r)
}

// View exchanges what the two nodes know of the platform's store.
func (c *ControlClient) View(ctx context.Context, addr string, r ViewRequest) (Update, error) {
	return call[Update](ctx, c, addr, methodView, r)
}

// Feed sends an update unasked and returns what the peer knows then.
func (c *ControlClient) Feed(ctx context.Context, addr string, f Feed) (ViewRequest, error) {
	return call[ViewRequest](ctx, c, addr, methodFeed, f)
}

// Run closes idle connections until ctx is done, then all of them.
func (c *ControlClient) Run(ctx context.Context) {
	ticker := c.o.Clock.NewTicker(c.o.Idle / 4)
	defer ticker.Stop()
	defer c.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.Sweep()
		}
	}
}

// Sweep closes connections that are idle.
func (c *ControlClient) Sweep() { c.pool.Sweep() }

// Conns returns the number of open connections.
func (c *ControlClient) Conns() int { return c.pool.Len() }

// Close closes all connections; later calls fail.
func (c *ControlClient) Close() { c.pool.Close() }

func (c *ControlClient) dial(ctx context.Context, addr string) (*session, error) {
	conn, err := c.o.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	gone, cancel := context.WithCancel(context.Background())
	s := &session{gone: gone}
	s.wire = &wire{conn: conn, traffic: c.traffic, done: cancel}
	// The context of the dial ends with the call that caused it; the connection
	// lives longer.
	s.rpc, err = jsonrpc2.Dial(context.WithoutCancel(ctx), opened{s.wire}, jsonrpc2.ConnectionOptions{Framer: framer{}})
	if err != nil {
		_ = s.wire.Close()
		return nil, err
	}
	return s, nil
}

// call makes one call. A connection that failed or timed out is closed, so that
// the next call starts with a new one.
func call[A any](ctx context.Context, c *ControlClient, addr, method string, params any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	var a A
	s, err := c.session(ctx, addr)
	if err != nil {
		return a, &ControlError{method: method, addr: addr, cause: err}
	}
	err = s.await(ctx, method, params, &a)
	if err == nil {
		return a, nil
	}
	if ctx.Err() != nil || s.gone.Err() != nil {
		c.pool.Drop(addr, s)
	}
	return a, &ControlError{method: method, addr: addr, cause: err}
}

// session returns an open connection. One that the peer closed while it was
// idle is replaced.
func (c *ControlClient) session(ctx context.Context, addr string) (*session, error) {
	s, err := c.pool.Get(ctx, addr)
	if err != nil || s.gone.Err() == nil {
		return s, err
	}
	c.pool.Drop(addr, s)
	return c.pool.Get(ctx, addr)
}

// await sends the call and waits for its answer, the end of the connection or
// the end of ctx.
func (s *session) await(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(s.gone, func() { cancel(net.ErrClosed) })
	defer stop()
	err := s.rpc.Call(ctx, method, params).Await(ctx, result)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}
