package peer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// ListenerTimeouts are the timeouts of a Listener's connections, all above 0.
type ListenerTimeouts struct {
	// Header bounds the reading of a request's header, from its first byte.
	Header time.Duration
	// Idle bounds the time from a response to the first byte of the next request.
	// Header bounds the time to the first byte of a connection's first request.
	Idle time.Duration
}

// Timeouts that apply where none are configured.
const (
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
)

// lateHeaderDrainTimeout bounds the writing of lateHeaderResponse and the
// draining of further input. Closing a connection with unread bytes resets it,
// which can discard the response before the client reads it.
const lateHeaderDrainTimeout = 500 * time.Millisecond

// lateHeaderResponse is sent if a request's header is not complete in time.
// Status 408 means that the request has not run.
const lateHeaderResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// timeoutConn applies ListenerTimeouts to an accepted connection. net/http only has
// fixed timeouts, and closes a connection without a response if a header is late.
type timeoutConn struct {
	net.Conn
	// timeouts returns the current timeouts.
	timeouts func() ListenerTimeouts
	// onLateHeader is called after a late header was rejected.
	onLateHeader func(remote net.Addr, waited time.Duration)

	mu sync.Mutex
	// waiting is set from the end of a response until the header of the next
	// request is read, and before the first request.
	waiting bool
	// hadRequest is set once the header of a request was read.
	hadRequest bool
	// headerStarted is set once the first byte of the header was read.
	headerStarted bool
	// timerStart is when the header started, or waiting if headerStarted is unset.
	timerStart time.Time
	// rejected is set once a header was late; Write fails from then on.
	rejected bool
}

// startWaiting is called when the response to a request is complete.
func (c *timeoutConn) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.headerStarted, c.timerStart = true, false, time.Now()
}

// stopWaiting is called when the header of a request has been read. The rest of
// the request has no timeout here.
func (c *timeoutConn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.hadRequest = false, true
	// Fails only if the connection is closed; the next read reports that.
	_ = c.SetReadDeadline(time.Time{})
}

// Read reads with the current timeout. If a header is late, Read sends
// lateHeaderResponse before it returns the error.
func (c *timeoutConn) Read(p []byte) (int, error) {
	if !c.setReadDeadline() {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	if waited := c.recordRead(n, err); waited > 0 {
		c.rejectLateHeader()
		c.onLateHeader(c.RemoteAddr(), waited)
	}
	return n, err
}

// rejectLateHeader sends lateHeaderResponse and ends the connection. Errors mean
// that it is already broken; Read returns the timeout error in any case.
func (c *timeoutConn) rejectLateHeader() {
	_ = c.SetDeadline(time.Now().Add(lateHeaderDrainTimeout))
	_, _ = c.Conn.Write([]byte(lateHeaderResponse))
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// Write writes p, or returns net.ErrClosed after a late header was rejected.
func (c *timeoutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.rejected
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// setReadDeadline sets the deadline of the next read and reports whether it has one.
func (c *timeoutConn) setReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return false
	}
	timeouts := c.timeouts()
	timeout := timeouts.Header
	if c.hadRequest && !c.headerStarted {
		timeout = timeouts.Idle
	}
	_ = c.SetReadDeadline(c.timerStart.Add(timeout))
	return true
}

// recordRead updates the state with the result of a read. If the read timed out
// within a header, it returns the time since the header started, else 0.
func (c *timeoutConn) recordRead(n int, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.waiting && !c.headerStarted {
		c.headerStarted, c.timerStart = true, time.Now()
	}
	if c.waiting && c.headerStarted && !c.rejected && errors.Is(err, os.ErrDeadlineExceeded) {
		c.rejected = true
		return time.Since(c.timerStart)
	}
	return 0
}

// timeoutListener wraps accepted connections in timeoutConn.
type timeoutListener struct {
	net.Listener
	timeouts     func() ListenerTimeouts
	onLateHeader func(remote net.Addr, waited time.Duration)
}

func (l timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c, timeouts: l.timeouts, onLateHeader: l.onLateHeader, waiting: true, timerStart: time.Now()}, nil
}
