package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
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
	s := newSyncer(syncerOptions{clock: clock, view: view})
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
