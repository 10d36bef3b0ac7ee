package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"dogwoodhead/board"
)

const (
	// leaveRetryDelay is the time between attempts to deliver a leave notice.
	leaveRetryDelay = 500 * time.Millisecond
	// maxLeaveAttempts bounds these attempts: a notice is useless after the few
	// seconds in which it must arrive, and every response carries the same state.
	maxLeaveAttempts = 5
)

// sender is a node that recently sent calls or heartbeats.
type sender struct {
	lastSeen time.Time
	// vm has the control address from its hello, in case the VM list lacks the
	// node.
	vm board.VM
}

// leaveNotice is the state of the leave notice to one sender.
type leaveNotice struct {
	nextAt   time.Time
	attempts int
	sending  bool
}

// RecordCall records that a node sent a call, so that it is notified when this
// node leaves.
func (m *Membership) RecordCall(vm string) { m.recordSender(vm, "", "", "") }

func (m *Membership) recordSender(name, zone, service, controlAddr string) {
	if name == "" || name == m.opts.Board.Self().VM().Name() {
		return
	}
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.senders[name]
	if !ok && len(m.senders) >= maxSenders {
		m.counters.droppedSenders.Inc()
		return
	}
	s.lastSeen = now
	if controlAddr != "" {
		s.vm = board.NewVM(board.VMFields{Name: name, Zone: zone, Service: service, ControlAddr: controlAddr})
	}
	m.senders[name] = s
}

// Lookup returns a VM by name: from the list, or from its hello if the list
// lacks it.
func (m *Membership) Lookup(name string) (board.VM, bool) {
	if vm, ok := m.opts.Board.Members().Get(name); ok {
		return vm, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lookupSender(name)
}

func (m *Membership) lookupSender(name string) (board.VM, bool) {
	s, ok := m.senders[name]
	return s.vm, ok && s.vm.ControlAddr() != ""
}

// Leave marks this node as leaving on the board and notifies recent senders
// immediately.
func (m *Membership) Leave() {
	m.opts.Board.SetLeaving()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tickLeaveNotices(m.opts.Clock.Now())
}

// tickLeaveNotices notifies recent senders if the board marks this node as
// leaving, which other packages may set too.
func (m *Membership) tickLeaveNotices(now time.Time) {
	if !m.opts.Board.Leaving() {
		return
	}
	if m.leaveNotices == nil {
		m.leaveNotices = make(map[string]*leaveNotice)
	}
	for name := range m.senders {
		if _, ok := m.leaveNotices[name]; !ok {
			m.leaveNotices[name] = &leaveNotice{nextAt: now}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.leaveNotices)) {
		notice := m.leaveNotices[name]
		if notice.sending || notice.attempts >= maxLeaveAttempts || now.Before(notice.nextAt) {
			continue
		}
		vm, ok := m.opts.Board.Members().Get(name)
		if !ok {
			vm, ok = m.lookupSender(name)
		}
		if !ok {
			notice.attempts = maxLeaveAttempts
			continue
		}
		notice.nextAt = now.Add(leaveRetryDelay)
		notice.attempts++
		notice.sending = m.submit(func(ctx context.Context) { m.sendLeave(ctx, vm) })
	}
}

func (m *Membership) sendLeave(ctx context.Context, vm board.VM) {
	m.counters.leaveNotices.Inc()
	err := m.opts.Leave(ctx, vm.ControlAddr(), m.State())
	if err != nil {
		m.counters.leaveFailures.Inc()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	notice := m.leaveNotices[vm.Name()]
	notice.sending = false
	if err == nil {
		notice.attempts = maxLeaveAttempts
	}
}

// LeaveNoticesDone reports whether all leave notices are delivered or given up.
// It is true before this node leaves.
func (m *Membership) LeaveNoticesDone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, notice := range m.leaveNotices {
		if notice.sending || notice.attempts < maxLeaveAttempts {
			return false
		}
	}
	return true
}
