package h1

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// persistConn is a connection to a server. It carries one request at a time.
type persistConn struct {
	net.Conn
	addr string
	// br reads from this persistConn, which enforces what head finds.
	br *bufio.Reader
	// head scans the head that is being read, nil while no head is read.
	head *headScanner
	// received is the number of bytes read since the latest request was sent.
	received int64
	// reused is set once the connection was idle after a request.
	reused bool
	// idleSince is when the connection was last put into the pool, expiresAt when it is
	// no longer used.
	idleSince, expiresAt time.Time
	// failedIDs are the ids of the requests that got no successful response on this
	// connection, at most maxFailedIDs. None of them may be sent on it again: a late
	// copy of its first response would be taken for the response to the second send.
	failedIDs []string

	// breakMu is held while a stream is written without waiting; it guards breakErr.
	breakMu sync.Mutex
	// breakErr is the error with which the connection broke before the end of the stream
	// arrived, if a write of a stream got the kernel's report, else nil.
	breakErr error
}

// maxFailedIDs limits the failed requests of a connection that is reused.
const maxFailedIDs = 16

func newPersistConn(raw net.Conn, addr string) *persistConn {
	c := &persistConn{Conn: raw, addr: addr}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads from the connection. It fails if the head that is being read is not valid or
// has reached its limits. It returns io.EOF only if the server has ended the
// stream, not if the connection broke.
func (c *persistConn) Read(p []byte) (int, error) {
	if c.head != nil {
		if err := c.head.failure(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(c.breakError(), err)
	}
	c.received += int64(n)
	if c.head != nil {
		c.head.add(p[:n])
	}
	return n, err
}

// pool keeps idle connections and reuses the latest first, so that few stay open.
type pool struct {
	clock clockwork.Clock
	// maxIdlePerServer is the maximum number of idle connections to each address, maxIdle
	// that to all addresses, 0 for no limit.
	maxIdlePerServer, maxIdle int
	// mu guards idle, idleCount and closed.
	mu sync.Mutex
	// idleCount is the number of connections in idle.
	idleCount int
	// idle maps an address to its connections, the most recently used last.
	idle   map[string][]*persistConn
	closed bool
}

// popOpen removes and returns an idle connection that appears to be open and on
// which the request with the id has not failed, or returns nil.
func (p *pool) popOpen(addr, id string) *persistConn {
	for {
		c := p.pop(addr, id)
		if c == nil {
			return nil
		}
		if p.clock.Now().Before(c.expiresAt) && isReusable(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(addr, id string) *persistConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if id != "" && slices.Contains(c.failedIDs, id) {
			continue
		}
		p.idle[addr] = slices.Delete(list, i, i+1)
		p.idleCount--
		return c
	}
	return nil
}

// put keeps a connection for the given time, or closes it if there is no room.
func (p *pool) put(c *persistConn, idle time.Duration) {
	c.idleSince = p.clock.Now()
	c.expiresAt = c.idleSince.Add(idle)
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= p.maxIdlePerServer {
		_ = c.Close()
		return
	}
	if p.maxIdle > 0 && p.idleCount >= p.maxIdle {
		p.closeOldest()
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.idleCount++
}

// closeOldest closes the connection that has been idle for the longest time. The caller
// holds the lock.
func (p *pool) closeOldest() {
	var oldest *persistConn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return
	}
	_ = oldest.Close()
	p.idle[oldest.addr] = slices.Delete(p.idle[oldest.addr], 0, 1)
	p.idleCount--
}

// sweep closes the connections whose idle timeout has expired.
func (p *pool) sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.idleCount--
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = make(map[string][]*persistConn)
	p.idleCount = 0
}

// isReusable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func isReusable(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	_, err := Peek(tcp)
	return errors.Is(err, unix.EAGAIN)
}
