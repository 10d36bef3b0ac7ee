package member

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startNine returns nine nodes that all have the VM list and a base document.
func startNine(t *testing.T) *sim {
	t.Helper()
	s := newSim(20261204, time.Unix(1_800_000_000, 0))
	t.Log("seed 20261204")
	s.nine()
	s.plat.publish(relay.KeyVMs, s.listText(nil, nil))
	s.plat.publish(relay.KeyBase, []byte("base 1"))
	for _, name := range s.names {
		s.nodes[name].start()
	}
	s.advance(5 * time.Second)
	for _, name := range s.names {
		require.True(t, s.nodes[name].board.Fresh(), name)
	}
	return s
}

// callers returns the nodes that call the service of n.
func (s *sim) callers(n *simNode) []*simNode {
	var out []*simNode
	for _, name := range s.names {
		c := s.nodes[name]
		for _, service := range s.calls[c.vm.Service()] {
			if service == n.vm.Service() {
				out = append(out, c)
			}
		}
	}
	return out
}

// Guards against a leaving node that still gets calls because its peers wait for
// the platform's list. The list does not change, the platform is down, the
// network loses the first messages, and nobody makes a call.
func TestPeersLearnThatNodeLeaves(t *testing.T) {
	s := startNine(t)
	s.advance(20 * time.Second)
	s.plat.up = false
	n := s.nodes["vm-0004"]
	s.side["vm-0004"] = 1
	n.member.Leave()
	require.False(t, n.member.Told())
	s.advance(time.Second)
	clear(s.side)
	s.advance(2 * time.Second)
	callers := s.callers(n)
	require.Len(t, callers, 3)
	for _, c := range callers {
		p, ok := c.board.Peers().Get("vm-0004")
		require.True(t, ok && p.Leaving, "%s does not know after 3 s", c.vm.Name())
		require.False(t, c.board.Members().Len() == 0)
	}
	require.True(t, n.member.Told())
	// A message from before stays without effect; a new process is not leaving.
	c := callers[0]
	old := n.member.State()
	old.Leaving = false
	c.member.Observe(old)
	p, _ := c.board.Peers().Get("vm-0004")
	require.True(t, p.Leaving)
	n.start()
	s.advance(12 * time.Second)
	p, _ = c.board.Peers().Get("vm-0004")
	require.False(t, p.Leaving)
	require.Equal(t, n.board.Self().Incarnation(), p.Incarnation)
}

// Guards against control traffic that grows with the number of callers: a service
// that 120 nodes call and that calls none.
func TestManyCallersBeatRarely(t *testing.T) {
	s := newSim(20261204, time.Unix(1_800_000_000, 0))
	s.calls = map[string][]string{"front": {"leaf"}}
	for i := range 122 {
		s.add(i, fmt.Sprintf("zone-%d", i%4), []string{"front", "leaf"}[i/120])
	}
	s.plat.publish(relay.KeyVMs, s.listText(nil, nil))
	s.plat.publish(relay.KeyBase, []byte("base 1"))
	for _, name := range s.names {
		s.nodes[name].start()
	}
	s.advance(2 * time.Minute)
	clear(s.sent)
	s.advance(time.Minute)
	perLeaf := float64(s.sent["beat"]+s.sent["hello"]) / 60 / 2
	t.Logf("%.2f heartbeats a second at each node with 120 callers", perLeaf)
	require.Less(t, perLeaf, 3.0)
	n := s.nodes["vm-0120"]
	n.member.Leave()
	s.advance(3 * time.Second)
	for _, c := range s.callers(n) {
		p, _ := c.board.Peers().Get("vm-0120")
		require.True(t, p.Leaving, c.vm.Name())
	}
}

