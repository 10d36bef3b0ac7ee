package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/source"
)

// soloRelay is one relay with a manual task queue and simulated peers.
type soloRelay struct {
	*Relay
	clock *clockwork.FakeClock
	tasks []func(context.Context)
	pulls []PullRequest
	// onPull returns the reply of every peer to a pull.
	onPull func(PullRequest) (PullReply, error)
}

func newSoloRelay(site string) *soloRelay {
	vms := newVMs(44)
	s := &soloRelay{clock: clockwork.NewFakeClock()}
	s.onPull = func(PullRequest) (PullReply, error) { return PullReply{}, nil }
	r := rand.New(rand.NewPCG(20261204, 5))
	members := board.NewMembers(1, vms)
	s.Relay = New(Options{
		Self:  board.NewSelf(vms[0], site, frame.NewIncarnation(vms[0].Name(), r)),
		Clock: s.clock, Rand: r, Metrics: metrics.NewSet(),
		Store:   NewStore(StoreOptions{Site: site, Check: checkNotBad}),
		Members: func() *board.Members { return members },
		Push:    func(context.Context, board.VM, PushRequest) (PushReply, error) { return PushReply{}, nil },
		Pull: func(_ context.Context, _ board.VM, q PullRequest) (PullReply, error) {
			s.pulls = append(s.pulls, q)
			return s.onPull(q)
		},
		Read:  func(context.Context, string) (source.Value, error) { return source.Value{}, errBadDocument },
		Watch: func(string, uint64, time.Duration, func(source.Value, error)) {},
		Go:    func(task func(context.Context)) bool { s.tasks = append(s.tasks, task); return true },
	})
	return s
}

func (s *soloRelay) runTasks() {
	for len(s.tasks) > 0 {
		task := s.tasks[0]
		s.tasks = s.tasks[1:]
		task(context.Background())
	}
}

// Guards against a pull for each call that carries a higher revision, for
// example from a peer of another site or one that reports a wrong revision.
func TestObservedRevisionPullsOnce(t *testing.T) {
	s := newSoloRelay("a")
	for range 1000 {
		s.ObserveRevisionPair("vm-0001", frame.NewRevision(7, 7))
	}
	require.Len(t, s.tasks, 1, "one pull at a time")
	s.runTasks()
	for range 100 {
		s.clock.Advance(90 * time.Millisecond)
		s.ObserveRevisionPair("vm-0001", frame.NewRevision(7, 7))
		s.runTasks()
	}
	require.Len(t, s.pulls, 1, "an unproductive pull is not repeated within 10 s")
	s.ObserveRevisionPair("vm-0001", frame.NewRevision(8, 7))
	s.runTasks()
	require.Len(t, s.pulls, 2, "a still higher revision causes another pull")
	s.clock.Advance(unproductiveTTL)
	s.ObserveRevisionPair("vm-0001", frame.NewRevision(8, 7))
	s.runTasks()
	require.Len(t, s.pulls, 3)
	s.ObserveRevisionPair("vm-9999", frame.NewRevision(9, 9))
	s.ObserveRevisionPair(s.selfName(), frame.NewRevision(9, 9))
	s.runTasks()
	require.Len(t, s.pulls, 3, "no pull from a peer without address or from this node")
}

