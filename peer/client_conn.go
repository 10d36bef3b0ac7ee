package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// HeadRejection reports a request that was rejected before its head was complete.
type HeadRejection struct {
	remote net.Addr
	status int
	waited time.Duration
}

// Remote returns the address of the client.
func (r HeadRejection) Remote() net.Addr { return r.remote }

// Status returns the HTTP status that the client got. Each says that the request has
// not run.
func (r HeadRejection) Status() int { return r.status }

// Waited returns the time since the head began.
func (r HeadRejection) Waited() time.Duration { return r.waited }

// rejectResponses are the responses to requests whose head is not complete.
var rejectResponses = map[int]string{
	http.StatusRequestTimeout:              "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	http.StatusRequestHeaderFieldsTooLarge: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	http.StatusServiceUnavailable:          "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// clientConn is an accepted connection, to which it applies RequestLimits and
// HoldLimits. The timeouts and limits of net/http are fixed, apply to one connection
// each, and close a connection without a response if a head is late.
type clientConn struct {
	net.Conn
	// limits returns the current limits.
	limits func() RequestLimits
	// onReject is called after a request was rejected.
	onReject func(HeadRejection)
	set      *connSet
	// headCharge is the memory charged for the head of the request; guarded by set.mu.
	headCharge int64
	state      atomic.Pointer[connState]
	closeOnce  sync.Once

	mu sync.Mutex
	// waiting is set from the end of a response until the head of the next request is
	// read, and before the first request.
	waiting bool
	// hadRequest is set once the head of a request was read.
	hadRequest bool
	// headStarted is set once the first byte of the head was read.
	headStarted bool
	// timerStart is when the head started, or waiting if headStarted is unset.
	timerStart time.Time
	// meter measures the head that is being read.
	meter headMeter
	// readAhead is the memory of what net/http may have read beyond the last request, if it
	// is part of the next head; the meter has not seen it.
	readAhead int64
	// rejected is set once the request was rejected; Write fails from then on.
	rejected bool
	// responseDeadline bounds the writing of the response, if it is not zero.
	responseDeadline time.Time
}

func newClientConn(c net.Conn, l *Listener) *clientConn {
	cc := &clientConn{Conn: c, limits: l.limits, onReject: l.onReject, set: l.conns, waiting: true, timerStart: time.Now()}
	cc.setPhase(phaseHead)
	return cc
}

func (c *clientConn) setPhase(p connPhase) { c.state.Store(&connState{phase: p, since: time.Now()}) }

// enter changes the phase and reports whether it did: it does not once the connection
// was closed to make room.
func (c *clientConn) enter(p connPhase) bool {
	next := &connState{phase: p, since: time.Now()}
	for {
		state := c.state.Load()
		if state.phase == phaseEvicted {
			return false
		}
		if c.state.CompareAndSwap(state, next) {
			return true
		}
	}
}

// evict changes the phase from one in which the connection may be closed to
// phaseEvicted, and reports whether it did.
func (c *clientConn) evict(from connPhase) bool {
	state := c.state.Load()
	return state.phase == from && c.state.CompareAndSwap(state, &connState{phase: phaseEvicted})
}

// abort closes the connection and drops what was not sent.
func (c *clientConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Conn.Close()
}

// Close closes the connection; only the first call has an effect.
func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.set.remove(c)
		err = c.Conn.Close()
	})
	return err
}

