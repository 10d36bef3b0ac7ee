package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/relay"
)

// machine drives nine nodes through faults and checks what they hold.
type machine struct {
	*sim
	// high is what each process held at the last check, by its store.
	high map[*relay.Store]relay.Revs
	// texts is the one text of each accepted revision.
	texts map[string]string
	// accepted counts documents accepted by processes that are gone.
	accepted uint64
	begin    time.Time
}

func (m *machine) node(t *rapid.T) *simNode {
	return m.nodes[rapid.SampledFrom(m.names).Draw(t, "node")]
}

// Publish publishes a document, sometimes one that nodes refuse.
func (m *machine) Publish(t *rapid.T) {
	key := rapid.SampledFrom(simKeys).Draw(t, "key")
	switch {
	case rapid.IntRange(0, 3).Draw(t, "kind") == 0:
		m.plat.publish(key, []byte("bad"))
	case key == relay.KeyVMs:
		// A lagging list lacks a node or shows it as live.
		skip := map[string]bool{}
		if rapid.Bool().Draw(t, "lacks") {
			skip[m.node(t).vm.Name()] = true
		}
		m.plat.publish(key, m.listText(skip, nil))
	default:
		m.plat.publish(key, fmt.Appendf(nil, "%s %d", key, len(m.plat.docs[key])+1))
	}
}

// PublishTwice is two operators at the same moment.
func (m *machine) PublishTwice(t *rapid.T) {
	m.Publish(t)
	m.Publish(t)
}

// Platform makes the service fail, lag or work again.
func (m *machine) Platform(t *rapid.T) {
	m.plat.up = rapid.Bool().Draw(t, "up")
	m.plat.stale = rapid.IntRange(0, 2).Draw(t, "stale")
}

// Partition splits the network in two or three, by zone or at random.
func (m *machine) Partition(t *rapid.T) {
	byZone := rapid.Bool().Draw(t, "byZone")
	for i, name := range m.names {
		if byZone {
			m.side[name] = i % 3
		} else {
			m.side[name] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	}
	m.platSides = map[int]bool{rapid.IntRange(0, 2).Draw(t, "platform"): true}
}

// Heal ends the partition.
func (m *machine) Heal(*rapid.T) {
	clear(m.side)
	m.platSides = nil
}

// Pause stops a node for a while or lets it go on.
func (m *machine) Pause(t *rapid.T) {
	n := m.node(t)
	n.paused = !n.paused
}

// Restart replaces a process by one with empty memory.
func (m *machine) Restart(t *rapid.T) {
	n := m.node(t)
	m.accepted += n.store.Counts().Accepted
	n.start()
}

// Advance lets time pass.
func (m *machine) Advance(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * relay.TickInterval)
}

// Settle ends partitions, waits 5 s and checks that all reachable nodes agree on
// the highest revisions that were there to be had.
func (m *machine) Settle(t *rapid.T) {
	m.Heal(t)
	want := m.best()
	lost := m.lost()
	m.advance(5 * time.Second)
	want = want.Max(m.best())
	for _, name := range m.names {
		if n := m.nodes[name]; n.reachable() && !lost[n] {
			require.Equal(t, want, n.store.Revs(), "%s", name)
		}
	}
	m.bounded(t)
}

// lost returns the nodes that have no way to find another one: they started
// empty while the platform shows no VM list, and no seed has one. They wait until
// a probe or a heartbeat of another node finds them.
func (m *machine) lost() map[*simNode]bool {
	lost := make(map[*simNode]bool)
	if v, ok := m.plat.current(relay.KeyVMs); m.plat.up && ok && simCheck(m.sim)(relay.NewDocument(v.Key(), v.Rev(), v.Bytes())) == nil {
		return lost
	}
	for _, addr := range m.seeds() {
		if n := m.byAddr[addr]; n.reachable() && n.store.Revs().VMs > 0 {
			return lost
		}
	}
	for _, n := range m.nodes {
		lost[n] = n.store.Revs().VMs == 0
	}
	return lost
}

// best returns the highest accepted or acceptable revisions at reachable nodes
// and at the platform. The platform counts for a key where at least one reader
// of it runs; without any, the next poll finds the change.
func (m *machine) best() relay.Revs {
	var best relay.Revs
	for _, n := range m.nodes {
		if n.reachable() {
			best = best.Max(n.store.Revs())
		}
	}
	if !m.plat.up {
		return best
	}
	check := simCheck(m.sim)
	for i, key := range simKeys {
		v, ok := m.plat.current(key)
		if ok && m.read(key) && check(relay.NewDocument(key, v.Rev(), v.Bytes())) == nil {
			best = best.Max([]relay.Revs{{Base: v.Rev()}, {Overlay: v.Rev()}, {VMs: v.Rev()}}[i])
		}
	}
	return best
}

// read reports whether a reachable node watches a key.
func (m *machine) read(key string) bool {
	for _, n := range m.nodes {
		if n.reachable() && n.relay.IsReader(key) {
			return true
		}
	}
	return false
}

// Bounds of messages per document accepted by a node. In a healthy tree it is
// about one push; pushes around nodes that do not answer make it more.
const (
	pushesPerAccepted = 4
	pullsPerAccepted  = 1
)

// bounded checks that messages stay within a small multiple of the documents
// that nodes accepted, besides the probes, which depend on the time only.
func (m *machine) bounded(t *rapid.T) {
	accepted := m.accepted
	for _, n := range m.nodes {
		accepted += n.store.Counts().Accepted
	}
	require.LessOrEqual(t, m.sent["push"], pushesPerAccepted*int(accepted))
	ticks := int(m.clock.Since(m.begin) / relay.TickInterval)
	require.LessOrEqual(t, m.sent["pull"], pullsPerAccepted*int(accepted)+len(m.names)*ticks/3)
}

// Check verifies after every action that no process went back and that one
// revision has one text everywhere.
func (m *machine) Check(t *rapid.T) {
	for _, name := range m.names {
		n := m.nodes[name]
		old, now := m.high[n.store], n.store.Revs()
		require.False(t, now.Behind(old), "%s went from %v back to %v", name, old, now)
		m.high[n.store] = now
		for _, key := range simKeys {
			d := n.store.Current(key)
			id := fmt.Sprintf("%s@%d", key, d.Rev())
			if text, ok := m.texts[id]; ok {
				require.Equal(t, text, string(d.Bytes()), "%s has another %s", name, id)
			}
			m.texts[id] = string(d.Bytes())
		}
	}
}

// Guards against nodes that keep different configurations after a fault has
// passed, and against a node that returns to an older one.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), time.Unix(1_800_000_000, 0))
		s.readers = 2
		s.nine()
		s.plat.publish(relay.KeyVMs, s.listText(nil, nil))
		s.plat.publish(relay.KeyBase, []byte("base 1"))
		m := &machine{sim: s, high: make(map[*relay.Store]relay.Revs), texts: make(map[string]string), begin: s.clock.Now()}
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
