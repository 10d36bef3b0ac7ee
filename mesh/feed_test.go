package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
)

// Guards against all nodes of a zone reading the store, and against none reading
// it: while it starts, after the loss of a reader, and while the store is away.
func TestReadMode(t *testing.T) {
	clock := clockwork.NewFakeClock()
	view := catalog.NewView(catalog.ViewOptions{Clock: clock})
	var listed bool
	newZoneFeeder := func(self string) *feeder {
		s := newSyncer(syncerOptions{clock: clock, view: view, selfAddr: self, port: 1, zone: "z"})
		s.updatePeers([]catalog.Server{
			{Addr: "10.0.0.1:80", Zone: "z"},
			{Addr: "10.0.0.2:80", Zone: "z"},
			{Addr: "10.0.0.3:80", Zone: "z"},
			{Addr: "10.0.0.4:80", Zone: "other"},
		})
		return newFeeder(feederOptions{clock: clock, sync: s, selfAddr: self, listed: func() bool { return listed }})
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
	check := func(mode, otherMode catalog.ReadMode, why string) {
		t.Helper()
		require.Equal(t, mode, readers[0].readMode(), why)
		require.Equal(t, otherMode, others[0].readMode(), why)
	}
	check(catalog.ReadFresh, catalog.ReadFresh, "no node has a list")
	view.ReplaceServers(catalog.Listing{Rev: 1})
	for _, f := range []*feeder{readers[0], others[0]} {
		want := catalog.ReadStale
		if f.startsAsWatcher() {
			want = catalog.ReadFresh
		}
		require.Equal(t, want, f.readMode(), "the local backend server is not listed")
	}
	listed = true
	check(catalog.ReadFresh, catalog.ReadNone, "the others wait for a feed of the readers")
	clock.Advance(maxFeedTimeout + time.Millisecond)
	check(catalog.ReadFresh, catalog.ReadFresh, "the readers do not feed the zone")
	feed := func(age time.Duration) {
		for _, f := range []*feeder{readers[0], others[0]} {
			_, err := f.handleFeed(context.Background(), peer.Feed{Age: age})
			require.NoError(t, err)
		}
	}
	feed(0)
	check(catalog.ReadNone, catalog.ReadNone, "another node feeds the zone")
	clock.Advance(catalog.MaxResponseInterval - feedInterval)
	feed(catalog.MaxResponseInterval - feedInterval)
	check(catalog.ReadNone, catalog.ReadNone, "the store may have had no changes for the nodes that feed the zone")
	clock.Advance(feedInterval + time.Millisecond)
	feed(catalog.MaxResponseInterval + time.Millisecond)
	check(catalog.ReadFresh, catalog.ReadFresh, "the store does not respond to the nodes that feed the zone")
	feed(0)
	check(catalog.ReadNone, catalog.ReadNone, "the store responds to them again")
	clock.Advance(startPeriod - maxFeedTimeout - catalog.MaxResponseInterval)
	feed(0)
	check(catalog.ReadFresh, catalog.ReadNone, "a reader reads although another node feeds it")
	clock.Advance(catalog.MaxResponseInterval - feedInterval)
	feed(catalog.MaxResponseInterval - feedInterval)
	check(catalog.ReadFresh, catalog.ReadNone, "the store may have had no changes for the readers")
	clock.Advance(feedInterval + time.Millisecond)
	feed(catalog.MaxResponseInterval + time.Millisecond)
	check(catalog.ReadFresh, catalog.ReadFresh, "the store does not respond to the readers")
	feed(0)
	clock.Advance(maxFeedTimeout + time.Millisecond)
	check(catalog.ReadFresh, catalog.ReadFresh, "the feeds have ended")
	require.Less(t, readers[0].maxRetryDelay(), others[0].maxRetryDelay())
}

// Guards against the state of nodes that left the zone being kept for good.
func TestDeleteTargets(t *testing.T) {
	f := newFeeder(feederOptions{clock: clockwork.NewFakeClock()})
	for _, addr := range []string{"a", "b", "c"} {
		f.targets[addr] = &feedTarget{}
	}
	f.deleteTargets([]string{"a", "c"})
	require.Len(t, f.targets, 2)
	require.NotContains(t, f.targets, "b")
}

// Guards against sending the list and the configuration to a node that has them,
// and against leaving one behind that does not.
func TestFirstFeed(t *testing.T) {
	view := catalog.NewView(catalog.ViewOptions{Clock: clockwork.NewFakeClock()})
	view.ApplyConfig(catalog.NewConfig(catalog.Document{Version: 3}))
	view.ReplaceServers(catalog.Listing{Rev: 7, Servers: []catalog.Server{{ID: "i-1"}}})
	for _, tc := range []struct {
		name     string
		receiver peer.ViewRequest
		feeds    int
	}{
		{"up to date", peer.ViewRequest{Version: 3, Rev: 7}, 1},
		{"just started", peer.ViewRequest{}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			receiver := tc.receiver
			var sent []peer.Update
			s := newSyncer(syncerOptions{clock: clockwork.NewFakeClock(), view: view})
			f := newFeeder(feederOptions{clock: clockwork.NewFakeClock(), sync: s, sendFeed: func(_ context.Context, _ string, feed peer.Feed) (peer.ViewRequest, error) {
				sent = append(sent, feed.Update)
				if feed.Update.List != nil {
					receiver = peer.ViewRequest{Version: feed.Update.Config.Version, Rev: feed.Update.List.Rev}
				}
				return receiver, nil
			}})
			f.feed(context.Background(), "peer", &feedTarget{})
			require.Len(t, sent, tc.feeds)
			require.Nil(t, sent[0].List)
			require.Nil(t, sent[0].Config)
			require.Equal(t, peer.ViewRequest{Version: 3, Rev: 7}, receiver)
		})
	}
}

