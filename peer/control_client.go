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
	// Dial opens a TCP connection; net.Dialer.DialContext if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Timeout bounds a call, dial included; one second if 0.
	Timeout time.Duration
	// MaxConns and IdleTimeout bound the pool of connections; 128 and 30 s if 0.
	MaxConns    int
	IdleTimeout time.Duration
}

// ControlClient makes control calls to other nodes. Calls to one node share a
// connection. It is safe for concurrent use.
type ControlClient struct {
	opts    ControlClientOptions
	traffic traffic
	pool    *board.Pool[string, *session]
}

// session is an open connection to one node.
type session struct {
	rpc  *jsonrpc2.Connection
	conn *controlConn
	// closed is done when the connection is closed; jsonrpc2 does not fail the
	// calls in flight then.
	closed context.Context
}

// connDialer is a jsonrpc2.Dialer that returns a connection that is already open.
type connDialer struct{ conn *controlConn }

// Dial implements jsonrpc2.Dialer.
func (d connDialer) Dial(context.Context) (io.ReadWriteCloser, error) { return d.conn, nil }

// NewControlClient returns a client without connections.
func NewControlClient(opts ControlClientOptions) *ControlClient {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	if opts.Timeout == 0 {
		opts.Timeout = controlTimeout
	}
	if opts.MaxConns == 0 {
		opts.MaxConns = maxControlConns
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = controlIdleTimeout
	}
	c := &ControlClient{opts: opts, traffic: newTraffic(opts.Metrics)}
	c.pool = board.NewPool(board.PoolOptions[string, *session]{
		Clock: opts.Clock, MaxConns: opts.MaxConns, IdleTimeout: opts.IdleTimeout, Dial: c.dial,
		Close: func(s *session) { _ = s.conn.Close() },
	})
	return c
}

// Hello registers this node at a peer and returns the peer's state.
func (c *ControlClient) Hello(ctx context.Context, addr string, s member.State) (member.State, error) {
	return call[member.State](ctx, c, addr, methodHello, s)
}

// Heartbeat sends the state of this node and returns the peer's.
func (c *ControlClient) Heartbeat(ctx context.Context, addr string, s member.State) (member.State, error) {
	return call[member.State](ctx, c, addr, methodHeartbeat, s)
}

// Leave notifies a peer that this node takes no new work.
func (c *ControlClient) Leave(ctx context.Context, addr string, s member.State) error {
	_, err := call[ack](ctx, c, addr, methodLeave, s)
	return err
}

// Push sends a document to a peer.
func (c *ControlClient) Push(ctx context.Context, addr string, r relay.PushRequest) (relay.PushReply, error) {
	return call[relay.PushReply](ctx, c, addr, methodPush, r)
}

// Pull requests newer documents.
func (c *ControlClient) Pull(ctx context.Context, addr string, r relay.PullRequest) (relay.PullReply, error) {
	return call[relay.PullReply](ctx, c, addr, methodPull, r)
}

// View sends this node's versions and returns what is newer at the peer.
func (c *ControlClient) View(ctx context.Context, addr string, r ViewRequest) (Update, error) {
	return call[Update](ctx, c, addr, methodView, r)
}

// Feed sends an unsolicited update and returns the peer's versions after it.
func (c *ControlClient) Feed(ctx context.Context, addr string, f Feed) (ViewRequest, error) {
	return call[ViewRequest](ctx, c, addr, methodFeed, f)
}

// Withdraw asks a node to refuse those of this node's requests that wait there.
func (c *ControlClient) Withdraw(ctx context.Context, addr string, w Withdrawal) error {
	_, err := call[ack](ctx, c, addr, methodWithdraw, w)
	return err
}

// Run closes idle connections until ctx is done, then all connections.
func (c *ControlClient) Run(ctx context.Context) {
	ticker := c.opts.Clock.NewTicker(c.opts.IdleTimeout / 4)
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

// Sweep closes idle connections.
func (c *ControlClient) Sweep() { c.pool.Sweep() }

// ConnCount returns the number of open connections.
func (c *ControlClient) ConnCount() int { return c.pool.Len() }

// Close closes all connections; later calls fail.
func (c *ControlClient) Close() { c.pool.Close() }

func (c *ControlClient) dial(ctx context.Context, addr string) (*session, error) {
	conn, err := c.opts.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	closed, cancel := context.WithCancel(context.Background())
	s := &session{closed: closed}
	s.conn = &controlConn{conn: conn, traffic: c.traffic, onClose: cancel}
	// ctx ends with the call that dialed; the connection outlives it.
	s.rpc, err = jsonrpc2.Dial(context.WithoutCancel(ctx), connDialer{s.conn}, jsonrpc2.ConnectionOptions{Framer: framer{}})
	if err != nil {
		_ = s.conn.Close()
		return nil, err
	}
	return s, nil
}

// call makes one call. If the connection fails or the call times out, it closes
// the connection and the next call opens a new one. Errors are *ControlError.
func call[Result any](ctx context.Context, c *ControlClient, addr, method string, params any) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	var result Result
	s, err := c.getSession(ctx, addr)
	if err != nil {
		return result, &ControlError{method: method, addr: addr, cause: err}
	}
	err = s.await(ctx, method, params, &result)
	if err == nil {
		return result, nil
	}
	if ctx.Err() != nil || s.closed.Err() != nil {
		c.pool.Drop(addr, s)
	}
	return result, &ControlError{method: method, addr: addr, cause: err}
}

// getSession returns an open session to addr. It replaces one that the peer closed
// while it was idle.
func (c *ControlClient) getSession(ctx context.Context, addr string) (*session, error) {
	s, err := c.pool.Get(ctx, addr)
	if err != nil || s.closed.Err() == nil {
		return s, err
	}
	c.pool.Drop(addr, s)
	return c.pool.Get(ctx, addr)
}

// await sends a call and waits for its result, the end of the connection or the
// end of ctx.
func (s *session) await(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(s.closed, func() { cancel(net.ErrClosed) })
	defer stop()
	err := s.rpc.Call(ctx, method, params).Await(ctx, result)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}
