package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

// Guards against a planned stop closing the connections of requests that wait for a
// slot at another node: their callers can't know that they have not run.
func TestStopRefusesWaitingRequests(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	desk := f.add(standin.AppOptions{ID: "i-desk", Service: "desk", Slots: 10})
	busy := f.add(standin.AppOptions{ID: "i-busy", Service: "busy", Slots: 1, SelfTime: 4 * time.Second})
	route := routeTo("busy", "/busy/", "unsafe")
	route.Priority = 0 // requests of the highest priority wait for as long as they have time
	f.applyConfig(1, route)
	running := make(chan callerResponse, 1)
	go func() { running <- desk.send(callerRequest{path: "/busy/", id: "running"}) }()
	require.Eventually(t, func() bool { return busy.app.Runs("running") > 0 }, waitLimit, time.Millisecond)
	replies := make(chan callerResponse, 6)
	for i := range cap(replies) {
		if i == cap(replies)/2 {
			shop.node.grace.Store(int64(2 * time.Second))
			shop.stop()
		}
		go func() { replies <- shop.send(callerRequest{path: "/busy/", id: fmt.Sprint("waiting", i)}) }()
		require.Eventually(t, func() bool { return busy.node.gate.Load().Used() == i+2 }, waitLimit, time.Millisecond)
	}
	for range cap(replies) {
		r := <-replies
		require.NoError(t, r.err)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	require.NoError(t, <-shop.done)
	require.Equal(t, http.StatusOK, (<-running).status, "requests of other nodes go on")
	for i := range cap(replies) {
		require.Zero(t, busy.app.Runs(fmt.Sprint("waiting", i)), "the responses say that they did not run")
	}
}
