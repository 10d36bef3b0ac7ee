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

// single is one relay whose tasks wait in a queue and whose peers are a function.
type single struct {
	*Relay
	clock *clockwork.FakeClock
	tasks []func(context.Context)
	pulls []PullRequest
	// answer is what every peer answers to a pull.
	answer func(PullRequest) (PullReply, error)
}

func newSingle(site string) *single {
	vms := vmList(44)
	s := &single{clock: clockwork.NewFakeClock()}
	s.answer = func(PullRequest) (PullReply, error) { return PullReply{}, nil }
	r := rand.New(rand.NewPCG(20261204, 5))
	members := board.NewMembers(1, vms)
	s.Relay = New(Options{
		Self:  board.NewSelf(vms[0], site, frame.NewIncarnation(vms[0].Name(), r)),
		Clock: s.clock, Rand: r, Metrics: metrics.NewSet(),
		Store:   NewStore(StoreOptions{Site: site, Check: checkText}),
		Members: func() *board.Members { return members },
		Push:    func(context.Context, board.VM, PushRequest) (PushReply, error) { return PushReply{}, nil },
		Pull: func(_ context.Context, _ board.VM, q PullRequest) (PullReply, error) {
			s.pulls = append(s.pulls, q)
			return s.answer(q)
		},
		Read:  func(context.Context, string) (source.Value, error) { return source.Value{}, errBad },
		Watch: func(string, uint64, time.Duration, func(source.Value, error)) {},
		Go:    func(task func(context.Context)) bool { s.tasks = append(s.tasks, task); return true },
	})
	return s
}

func (s *single) drain() {
	for len(s.tasks) > 0 {
		task := s.tasks[0]
		s.tasks = s.tasks[1:]
		task(context.Background())
	}
}

// Guards against a pull for each of the calls that show a higher revision, for
// example from a peer of another site or one that does not tell the truth.
func TestContactPullsOnce(t *testing.T) {
	s := newSingle("a")
	for range 1000 {
		s.Contact("vm-0001", frame.NewRevision(7, 7))
	}
	require.Len(t, s.tasks, 1, "one pull at a time")
	s.drain()
	for range 100 {
		s.clock.Advance(90 * time.Millisecond)
		s.Contact("vm-0001", frame.NewRevision(7, 7))
		s.drain()
	}
	require.Len(t, s.pulls, 1, "a peer that gave nothing is not asked again within 10 s")
	s.Contact("vm-0001", frame.NewRevision(8, 7))
	s.drain()
	require.Len(t, s.pulls, 2, "a yet higher revision is another reason")
	s.clock.Advance(barrenTime)
	s.Contact("vm-0001", frame.NewRevision(8, 7))
	s.drain()
	require.Len(t, s.pulls, 3)
	s.Contact("vm-9999", frame.NewRevision(9, 9))
	s.Contact(s.self(), frame.NewRevision(9, 9))
	s.drain()
	require.Len(t, s.pulls, 3, "a peer without address, or this node")
}

// Guards against an overlay that reaches a node of another site, and against a
// reply that grows with the number of documents.
func TestHandlePull(t *testing.T) {
	s := newSingle("a")
	large := make([]byte, pullSize)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(large)
	for key, text := range map[string][]byte{KeyBase: large, OverlayKey("a"): []byte("o"), KeyVMs: large} {
		require.Equal(t, Accepted, s.accept(NewDocument(key, 3, text), ""))
	}
	ask := func(site string, have Revs) (keys []string, more bool) {
		reply, err := s.HandlePull(t.Context(), PullRequest{From: "vm-0001", Control: "10.0.0.9:1", Site: site, Have: have})
		require.NoError(t, err)
		for _, p := range reply.Docs {
			keys = append(keys, p.Key)
		}
		return keys, reply.More
	}
	keys, more := ask("a", Revs{})
	require.Equal(t, []string{KeyBase}, keys)
	require.True(t, more)
	keys, more = ask("a", Revs{Base: 3})
	require.Equal(t, []string{OverlayKey("a")}, keys)
	require.True(t, more)
	keys, more = ask("b", Revs{Base: 3, Overlay: 9})
	require.Equal(t, []string{KeyVMs}, keys)
	require.False(t, more)
	s.tasks = nil
	_, _ = ask("b", Revs{Base: 3, Overlay: 9, VMs: 3})
	require.Empty(t, s.tasks, "the overlay of another site is no reason to pull")
	_, _ = ask("a", Revs{Base: 3, Overlay: 9, VMs: 3})
	require.Len(t, s.tasks, 1)
	_, err := s.HandlePull(t.Context(), PullRequest{From: "vm-0001", Control: "host:1"})
	require.Error(t, err)
	// The whole of it arrives at a peer by one pull of several rounds.
	other := newSingle("a")
	other.answer = func(q PullRequest) (PullReply, error) { return s.HandlePull(t.Context(), q) }
	vm, _ := other.o.Members().Get("vm-0001")
	accepted, err := other.pullFrom(t.Context(), vm)
	require.NoError(t, err)
	require.Equal(t, 3, accepted)
	require.Equal(t, s.o.Store.Revs(), other.o.Store.Revs())
	require.Equal(t, Refused, other.accept(NewDocument(KeyBase, 4, []byte("bad")), ""))
	status := other.Status()
	require.Equal(t, DocumentStatus{Key: KeyBase, Rev: 3, Size: pullSize, Refused: 4, Reason: errBad.Error()}, status.Documents[0])
	require.Equal(t, uint64(3), status.Pulls)
}

// Guards against a tree that misses nodes, has cycles, is wider or deeper than
// meant, or crosses zones more than once for each.
func TestTreeShape(t *testing.T) {
	for _, n := range benchSizes {
		vms := vmList(n)
		m := board.NewMembers(1, vms)
		slices.Reverse(vms)
		same := board.NewMembers(2, vms)
		for rev := range uint64(5) {
			tree := NewTree(m, KeyBase, rev, defaultReaders, nil)
			require.Equal(t, tree, NewTree(same, KeyBase, rev, defaultReaders, nil), "the order of the list does not matter")
			require.Len(t, tree.parent, n-1, "all nodes but the root have a parent")
			far, deepest := 0, 0
			for v := range m.All() {
				require.LessOrEqual(t, len(tree.children[v.Name()]), fanout)
				depth := 0
				for at := v.Name(); tree.parent[at] != ""; at = tree.parent[at] {
					depth++
					require.Less(t, depth, 20, "cycle")
				}
				deepest = max(deepest, depth)
				if p, ok := m.Get(tree.parent[v.Name()]); ok && p.Zone() != v.Zone() {
					far++
				}
			}
			require.Equal(t, 21, far, "22 zones")
			require.LessOrEqual(t, deepest, 9, fmt.Sprint(n))
		}
		require.NotEqual(t, NewTree(m, KeyBase, 1, defaultReaders, nil), NewTree(m, KeyBase, 2, defaultReaders, nil))
	}
}
