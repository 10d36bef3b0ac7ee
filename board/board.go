package board

import (
	"sync/atomic"

	"dogwoodhead/frame"
	"dogwoodhead/policy"
)

// Self names this node. It does not change while the process runs.
type Self struct {
	vm          VM
	site        string
	incarnation frame.Incarnation
}

// NewSelf returns the identity of this node.
func NewSelf(vm VM, site string, incarnation frame.Incarnation) Self {
	return Self{vm: vm, site: site, incarnation: incarnation}
}

// VM returns this node's own entry, from its settings.
func (s Self) VM() VM { return s.vm }

// Site returns the site whose overlay applies.
func (s Self) Site() string { return s.site }

// Incarnation returns this process.
func (s Self) Incarnation() frame.Incarnation { return s.incarnation }

// InForce is the policy in force with its revision pair.
type InForce struct {
	rev    frame.Revision
	policy *policy.Policy
}

// NewInForce returns a policy with its revision pair.
func NewInForce(rev frame.Revision, p *policy.Policy) *InForce {
	return &InForce{rev: rev, policy: p}
}

// Rev returns the revision pair.
func (f *InForce) Rev() frame.Revision { return f.rev }

// Policy returns the merged policy.
func (f *InForce) Policy() *policy.Policy { return f.policy }

// Board holds the tables of one node.
type Board struct {
	self    Self
	inForce Cell[InForce]
	members Cell[Members]
	// peers is keyed by VM name.
	peers *Table[string, Peer]
	// leaving only ever changes from false to true.
	leaving atomic.Bool
	// fresh is false while the node has not refreshed its view after a pause
	// or a start.
	fresh atomic.Bool
}

// New returns a board without policy and with an empty VM list.
func New(self Self) *Board {
	b := &Board{self: self, peers: NewTable[string, Peer]()}
	b.members.Store(NewMembers(0, nil))
	return b
}

// Self returns this node's identity.
func (b *Board) Self() Self { return b.self }

// InForce returns the policy in force, nil before the first accepted one.
func (b *Board) InForce() *InForce { return b.inForce.Load() }

// SetInForce replaces the policy; only package relay calls it. The pair never
// goes back.
func (b *Board) SetInForce(f *InForce) {
	if old := b.inForce.Load(); old != nil {
		frame.AssertInvariant(!f.rev.Behind(old.rev), "revision", "from %s back to %s", old.rev, f.rev)
	}
	b.inForce.Store(f)
}

// Rev returns the revision pair in force, the zero pair before the first.
func (b *Board) Rev() frame.Revision {
	if f := b.inForce.Load(); f != nil {
		return f.rev
	}
	return frame.Revision{}
}

// Members returns the current snapshot of the VM list, never nil.
func (b *Board) Members() *Members { return b.members.Load() }

// SetMembers replaces the VM list; only package member calls it.
func (b *Board) SetMembers(m *Members) { b.members.Store(m) }

// Peers returns the table of peers, keyed by VM name.
func (b *Board) Peers() *Table[string, Peer] { return b.peers }

// Leaving reports whether this node takes no new work until its process ends.
func (b *Board) Leaving() bool { return b.leaving.Load() }

// SetLeaving marks this node as leaving and reports whether it was not before.
func (b *Board) SetLeaving() bool { return b.leaving.CompareAndSwap(false, true) }

// Listed reports whether the VM list in force says that this VM is leaving. The
// list may be stale when a process starts, so a newer one can take it back.
func (b *Board) Listed() bool {
	own, ok := b.Members().Get(b.self.vm.name)
	return ok && own.leaving
}

// Fresh reports whether the node's view was refreshed since its last pause.
func (b *Board) Fresh() bool { return b.fresh.Load() }

// SetFresh records whether the view is fresh; only package member calls it.
func (b *Board) SetFresh(fresh bool) { b.fresh.Store(fresh) }
