package node

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

// listener is one HTTP interface of the node.
type listener struct {
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

func newListener(name, address string, h http.Handler) *listener {
	l := &listener{name: name, address: address, served: make(chan struct{}), busy: make(map[net.Conn]struct{})}
	l.server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAlive, ConnState: l.observe}
	return l
}

// observe is told the state of each connection.
func (l *listener) observe(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateNew || s == http.StateActive {
		l.busy[c] = struct{}{}
		return
	}
	delete(l.busy, c)
}

func (l *listener) serve(ln net.Listener, failed chan<- error) {
	l.ln = ln
	go func() {
		defer close(l.served)
		err := l.server.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- eris.Wrapf(err, "serve %s", l.name)
		}
	}()
}

// stop accepts no more connections, answers the requests on those that are
// open and closes them. http.Server.Shutdown alone drops a request whose
// headers are read while it runs, so it begins once no connection has one.
func (l *listener) stop(ctx context.Context, clock clockwork.Clock) error {
	_ = l.ln.Close()
	<-l.served
	for ctx.Err() == nil && l.open() > 0 {
		clock.Sleep(settlePoll)
	}
	return l.server.Shutdown(ctx)
}

func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.busy)
}
