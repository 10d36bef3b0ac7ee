package member

import (
	"context"
	"time"

	"dogwoodhead/board"
	"dogwoodhead/frame"
)

// beat is the state of the heartbeats to one peer.
type beat struct {
	// due is when the peer gets the next heartbeat, unless it answers a call before.
	due time.Time
	// known is the process that this node introduced itself to with hello.
	known frame.Incarnation
	// wait is the interval that the peer asked for last.
	wait time.Duration
	// sending is set while a heartbeat is under way.
	sending bool
}

// tickBeats sends heartbeats to the peers of the services that this node calls.
func (m *Member) tickBeats(now time.Time) {
	self := m.o.Board.Self().VM().Name()
	list := m.o.Board.Members()
	wanted := make(map[string]bool)
	var peers []board.VM
	for _, service := range m.o.Services() {
		for _, vm := range list.ByService(service) {
			if vm.Name() != self && !wanted[vm.Name()] {
				wanted[vm.Name()] = true
				peers = append(peers, vm)
			}
		}
	}
	for _, vm := range peers {
		m.tickBeat(now, vm, interval(len(peers)))
	}
	for name := range m.beats {
		if !wanted[name] {
			delete(m.beats, name)
		}
	}
}

// interval returns the time between heartbeats of one of many pairs of nodes.
func interval(pairs int) time.Duration {
	return min(max(beatInterval, time.Duration(pairs)*beatShare), maxBeatInterval)
}

func (m *Member) tickBeat(now time.Time, vm board.VM, every time.Duration) {
	b, ok := m.beats[vm.Name()]
	if !ok {
		b = &beat{due: now.Add(time.Duration(m.o.Rand.Int64N(int64(firstBeat))))}
		m.beats[vm.Name()] = b
	}
	if b.sending || now.Before(b.due) {
		return
	}
	// An answer to a call says the same as an answer to a heartbeat.
	p, _ := m.o.Board.Peers().Get(vm.Name())
	if !p.LastResponse.IsZero() && now.Sub(p.LastResponse) < beatInterval/2 && b.known == p.Incarnation {
		b.due = p.LastResponse.Add(m.around(max(every, b.wait)))
		return
	}
	b.due = now.Add(m.around(max(every, b.wait)))
	introduce := !b.known.Known() || b.known != p.Incarnation
	b.sending = m.submit(func(ctx context.Context) { m.sendBeat(ctx, vm, introduce) })
}

// sendBeat sends one heartbeat, or hello to a process that does not know this
// node yet.
func (m *Member) sendBeat(ctx context.Context, vm board.VM, introduce bool) {
	m.counts.beats.Inc()
	var s State
	var err error
	if introduce {
		s, err = m.o.Hello(ctx, vm.ControlAddr(), m.introduction())
	} else {
		s, err = m.o.Beat(ctx, vm.ControlAddr(), m.State())
	}
	// Another VM may have got the address since the list was made.
	ok := err == nil && s.From.VM() == vm.Name()
	m.mu.Lock()
	if b, found := m.beats[vm.Name()]; found {
		b.sending = false
		if !ok {
			// A peer that restarts has to be found soon: it may know nobody.
			b.due = m.o.Clock.Now().Add(m.around(beatRetry))
		}
		if ok && introduce {
			b.known = s.From
		}
		if ok {
			b.wait = s.Wait
		}
	}
	m.mu.Unlock()
	if !ok {
		m.counts.beatFailures.Inc()
		return
	}
	m.Observe(s)
}

// Ask sends hello to a peer at once and returns its state, for a call that has
// to name the peer's incarnation.
func (m *Member) Ask(ctx context.Context, vm board.VM) (State, error) {
	s, err := m.o.Hello(ctx, vm.ControlAddr(), m.introduction())
	if err == nil && s.From.VM() == vm.Name() {
		m.Observe(s)
	}
	return s, err
}

// Observe records what another node says about itself: its state on the board,
// where this node calls its service, and its revisions.
func (m *Member) Observe(s State) {
	name := s.From.VM()
	if name == m.o.Board.Self().VM().Name() {
		return
	}
	now := m.o.Clock.Now()
	calls := m.calls(name)
	m.o.Board.Peers().Update(name, func(p board.Peer, ok bool) (board.Peer, bool) {
		if !ok && !calls {
			return p, false
		}
		if p.Incarnation != s.From {
			// Another process: what was learned of the earlier one is void.
			p.Leaving, p.ConsecutiveFailures, p.AvoidUntil = false, 0, time.Time{}
		}
		p.Incarnation, p.Load, p.LastResponse, p.Rev = s.From, s.Load, now, s.Revs.Pair()
		// A message that was sent before the peer began to leave may arrive later.
		p.Leaving = p.Leaving || s.Leaving
		return p, true
	})
	m.o.Contact(name, s.Revs)
}

// calls reports whether this node calls the service of a VM.
func (m *Member) calls(name string) bool {
	vm, ok := m.o.Board.Members().Get(name)
	if !ok {
		return false
	}
	for _, s := range m.o.Services() {
		if s == vm.Service() {
			return true
		}
	}
	return false
}

// HandleHello answers hello.
func (m *Member) HandleHello(_ context.Context, s State) (State, error) {
	m.hear(s)
	return m.answer(m.introduction()), nil
}

// HandleBeat answers a heartbeat.
func (m *Member) HandleBeat(_ context.Context, s State) (State, error) {
	m.hear(s)
	return m.answer(m.State()), nil
}

// answer asks the sender for a longer interval where there are many senders.
func (m *Member) answer(s State) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	if wait := interval(len(m.senders)); wait > beatInterval {
		s.Wait = wait
	}
	return s
}

// HandleLeave takes the news that a peer takes no new work.
func (m *Member) HandleLeave(_ context.Context, s State) error {
	s.Leaving = true
	m.Observe(s)
	return nil
}

func (m *Member) hear(s State) {
	m.sent(s.From.VM(), s.Zone, s.Service, s.Control)
	m.Observe(s)
}
