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
