package board

import (
	"sync/atomic"

	"dogwoodhead/frame"
	"dogwoodhead/policy"
)

// Self identifies this node. It does not change while the process runs.
type Self struct {
	vm          VM
	site        string
	incarnation frame.Incarnation
}

// NewSelf returns the identity of this node.
func NewSelf(vm VM, site string, incarnation frame.Incarnation) Self {
	return Self{vm: vm, site: site, incarnation: incarnation}
}

// VM returns this node's VM, built from its settings.
func (s Self) VM() VM { return s.vm }

// Site returns the site whose overlay applies.
func (s Self) Site() string { return s.site }

// Incarnation identifies this process of the node.
func (s Self) Incarnation() frame.Incarnation { return s.incarnation }

// ActiveConfig is the active policy with its revision pair. It is immutable.
type ActiveConfig struct {
	rev    frame.Revision
	policy *policy.Policy
}

// NewActiveConfig returns a policy with its revision pair.
func NewActiveConfig(rev frame.Revision, p *policy.Policy) *ActiveConfig {
	return &ActiveConfig{rev: rev, policy: p}
}

// Rev returns the revision pair.
func (c *ActiveConfig) Rev() frame.Revision { return c.rev }

// Policy returns the merged policy.
func (c *ActiveConfig) Policy() *policy.Policy { return c.policy }

// Board is the shared state of one node. It is safe for concurrent use.
type Board struct {
	self         Self
	activeConfig Cell[ActiveConfig]
	members      Cell[Members]
	// peers is keyed by VM name.
	peers *Table[string, Peer]
	// leaving never changes back to false.
	leaving atomic.Bool
	// fresh is false after a pause or a start, until VM list and configuration
	// are refreshed or package member stops trying.
	fresh atomic.Bool
}

// New returns a board without an active configuration and with an empty VM list.
func New(self Self) *Board {
	b := &Board{self: self, peers: NewTable[string, Peer]()}
	b.members.Store(NewMembers(0, nil))
	return b
}

// Self returns this node's identity.
func (b *Board) Self() Self { return b.self }

// ActiveConfig returns the active configuration, nil before the first accepted one.
func (b *Board) ActiveConfig() *ActiveConfig { return b.activeConfig.Load() }

// SetActiveConfig replaces the active configuration; only package relay calls
// it. Neither revision of the pair ever decreases.
func (b *Board) SetActiveConfig(c *ActiveConfig) {
	if old := b.activeConfig.Load(); old != nil {
		frame.AssertInvariant(!c.rev.Behind(old.rev), "revision", "from %s back to %s", old.rev, c.rev)
	}
	b.activeConfig.Store(c)
}

// Rev returns the active revision pair, the zero pair before the first one.
func (b *Board) Rev() frame.Revision {
	if c := b.activeConfig.Load(); c != nil {
		return c.rev
	}
	return frame.Revision{}
}

// Members returns the current snapshot of the VM list, never nil.
func (b *Board) Members() *Members { return b.members.Load() }

// SetMembers replaces the VM list; only package member calls it.
func (b *Board) SetMembers(m *Members) { b.members.Store(m) }

// Peers returns the table of peers, keyed by VM name.
func (b *Board) Peers() *Table[string, Peer] { return b.peers }

// Leaving reports whether this node accepts no new work until its process ends.
func (b *Board) Leaving() bool { return b.leaving.Load() }

// SetLeaving marks this node as leaving. It returns false if it already was.
func (b *Board) SetLeaving() bool { return b.leaving.CompareAndSwap(false, true) }

// ListedLeaving reports whether the current VM list marks this VM as leaving.
// The list may be stale when a process starts, so a newer one can clear the mark.
func (b *Board) ListedLeaving() bool {
	entry, ok := b.Members().Get(b.self.vm.name)
	return ok && entry.leaving
}

// Fresh reports whether no refresh after a pause or a start is pending.
func (b *Board) Fresh() bool { return b.fresh.Load() }

// SetFresh sets what Fresh returns; only package member calls it.
func (b *Board) SetFresh(fresh bool) { b.fresh.Store(fresh) }