// Guards against a node that ignores the platform's notice that it is taken away,
// against callers that do not hear of it, and against a notice that outlives a
// newer list.
func TestListMarksNodeLeaving(t *testing.T) {
	s := startNine(t)
	for _, leaving := range []bool{true, false} {
		s.plat.publish(relay.KeyVMs, s.listText(nil, map[string]bool{"vm-0004": leaving}))
		s.advance(3 * time.Second)
		for _, name := range s.names {
			require.Equal(t, leaving && name == "vm-0004", s.nodes[name].board.ListedLeaving(), name)
		}
		for _, c := range s.callers(s.nodes["vm-0004"]) {
			vm, _ := c.board.Members().Get("vm-0004")
			require.Equal(t, leaving, vm.Leaving(), c.vm.Name())
		}
	}
}

// Guards against an entry node that acts on its old view after a pause, and
// against one that refuses for good because nobody answers.
func TestPauseRefreshes(t *testing.T) {
	tests := []struct {
		name     string
		platform bool
		alone    bool
		want     relay.Revs
		within   time.Duration
		unsure   uint64
	}{
		{"platform", true, false, relay.Revs{Base: 2, VMs: 1}, 300 * time.Millisecond, 0},
		{"peers only", false, false, relay.Revs{Base: 2, VMs: 1}, 300 * time.Millisecond, 0},
		{"nobody", false, true, relay.Revs{Base: 1, VMs: 1}, 1400 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startNine(t)
			n := s.nodes["vm-0000"]
			n.paused = true
			if tt.alone {
				s.side["vm-0000"], s.platSides = 1, map[int]bool{0: true}
			}
			s.plat.publish(relay.KeyBase, []byte("base 2"))
			s.advance(3 * time.Second)
			s.plat.up = tt.platform
			n.paused = false
			require.True(t, n.board.Fresh(), "no tick has noticed the pause yet")
			require.False(t, n.member.Fresh(), "the call path notices it at once")
			require.False(t, n.board.Fresh())
			var waited time.Duration
			for ; !n.member.Fresh(); waited += relay.TickInterval {
				require.Equal(t, uint64(1), n.member.counts.pauses.Get())
				require.Less(t, waited, 3*time.Second)
				s.step()
			}
			require.LessOrEqual(t, waited, tt.within)
			require.Equal(t, tt.want, n.store.Revs())
			require.Equal(t, tt.unsure, n.member.counts.unrefreshed.Get())
			if tt.alone {
				require.GreaterOrEqual(t, waited, refreshLimit, "it tried for a while")
			}
		})
	}
}

// Guards against heartbeats to nodes that this node does not call, and against
// heartbeats that repeat what answers to calls have said.
func TestBeatsGoToCalledServicesOnly(t *testing.T) {
	s := startNine(t)
	n := s.nodes["vm-0000"]
	busy, _ := n.board.Peers().Get("vm-0003")
	before := n.member.counts.beats.Get()
	for range 32 {
		s.advance(time.Second)
		busy.LastResponse = s.clock.Now()
		n.board.Peers().Put("vm-0003", busy)
	}
	sent := n.member.counts.beats.Get() - before
	require.GreaterOrEqual(t, sent, uint64(6), "two idle peers every 8 s")
	require.LessOrEqual(t, sent, uint64(10), "none to the busy peer")
	require.Equal(t, 3, n.board.Peers().Len(), "three peers of the service middle")
	require.Zero(t, s.nodes["vm-0008"].member.counts.beats.Get(), "a leaf calls nobody")
	// The address of a peer now belongs to another VM: its answer says nothing of the peer.
	fields := s.nodes["vm-0004"].vm.Fields()
	fields.ControlAddr = s.nodes["vm-0008"].vm.ControlAddr()
	known, _ := n.board.Peers().Get("vm-0004")
	n.member.sendBeat(t.Context(), board.NewVM(fields), false)
	after, _ := n.board.Peers().Get("vm-0004")
	require.Equal(t, known, after)
	require.Equal(t, uint64(1), n.member.counts.beatFailures.Get())
}

