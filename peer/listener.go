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

const (
	// headerTimeout bounds the reading of a request's headers, and so how long
	// a connection without a request can hold up a stop.
	headerTimeout = 5 * time.Second
	// keepAlive is how long a connection without requests is kept.
	keepAlive = 2 * time.Minute
	// settlePoll is how often a stop looks for connections with a request.
	settlePoll = 2 * time.Millisecond
)

// Listener is one HTTP interface of a node.
type Listener struct {
	name    string
	address string
	server  *http.Server
	ln      net.Listener
	// served is closed once no more connections are accepted.
	served chan struct{}

	mu sync.Mutex
	// busy holds the connections that have a request or may send their first.
	busy map[net.Conn]struct{}
}

// NewListener returns an interface that does not listen yet.
func NewListener(name, address string, h http.Handler) *Listener {
	l := &Listener{name: name, address: address, served: make(chan struct{}), busy: make(map[net.Conn]struct{})}
	l.server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAlive, ConnState: l.observe}
	return l
}

// observe is told the state of each connection.
func (l *Listener) observe(c net.Conn, s http.ConnState) {
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
		err := l.server.Serve(ln)
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
