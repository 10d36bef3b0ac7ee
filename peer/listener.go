package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// settlePoll is how often a stop looks for connections with a request.
const settlePoll = 2 * time.Millisecond

// Listener is one HTTP interface of a node.
type Listener struct {
	name    string
	address string
	server  *http.Server
	ln      net.Listener
	// served is closed once no more connections are accepted.
	served chan struct{}
	// bounds and late are those of a boundedConn.
	bounds func() Bounds
	late   func(remote net.Addr, waited time.Duration)

	mu sync.Mutex
	// busy holds the connections that have a request or may send their first.
	busy map[net.Conn]struct{}
}

// NewListener returns an interface that does not listen yet.
func NewListener(name, address string, h http.Handler) *Listener {
	l := &Listener{
		name: name, address: address, served: make(chan struct{}), busy: make(map[net.Conn]struct{}),
		bounds: func() Bounds { return Bounds{Head: HeadTimeout, Idle: IdleTimeout} },
		late:   func(net.Addr, time.Duration) {},
	}
	l.server = &http.Server{Handler: h, ConnState: l.observe}
	return l
}

// Bound replaces the bounds, which may change at any time. late is told of each
// request whose head is late and must not block. Bound is called before Listen.
func (l *Listener) Bound(bounds func() Bounds, late func(remote net.Addr, waited time.Duration)) {
	l.bounds, l.late = bounds, late
}

// observe is told the state of each connection.
func (l *Listener) observe(c net.Conn, s http.ConnState) {
	if b, ok := c.(*boundedConn); ok {
		switch s {
		case http.StateActive:
			b.work()
		case http.StateIdle:
			b.wait()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateNew || s == http.StateActive {
		l.busy[c] = struct{}{}
		return
	}
	delete(l.busy, c)
}

// Name returns what the interface is for.
func (l *Listener) Name() string { return l.name }

// Listen begins to serve. A later failure is sent to failed.
func (l *Listener) Listen(failed chan<- error) error {
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s for %s", l.address, l.name)
	}
	l.ln = ln
	go func() {
		defer close(l.served)
		err := l.server.Serve(boundedListener{Listener: ln, bounds: l.bounds, late: l.late})
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- eris.Wrapf(err, "serve %s", l.name)
		}
	}()
	return nil
}

// Refuse accepts no more connections; those that are open go on.
func (l *Listener) Refuse() { _ = l.ln.Close() }

// Close ends the interface and its connections at once.
func (l *Listener) Close() { _ = l.server.Close() }

// Stop accepts no more connections, answers the requests on those that are
// open and closes them. http.Server.Shutdown alone drops a request whose
// headers are read while it runs, so it begins once no connection has one.
func (l *Listener) Stop(ctx context.Context, clock clockwork.Clock) error {
	l.Refuse()
	<-l.served
	for ctx.Err() == nil && l.Open() > 0 {
		clock.Sleep(settlePoll)
	}
	return l.server.Shutdown(ctx)
}

// Open returns the number of connections that have a request or may send their
// first.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.busy)
}
