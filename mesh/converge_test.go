package mesh

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

var (
	convergeFirstSeed = flag.Uint64("converge-seed", 1, "first seed of TestConverge, with converge-seeds")
	convergeSeeds     = flag.Uint64("converge-seeds", 0, "number of seeds of TestConverge, 0 for those of its data file")
)

const (
	// maxZones and maxZoneNodes bound the size of the fleet at its start.
	maxZones, maxZoneNodes = 4, 6
	// convergeStart is when the first fault may begin, convergeLength when the last
	// one begins, and convergeRest how long the fleet then runs on.
	convergeStart, convergeLength, convergeRest = 8 * time.Second, 40 * time.Second, 15 * time.Second
	// maxListed bounds the late changes that are listed for a node.
	maxListed = 5
	// entryTTL is how long an entry outlives the last heartbeat, reregistration within
	// what time after an outage a live server is listed again.
	entryTTL, reregistration = 4500 * time.Millisecond, 2 * time.Second
	// leaveDelay is how long a node runs on after its backend server left.
	leaveDelay = 4 * time.Second
)

// inTouch reports whether no disturbance of the store or the node lies in the
// contactBound before a moment.
func (n *simNode) inTouch(at time.Time) bool {
	return !slices.ContainsFunc(slices.Concat(n.fleet.storeDown, n.disturbs), func(p period) bool {
		return p.from.Before(at) && p.to.After(at.Add(-contactBound))
	})
}

// lateMoment returns the first moment, changeBound after an acknowledgement or later
// and before done, at which the node was in touch.
func (n *simNode) lateMoment(acknowledged, done time.Time) (time.Time, bool) {
	at := acknowledged.Add(changeBound)
	for at.Before(done) {
		if n.inTouch(at) {
			return at, true
		}
		at = at.Add(50 * time.Millisecond)
	}
	return time.Time{}, false
}

// disturbStore makes the store unavailable for a time.
func (f *simFleet) disturbStore() {
	mode := []standin.StoreMode{standin.StoreSilent, standin.StoreSilent, standin.StoreBusy, standin.StoreReset}[f.rand.IntN(4)]
	from := time.Now()
	f.store.SetMode(mode)
	time.Sleep(300*time.Millisecond + f.randDuration(8*time.Second))
	if time.Since(from) > entryTTL {
		f.expireEntries()
	}
	f.store.SetMode(standin.StoreUp)
	f.storeDown = append(f.storeDown, period{from, time.Now()})
}

// expireEntries removes some entries. Their servers register again soon.
func (f *simFleet) expireEntries() {
	for _, n := range f.nodes {
		if _, left := f.leftAt[n.app.ID()]; left || f.rand.IntN(2) == 0 {
			continue
		}
		f.store.Delete("servers/" + n.app.ID())
		time.AfterFunc(f.randDuration(reregistration), func() {
			if !n.leaving.Load() {
				n.app.Register(f.store, false)
			}
		})
	}
}

// cutNodes cuts some nodes of one zone off from the store, or from all other nodes too,
// in the background.
func (f *simFleet) cutNodes() {
	zone := fmt.Sprint(f.rand.IntN(f.zones))
	isolated := f.rand.IntN(2) == 0
	length := time.Second + f.randDuration(4*time.Second)
	for _, n := range f.nodes {
		if n.syncer.opts.zone != zone || f.rand.IntN(3) == 0 || n.cut.Load() {
			continue
		}
		n.cut.Store(true)
		n.isolated.Store(isolated)
		n.disturbs = append(n.disturbs, period{time.Now(), time.Now().Add(length)})
		time.AfterFunc(length, func() {
			n.cut.Store(false)
			n.isolated.Store(false)
		})
	}
}

// silenceConns lets all open connections to the store go silent for good.
func (f *simFleet) silenceConns() {
	for _, n := range f.nodes {
		n.silences.Add(1)
		n.disturbs = append(n.disturbs, period{time.Now(), time.Now()})
	}
}

// restart kills a random node and starts it again.
func (f *simFleet) restart() {
	n := f.nodes[f.rand.IntN(len(f.nodes))]
	if _, left := f.leftAt[n.app.ID()]; left || n.stopped.Load() {
		return
	}
	n.stop()
	n.disturbs = append(n.disturbs, period{time.Now(), time.Now().Add(time.Hour)})
	f.start(n.addr, n.syncer.opts.zone, n.app).disturbs = []period{{time.Time{}, time.Now()}}
}

// leave changes and then removes the entry of a random server, whose node stops
// later.
func (f *simFleet) leave() {
	n := f.nodes[f.rand.IntN(len(f.nodes))]
	if _, left := f.leftAt[n.app.ID()]; left || n.stopped.Load() || len(f.leftAt) >= f.zones*f.zoneNodes/2 {
		return
	}
	n.app.Register(f.store, false)
	time.Sleep(f.randDuration(maxLinkDelay))
	n.leaving.Store(true)
	f.leftAt[n.app.ID()] = time.Now()
	f.store.Delete("servers/" + n.app.ID())
	stopsAt := time.Now().Add(leaveDelay)
	n.disturbs = append(n.disturbs, period{stopsAt, stopsAt.Add(time.Hour)})
	time.AfterFunc(leaveDelay, n.stop)
}

