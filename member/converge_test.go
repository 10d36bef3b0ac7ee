package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/relay"
)

// stateMachine drives nine nodes through faults and checks their documents.
type stateMachine struct {
	*sim
	// lastRevs are the revisions of each process at the last check, by its store.
	lastRevs map[*relay.Store]relay.Revs
	// texts holds the only text of each accepted revision.
	texts map[string]string
	// acceptedBeforeRestart counts documents accepted by processes that were
	// replaced.
	acceptedBeforeRestart uint64
	startTime             time.Time
}

func (m *stateMachine) node(t *rapid.T) *simNode {
	return m.nodes[rapid.SampledFrom(m.names).Draw(t, "node")]
}

// Publish publishes a document, sometimes one that nodes reject.
func (m *stateMachine) Publish(t *rapid.T) {
	key := rapid.SampledFrom(simKeys).Draw(t, "key")
	switch {
	case rapid.IntRange(0, 3).Draw(t, "kind") == 0:
		m.platform.publish(key, []byte("bad"))
	case key == relay.KeyVMs:
		// A lagging list lacks a node or shows it as live.
		skip := map[string]bool{}
		if rapid.Bool().Draw(t, "lacks") {
			skip[m.node(t).vm.Name()] = true
		}
		m.platform.publish(key, m.listText(skip, nil))
	default:
		m.platform.publish(key, fmt.Appendf(nil, "%s %d", key, len(m.platform.docs[key])+1))
	}
}

// PublishTwice simulates two operators who publish at the same moment.
func (m *stateMachine) PublishTwice(t *rapid.T) {
	m.Publish(t)
	m.Publish(t)
}

// Platform makes the service fail, lag or recover.
func (m *stateMachine) Platform(t *rapid.T) {
	m.platform.up = rapid.Bool().Draw(t, "up")
	m.platform.revsBehind = rapid.IntRange(0, 2).Draw(t, "stale")
}

// Partition splits the network in two or three, by zone or at random.
func (m *stateMachine) Partition(t *rapid.T) {
	byZone := rapid.Bool().Draw(t, "byZone")
	for i, name := range m.names {
		if byZone {
			m.partition[name] = i % 3
		} else {
			m.partition[name] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	}
	m.platformPartitions = map[int]bool{rapid.IntRange(0, 2).Draw(t, "platform"): true}
}

// Heal ends the partition.
func (m *stateMachine) Heal(*rapid.T) {
	clear(m.partition)
	m.platformPartitions = nil
}

// Pause pauses or resumes a node.
func (m *stateMachine) Pause(t *rapid.T) {
	n := m.node(t)
	n.paused = !n.paused
}

// Restart replaces a process by one with empty memory.
func (m *stateMachine) Restart(t *rapid.T) {
	n := m.node(t)
	m.acceptedBeforeRestart += n.store.Counts().Accepted
	n.start()
}

// Advance lets time pass.
func (m *stateMachine) Advance(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * relay.TickInterval)
}

// Settle ends partitions, waits 5 s and checks that all reachable nodes agree
// on the highest available revisions.
func (m *stateMachine) Settle(t *rapid.T) {
	m.Heal(t)
	want := m.highestRevs()
	isolated := m.isolated()
	m.advance(5 * time.Second)
	want = want.Max(m.highestRevs())
	for _, name := range m.names {
		if n := m.nodes[name]; n.reachable() && !isolated[n] {
			require.Equal(t, want, n.store.Revs(), "%s", name)
		}
	}
	m.checkMessageBounds(t)
}

// isolated returns the nodes that cannot find another one: they started empty
// while the platform returns no valid VM list, and no seed has one. They wait
// until a pull or a heartbeat of another node reaches them.
func (m *stateMachine) isolated() map[*simNode]bool {
	isolated := make(map[*simNode]bool)
	if v, ok := m.platform.current(relay.KeyVMs); m.platform.up && ok && simCheck(m.sim)(relay.NewDocument(v.Key(), v.Rev(), v.Bytes())) == nil {
		return isolated
	}
	for _, addr := range m.seeds() {
		if n := m.byAddr[addr]; n.reachable() && n.store.Revs().VMs > 0 {
			return isolated
		}
	}
	for _, n := range m.nodes {
		isolated[n] = n.store.Revs().VMs == 0
	}
	return isolated
}

