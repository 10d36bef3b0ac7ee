package peer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Bounds limit how long a connection of a Listener may take; all are above 0.
type Bounds struct {
	// Head bounds the reading of a request's head, from its first byte.
	Head time.Duration
	// Idle bounds the time from a response to the first byte of the next request.
	// The first request of a connection has Head for it.
	Idle time.Duration
}

// HeadTimeout and IdleTimeout are the bounds where nothing else says how long a
// peer may take.
const (
	HeadTimeout = 5 * time.Second
	IdleTimeout = 2 * time.Minute
)

// lateLinger bounds the writing of the answer to a head that is late, and the
// reading of what still comes then: a connection that closes with unread bytes
// is reset, which can take the answer with it.
const lateLinger = 500 * time.Millisecond

// headLate answers a request whose head is not complete in time. It has not
// run, which is what 408 says.
const headLate = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// boundedConn applies Bounds to an accepted connection. net/http has fixed
// bounds only, and closes a connection whose head is late without an answer.
type boundedConn struct {
	net.Conn
	// bounds returns the bounds in force.
	bounds func() Bounds
	// late is told of a head that is late.
	late func(remote net.Addr, waited time.Duration)

	mu sync.Mutex
	// between is set from the end of a response until the head of the next
	// request is read, and before the first request.
	between bool
	// used is set once a request was read.
	used bool
	// began is set once the first byte of the head was read.
	began bool
	// since is when between began, or the head where began is set.
	since time.Time
	// refused is set once a head was late: nothing else is answered.
	refused bool
}

// wait is called when the response to a request is complete.
func (c *boundedConn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.between, c.began, c.since = true, false, time.Now()
}

// work is called when the head of a request is read. The request itself has no
// bound here.
func (c *boundedConn) work() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.between, c.used = false, true
	// Without a connection there is no deadline to end; the next read says so.
	_ = c.SetReadDeadline(time.Time{})
}

// Read reads within the bound that holds now. A head that is late is answered
// before the error is returned.
func (c *boundedConn) Read(p []byte) (int, error) {
	if !c.limit() {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	if waited := c.noted(n, err); waited > 0 {
		c.refuse()
		c.late(c.RemoteAddr(), waited)
	}
	return n, err
}

// refuse answers a head that is late and ends the connection. Errors mean that
// it is broken already, which its owner learns from the read that was late.
func (c *boundedConn) refuse() {
	_ = c.SetDeadline(time.Now().Add(lateLinger))
	_, _ = c.Conn.Write([]byte(headLate))
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// Write writes, unless the connection has got its last answer.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// limit sets the deadline of the next read, and reports whether there is one.
func (c *boundedConn) limit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.between {
		return false
	}
	b := c.bounds()
	d := b.Head
	if c.used && !c.began {
		d = b.Idle
	}
	_ = c.SetReadDeadline(c.since.Add(d))
	return true
}

// noted takes over what a read returned. It returns how long a head took that
// is late, else 0.
func (c *boundedConn) noted(n int, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.between && !c.began {
		c.began, c.since = true, time.Now()
	}
	if c.between && c.began && !c.refused && errors.Is(err, os.ErrDeadlineExceeded) {
		c.refused = true
		return time.Since(c.since)
	}
	return 0
}

// boundedListener accepts connections with Bounds.
type boundedListener struct {
	net.Listener
	bounds func() Bounds
	late   func(remote net.Addr, waited time.Duration)
}

func (l boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: c, bounds: l.bounds, late: l.late, between: true, since: time.Now()}, nil
}
