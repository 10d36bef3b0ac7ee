package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// link is a connection path from one node to an address of another one.
type link struct{ from, to string }

// links tracks the connections between the nodes of a fleet. A cut link refuses
// new connections and closes the open ones.
type links struct {
	mu   sync.Mutex
	cuts map[link]bool
	open map[link][]net.Conn
}

func newLinks() *links { return &links{cuts: make(map[link]bool), open: make(map[link][]net.Conn)} }

func (l *links) dialer(from string) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.cuts[link{from, addr}] {
			_ = c.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("link is cut")}
		}
		l.open[link{from, addr}] = append(l.open[link{from, addr}], c)
		return c, nil
	}
}

// cut separates two nodes in both directions.
func (l *links) cut(a, b *testServer) { l.setCut(a, b, true) }

// heal reconnects two nodes after a cut.
func (l *links) heal(a, b *testServer) { l.setCut(a, b, false) }

func (l *links) setCut(a, b *testServer, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, direction := range []link{
		{a.vm.Name, b.vm.CallAddr},
		{a.vm.Name, b.vm.ControlAddr},
		{b.vm.Name, a.vm.CallAddr},
		{b.vm.Name, a.vm.ControlAddr},
	} {
		l.cuts[direction] = cut
		for _, c := range l.open[direction] {
			_ = c.Close()
		}
		delete(l.open, direction)
	}
}

// skewClock is the real clock plus an offset. A jump simulates a process that
// resumes after a pause: time has passed, but no ticker has fired yet.
type skewClock struct {
	clockwork.Clock
	skew atomic.Int64
}

func (c *skewClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.skew.Load())) }

func (c *skewClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c *skewClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func (c *skewClock) jump(d time.Duration) { c.skew.Add(int64(d)) }
