package mesh

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
	"dogwoodhead/standin"
)

// Guards against a read of the whole state by every node that starts: its peers
// have it, and calls to the store are expensive.
func TestStartFromPeers(t *testing.T) {
	f := newFleet(t)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		f.add(standin.AppOptions{ID: id, Service: "one", Slots: 10})
	}
	f.applyConfig(1, routeTo("one", "/x/", "safe"))
	reads := f.store.FullReads()
	for _, v := range f.vms {
		v.node.grace.Store(0)
		v.stop()
		require.NoError(t, <-v.done)
		v.start()
		f.waitForVersion(1)
	}
	require.Equal(t, reads, f.store.FullReads())
	f.applyConfig(2, routeTo("one", "/y/", "safe"))
}

// newTestDiscovery returns a discovery whose stale reads take their results from
// lists in turn and the last one again and again; nil stands for a failed read.
func newTestDiscovery(clock clockwork.Clock, lists ...[]catalog.Server) (d *discovery, peers *[]catalog.Server) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	peers = new([]catalog.Server)
	return newDiscovery(discoveryOptions{
		clock: clock, log: log, view: catalog.NewView(catalog.ViewOptions{Clock: clock}), backendAddr: "10.0.0.1:80",
		listStale: func(context.Context) ([]catalog.Server, error) {
			list := lists[0]
			if len(lists) > 1 {
				lists = lists[1:]
			}
			if list == nil {
				return nil, errors.New("down")
			}
			return list, nil
		},
		addPeers: func(servers []catalog.Server) { *peers = append(*peers, servers...) },
		askPeer:  func(context.Context) {}, peerTimeout: time.Second,
	}), peers
}

// Guards against a discovery that trusts a list older than its own entry, or that
// ends at a failed read.
func TestDiscovery(t *testing.T) {
	other, self := catalog.Server{ID: "i-2", Addr: "10.0.0.2:80"}, catalog.Server{ID: "i-1", Addr: "10.0.0.1:80"}
	d, peers := newTestDiscovery(clockwork.NewRealClock(), nil, []catalog.Server{other}, []catalog.Server{other, self})
	_, finished := d.sinceFinished()
	require.False(t, finished)
	d.run(context.Background())
	_, finished = d.sinceFinished()
	require.True(t, finished)
	require.Equal(t, []catalog.Server{other, other, self}, *peers)
}

// Guards against a node that goes on looking for peers, or reads the store, after
// a peer has sent the state.
func TestDiscoveryFromPeer(t *testing.T) {
	d, _ := newTestDiscovery(clockwork.NewFakeClock(), nil)
	asked := 0
	d.opts.askPeer = func(context.Context) {
		asked++
		d.opts.view.ReplaceServers(catalog.Listing{Rev: 1})
	}
	d.run(context.Background())
	require.Equal(t, 1, asked)
}

// Guards against a node that waits without end for a store that does not respond,
// or for an entry of its backend server.
func TestDiscoveryTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d, _ := newTestDiscovery(clock, nil)
	done := make(chan struct{})
	go func() {
		d.run(context.Background())
		close(done)
	}()
	require.Eventually(t, func() bool {
		clock.Advance(discoveryInterval)
		select {
		case <-done:
			return true
		default:
			return false
		}
	}, waitLimit, time.Millisecond)
	_, finished := d.sinceFinished()
	require.True(t, finished)
}

// Guards against all nodes of a zone reading the store, and against none reading
// it: while it starts, after the loss of a reader, and while the store is away.
func TestShouldRead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	view := catalog.NewView(catalog.ViewOptions{Clock: clock})
	var started time.Duration
	var discovered bool
	newZoneFeeder := func(self string) *feeder {
		s := newSyncer(syncerOptions{clock: clock, view: view, selfAddr: self, port: 1, zone: "z"})
		s.updatePeers([]catalog.Server{
			{Addr: "10.0.0.1:80", Zone: "z"},
			{Addr: "10.0.0.2:80", Zone: "z"},
			{Addr: "10.0.0.3:80", Zone: "z"},
			{Addr: "10.0.0.4:80", Zone: "other"},
		})
		return newFeeder(feederOptions{
			clock: clock, sync: s, selfAddr: self, sinceDiscovery: func() (time.Duration, bool) { return started, discovered },
		})
	}
	var readers, others []*feeder
	for _, addr := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		if f := newZoneFeeder(addr); f.readerRank() < zoneReaders {
			readers = append(readers, f)
		} else {
			others = append(others, f)
		}
	}
	require.Len(t, readers, zoneReaders)
	require.Len(t, others, 1)
	check := func(reads, otherReads bool, why string) {
		t.Helper()
		require.Equal(t, reads, readers[0].shouldRead(), why)
		require.Equal(t, otherReads, others[0].shouldRead(), why)
	}
	check(false, false, "the discovery has not finished")
	discovered = true
	check(true, false, "nobody feeds the zone")
	started = maxFeedTimeout + time.Millisecond
	check(true, true, "the readers do not feed the zone")
	for _, f := range []*feeder{readers[0], others[0]} {
		_, err := f.handleFeed(context.Background(), peer.Feed{})
		require.NoError(t, err)
	}
	check(false, false, "another node feeds the zone")
	started = startPeriod + time.Millisecond
	check(true, false, "a reader reads although another node feeds it")
	clock.Advance(maxFeedTimeout + time.Millisecond)
	check(true, true, "the feeds have ended")
	require.Less(t, readers[0].maxRetryDelay(), others[0].maxRetryDelay())
}
