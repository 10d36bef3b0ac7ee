package mesh

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/catalog"
)

// Guards against sending requests to a server that announced that it leaves and whose
// entry comes back, and against never using one again that started under its id.
func TestLeavingPeerListedAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	first, again := catalog.Server{ID: "i-1", StartedMillis: 1}, catalog.Server{ID: "i-1", StartedMillis: 2}
	for _, tc := range []struct {
		name     string
		inflight int
		relisted catalog.Server
		leaving  bool
	}{
		{"same incarnation", 0, first, true},
		{"same incarnation, request in flight", 1, first, true},
		{"started again", 0, again, false},
		{"started again, request in flight", 1, again, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			peers := board.NewTable[string, board.Peer]()
			i := newIncarnations(clock, peers)
			i.update([]catalog.Server{first})
			peers.Update("i-1", func(board.Peer, bool) (board.Peer, bool) {
				return board.Peer{Leaving: true, Inflight: tc.inflight, LastResponse: clock.Now()}, true
			})
			i.update(nil)
			i.update([]catalog.Server{tc.relisted})
			p, _ := peers.Get("i-1")
			require.Equal(t, tc.leaving, p.Leaving)
		})
	}
}

// Guards against keeping the state of peers that have left for good.
func TestUnlistedPeerDeleted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peers := board.NewTable[string, board.Peer]()
	i := newIncarnations(clock, peers)
	i.update([]catalog.Server{{ID: "i-1", StartedMillis: 1}, {ID: "i-2", StartedMillis: 1}})
	for _, id := range []string{"i-1", "i-2"} {
		peers.Update(id, func(board.Peer, bool) (board.Peer, bool) {
			return board.Peer{Leaving: id == "i-1", LastResponse: clock.Now()}, true
		})
	}
	i.update(nil)
	_, ok := peers.Get("i-2")
	require.False(t, ok)
	clock.Advance(leavingRetention)
	i.update(nil)
	_, ok = peers.Get("i-1")
	require.False(t, ok)
	require.Empty(t, i.startedMillis)
}
