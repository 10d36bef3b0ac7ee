package mesh

import (
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/catalog"
)

// leavingRetention is how long the state of an unlisted server that announced that
// it leaves is kept. Its entry may come back after an outage of the store, which
// removes entries and restores them within seconds.
const leavingRetention = 2 * time.Minute

// incarnations keeps the state of peers in step with the list: that of a server ends
// when it has left or started again under its id. Calls of update must not overlap.
type incarnations struct {
	clock clockwork.Clock
	peers *board.Table[string, board.Peer]
	// startedMillis holds the start of each listed server and of each peer whose
	// state is kept, by id.
	startedMillis map[string]int64
}

func newIncarnations(clock clockwork.Clock, peers *board.Table[string, board.Peer]) *incarnations {
	return &incarnations{clock: clock, peers: peers, startedMillis: make(map[string]int64)}
}

// update applies a list.
func (i *incarnations) update(servers []catalog.Server) {
	started := make(map[string]int64, len(servers))
	for _, s := range servers {
		started[s.ID] = s.StartedMillis
		if previous, ok := i.startedMillis[s.ID]; ok && previous != s.StartedMillis {
			i.endLeaving(s.ID)
		}
	}
	i.deleteUnlisted(started)
	for id, millis := range i.startedMillis {
		_, listed := started[id]
		if _, kept := i.peers.Get(id); kept && !listed {
			started[id] = millis
		}
	}
	i.startedMillis = started
}

// endLeaving ends the leaving state of a server that started again under its id.
func (i *incarnations) endLeaving(id string) {
	i.peers.Update(id, func(p board.Peer, ok bool) (board.Peer, bool) {
		p.Leaving = false
		return p, ok
	})
}

// deleteUnlisted deletes the state of unlisted peers, except those with requests in
// flight and those that announced lately that they leave.
func (i *incarnations) deleteUnlisted(listed map[string]int64) {
	now := i.clock.Now()
	var unlisted []string
	i.peers.Range(func(name string, p board.Peer) bool {
		_, ok := listed[name]
		if !ok && p.Inflight == 0 && !(p.Leaving && now.Sub(p.LastResponse) < leavingRetention) {
			unlisted = append(unlisted, name)
		}
		return true
	})
	for _, name := range unlisted {
		i.peers.Delete(name)
	}
}
