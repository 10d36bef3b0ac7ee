package peer

import (
	"cmp"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// connSet holds the open connections of a Listener and bounds what they hold. Where a
// limit is reached, it closes connections in the order of what that costs their clients:
// those that are being rejected, heads that take unusually long, idle ones, other heads,
// and requests whose body is being read; within these the one that has been so for the
// longest time. A connection whose request is in progress is never closed for another.
// It is safe for concurrent use.
type connSet struct {
	name   string
	limits HoldLimits
	now    func() time.Time
	// onClose is called for each connection that is closed for a limit, with mu held.
	onClose func(ClosedConn)
	// evicted counts the connections that were closed to make room, refused those that
	// found none.
	evicted, refused *metrics.Counter

	mu    sync.Mutex
	conns map[*clientConn]struct{}
	// headMemory is the sum of the charges of conns.
	headMemory int64
}

// ClosedConn reports a connection that was closed for a limit of HoldLimits.
type ClosedConn struct {
	listener string
	remote   net.Addr
	phase    string
	open     int
}

// Listener returns the name of the listener.
func (c ClosedConn) Listener() string { return c.listener }

// Remote returns the address of the client.
func (c ClosedConn) Remote() net.Addr { return c.remote }

// Phase returns what the connection was doing: "head", "idle", "body", "message" (of
// control), "rejected" or, if it found no room, "new".
func (c ClosedConn) Phase() string { return c.phase }

// Open returns the number of connections that were open then.
func (c ClosedConn) Open() int { return c.open }

func newConnSet(name string, limits HoldLimits, onClose func(ClosedConn)) *connSet {
	return &connSet{
		name: name, limits: limits, now: time.Now, onClose: onClose, conns: make(map[*clientConn]struct{}),
		evicted: metrics.GetOrCreateCounter(`dogwood_connections_evicted_total{listener="` + name + `"}`),
		refused: metrics.GetOrCreateCounter(`dogwood_connections_refused_total{listener="` + name + `"}`),
	}
}

// add adds a connection and reports whether there is room for it.
func (s *connSet) add(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.limits.Conns {
		if !s.evictOne(func(*clientConn) bool { return true }) {
			s.refused.Inc()
			s.report(c, "new")
			return false
		}
	}
	s.conns[c] = struct{}{}
	if len(s.conns) > s.limits.Conns/fullBufferShare {
		c.shrinkReceiveBuffer()
	}
	return true
}

// remove removes a connection with its charge.
func (s *connSet) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
}

func (s *connSet) removeLocked(c *clientConn) {
	s.headMemory -= c.headCharge
	c.headCharge = 0
	delete(s.conns, c)
}

// charge sets the memory that the head of a connection's request takes and reports
// whether there is room for it.
func (s *connSet) charge(c *clientConn, memory int64) bool {
	memory = min(memory, s.limits.HeadMemory)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; !ok {
		return false
	}
	for s.headMemory-c.headCharge+memory > s.limits.HeadMemory {
		if !s.evictOne(func(other *clientConn) bool { return other != c && other.headCharge > 0 }) {
			s.refused.Inc()
			return false
		}
	}
	s.headMemory += memory - c.headCharge
	c.headCharge = memory
	return true
}

// evictOne closes the connection among the candidates that costs least, and reports
// whether there was one. The caller holds the lock.
func (s *connSet) evictOne(candidate func(*clientConn) bool) bool {
	now := s.now()
	for {
		var chosen *clientConn
		var chosenState connState
		for c := range s.conns {
			if !candidate(c) {
				continue
			}
			state := c.state.Load()
			if state.phase.isEvictable() && (chosen == nil || state.compare(chosenState, now) < 0) {
				chosen, chosenState = c, *state
			}
		}
		if chosen == nil {
			return false
		}
		// The request of the connection may have begun meanwhile.
		if chosen.evict(chosenState.phase) {
			s.evicted.Inc()
			s.report(chosen, chosenState.phase.String())
			s.removeLocked(chosen)
			chosen.abort()
			return true
		}
	}
}

// report reports a connection that is closed for a limit. The caller holds the lock.
func (s *connSet) report(c *clientConn, phase string) {
	s.onClose(ClosedConn{listener: s.name, remote: c.RemoteAddr(), phase: phase, open: len(s.conns)})
}

// connPhase is what a connection is doing.
type connPhase int

const (
	// phaseHead: the head of a request is awaited on a new connection, or is read.
	phaseHead connPhase = iota
	// phaseIdle: a response was sent and no byte of the next request has arrived.
	phaseIdle
	// phaseBody: the handler reads the body and has not begun to serve the request.
	phaseBody
	// phaseBusy: the request is in progress.
	phaseBusy
	// phaseRejected: the request was rejected before its head was complete.
	phaseRejected
	// phaseEvicted: the connection was closed to make room.
	phaseEvicted
)

func (p connPhase) String() string {
	return [...]string{"head", "idle", "body", "busy", "rejected", "evicted"}[p]
}

func (p connPhase) isEvictable() bool { return p != phaseBusy && p != phaseEvicted }

// connState is the phase of a connection and when it began.
type connState struct {
	phase connPhase
	since time.Time
}

// evictionOrder returns the order in which connections are closed to make room.
func (s connState) evictionOrder(now time.Time) int {
	switch s.phase {
	case phaseRejected:
		return 0
	case phaseHead:
		if now.Sub(s.since) > youngHeadAge {
			return 1
		}
		return 3
	case phaseIdle:
		return 2
	default:
		return 4
	}
}

// compare orders connections by the cost of closing them.
func (s connState) compare(other connState, now time.Time) int {
	return cmp.Or(cmp.Compare(s.evictionOrder(now), other.evictionOrder(now)), s.since.Compare(other.since))
}
