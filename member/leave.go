package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"dogwoodhead/board"
)

const (
	// leaveRetry is the time between attempts to deliver a leave message.
	leaveRetry = 500 * time.Millisecond
	// leaveAttempts bounds them: the news is worth nothing after the few seconds
	// in which it has to arrive, and every answer carries it as well.
	leaveAttempts = 5
)

// sender is a node that sent calls or heartbeats lately.
type sender struct {
	seen time.Time
	// vm is how to reach it where the VM list does not have it.
	vm board.VM
}

// farewell is the state of the leave message to one sender.
type farewell struct {
	next     time.Time
	attempts int
	sending  bool
}

// Heard records that a node sent a call, so that it is told when this node leaves.
func (m *Member) Heard(vm string) { m.sent(vm, "", "", "") }

func (m *Member) sent(name, zone, service, control string) {
	if name == "" || name == m.o.Board.Self().VM().Name() {
		return
	}
	now := m.o.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.senders[name]
	if !ok && len(m.senders) >= maxSenders {
		return
	}
	s.seen = now
	if control != "" {
		s.vm = board.NewVM(board.VMFields{Name: name, Zone: zone, Service: service, ControlAddr: control})
	}
	m.senders[name] = s
}

// Lookup returns a VM by name: from the list, or from its own hello where the
// list does not have it.
func (m *Member) Lookup(name string) (board.VM, bool) {
	if vm, ok := m.o.Board.Members().Get(name); ok {
		return vm, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.introduced(name)
}

func (m *Member) introduced(name string) (board.VM, bool) {
	s, ok := m.senders[name]
	return s.vm, ok && s.vm.ControlAddr() != ""
}

// Leave starts to leave: the board says so, and recent senders are told at once.
func (m *Member) Leave() {
	m.o.Board.SetLeaving()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tickLeave(m.o.Clock.Now())
}

// tickLeave tells recent senders that this node leaves, whoever decided so.
func (m *Member) tickLeave(now time.Time) {
	if !m.o.Board.Leaving() {
		return
	}
	if m.farewells == nil {
		m.farewells = make(map[string]*farewell)
	}
	for name := range m.senders {
		if _, ok := m.farewells[name]; !ok {
			m.farewells[name] = &farewell{next: now}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.farewells)) {
		f := m.farewells[name]
		if f.sending || f.attempts >= leaveAttempts || now.Before(f.next) {
			continue
		}
		vm, ok := m.o.Board.Members().Get(name)
		if !ok {
			vm, ok = m.introduced(name)
		}
		if !ok {
			f.attempts = leaveAttempts
			continue
		}
		f.next = now.Add(leaveRetry)
		f.attempts++
		f.sending = m.submit(func(ctx context.Context) { m.sendLeave(ctx, vm) })
	}
}

func (m *Member) sendLeave(ctx context.Context, vm board.VM) {
	m.counts.leaves.Inc()
	err := m.o.Leave(ctx, vm.ControlAddr(), m.State())
	if err != nil {
		m.counts.leaveFailures.Inc()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.farewells[vm.Name()]
	f.sending = false
	if err == nil {
		f.attempts = leaveAttempts
	}
}

// Told reports whether no leave message is still under way or to be repeated.
// It is true before this node leaves.
func (m *Member) Told() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.farewells {
		if f.sending || f.attempts < leaveAttempts {
			return false
		}
	}
	return true
}
