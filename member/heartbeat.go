package member

import (
	"context"
	"time"

	"dogwoodhead/board"
	"dogwoodhead/frame"
)

// heartbeat is the state of the heartbeats to one peer.
type heartbeat struct {
	// nextAt is when the next heartbeat is sent, unless the peer responds to a
	// call before.
	nextAt time.Time
	// introducedTo is the process that this node introduced itself to with hello.
	introducedTo frame.Incarnation
	// minInterval is the interval that the peer requested last.
	minInterval time.Duration
	// sending is set while a heartbeat is queued or in flight.
	sending bool
}

// tickHeartbeats sends due heartbeats to peers of the services that this node
// calls.
func (m *Membership) tickHeartbeats(now time.Time) {
	self := m.opts.Board.Self().VM().Name()
	list := m.opts.Board.Members()
	called := make(map[string]bool)
	var peers []board.VM
	for _, service := range m.opts.Services() {
		for _, vm := range list.ByService(service) {
			if vm.Name() != self && !called[vm.Name()] {
				called[vm.Name()] = true
				peers = append(peers, vm)
			}
		}
	}
	for _, vm := range peers {
		m.tickHeartbeat(now, vm, heartbeatIntervalFor(len(peers)))
	}
	for name := range m.heartbeats {
		if !called[name] {
			delete(m.heartbeats, name)
		}
	}
}

// heartbeatIntervalFor returns the time between heartbeats to each of many peers.
func heartbeatIntervalFor(peers int) time.Duration {
	return min(max(heartbeatInterval, time.Duration(peers)*heartbeatIntervalPerPeer), maxHeartbeatInterval)
}

func (m *Membership) tickHeartbeat(now time.Time, vm board.VM, interval time.Duration) {
	hb, ok := m.heartbeats[vm.Name()]
	if !ok {
		hb = &heartbeat{nextAt: now.Add(time.Duration(m.opts.Rand.Int64N(int64(firstHeartbeatJitter))))}
		m.heartbeats[vm.Name()] = hb
	}
	if hb.sending || now.Before(hb.nextAt) {
		return
	}
	// A response to a call carries the same state as a response to a heartbeat.
	p, _ := m.opts.Board.Peers().Get(vm.Name())
	if !p.LastResponse.IsZero() && now.Sub(p.LastResponse) < heartbeatInterval/2 && hb.introducedTo == p.Incarnation {
		hb.nextAt = p.LastResponse.Add(m.withJitter(max(interval, hb.minInterval)))
		return
	}
	hb.nextAt = now.Add(m.withJitter(max(interval, hb.minInterval)))
	introduce := !hb.introducedTo.Known() || hb.introducedTo != p.Incarnation
	hb.sending = m.submit(func(ctx context.Context) { m.sendHeartbeat(ctx, vm, introduce) })
}

// sendHeartbeat sends one heartbeat, or hello to a process that this node has
// not introduced itself to.
func (m *Membership) sendHeartbeat(ctx context.Context, vm board.VM, introduce bool) {
	m.counters.heartbeats.Inc()
	var s State
	var err error
	if introduce {
		s, err = m.opts.Hello(ctx, vm.ControlAddr(), m.helloState())
	} else {
		s, err = m.opts.Heartbeat(ctx, vm.ControlAddr(), m.State())
	}
	// The address may have been reassigned to another VM since the list was made.
	ok := err == nil && s.From.VM() == vm.Name()
	m.mu.Lock()
	if hb, found := m.heartbeats[vm.Name()]; found {
		hb.sending = false
		if !ok {
			// A restarted peer must be contacted soon: it may have no other contact.
			hb.nextAt = m.opts.Clock.Now().Add(m.withJitter(heartbeatRetryDelay))
		}
		if ok && introduce {
			hb.introducedTo = s.From
		}
		if ok {
			hb.minInterval = s.MinHeartbeatInterval
		}
	}
	m.mu.Unlock()
	if !ok {
		m.counters.heartbeatFailures.Inc()
		return
	}
	m.Observe(s)
}

// SendHello sends hello to a peer immediately and returns its state, for a call
// that must name the peer's incarnation.
func (m *Membership) SendHello(ctx context.Context, vm board.VM) (State, error) {
	s, err := m.opts.Hello(ctx, vm.ControlAddr(), m.helloState())
	if err == nil && s.From.VM() == vm.Name() {
		m.Observe(s)
	}
	return s, err
}

// Observe records the state that another node reported: on the board if this
// node calls its service, and its revisions with ObserveRevs.
func (m *Membership) Observe(s State) {
	name := s.From.VM()
	if name == m.opts.Board.Self().VM().Name() {
		return
	}
	now := m.opts.Clock.Now()
	called := m.callsServiceOf(name)
	m.opts.Board.Peers().Update(name, func(p board.Peer, ok bool) (board.Peer, bool) {
		if !ok && !called {
			return p, false
		}
		if p.Incarnation != s.From {
			// A new process: reset what was recorded about the previous one.
			p.Leaving, p.ConsecutiveFailures, p.AvoidUntil = false, 0, time.Time{}
		}
		p.Incarnation, p.Load, p.LastResponse, p.Rev = s.From, s.Load, now, s.Revs.Pair()
		// A message that was sent before the peer began to leave may arrive late.
		p.Leaving = p.Leaving || s.Leaving
		return p, true
	})
	m.opts.ObserveRevs(name, s.Revs)
}

// callsServiceOf reports whether this node calls the service of a VM.
func (m *Membership) callsServiceOf(name string) bool {
	vm, ok := m.opts.Board.Members().Get(name)
	if !ok {
		return false
	}
	for _, s := range m.opts.Services() {
		if s == vm.Service() {
			return true
		}
	}
	return false
}

// HandleHello handles a hello and returns this node's state.
func (m *Membership) HandleHello(_ context.Context, s State) (State, error) {
	m.observeSender(s)
	return m.withMinInterval(m.helloState()), nil
}

// HandleHeartbeat handles a heartbeat and returns this node's state.
func (m *Membership) HandleHeartbeat(_ context.Context, s State) (State, error) {
	m.observeSender(s)
	return m.withMinInterval(m.State()), nil
}

// withMinInterval requests a longer interval if there are many senders.
func (m *Membership) withMinInterval(s State) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	if interval := heartbeatIntervalFor(len(m.senders)); interval > heartbeatInterval {
		s.MinHeartbeatInterval = interval
	}
	return s
}

// HandleLeave records that a peer accepts no new work.
func (m *Membership) HandleLeave(_ context.Context, s State) error {
	s.Leaving = true
	m.Observe(s)
	return nil
}

func (m *Membership) observeSender(s State) {
	m.recordSender(s.From.VM(), s.Zone, s.Service, s.ControlAddr)
	m.Observe(s)
}
