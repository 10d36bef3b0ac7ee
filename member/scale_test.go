package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/relay"
	"dogwoodhead/source"
)

// platformBudget is the number of reads a second that the platform serves.
const platformBudget = 2000

// fleet returns a sim of many nodes: six VMs per service, each service calls the
// next three, so a node has 18 peers. All nodes share one parsed VM list.
func fleet(nodes, zones int) *sim {
	s := newSim(20261204, time.Unix(1_800_000_000, 0))
	services := max(nodes/6, 1)
	for i := range nodes {
		s.add(i, fmt.Sprintf("zone-%02d", i%zones), fmt.Sprintf("service-%03d", i/6%services))
	}
	for i := range services {
		for next := 1; next <= 3; next++ {
			s.calls[fmt.Sprintf("service-%03d", i)] = append(s.calls[fmt.Sprintf("service-%03d", i)],
				fmt.Sprintf("service-%03d", (i+next)%services))
		}
	}
	vms := make([]board.VM, 0, nodes)
	for _, name := range s.names {
		vms = append(vms, s.nodes[name].vm)
	}
	s.list = board.NewMembers(1, vms)
	s.plat.publish(relay.KeyVMs, []byte("list 1"))
	s.plat.publish(relay.KeyBase, []byte("base 1"))
	s.plat.publish(simOverlay, []byte("overlay 1"))
	return s
}

// startAll starts all nodes at the same moment and waits until all have all
// documents.
func (s *sim) startAll(t testing.TB) time.Duration {
	t.Helper()
	for _, name := range s.names {
		s.nodes[name].start()
	}
	return s.until(t, relay.Revs{Base: 1, Overlay: 1, VMs: 1})
}

// until waits until all reachable nodes have the revisions and returns how long
// it took in model time.
func (s *sim) until(t testing.TB, want relay.Revs) time.Duration {
	t.Helper()
	for waited := time.Duration(0); ; waited += relay.TickInterval {
		behind := 0
		for _, n := range s.nodes {
			if n.reachable() && n.store.Revs().Behind(want) {
				behind++
			}
		}
		if behind == 0 {
			return waited
		}
		require.Less(t, waited, 30*time.Second, "%d nodes are still behind", behind)
		s.step()
	}
}

// Guards against a fleet that exceeds the platform's budget when it starts at
// once, at rest, and when the platform comes back; against changes that take more
// messages than a small multiple of the nodes; and against links between zones
// that carry a document more than about once per zone. BenchmarkFleet runs the
// same at 1,500 nodes.
func TestFleetMessages(t *testing.T) {
	for _, size := range []size{{99, 3}, {198, 6}} {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) { fleetScenario(t, size) })
	}
}

type size struct{ nodes, zones int }

var fleetSizes = []size{{99, 3}, {396, 8}, {1500, 22}}

// BenchmarkFleet measures messages and reads at several sizes and checks their
// bounds.
func BenchmarkFleet(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			for b.Loop() {
				for name, v := range fleetScenario(b, size) {
					b.ReportMetric(v, name)
				}
			}
		})
	}
}

// fleetScenario starts a fleet, rests, changes a document and goes through an
// outage of the platform. It returns what it measured.
func fleetScenario(t testing.TB, size size) map[string]float64 {
	s := fleet(size.nodes, size.zones)
	took := s.startAll(t)
	require.Less(t, s.plat.busiest, platformBudget/2)
	t.Logf("start: %s, busiest second %d reads, %d in all", took, s.plat.busiest, s.plat.reads)
	out := map[string]float64{"start-reads/s": float64(s.plat.busiest)}
	// The first poll of every node falls into the first minute or so.
	s.advance(65 * time.Second)
	clear(s.sent)
	s.plat.reads = 0
	s.advance(30 * time.Second)
	perNode := 30 * float64(size.nodes)
	out["rest-reads/s"] = float64(s.plat.reads) / 30
	out["rest-pulls/s/node"] = float64(s.sent["pull"]) / perNode
	out["rest-beats/s/node"] = float64(s.sent["beat"]+s.sent["hello"]) / perNode
	require.Less(t, s.plat.busiest, platformBudget/2)
	s.change(t, size, out)
	s.outage(t, size, out)
	t.Logf("%v", out)
	return out
}

// change publishes a base document.
func (s *sim) change(t testing.TB, size size, out map[string]float64) {
	t.Helper()
	clear(s.sent)
	s.plat.publish(relay.KeyBase, []byte("base 2"))
	took := s.until(t, relay.Revs{Base: 2})
	pushes, far, pulls := s.sent["push"], s.sent["push to another zone"], s.sent["pull"]
	t.Logf("change: %s, %d pushes, %d of them to another zone, %d pulls", took, pushes, far, pulls)
	require.LessOrEqual(t, took, 500*time.Millisecond)
	out["pushes/change"], out["far-pushes/change"] = float64(pushes), float64(far)
	require.LessOrEqual(t, pushes, 2*size.nodes)
	require.LessOrEqual(t, far, 2*size.zones)
	require.LessOrEqual(t, pulls, size.nodes, "probes only")
}