func (f *simFleet) putConfig() {
	version := uint64(len(f.configAt) + 1)
	f.store.PutConfig(int(version), nil)
	f.configAt[version] = time.Now()
}

func (f *simFleet) randDuration(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

// play makes random changes and disturbances and returns what broke the bounds.
func (f *simFleet) play() []string {
	for zone := range f.zones {
		for range f.zoneNodes {
			time.Sleep(f.randDuration(50 * time.Millisecond))
			f.add(zone)
		}
	}
	time.Sleep(f.randDuration(50 * time.Millisecond))
	f.putConfig()
	time.Sleep(convergeStart)
	for began := time.Now(); time.Since(began) < convergeLength; time.Sleep(f.randDuration(time.Second)) {
		switch f.rand.IntN(16) {
		case 0:
			f.disturbStore()
		case 1:
			f.cutNodes()
		case 2:
			f.leave()
		case 3:
			f.add(f.rand.IntN(f.zones)).disturbs = []period{{time.Time{}, time.Now()}}
		case 4:
			f.silenceConns()
		case 5:
			f.restart()
		case 6:
			f.store.Compact()
		default:
			f.putConfig()
		}
	}
	time.Sleep(convergeRest)
	ended := time.Now()
	var broken []string
	for _, n := range f.nodes {
		broken = append(broken, n.broken(ended)...)
	}
	return broken
}

// broken returns which changes the node acted on too late.
func (n *simNode) broken(ended time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for version, acknowledged := range n.fleet.configAt {
		done := ended
		for other, at := range n.configAt {
			if other >= version && at.Before(done) {
				done = at
			}
		}
		if at, late := n.lateMoment(acknowledged, done); late {
			out = append(out, fmt.Sprintf("%s: version %d, acknowledged %s before, not in force", n.addr, version, at.Sub(acknowledged)))
		}
	}
	for id, acknowledged := range n.fleet.leftAt {
		done := acknowledged
		if n.listed[id] {
			done = ended
		} else if at, seen := n.leftAt[id]; seen {
			done = at
		}
		storeUnstable := slices.ContainsFunc(n.fleet.storeDown, func(p period) bool {
			return p.from.Before(acknowledged) && p.to.After(acknowledged.Add(-contactBound))
		})
		if at, late := n.lateMoment(acknowledged, done); late && !storeUnstable {
			out = append(out, fmt.Sprintf("%s: server %s, removed %s before, in use", n.addr, id, at.Sub(acknowledged)))
		}
	}
	return out[:min(len(out), maxListed)]
}

// seedsToPlay returns the seeds of the flags or, without these, of the data file.
func seedsToPlay(t *testing.T) []uint64 {
	var seeds []uint64
	for i := range *convergeSeeds {
		seeds = append(seeds, *convergeFirstSeed+i)
	}
	if len(seeds) > 0 {
		return seeds
	}
	for _, line := range readLines(t, "testdata/converge_seeds.txt") {
		text, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, line)
		seeds = append(seeds, seed)
	}
	return seeds
}

// playSeed plays the fleet of a seed and returns what broke the bounds, and when each
// node acted on what.
func playSeed(seed uint64) (broken, history []string) {
	f := newSimFleet(rand.New(rand.NewPCG(seed, 0)))
	f.zones, f.zoneNodes = 1+int(seed%maxZones), 1+int(seed/maxZones%maxZoneNodes)
	defer f.close()
	broken = f.play()
	for _, n := range f.nodes {
		history = append(history, n.history())
	}
	return broken, history
}

// Guards against a verdict that depends on the order in which goroutines run: a seed that
// fails must fail again, and one that CI has passed must pass.
func TestSimulationRepeats(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var first, second []string
			synctest.Test(t, func(*testing.T) { _, first = playSeed(seed) })
			synctest.Test(t, func(*testing.T) { _, second = playSeed(seed) })
			require.Equal(t, first, second)
		})
	}
}

// Guards against nodes that are in touch acting late on changes of the configuration
// or using servers that left, after outages of the store and while the readers of a
// zone are cut off from it, start, restart or leave.
func TestConverge(t *testing.T) {
	for _, seed := range seedsToPlay(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				broken, _ := playSeed(seed)
				require.Empty(t, broken)
			})
		})
	}
}

// Guards against more nodes of a zone calling the store than its readers, while
// nothing changes: a node may hear of the readers too late and take over from them.
func TestOnlyReadersCallStore(t *testing.T) {
	const watched, shortestWatch = 24 * time.Second, 1200 * time.Millisecond
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(rand.New(rand.NewPCG(seed, 0)))
			defer f.close()
			f.putConfig()
			for range maxZoneNodes {
				f.add(0)
			}
			time.Sleep(convergeStart)
			before := f.store.Requests()
			time.Sleep(watched)
			// Each watch may begin before and end after the time.
			most := zoneReaders * (int(watched/shortestWatch) + 1)
			require.LessOrEqual(t, f.store.Requests()-before, most, "seed %d", seed)
		})
	}
}
