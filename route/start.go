package route

import "dogwoodhead/board"

// Start counts an attempt at a VM that was not chosen by Pick, because only
// that VM can run the call. Report ends it. Unlike Pick it also starts attempts
// at a leaving peer, which may have the answer already.
func (c *Chooser) Start(vm string) {
	c.board.Peers().Update(vm, func(p board.Peer, _ bool) (board.Peer, bool) {
		p.Inflight++
		return p, true
	})
}

// Suspect starts an avoidance of a VM that gives no sign of life, without
// ending an attempt there.
func (c *Chooser) Suspect(vm string) {
	now := c.clock.Now()
	drawn := c.float()
	c.board.Peers().Update(vm, func(p board.Peer, ok bool) (board.Peer, bool) {
		return avoid(p, failedAvoid, failedMax, now, drawn), ok
	})
}