// outage takes the platform down for 20 s with a change at the end.
func (s *sim) outage(t testing.TB, size size, out map[string]float64) {
	t.Helper()
	s.plat.up = false
	s.plat.busiest = 0
	s.advance(20 * time.Second)
	s.plat.publish(relay.KeyBase, []byte("base 3"))
	s.plat.up = true
	took := s.until(t, relay.Revs{Base: 3})
	t.Logf("after an outage: %s, busiest second %d reads", took, s.plat.busiest)
	out["outage-reads/s"] = float64(s.plat.busiest)
	require.LessOrEqual(t, took, 5*time.Second)
	watches := len(simKeys) * 3 * size.zones
	require.Less(t, s.plat.busiest, 2*watches+size.nodes/10, "two attempts a second for each watch, and polls")
}

// Guards against a start of the whole fleet that exceeds the platform's budget
// where nodes cannot help each other, because none reaches another one.
func TestFleetStartsApart(t *testing.T) {
	s := fleet(198, 3)
	for i, name := range s.names {
		s.side[name] = i
	}
	took := s.startAll(t)
	t.Logf("start without peers: %s, busiest second %d reads for 198 nodes", took, s.plat.busiest)
	require.Less(t, s.plat.busiest*1500/198, platformBudget/2)
}

// Guards against a broken tree that leaves nodes behind until a probe finds them:
// a tenth of the nodes do not answer, and the list shows them as live.
func TestFleetWithDeadNodes(t *testing.T) {
	s := fleet(396, 8)
	s.startAll(t)
	for i, name := range s.names {
		s.nodes[name].up = i%10 != 3
	}
	s.advance(5 * time.Second)
	clear(s.sent)
	s.plat.publish(relay.KeyBase, []byte("base 2"))
	took := s.until(t, relay.Revs{Base: 2})
	t.Logf("change with a tenth of the nodes dead: %s, %d pushes, %d pulls", took, s.sent["push"], s.sent["pull"])
	require.LessOrEqual(t, took, 500*time.Millisecond, "the pushes go around dead nodes")
	require.LessOrEqual(t, s.sent["push"], 4*396)
}

// BenchmarkAlternatives measures the two ways to distribute a change that
// decision 0004 weighs against the tree.
func BenchmarkAlternatives(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			for b.Loop() {
				sent, far, missed, rounds := gossip(size.nodes, size.zones, 4)
				b.ReportMetric(float64(everyNodeWatches(size.nodes)), "watch-reads/change")
				b.ReportMetric(float64(3*size.nodes)/30, "watch-rest-reads/s")
				b.ReportMetric(float64(sent), "gossip-pushes/change")
				b.ReportMetric(float64(far), "gossip-far-pushes/change")
				b.ReportMetric(float64(missed), "gossip-missed-nodes")
				b.ReportMetric(float64(rounds), "gossip-rounds")
			}
		})
	}
}

// everyNodeWatches counts the reads that one change causes at the platform where
// all nodes wait for it: each answer and the watch that follows it.
func everyNodeWatches(nodes int) int {
	s := newSim(1, time.Unix(1_800_000_000, 0))
	for i := range nodes {
		n := s.add(i, "zone", "service")
		n.up = true
		n.store = relay.NewStore(relay.StoreOptions{Site: simSite, Check: simCheck(s)})
		var done func(source.Value, error)
		done = func(v source.Value, _ error) { s.plat.watch(n, n.store, relay.KeyBase, v.Rev(), done) }
		s.plat.watch(n, n.store, relay.KeyBase, 0, done)
	}
	s.plat.reads = 0
	s.plat.publish(relay.KeyBase, []byte("base 1"))
	s.platformStep()
	return s.plat.reads
}

// platformStep advances the platform only.
func (s *sim) platformStep() {
	s.clock.Advance(relay.TickInterval)
	s.plat.tick()
	s.drain()
}

// gossip spreads one message from the readers of all zones: every node that has
// just got it sends it to some random nodes, once.
func gossip(nodes, zones, fanout int) (sent, far, missed, rounds int) {
	r := rand.New(rand.NewPCG(20261204, 3))
	has := make([]bool, nodes)
	var fresh []int
	for i := range min(3*zones, nodes) {
		has[i] = true
		fresh = append(fresh, i)
	}
	for ; len(fresh) > 0; rounds++ {
		var next []int
		for _, from := range fresh {
			for range fanout {
				to := r.IntN(nodes)
				sent++
				if to%zones != from%zones {
					far++
				}
				if !has[to] {
					has[to] = true
					next = append(next, to)
				}
			}
		}
		fresh = next
	}
	for _, ok := range has {
		if !ok {
			missed++
		}
	}
	return sent, far, missed, rounds
}