// Guards against a partition whose end is not noticed before the next probe: the
// first call between the sides, in either direction, brings both up to date.
func TestFirstCallAfterPartitionPulls(t *testing.T) {
	for _, forward := range []bool{true, false} {
		s := startNine(t)
		for i, name := range s.names {
			s.side[name] = min(i%3, 1)
		}
		s.platSides = map[int]bool{1: true}
		s.plat.publish(relay.KeyBase, []byte("base 2"))
		s.plat.publish(relay.KeyBase, []byte("base 3"))
		s.advance(time.Minute)
		s.plat.up = false
		clear(s.side)
		behind, ahead := s.nodes["vm-0000"], s.nodes["vm-0004"]
		require.Equal(t, uint64(1), behind.store.Revs().Base)
		require.Equal(t, uint64(3), ahead.store.Revs().Base)
		if forward {
			ahead.member.Observe(behind.member.State())
			behind.member.Observe(ahead.member.State())
		} else {
			behind.relay.Contact(ahead.vm.Name(), ahead.store.Rev())
		}
		s.drain()
		for _, name := range s.names {
			require.Equal(t, uint64(3), s.nodes[name].store.Revs().Base, "%s, without any time passing", name)
		}
	}
}

// Guards against a damaged VM list that takes backend servers out of use.
func TestParseListRefuses(t *testing.T) {
	good := `{"name":"a","zone":"z","service":"s","call":"10.0.0.1:1","control":"10.0.0.1:2"}`
	other := strings.NewReplacer(`"a"`, `"b"`, "10.0.0.1", "10.0.0.2").Replace(good)
	vms, err := ParseList([]byte(`{"vms":[` + good + `,` + other + `]}`))
	require.NoError(t, err)
	require.Len(t, vms, 2)
	for name, give := range map[string]string{
		"not json": `{`, "empty": `{"vms":[]}`, "other form": `[]`, "trailing": `{"vms":[` + good + `]} x`,
		"unknown field": `{"vms":[` + strings.Replace(good, "{", `{"x":1,`, 1) + `]}`,
		"zone":          `{"vms":[` + strings.Replace(good, `"z"`, `"Z"`, 1) + `]}`,
		"no service":    `{"vms":[` + strings.Replace(good, `"s"`, `""`, 1) + `]}`,
		"host name":     `{"vms":[` + strings.Replace(good, "10.0.0.1:1", "host:1", 1) + `]}`,
		"port":          `{"vms":[` + strings.Replace(good, "10.0.0.1:1", "10.0.0.1:0", 1) + `]}`,
		"same name":     `{"vms":[` + good + `,` + strings.Replace(other, `"b"`, `"a"`, 1) + `]}`,
		"same address":  `{"vms":[` + good + `,` + strings.Replace(other, "10.0.0.2:2", "10.0.0.1:2", 1) + `]}`,
	} {
		_, err := ParseList([]byte(give))
		var le *ListError
		require.ErrorAs(t, err, &le, name)
	}
}

// Guards against goroutines that outlive Run, and against a state that changes
// on the wire.
func TestRunEnds(t *testing.T) {
	s := startNine(t)
	n := s.nodes["vm-0000"]
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { n.member.Run(ctx); done <- struct{}{} }()
	go func() { n.relay.Run(ctx); done <- struct{}{} }()
	cancel()
	<-done
	<-done
	want := State{
		From: n.board.Self().Incarnation(), Revs: relay.Revs{Base: 1, Overlay: 2, VMs: 3},
		Load: frame.NewLoad(4, 5), Leaving: true, Wait: 16 * time.Second, Service: "s", Zone: "z", Control: "10.0.0.1:2",
	}
	text, err := want.MarshalJSON()
	require.NoError(t, err)
	var got State
	require.NoError(t, got.UnmarshalJSON(text))
	require.Equal(t, want, got)
	for old, bad := range map[string]string{`"1.2"`: `"1"`, `"4/5"`: `"-4/5"`, `"s"`: `"S"`, "10.0.0.1:2": "x", "vm-0000:": ":"} {
		require.Error(t, got.UnmarshalJSON([]byte(strings.Replace(string(text), old, bad, 1))), bad)
	}
}