// Guards against several feeds for one response of the store, which changes the list
// and the configuration one after the other.
func TestOneFeedForChangesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, feeds := clockwork.NewRealClock(), 0
		view := catalog.NewView(catalog.ViewOptions{Clock: clock})
		s := newSyncer(syncerOptions{clock: clock, view: view, selfAddr: "10.0.0.1:1", port: 1, zone: "z"})
		s.updatePeers([]catalog.Server{{Addr: "10.0.0.2:80", Zone: "z"}})
		f := newFeeder(feederOptions{
			clock: clock, sync: s, storeUp: func() bool { return true },
			sendFeed: func(context.Context, string, peer.Feed) (peer.ViewRequest, error) {
				feeds++
				return peer.ViewRequest{}, nil
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), feedInterval)
		defer cancel()
		go func() {
			f.notify()
			time.Sleep(feedDelay / 2)
			f.notify()
		}()
		f.run(ctx)
		synctest.Wait()
		require.Equal(t, 1, feeds)
	})
}

// Guards against taking an outage that only a peer had for one of the store: servers
// that left would stay in use as if their entries had expired.
func TestOutageOfPeer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		gap    time.Duration
		outage bool
	}{
		{"the store responded to the readers all the time", feedInterval, false},
		{"a connection failed", storeAwayGap, false},
		{"the store was away", storeAwayGap + time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			view := catalog.NewView(catalog.ViewOptions{Clock: clock})
			view.ReplaceServers(catalog.Listing{Rev: 1, Servers: []catalog.Server{{ID: "i-1"}}})
			log, _ := test.NewNullLogger()
			var f *feeder
			s := newSyncer(syncerOptions{clock: clock, log: log, view: view, outageEnded: func() (time.Duration, bool) { return f.contact.outageEnded() }})
			f = newFeeder(feederOptions{clock: clock, sync: s})
			for range int(storeReturnWindow/feedInterval) + 1 {
				f.contact.recordReader(0)
				clock.Advance(feedInterval)
			}
			f.contact.recordReader(0)
			clock.Advance(tc.gap)
			_, err := f.handleFeed(context.Background(), peer.Feed{})
			require.NoError(t, err)
			clock.Advance(feedInterval)
			_, err = f.handleFeed(context.Background(), peer.Feed{Update: peer.Update{
				Rev: 2, BaseRev: 1, Changes: []catalog.Change{{Removed: "i-1", Rev: 2}}, SinceStoreRecovery: feedInterval,
			}})
			require.NoError(t, err)
			_, outage := view.SinceStoreReturn()
			require.Equal(t, tc.outage, outage)
		})
	}
}

// Guards against using a server on that left after an outage, because a peer that was cut
// off for longer reports the store's return when it reaches the store itself.
func TestLateReportOfReturn(t *testing.T) {
	const reportedLate = 3 * time.Second
	clock := clockwork.NewFakeClock()
	deferred := false
	view := catalog.NewView(catalog.ViewOptions{Clock: clock, RemovalDeferred: func(catalog.Server, time.Duration) { deferred = true }})
	view.ReplaceServers(catalog.Listing{Rev: 1, Servers: []catalog.Server{{ID: "i-1"}}})
	log, lines := test.NewNullLogger()
	var f *feeder
	s := newSyncer(syncerOptions{clock: clock, log: log, view: view, outageEnded: func() (time.Duration, bool) { return f.contact.outageEnded() }})
	f = newFeeder(feederOptions{clock: clock, sync: s})
	feed := func(update peer.Update) {
		_, err := f.handleFeed(context.Background(), peer.Feed{Update: update})
		require.NoError(t, err)
	}
	feed(peer.Update{})
	clock.Advance(storeAwayGap + time.Millisecond)
	for range int(reportedLate / feedInterval) {
		feed(peer.Update{})
		clock.Advance(feedInterval)
	}
	feed(peer.Update{Rev: 2, BaseRev: 1, Changes: []catalog.Change{{Removed: "i-1", Rev: 2}}, SinceStoreRecovery: time.Millisecond})
	require.False(t, deferred)
	require.Empty(t, view.Listing().Servers)
	const returned = reportedLate / feedInterval * feedInterval
	require.EqualValues(t, returned.Milliseconds(), lines.LastEntry().Data["returned"], "the line tells when the store returned")
}
