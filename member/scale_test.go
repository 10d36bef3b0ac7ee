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

// newFleet returns a sim of many nodes: six VMs per service, each service calls
// the next three, so a node has 18 peers. All nodes share one parsed VM list.
func newFleet(nodes, zones int) *sim {
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
	s.sharedList = board.NewMembers(1, vms)
	s.platform.publish(relay.KeyVMs, []byte("list 1"))
	s.platform.publish(relay.KeyBase, []byte("base 1"))
	s.platform.publish(simOverlay, []byte("overlay 1"))
	return s
}

// startAll starts all nodes at once and waits until all have all documents.
func (s *sim) startAll(t testing.TB) time.Duration {
	t.Helper()
	for _, name := range s.names {
		s.nodes[name].start()
	}
	return s.waitForRevs(t, relay.Revs{Base: 1, Overlay: 1, VMs: 1})
}

// waitForRevs waits until all reachable nodes have the revisions and returns
// how long it took in simulated time.
func (s *sim) waitForRevs(t testing.TB, want relay.Revs) time.Duration {
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

// Guards against a fleet that exceeds the platform's budget when all nodes start at
// the same time, when it is idle, and after a platform outage. Also guards against
// changes that take more messages than a small multiple of the number of nodes, and
// against sending a document between zones more than about once per zone.
// BenchmarkFleet runs the same at 1,500 nodes.
func TestFleetMessages(t *testing.T) {
	for _, size := range []fleetSize{{99, 3}, {198, 6}} {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) { fleetScenario(t, size) })
	}
}

type fleetSize struct{ nodes, zones int }

var fleetSizes = []fleetSize{{99, 3}, {396, 8}, {1500, 22}}

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

// fleetScenario starts a fleet, keeps it idle, changes a document and simulates
// a platform outage. It returns the measurements by name.
func fleetScenario(t testing.TB, size fleetSize) map[string]float64 {
	s := newFleet(size.nodes, size.zones)
	took := s.startAll(t)
	require.Less(t, s.platform.maxReadsPerSecond, platformBudget/2)
	t.Logf("start: %s, busiest second %d reads, %d in all", took, s.platform.maxReadsPerSecond, s.platform.reads)
	results := map[string]float64{"start-reads/s": float64(s.platform.maxReadsPerSecond)}
	// The first poll of every node falls into the first minute or so.
	s.advance(65 * time.Second)
	clear(s.sent)
	s.platform.reads = 0
	s.advance(30 * time.Second)
	perNode := 30 * float64(size.nodes)
	results["rest-reads/s"] = float64(s.platform.reads) / 30
	results["rest-pulls/s/node"] = float64(s.sent["pull"]) / perNode
	results["rest-beats/s/node"] = float64(s.sent["beat"]+s.sent["hello"]) / perNode
	require.Less(t, s.platform.maxReadsPerSecond, platformBudget/2)
	s.measureChange(t, size, results)
	s.measureOutage(t, size, results)
	t.Logf("%v", results)
	return results
}

// measureChange publishes a base document and adds the cost of its distribution
// to results.
func (s *sim) measureChange(t testing.TB, size fleetSize, results map[string]float64) {
	t.Helper()
	clear(s.sent)
	s.platform.publish(relay.KeyBase, []byte("base 2"))
	took := s.waitForRevs(t, relay.Revs{Base: 2})
	pushes, crossZone, pulls := s.sent["push"], s.sent["push to another zone"], s.sent["pull"]
	t.Logf("change: %s, %d pushes, %d of them to another zone, %d pulls", took, pushes, crossZone, pulls)
	require.LessOrEqual(t, took, 500*time.Millisecond)
	results["pushes/change"], results["far-pushes/change"] = float64(pushes), float64(crossZone)
	require.LessOrEqual(t, pushes, 2*size.nodes)
	require.LessOrEqual(t, crossZone, 2*size.zones)
	require.LessOrEqual(t, pulls, size.nodes, "anti-entropy pulls only")
}

// measureOutage takes the platform down for 20 s with a change at the end.
func (s *sim) measureOutage(t testing.TB, size fleetSize, results map[string]float64) {
	t.Helper()
	s.platform.up = false
	s.platform.maxReadsPerSecond = 0
	s.advance(20 * time.Second)
	s.platform.publish(relay.KeyBase, []byte("base 3"))
	s.platform.up = true
	took := s.waitForRevs(t, relay.Revs{Base: 3})
	t.Logf("after an outage: %s, busiest second %d reads", took, s.platform.maxReadsPerSecond)
	results["outage-reads/s"] = float64(s.platform.maxReadsPerSecond)
	require.LessOrEqual(t, took, 5*time.Second)
	watches := len(simKeys) * 3 * size.zones
	require.Less(t, s.platform.maxReadsPerSecond, 2*watches+size.nodes/10, "two attempts a second for each watch, and polls")
}

