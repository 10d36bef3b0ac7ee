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

// drainPollInterval is how often Stop checks for busy connections.
const drainPollInterval = 2 * time.Millisecond

// Listener serves one HTTP interface of a node.
type Listener struct {
	name   string
	addr   string
	server *http.Server
	ln     net.Listener
	// acceptDone is closed once no more connections are accepted.
	acceptDone chan struct{}
	// timeouts and onLateHeader are those of timeoutConn; fixed after Listen.
	timeouts     func() ListenerTimeouts
	onLateHeader func(remote net.Addr, waited time.Duration)

	mu sync.Mutex
	// busy holds the connections that have a request or may send their first.
	busy map[net.Conn]struct{}
}

// NewListener returns a Listener that does not listen yet.
func NewListener(name, addr string, h http.Handler) *Listener {
	l := &Listener{
		name: name, addr: addr, acceptDone: make(chan struct{}), busy: make(map[net.Conn]struct{}),
		timeouts: func() ListenerTimeouts {
			return ListenerTimeouts{Header: DefaultHeaderTimeout, Idle: DefaultIdleTimeout}
		},
		onLateHeader: func(net.Addr, time.Duration) {},
	}
	l.server = &http.Server{Handler: h, ConnState: l.trackConn, ConnContext: WithConn}
	return l
}

// SetTimeouts replaces the timeouts, which may change at any time. onLateHeader is
// called for each late header and must not block. Call SetTimeouts before Listen.
func (l *Listener) SetTimeouts(timeouts func() ListenerTimeouts, onLateHeader func(remote net.Addr, waited time.Duration)) {
	l.timeouts, l.onLateHeader = timeouts, onLateHeader
}

// trackConn is the http.Server.ConnState hook.
func (l *Listener) trackConn(c net.Conn, s http.ConnState) {
	if tc, ok := c.(*timeoutConn); ok {
		switch s {
		case http.StateActive:
			tc.stopWaiting()
		case http.StateIdle:
			tc.startWaiting()
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

// Name returns the name of the interface.
func (l *Listener) Name() string { return l.name }

// Listen starts serving in the background. A later failure is sent to failed.
func (l *Listener) Listen(failed chan<- error) error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s for %s", l.addr, l.name)
	}
	l.ln = ln
	go func() {
		defer close(l.acceptDone)
		err := l.server.Serve(timeoutListener{Listener: ln, timeouts: l.timeouts, onLateHeader: l.onLateHeader})
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- eris.Wrapf(err, "serve %s", l.name)
		}
	}()
	return nil
}

// StopAccepting closes the listening socket; open connections are still served.
func (l *Listener) StopAccepting() { _ = l.ln.Close() }

// Close closes the listening socket and all connections immediately.
func (l *Listener) Close() { _ = l.server.Close() }

// Stop stops accepting connections, serves the requests on those that are open and
// closes them. http.Server.Shutdown alone drops a request whose header is read
// while it runs, so Stop calls it once no connection is busy or ctx is done.
func (l *Listener) Stop(ctx context.Context, clock clockwork.Clock) error {
	l.StopAccepting()
	<-l.acceptDone
	for ctx.Err() == nil && l.BusyConns() > 0 {
		clock.Sleep(drainPollInterval)
	}
	return l.server.Shutdown(ctx)
}

// BusyConns returns the number of connections that have a request or may send
// their first.
func (l *Listener) BusyConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.busy)
}
