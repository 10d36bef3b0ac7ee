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
	// serverConns bounds the accepted connections. Beats and pulls come from a
	// few dozen nodes at a time.
	serverConns = 512
	// serverIdle is longer than the client's idle time, so that the client
	// closes first and rarely meets a closed connection.
	serverIdle = 2 * controlIdle
	// serverWorkers and serverQueue bound the handlers that run and wait. They
	// do not wait on the network.
	serverWorkers = 8
	serverQueue   = 256
	// acceptPause is the wait after a failed accept, for example when the
	// process is out of file descriptors.
	acceptPause = 50 * time.Millisecond
)

// ControlServerOptions configures a ControlServer.
type ControlServerOptions struct {
	Handlers Handlers
	// Metrics holds the byte counters and the counters of refused requests.
	Metrics *metrics.Set
	// Conns, Workers and Queue bound connections, handlers that run and handlers
	// that wait; 512, 8 and 256 where they are 0.
	Conns, Workers, Queue int
}

// ControlServer answers the control calls of other nodes. Requests of one
// connection may run in parallel and out of order.
type ControlServer struct {
	o       ControlServerOptions
	traffic traffic
	// overloaded counts requests refused because the queue was full, unwanted
	// counts connections above the bound and notifications.
	overloaded, unwanted *metrics.Counter
	workers              *board.Workers[inbound]
	mu                   sync.Mutex
	conns                map[*wire]struct{}
	closed               bool
}

// inbound is one request that waits for a worker.
type inbound struct {
	conn *jsonrpc2.Connection
	req  *jsonrpc2.Request
}

// NewControlServer returns a server that does not listen yet.
func NewControlServer(o ControlServerOptions) *ControlServer {
	if o.Conns == 0 {
		o.Conns = serverConns
	}
	if o.Workers == 0 {
		o.Workers = serverWorkers
	}
	if o.Queue == 0 {
		o.Queue = serverQueue
	}
	s := &ControlServer{
		o: o, traffic: newTraffic(o.Metrics), conns: make(map[*wire]struct{}),
		overloaded: o.Metrics.GetOrCreateCounter("dogwood_control_overloaded_total"),
		unwanted:   o.Metrics.GetOrCreateCounter("dogwood_control_unwanted_total"),
	}
	s.workers = board.NewWorkers(o.Workers, o.Queue, s.work)
	return s
}

// Serve accepts connections until ctx is done, then closes them and returns
// when all handlers have returned. It closes the listener.
func (s *ControlServer) Serve(ctx context.Context, listener net.Listener) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.workers.Run(ctx) })
	// Reads must not end before the connections are closed, so the library gets
	// a context without the cancellation; handlers get that of the workers.
	server, err := jsonrpc2.Serve(context.WithoutCancel(ctx), &accepter{server: s, listener: listener}, binder{s})
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
	open := make([]*wire, 0, len(s.conns))
	for w := range s.conns {
		open = append(open, w)
	}
	s.mu.Unlock()
	for _, w := range open {
		_ = w.Close()
	}
}

// admit registers a connection, or closes it when there are too many.
func (s *ControlServer) admit(conn net.Conn) (*wire, bool) {
	w := &wire{conn: conn, traffic: s.traffic, idle: serverIdle}
	w.done = func() {
		s.mu.Lock()
		delete(s.conns, w)
		s.mu.Unlock()
	}
	s.mu.Lock()
	ok := !s.closed && len(s.conns) < s.o.Conns
	if ok {
		s.conns[w] = struct{}{}
	}
	s.mu.Unlock()
	if !ok {
		s.unwanted.Inc()
		_ = conn.Close()
	}
	return w, ok
}

// work runs one request on a worker.
func (s *ControlServer) work(ctx context.Context, in inbound) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	result, err := s.o.Handlers.handle(ctx, in.req)
	// A failed write closes the connection; there is nothing else to do.
	_ = in.conn.Respond(in.req.ID, result, err)
}

// binder sets up an accepted connection.
type binder struct{ server *ControlServer }

// Bind implements jsonrpc2.Binder.
func (b binder) Bind(_ context.Context, conn *jsonrpc2.Connection) (jsonrpc2.ConnectionOptions, error) {
	return jsonrpc2.ConnectionOptions{Framer: framer{}, Preempter: preempter{server: b.server, conn: conn}}, nil
}

// preempter hands requests to the workers. The library's own queue of a
// connection is not bounded and runs one request at a time.
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
	if !p.server.workers.Submit(inbound{conn: p.conn, req: req}) {
		p.server.overloaded.Inc()
		return nil, jsonrpc2.ErrServerOverloaded
	}
	return nil, jsonrpc2.ErrAsyncResponse
}

// accepter is the library's listener. It goes on after errors that pass.
type accepter struct {
	server   *ControlServer
	listener net.Listener
}

// Accept implements jsonrpc2.Listener.
func (a *accepter) Accept(ctx context.Context) (io.ReadWriteCloser, error) {
	for {
		conn, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			// The library takes io.EOF for the regular end.
			return nil, io.EOF
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if w, ok := a.server.admit(conn); ok {
			return w, nil
		}
	}
}

// Close implements jsonrpc2.Listener.
func (a *accepter) Close() error { return a.listener.Close() }

// Dialer implements jsonrpc2.Listener.
func (a *accepter) Dialer() jsonrpc2.Dialer { return nil }