// Guards against exceeding the platform's budget when the whole fleet starts while
// no node reaches another one to get documents from it.
func TestFleetStartWithoutPeers(t *testing.T) {
	s := newFleet(198, 3)
	for i, name := range s.names {
		s.partition[name] = i
	}
	took := s.startAll(t)
	t.Logf("start without peers: %s, busiest second %d reads for 198 nodes", took, s.platform.maxReadsPerSecond)
	require.Less(t, s.platform.maxReadsPerSecond*1500/198, platformBudget/2)
}

// Guards against nodes that stay behind a broken relay tree until an anti-entropy
// pull. A tenth of the nodes do not respond, and the list shows them as live.
func TestFleetWithUnresponsiveNodes(t *testing.T) {
	s := newFleet(396, 8)
	s.startAll(t)
	for i, name := range s.names {
		s.nodes[name].up = i%10 != 3
	}
	s.advance(5 * time.Second)
	clear(s.sent)
	s.platform.publish(relay.KeyBase, []byte("base 2"))
	took := s.waitForRevs(t, relay.Revs{Base: 2})
	t.Logf("change with a tenth of the nodes down: %s, %d pushes, %d pulls", took, s.sent["push"], s.sent["pull"])
	require.LessOrEqual(t, took, 500*time.Millisecond, "the pushes go around unresponsive nodes")
	require.LessOrEqual(t, s.sent["push"], 4*396)
}

// BenchmarkAlternatives measures the two ways to distribute a change that
// decision 0004 compares with the relay tree.
func BenchmarkAlternatives(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			for b.Loop() {
				sent, crossZone, missed, rounds := simulateGossip(size.nodes, size.zones, 4)
				b.ReportMetric(float64(countWatchReads(size.nodes)), "watch-reads/change")
				b.ReportMetric(float64(3*size.nodes)/30, "watch-rest-reads/s")
				b.ReportMetric(float64(sent), "gossip-pushes/change")
				b.ReportMetric(float64(crossZone), "gossip-far-pushes/change")
				b.ReportMetric(float64(missed), "gossip-missed-nodes")
				b.ReportMetric(float64(rounds), "gossip-rounds")
			}
		})
	}
}

// countWatchReads counts the platform reads that one change causes if all nodes
// watch for it: each response and the watch that follows it.
func countWatchReads(nodes int) int {
	s := newSim(1, time.Unix(1_800_000_000, 0))
	for i := range nodes {
		n := s.add(i, "zone", "service")
		n.up = true
		n.store = relay.NewStore(relay.StoreOptions{Site: simSite, Check: simCheck(s)})
		var done func(source.Value, error)
		done = func(v source.Value, _ error) { s.platform.watch(n, n.store, relay.KeyBase, v.Rev(), done) }
		s.platform.watch(n, n.store, relay.KeyBase, 0, done)
	}
	s.platform.reads = 0
	s.platform.publish(relay.KeyBase, []byte("base 1"))
	s.platformStep()
	return s.platform.reads
}

// platformStep advances the platform only.
func (s *sim) platformStep() {
	s.clock.Advance(relay.TickInterval)
	s.platform.tick()
	s.drain()
}

// simulateGossip spreads one message from the readers of all zones: every node
// that has just received it sends it once to fanout random nodes.
func simulateGossip(nodes, zones, fanout int) (sent, crossZone, missed, rounds int) {
	r := rand.New(rand.NewPCG(20261204, 3))
	informed := make([]bool, nodes)
	var newlyInformed []int
	for i := range min(3*zones, nodes) {
		informed[i] = true
		newlyInformed = append(newlyInformed, i)
	}
	for ; len(newlyInformed) > 0; rounds++ {
		var next []int
		for _, from := range newlyInformed {
			for range fanout {
				to := r.IntN(nodes)
				sent++
				if to%zones != from%zones {
					crossZone++
				}
				if !informed[to] {
					informed[to] = true
					next = append(next, to)
				}
			}
		}
		newlyInformed = next
	}
	for _, ok := range informed {
		if !ok {
			missed++
		}
	}
	return sent, crossZone, missed, rounds
}
