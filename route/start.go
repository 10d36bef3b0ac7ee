package route

import "dogwoodhead/board"

// Start counts an attempt as in flight at a VM that was not chosen by Pick,
// because only that VM can run the call, until Report. Unlike Pick it allows a
// leaving peer, which may already have the response.
func (c *Chooser) Start(vm string) {
	c.board.Peers().Update(vm, func(p board.Peer, _ bool) (board.Peer, bool) {
		p.Inflight++
		return p, true
	})
}

// Suspect starts an avoidance of an unresponsive VM, without ending an attempt
// there.
func (c *Chooser) Suspect(vm string) {
	now := c.clock.Now()
	random := c.randFloat()
	c.board.Peers().Update(vm, func(p board.Peer, ok bool) (board.Peer, bool) {
		return startAvoidance(p, failedAvoidBase, failedAvoidMax, now, random), ok
	})
}