// highestRevs returns the highest accepted or acceptable revisions at reachable
// nodes and at the platform. The platform counts for a key if at least one
// reader of it runs; without any, the next poll finds the change.
func (m *stateMachine) highestRevs() relay.Revs {
	var best relay.Revs
	for _, n := range m.nodes {
		if n.reachable() {
			best = best.Max(n.store.Revs())
		}
	}
	if !m.platform.up {
		return best
	}
	check := simCheck(m.sim)
	for i, key := range simKeys {
		v, ok := m.platform.current(key)
		if ok && m.hasReader(key) && check(relay.NewDocument(key, v.Rev(), v.Bytes())) == nil {
			best = best.Max([]relay.Revs{{Base: v.Rev()}, {Overlay: v.Rev()}, {VMs: v.Rev()}}[i])
		}
	}
	return best
}

// hasReader reports whether a reachable node watches a key.
func (m *stateMachine) hasReader(key string) bool {
	for _, n := range m.nodes {
		if n.reachable() && n.relay.IsReader(key) {
			return true
		}
	}
	return false
}

// Bounds of messages per document accepted by a node. A healthy relay tree
// needs about one push; pushes around unresponsive nodes add to that.
const (
	pushesPerAccepted = 4
	pullsPerAccepted  = 1
)

// checkMessageBounds checks that messages stay within a small multiple of the
// documents that nodes accepted, apart from anti-entropy pulls, which depend only
// on time.
func (m *stateMachine) checkMessageBounds(t *rapid.T) {
	accepted := m.acceptedBeforeRestart
	for _, n := range m.nodes {
		accepted += n.store.Counts().Accepted
	}
	require.LessOrEqual(t, m.sent["push"], pushesPerAccepted*int(accepted))
	ticks := int(m.clock.Since(m.startTime) / relay.TickInterval)
	require.LessOrEqual(t, m.sent["pull"], pullsPerAccepted*int(accepted)+len(m.names)*ticks/3)
}

// Check verifies after every action that no process went back to an older
// revision and that each revision has the same text on all nodes.
func (m *stateMachine) Check(t *rapid.T) {
	for _, name := range m.names {
		n := m.nodes[name]
		old, now := m.lastRevs[n.store], n.store.Revs()
		require.False(t, now.Behind(old), "%s went from %v back to %v", name, old, now)
		m.lastRevs[n.store] = now
		for _, key := range simKeys {
			d := n.store.Current(key)
			id := fmt.Sprintf("%s@%d", key, d.Rev())
			if text, ok := m.texts[id]; ok {
				require.Equal(t, text, string(d.Bytes()), "%s has a different text of %s", name, id)
			}
			m.texts[id] = string(d.Bytes())
		}
	}
}

// Guards against nodes that keep different configurations after a fault has
// ended, and against a node that returns to an older one.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), time.Unix(1_800_000_000, 0))
		s.readersPerZone = 2
		s.addNineNodes()
		s.platform.publish(relay.KeyVMs, s.listText(nil, nil))
		s.platform.publish(relay.KeyBase, []byte("base 1"))
		m := &stateMachine{sim: s, lastRevs: make(map[*relay.Store]relay.Revs), texts: make(map[string]string), startTime: s.clock.Now()}
		for _, name := range s.names {
			s.nodes[name].start()
		}
		m.Settle(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.Publish, "publishTwice": m.PublishTwice, "platform": m.Platform,
			"partition": m.Partition, "heal": m.Heal, "pause": m.Pause, "restart": m.Restart,
			"advance": m.Advance, "settle": m.Settle, "": m.Check,
		})
		m.Settle(t)
		m.Check(t)
	})
}
