package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
	"dogwoodhead/settings"
)

// Guards against a node announcing a list before it acts on it: its peers would
// send requests that it still refuses.
func TestUpdateInForce(t *testing.T) {
	applying, finish := make(chan struct{}), make(chan struct{})
	clock := clockwork.NewRealClock()
	view := catalog.NewView(catalog.ViewOptions{Clock: clock, ServersChanged: func([]catalog.Server) {
		close(applying)
		<-finish
	}})
	s := newSyncer(syncerOptions{clock: clock, log: logrus.New(), view: view})
	go view.ReplaceServers(catalog.Listing{Rev: 1, Servers: []catalog.Server{{ID: "i-1"}}})
	<-applying
	updates := make(chan peer.Update, 1)
	go func() {
		update, _ := s.handleView(context.Background(), peer.ViewRequest{From: "vm-2"})
		updates <- update
	}()
	select {
	case <-updates:
		require.Fail(t, "the list was announced before it was in force")
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	require.EqualValues(t, 1, (<-updates).Rev)
}

// Guards against counting as a peer, and asking for updates, what cannot be a node:
// the retry budget would be shared with it.
func TestRequestersThatAreNoNodes(t *testing.T) {
	log, entries := test.NewNullLogger()
	clock := clockwork.NewFakeClock()
	s := newSyncer(syncerOptions{clock: clock, log: log, view: catalog.NewView(catalog.ViewOptions{Clock: clock}), selfAddr: "10.0.0.1:7", port: 7})
	for _, from := range []string{"", "vm-2", "10.0.0.2", "10.0.0.2:8", "app.example:7", "10.0.0.1:7"} {
		_, err := s.handleView(context.Background(), peer.ViewRequest{From: from, Rev: 9})
		require.NoError(t, err)
		require.Zero(t, s.peerCount(), "a request from %q", from)
	}
	require.NotEmpty(t, entries.AllEntries())
	for i := range maxPeers + 10 {
		_, err := s.handleView(context.Background(), peer.ViewRequest{From: fmt.Sprintf("10.0.%d.%d:7", i/256, i%256)})
		require.NoError(t, err)
	}
	require.Equal(t, maxPeers, s.peerCount())
}

// Guards against a node that receives no changes asking other zones for them more
// often than a node that does, and against it asking nobody else.
func TestCatchUpInOwnZone(t *testing.T) {
	for _, tc := range []struct {
		name  string
		peers []catalog.Server
		// minPerSecond and maxPerSecond bound the requests to the other zone.
		minPerSecond, maxPerSecond float64
		total                      float64
	}{
		{"with peers in the zone", []catalog.Server{{Addr: "10.0.0.2:80", Zone: "z"}, {Addr: "10.0.0.3:80", Zone: "other"}}, 0.4, 2, 10},
		{"alone in the zone", []catalog.Server{{Addr: "10.0.0.3:80", Zone: "other"}}, 10, 10, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 20
				ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
				defer cancel()
				var total, other atomic.Int32
				clock := clockwork.NewRealClock()
				random := rand.New(rand.NewPCG(1, 1))
				s := newSyncer(syncerOptions{
					clock: clock, view: catalog.NewView(catalog.ViewOptions{Clock: clock}), selfAddr: "10.0.0.1:1", port: 1, zone: "z",
					log: logrus.New(), randomIntN: random.IntN, receivesChanges: func() bool { return false },
					requestView: func(_ context.Context, addr string, _ peer.ViewRequest) (peer.Update, error) {
						total.Add(1)
						if addr == "10.0.0.3:1" {
							other.Add(1)
						}
						return peer.Update{}, nil
					},
				})
				s.updatePeers(tc.peers)
				s.run(ctx)
				synctest.Wait()
				require.InDelta(t, tc.total, float64(total.Load())/seconds, 0.2)
				require.GreaterOrEqual(t, float64(other.Load())/seconds, tc.minPerSecond-0.2)
				require.LessOrEqual(t, float64(other.Load())/seconds, tc.maxPerSecond)
			})
		})
	}
}

// Guards against a node that listens on another address than its backend server's
// taking itself for a peer: it would have two places in the order of the readers.
func TestOwnAddress(t *testing.T) {
	src := `{"vm": "vm-1", "ip": "10.0.9.1", "zone": "z", "region": "r", "zones": {"z": "r"}, "service": "s",
		"listen": {"outbound": "10.0.0.1:80", "ready": "10.0.0.1:81", "operator": "10.0.0.1:82"}, "ports": [7620, 7635],
		"backend": "10.0.0.1:8301", "store": "10.0.0.250:80", "limits": {"memory": 200, "cores": 1},
		"bounds": {"grace": 4, "ratio": 0.2, "slack": 40}}`
	parsed, err := settings.ParseMesh("test.jsonc", []byte(src))
	require.NoError(t, err)
	log, _ := test.NewNullLogger()
	n := newNode(parsed, "test", log, clockwork.NewFakeClock(), newDialer().DialContext)
	n.syncer.updatePeers([]catalog.Server{{Addr: "10.0.0.1:8301", Zone: "z"}, {Addr: "10.0.0.2:8301", Zone: "z"}})
	require.Equal(t, 1, n.syncer.peerCount())
}
