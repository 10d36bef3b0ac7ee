package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/exp/jsonrpc2"

	"dogwoodhead/board"
)

const (
	// maxServerConns bounds the accepted connections. Heartbeats and pulls come
	// from a few dozen nodes at a time.
	maxServerConns = 512
	// serverIdleTimeout is longer than the client's idle timeout, so that the client
	// closes first and rarely uses a connection that is already closed.
	serverIdleTimeout = 2 * controlIdleTimeout
	// serverWorkers and serverMaxQueued bound the running and the queued handlers.
	// Handlers do not wait for the network.
	serverWorkers   = 8
	serverMaxQueued = 256
	// acceptRetryDelay is the wait after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// ControlServerOptions configures a ControlServer.
type ControlServerOptions struct {
	Handlers Handlers
	// Metrics holds the byte counters and those of refused requests.
	Metrics *metrics.Set
	// MaxConns, Workers and MaxQueued bound connections, running handlers and queued
	// requests; 512, 8 and 256 if 0.
	MaxConns, Workers, MaxQueued int
}

// ControlServer serves the control calls of other nodes. Requests of one
// connection may run in parallel and out of order.
type ControlServer struct {
	opts    ControlServerOptions
	traffic traffic
	// overloaded counts requests refused because the queue was full; unwanted
	// counts connections above MaxConns and notifications.
	overloaded, unwanted *metrics.Counter
	workers              *board.Workers[queuedRequest]
	mu                   sync.Mutex
	conns                map[*controlConn]struct{}
	closed               bool
}

// queuedRequest is a request that waits for a worker.
type queuedRequest struct {
	conn *jsonrpc2.Connection
	req  *jsonrpc2.Request
}

// NewControlServer returns a server that does not listen yet.
func NewControlServer(opts ControlServerOptions) *ControlServer {
	if opts.MaxConns == 0 {
		opts.MaxConns = maxServerConns
	}
	if opts.Workers == 0 {
		opts.Workers = serverWorkers
	}
	if opts.MaxQueued == 0 {
		opts.MaxQueued = serverMaxQueued
	}
	s := &ControlServer{
		opts: opts, traffic: newTraffic(opts.Metrics), conns: make(map[*controlConn]struct{}),
		overloaded: opts.Metrics.GetOrCreateCounter("dogwood_control_overloaded_total"),
		unwanted:   opts.Metrics.GetOrCreateCounter("dogwood_control_unwanted_total"),
	}
	s.workers = board.NewWorkers(opts.Workers, opts.MaxQueued, s.handleQueued)
	return s
}

// Serve accepts connections until ctx is done, then closes the listener and the
// connections and returns when all handlers have returned.
func (s *ControlServer) Serve(ctx context.Context, listener net.Listener) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.workers.Run(ctx) })
	// Reads must not end before the connections are closed, so jsonrpc2 gets a
	// context that is not cancelled; handlers get the workers' context.
	server, err := jsonrpc2.Serve(context.WithoutCancel(ctx), &controlListener{server: s, listener: listener}, binder{s})
	if err != nil {
		return err
	}
	<-ctx.Done()
	_ = listener.Close()
	s.closeAll()
	err = server.Wait()
	wg.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (s *ControlServer) closeAll() {
	s.mu.Lock()
	s.closed = true
	open := make([]*controlConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// registerConn registers a connection and reports whether it did. It closes the
// connection if there are too many or the server is closed.
func (s *ControlServer) registerConn(conn net.Conn) (*controlConn, bool) {
	c := &controlConn{conn: conn, traffic: s.traffic, idleTimeout: serverIdleTimeout}
	c.onClose = func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
	s.mu.Lock()
	ok := !s.closed && len(s.conns) < s.opts.MaxConns
	if ok {
		s.conns[c] = struct{}{}
	}
	s.mu.Unlock()
	if !ok {
		s.unwanted.Inc()
		_ = conn.Close()
	}
	return c, ok
}

// handleQueued runs one request on a worker and sends the response.
func (s *ControlServer) handleQueued(ctx context.Context, in queuedRequest) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	result, err := s.opts.Handlers.handle(ctx, in.req)
	// A failed write closes the connection.
	_ = in.conn.Respond(in.req.ID, result, err)
}

// binder configures accepted connections.
type binder struct{ server *ControlServer }

// Bind implements jsonrpc2.Binder.
func (b binder) Bind(_ context.Context, conn *jsonrpc2.Connection) (jsonrpc2.ConnectionOptions, error) {
	return jsonrpc2.ConnectionOptions{Framer: framer{}, Preempter: preempter{server: b.server, conn: conn}}, nil
}

// preempter submits requests to the workers. The queue that jsonrpc2 keeps for a
// connection is unbounded and runs one request at a time.
type preempter struct {
	server *ControlServer
	conn   *jsonrpc2.Connection
}

// Preempt implements jsonrpc2.Preempter.
func (p preempter) Preempt(_ context.Context, req *jsonrpc2.Request) (any, error) {
	if !req.IsCall() {
		p.server.unwanted.Inc()
		return nil, jsonrpc2.ErrAsyncResponse
	}
	if !p.server.workers.Submit(queuedRequest{conn: p.conn, req: req}) {
		p.server.overloaded.Inc()
		return nil, jsonrpc2.ErrServerOverloaded
	}
	return nil, jsonrpc2.ErrAsyncResponse
}

// controlListener is a jsonrpc2.Listener that retries after a failed accept.
type controlListener struct {
	server   *ControlServer
	listener net.Listener
}

// Accept implements jsonrpc2.Listener.
func (a *controlListener) Accept(ctx context.Context) (io.ReadWriteCloser, error) {
	for {
		conn, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			// jsonrpc2 treats io.EOF as the regular end.
			return nil, io.EOF
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c, ok := a.server.registerConn(conn); ok {
			return c, nil
		}
	}
}

// Close implements jsonrpc2.Listener.
func (a *controlListener) Close() error { return a.listener.Close() }

// Dialer implements jsonrpc2.Listener.
func (a *controlListener) Dialer() jsonrpc2.Dialer { return nil }