// Guards against sending an overlay to a node of another site, and against a reply
// whose size grows with the number of documents.
func TestHandlePull(t *testing.T) {
	s := newSoloRelay("a")
	large := make([]byte, maxPullReplySize)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(large)
	for key, text := range map[string][]byte{KeyBase: large, OverlayKey("a"): []byte("o"), KeyVMs: large} {
		require.Equal(t, Accepted, s.offer(NewDocument(key, 3, text), ""))
	}
	pull := func(site string, have Revs) (keys []string, more bool) {
		reply, err := s.HandlePull(t.Context(), PullRequest{From: "vm-0001", ControlAddr: "10.0.0.9:1", Site: site, Have: have})
		require.NoError(t, err)
		for _, p := range reply.Docs {
			keys = append(keys, p.Key)
		}
		return keys, reply.More
	}
	keys, more := pull("a", Revs{})
	require.Equal(t, []string{KeyBase}, keys)
	require.True(t, more)
	keys, more = pull("a", Revs{Base: 3})
	require.Equal(t, []string{OverlayKey("a")}, keys)
	require.True(t, more)
	keys, more = pull("b", Revs{Base: 3, Overlay: 9})
	require.Equal(t, []string{KeyVMs}, keys)
	require.False(t, more)
	s.tasks = nil
	_, _ = pull("b", Revs{Base: 3, Overlay: 9, VMs: 3})
	require.Empty(t, s.tasks, "the overlay of another site causes no pull")
	_, _ = pull("a", Revs{Base: 3, Overlay: 9, VMs: 3})
	require.Len(t, s.tasks, 1)
	_, err := s.HandlePull(t.Context(), PullRequest{From: "vm-0001", ControlAddr: "host:1"})
	require.Error(t, err)
	// A peer gets all documents by one pull of several rounds.
	other := newSoloRelay("a")
	other.onPull = func(q PullRequest) (PullReply, error) { return s.HandlePull(t.Context(), q) }
	vm, _ := other.opts.Members().Get("vm-0001")
	accepted, err := other.pullFrom(t.Context(), vm)
	require.NoError(t, err)
	require.Equal(t, 3, accepted)
	require.Equal(t, s.opts.Store.Revs(), other.opts.Store.Revs())
	require.Equal(t, Rejected, other.offer(NewDocument(KeyBase, 4, []byte("bad")), ""))
	status := other.Status()
	require.Equal(t, DocumentStatus{Key: KeyBase, Rev: 3, Size: maxPullReplySize, RejectedRev: 4, RejectionReason: errBadDocument.Error()}, status.Documents[0])
	require.Equal(t, uint64(3), status.Pulls)
}

// Guards against a document that is rejected keeping the peer's other ones from
// this node.
func TestPullAfterRejected(t *testing.T) {
	s := newSoloRelay("a")
	large := make([]byte, maxPullReplySize)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(large)
	vms := NewDocument(KeyVMs, 3, large)
	overlay := NewDocument(OverlayKey("a"), 3, []byte("o"))
	peer := newSoloRelay("a")
	require.Equal(t, Accepted, peer.offer(vms, ""))
	require.Equal(t, Accepted, peer.offer(overlay, ""))
	rejected := NewDocument(KeyBase, 3, []byte("bad"))
	s.onPull = func(q PullRequest) (PullReply, error) {
		if q.Have.Base < 3 {
			return PullReply{Docs: []EncodedDocument{Encode(rejected, Document{})}, More: true}, nil
		}
		return peer.HandlePull(t.Context(), q)
	}
	vm, _ := s.opts.Members().Get("vm-0001")
	accepted, err := s.pullFrom(t.Context(), vm)
	require.NoError(t, err)
	require.Equal(t, 2, accepted)
	require.Equal(t, Revs{Overlay: 3, VMs: 3}, s.opts.Store.Revs())
}

// Guards against a tree that misses nodes, has cycles, is too wide or too deep,
// or has more than one edge into a zone.
func TestTreeShape(t *testing.T) {
	for _, n := range vmCounts {
		vms := newVMs(n)
		m := board.NewMembers(1, vms)
		slices.Reverse(vms)
		same := board.NewMembers(2, vms)
		for rev := range uint64(5) {
			tree := NewTree(m, KeyBase, rev, defaultReadersPerZone, nil)
			require.Equal(t, tree, NewTree(same, KeyBase, rev, defaultReadersPerZone, nil), "the order of the list does not matter")
			require.Len(t, tree.parent, n-1, "all nodes but the root have a parent")
			zoneCrossings, maxDepth := 0, 0
			for v := range m.All() {
				require.LessOrEqual(t, len(tree.children[v.Name()]), fanout)
				depth := 0
				for name := v.Name(); tree.parent[name] != ""; name = tree.parent[name] {
					depth++
					require.Less(t, depth, 20, "cycle")
				}
				maxDepth = max(maxDepth, depth)
				if p, ok := m.Get(tree.parent[v.Name()]); ok && p.Zone() != v.Zone() {
					zoneCrossings++
				}
			}
			require.Equal(t, 21, zoneCrossings, "22 zones")
			require.LessOrEqual(t, maxDepth, 9, fmt.Sprint(n))
		}
		require.NotEqual(t, NewTree(m, KeyBase, 1, defaultReadersPerZone, nil), NewTree(m, KeyBase, 2, defaultReadersPerZone, nil))
	}
}
