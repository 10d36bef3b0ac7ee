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
	// limits, onReject and conns are those of clientConn; fixed after Listen.
	limits   func() RequestLimits
	onReject func(HeadRejection)
	conns    *connSet

	mu sync.Mutex
	// busy holds the connections that have a request or may send their first.
	busy map[net.Conn]struct{}
}

// NewListener returns a Listener that does not listen yet.
func NewListener(name, addr string, h http.Handler) *Listener {
	l := &Listener{
		name: name, addr: addr, acceptDone: make(chan struct{}), busy: make(map[net.Conn]struct{}),
		limits: DefaultRequestLimits, onReject: func(HeadRejection) {}, conns: newConnSet(name, DefaultHoldLimits(), func(ClosedConn) {}),
	}
	l.server = &http.Server{Handler: beginRequests(h), ConnState: l.trackConn, ConnContext: WithConn}
	return l
}

// SetRequestLimits replaces the limits of requests, which may change at any time.
// onReject is called for each request that is rejected before its head is complete, and
// must not block. Call SetRequestLimits before Listen.
func (l *Listener) SetRequestLimits(limits func() RequestLimits, onReject func(HeadRejection)) {
	l.limits, l.onReject = limits, onReject
}

// SetHoldLimits replaces the limits of what all clients hold. onClose is called for each
// connection that is closed for one of them, and must not block. Call SetHoldLimits before
// Listen.
func (l *Listener) SetHoldLimits(limits HoldLimits, onClose func(ClosedConn)) {
	l.conns = newConnSet(l.name, limits, onClose)
}

// beginRequests wraps a handler. A request that has a body is read within
// defaultBodyTimeout, unless the handler sets another deadline, and may be dropped to
// make room for other connections until the handler calls RequestRead.
func beginRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
			phase := phaseBusy
			if r.ContentLength != 0 {
				phase = phaseBody
				_ = c.SetReadDeadline(time.Now().Add(defaultBodyTimeout)) // fails only on a closed connection
			}
			if !c.beginRequest(phase) {
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// trackConn is the http.Server.ConnState hook.
func (l *Listener) trackConn(c net.Conn, s http.ConnState) {
	if cc, ok := c.(*clientConn); ok {
		switch s {
		case http.StateActive:
			cc.stopWaiting()
		case http.StateIdle:
			cc.startWaiting()
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
	ln, err := Listen(l.addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s for %s", l.addr, l.name)
	}
	l.ln = ln
	go func() {
		defer close(l.acceptDone)
		err := l.server.Serve(clientListener{Listener: ln, owner: l})
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

// clientListener accepts connections as clientConns, if there is room for them.
type clientListener struct {
	net.Listener
	owner *Listener
}

func (l clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		cc := newClientConn(c, l.owner)
		if l.owner.conns.add(cc) {
			return cc, nil
		}
		_ = c.Close()
	}
}