// startWaiting is called when the response to a request is complete.
func (c *clientConn) startWaiting() {
	c.enter(phaseIdle)
	c.set.charge(c, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.headStarted, c.timerStart = true, false, time.Now()
	c.meter, c.responseDeadline = headMeter{}, time.Time{}
}

// stopWaiting is called when the head of a request has been read. The rest of the
// request has no timeout here.
func (c *clientConn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.hadRequest = false, true
	// Fails only if the connection is closed; the next read reports that.
	_ = c.SetReadDeadline(time.Time{})
}

// beginRequest is called when a request's handler starts, and reports whether the
// request may be served. The whole head may have been read ahead, unseen by the meter.
func (c *clientConn) beginRequest(p connPhase) bool {
	c.mu.Lock()
	unseen := c.meter.length == 0
	memory := c.readAhead
	c.mu.Unlock()
	if unseen && !c.set.charge(c, memory) {
		return false
	}
	return c.enter(p)
}

// Read reads within the limits. If a head exceeds one of them, Read sends a response
// before it returns the error.
func (c *clientConn) Read(p []byte) (int, error) {
	if !c.setReadDeadline() {
		n, err := c.Conn.Read(p)
		c.recordBody(p[:n])
		return n, err
	}
	n, err := c.Conn.Read(p)
	if rejection := c.recordHead(p[:n], err); rejection.status != 0 {
		c.reject(rejection)
		return 0, errors.Join(err, net.ErrClosed)
	}
	return n, err
}

// setReadDeadline sets the deadline of the next read and reports whether it is that of
// a head.
func (c *clientConn) setReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return false
	}
	limits := c.limits()
	timeout := limits.HeaderTimeout
	if c.hadRequest && !c.headStarted {
		timeout = limits.IdleTimeout
	}
	_ = c.SetReadDeadline(c.timerStart.Add(timeout))
	return true
}

// recordBody records a read of a body. A part of what net/http reads into its own
// buffer may belong to the next request.
func (c *clientConn) recordBody(p []byte) {
	const netHTTPBuffer = 4 << 10
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = 0
	if len(p) <= netHTTPBuffer {
		c.readAhead = headMemoryOf(p)
	}
}

// recordHead records a read of a head. It returns a rejection with a status other than
// 0 if the head exceeds a limit.
func (c *clientConn) recordHead(p []byte, err error) HeadRejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 && c.waiting && !c.headStarted {
		c.headStarted, c.timerStart = true, time.Now()
		c.enter(phaseHead)
	}
	status := 0
	rest := c.meter.add(p)
	switch {
	case !c.waiting || !c.headStarted || c.rejected:
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case c.meter.length > c.limits().HeadBytes:
		status = http.StatusRequestHeaderFieldsTooLarge
	case len(p) > 0 && !c.set.charge(c, c.meter.memory()+c.readAhead):
		status = http.StatusServiceUnavailable
	}
	if c.meter.complete {
		c.readAhead = headMemoryOf(rest)
	}
	c.rejected = c.rejected || status != 0
	return HeadRejection{remote: c.RemoteAddr(), status: status, waited: time.Since(c.timerStart)}
}

// reject responds to a request whose head is not complete and ends the connection.
// Errors mean that it is already broken; Read returns an error in any case. The head
// stays charged: the parser, which has called Read, holds it meanwhile.
func (c *clientConn) reject(r HeadRejection) {
	if !c.enter(phaseRejected) {
		return
	}
	_ = c.SetDeadline(time.Now().Add(rejectDrainTimeout))
	_, _ = io.WriteString(c.Conn, rejectResponses[r.status])
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, rejectDrainBytes)
	}
	c.onReject(r)
}

// Write writes p within writeTimeout and the deadline of the response, or returns
// net.ErrClosed after the request was rejected.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	rejected, deadline := c.rejected, time.Now().Add(writeTimeout)
	if !c.responseDeadline.IsZero() && c.responseDeadline.Before(deadline) {
		deadline = c.responseDeadline
	}
	c.mu.Unlock()
	if rejected {
		return 0, net.ErrClosed
	}
	_ = c.SetWriteDeadline(deadline) // fails only on a closed connection
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.abort()
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// shrinkReceiveBuffer reduces the bytes that the kernel holds for the connection.
func (c *clientConn) shrinkReceiveBuffer() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallReceiveBuffer) // fails only on a closed connection
	}
}

// RequestRead states that the request of a context has been read as far as its handler
// waits for it. Its connection is not closed anymore to make room for another. It
// reports false if that has happened already; the request must not be served then.
func RequestRead(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*clientConn)
	return !ok || c.enter(phaseBusy)
}

// SetResponseDeadline bounds the writing of the response to the request of a context.
// The connection is closed if the client has not taken the response by then.
func SetResponseDeadline(ctx context.Context, t time.Time) {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.responseDeadline = t
	}
}
