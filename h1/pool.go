package h1

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// conn is one connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	addr string
	br   *bufio.Reader
	// used says that the connection has carried a request.
	used bool
	// until is when an idle connection is no longer used.
	until time.Time
}

// pool keeps idle connections, the one used last first, so that few stay open.
type pool struct {
	clock clockwork.Clock
	// most is the largest number of idle connections per server.
	most int
	mu   sync.Mutex
	// idle holds the connections of a server; the last one was used last.
	idle   map[string][]*conn
	closed bool
}

// get returns a connection that seems alive, nil where there is none.
func (p *pool) get(addr string) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if p.clock.Now().Before(c.until) && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection for the given time.
func (p *pool) put(c *conn, idle time.Duration) {
	c.used = true
	c.until = p.clock.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= p.most {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// sweep closes the connections whose idle time is over.
func (p *pool) sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
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
	p.idle = make(map[string][]*conn)
}

// quiet reports whether an idle connection has neither ended nor received
// bytes, which would belong to no request.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = e == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
