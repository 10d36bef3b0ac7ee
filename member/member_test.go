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

// startNineNodes returns nine running nodes that have the VM list and a base
// document.
func startNineNodes(t *testing.T) *sim {
	t.Helper()
	s := newSim(20261204, time.Unix(1_800_000_000, 0))
	t.Log("seed 20261204")
	s.addNineNodes()
	s.platform.publish(relay.KeyVMs, s.listText(nil, nil))
	s.platform.publish(relay.KeyBase, []byte("base 1"))
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

// Guards against calls to a leaving node because its peers wait for the
// platform's list. The list does not change, the platform is down, the
// network drops the first messages, and no node makes a call.
func TestLeaveNoticeReachesPeers(t *testing.T) {
	s := startNineNodes(t)
	s.advance(20 * time.Second)
	s.platform.up = false
	n := s.nodes["vm-0004"]
	s.partition["vm-0004"] = 1
	n.member.Leave()
	require.False(t, n.member.LeaveNoticesDone())
	s.advance(time.Second)
	clear(s.partition)
	s.advance(2 * time.Second)
	callers := s.callers(n)
	require.Len(t, callers, 3)
	for _, c := range callers {
		p, ok := c.board.Peers().Get("vm-0004")
		require.True(t, ok && p.Leaving, "%s has not observed the leave notice after 3 s", c.vm.Name())
		require.False(t, c.board.Members().Len() == 0)
	}
	require.True(t, n.member.LeaveNoticesDone())
	// An earlier message has no effect; a new process is not leaving.
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

// Guards against a full table of senders dropping new ones, which get no leave
// notice, without a count.
func TestDroppedSenders(t *testing.T) {
	s := startNineNodes(t)
	m := s.nodes["vm-0004"].member
	known := len(m.senders)
	for i := range maxSenders {
		m.RecordCall(fmt.Sprint("caller-", i))
	}
	require.Len(t, m.senders, maxSenders)
	require.Equal(t, uint64(known), m.counters.droppedSenders.Get())
}

// Guards against control traffic that grows with the number of callers: a service
// that 120 nodes call and that calls none.
func TestHeartbeatIntervalGrowsWithCallers(t *testing.T) {
	s := newSim(20261204, time.Unix(1_800_000_000, 0))
	s.calls = map[string][]string{"front": {"leaf"}}
	for i := range 122 {
		s.add(i, fmt.Sprintf("zone-%d", i%4), []string{"front", "leaf"}[i/120])
	}
	s.platform.publish(relay.KeyVMs, s.listText(nil, nil))
	s.platform.publish(relay.KeyBase, []byte("base 1"))
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

// Guards against ignoring that the platform's list marks a node as leaving, at the
// node or at its callers, and against keeping the mark after a newer list.
func TestListMarksNodeLeaving(t *testing.T) {
	s := startNineNodes(t)
	for _, leaving := range []bool{true, false} {
		s.platform.publish(relay.KeyVMs, s.listText(nil, map[string]bool{"vm-0004": leaving}))
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

// Guards against using outdated documents at an ingress node after a pause, and
// against refusing requests forever because no refresh succeeds.
func TestPauseRefreshes(t *testing.T) {
	tests := []struct {
		name        string
		platform    bool
		isolated    bool
		want        relay.Revs
		maxWait     time.Duration
		unrefreshed uint64
	}{
		{"platform", true, false, relay.Revs{Base: 2, VMs: 1}, 300 * time.Millisecond, 0},
		{"peers only", false, false, relay.Revs{Base: 2, VMs: 1}, 300 * time.Millisecond, 0},
		{"unreachable", false, true, relay.Revs{Base: 1, VMs: 1}, 1400 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startNineNodes(t)
			n := s.nodes["vm-0000"]
			n.paused = true
			if tt.isolated {
				s.partition["vm-0000"], s.platformPartitions = 1, map[int]bool{0: true}
			}
			s.platform.publish(relay.KeyBase, []byte("base 2"))
			s.advance(3 * time.Second)
			s.platform.up = tt.platform
			n.paused = false
			require.True(t, n.board.Fresh(), "no tick has detected the pause yet")
			require.False(t, n.member.CheckFresh(), "the call path detects it immediately")
			require.False(t, n.board.Fresh())
			var waited time.Duration
			for ; !n.member.CheckFresh(); waited += relay.TickInterval {
				require.Equal(t, uint64(1), n.member.counters.pauses.Get())
				require.Less(t, waited, 3*time.Second)
				s.step()
			}
			require.LessOrEqual(t, waited, tt.maxWait)
			require.Equal(t, tt.want, n.store.Revs())
			require.Equal(t, tt.unrefreshed, n.member.counters.unrefreshedPauses.Get())
			if tt.isolated {
				require.GreaterOrEqual(t, waited, minRefreshTime, "it retried before it gave up")
			}
		})
	}
}

// Guards against heartbeats to nodes that this node does not call, and against
// heartbeats that repeat the state from responses to calls.
func TestHeartbeatsToCalledServicesOnly(t *testing.T) {
	s := startNineNodes(t)
	n := s.nodes["vm-0000"]
	busy, _ := n.board.Peers().Get("vm-0003")
	before := n.member.counters.heartbeats.Get()
	for range 32 {
		s.advance(time.Second)
		busy.LastResponse = s.clock.Now()
		n.board.Peers().Put("vm-0003", busy)
	}
	sent := n.member.counters.heartbeats.Get() - before
	require.GreaterOrEqual(t, sent, uint64(6), "two idle peers every 8 s")
	require.LessOrEqual(t, sent, uint64(10), "none to the busy peer")
	require.Equal(t, 3, n.board.Peers().Len(), "three peers of the service middle")
	require.Zero(t, s.nodes["vm-0008"].member.counters.heartbeats.Get(), "a leaf service makes no calls")
	// The address of a peer now belongs to another VM, whose response does not
	// describe the peer.
	fields := s.nodes["vm-0004"].vm.Fields()
	fields.ControlAddr = s.nodes["vm-0008"].vm.ControlAddr()
	known, _ := n.board.Peers().Get("vm-0004")
	n.member.sendHeartbeat(t.Context(), board.NewVM(fields), false)
	after, _ := n.board.Peers().Get("vm-0004")
	require.Equal(t, known, after)
	require.Equal(t, uint64(1), n.member.counters.heartbeatFailures.Get())
}

// Guards against detecting the end of a partition only by an anti-entropy pull: the
// first call between the sides, in either direction, updates both.
func TestFirstCallAfterPartitionPulls(t *testing.T) {
	for _, forward := range []bool{true, false} {
		s := startNineNodes(t)
		for i, name := range s.names {
			s.partition[name] = min(i%3, 1)
		}
		s.platformPartitions = map[int]bool{1: true}
		s.platform.publish(relay.KeyBase, []byte("base 2"))
		s.platform.publish(relay.KeyBase, []byte("base 3"))
		s.advance(time.Minute)
		s.platform.up = false
		clear(s.partition)
		behind, ahead := s.nodes["vm-0000"], s.nodes["vm-0004"]
		require.Equal(t, uint64(1), behind.store.Revs().Base)
		require.Equal(t, uint64(3), ahead.store.Revs().Base)
		if forward {
			ahead.member.Observe(behind.member.State())
			behind.member.Observe(ahead.member.State())
		} else {
			behind.relay.ObserveRevisionPair(ahead.vm.Name(), ahead.store.RevisionPair())
		}
		s.drain()
		for _, name := range s.names {
			require.Equal(t, uint64(3), s.nodes[name].store.Revs().Base, "%s, without any time passing", name)
		}
	}
}

// Guards against an invalid VM list that takes backend servers out of use.
func TestParseListRejects(t *testing.T) {
	good := `{"name":"a","zone":"z","service":"s","call":"10.0.0.1:1","control":"10.0.0.1:2"}`
	other := strings.NewReplacer(`"a"`, `"b"`, "10.0.0.1", "10.0.0.2").Replace(good)
	vms, err := ParseList([]byte(`{"vms":[` + good + `,` + other + `]}`))
	require.NoError(t, err)
	require.Len(t, vms, 2)
	for name, input := range map[string]string{
		"not json": `{`, "empty": `{"vms":[]}`, "other form": `[]`, "trailing": `{"vms":[` + good + `]} x`,
		"unknown field": `{"vms":[` + strings.Replace(good, "{", `{"x":1,`, 1) + `]}`,
		"zone":          `{"vms":[` + strings.Replace(good, `"z"`, `"Z"`, 1) + `]}`,
		"no service":    `{"vms":[` + strings.Replace(good, `"s"`, `""`, 1) + `]}`,
		"host name":     `{"vms":[` + strings.Replace(good, "10.0.0.1:1", "host:1", 1) + `]}`,
		"port":          `{"vms":[` + strings.Replace(good, "10.0.0.1:1", "10.0.0.1:0", 1) + `]}`,
		"same name":     `{"vms":[` + good + `,` + strings.Replace(other, `"b"`, `"a"`, 1) + `]}`,
		"same address":  `{"vms":[` + good + `,` + strings.Replace(other, "10.0.0.2:2", "10.0.0.1:2", 1) + `]}`,
	} {
		_, err := ParseList([]byte(input))
		var le *ListError
		require.ErrorAs(t, err, &le, name)
	}
}

// Guards against goroutines that outlive Run, and against a State that changes
// when it is encoded and decoded.
func TestRunEnds(t *testing.T) {
	s := startNineNodes(t)
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
		Load: frame.NewLoad(4, 5), Leaving: true, MinHeartbeatInterval: 16 * time.Second, Service: "s", Zone: "z", ControlAddr: "10.0.0.1:2",
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
