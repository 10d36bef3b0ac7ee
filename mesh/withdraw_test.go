package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"dogwoodhead/peer"
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

// Guards against a stopping node passing on calls of running requests that can't end
// before it does, and cutting them, and against it refusing those that can.
func TestStopLateCalls(t *testing.T) {
	f := newFleet(t)
	finish := make(chan struct{})
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, Fault: func(string) standin.AppFault {
		<-finish
		return ""
	}})
	quick := f.add(standin.AppOptions{ID: "i-quick", Service: "quick", Slots: 10})
	slow := f.add(standin.AppOptions{ID: "i-slow", Service: "slow", Slots: 10, SelfTime: 2 * time.Second})
	f.applyConfig(1, routeTo("shop", "/shop/", "unsafe"), routeTo("quick", "/quick/", "safe"), routeTo("slow", "/slow/", "safe"))
	// A stopping node closes a connection after each response.
	conns := map[string]*callerConn{"/slow/": shop.connect(t), "/quick/": shop.connect(t)}
	call := func(id, path string) int {
		kept := conns[path]
		kept.send(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\n\r\n", path, host, id))
		return kept.readStatus()
	}
	for path := range conns {
		require.Equal(t, http.StatusOK, call("first"+path, path), "the node knows how long a request takes")
	}
	running := make(chan callerResponse, 1)
	go func() { running <- shop.send(callerRequest{path: "/shop/", id: "running"}) }()
	require.Eventually(t, func() bool { return len(shop.app.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	shop.stop()
	require.Eventually(t, shop.node.callersClosed.Load, waitLimit, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, call("running.1", "/slow/"))
	require.Zero(t, slow.app.Runs("running.1"), "the response says that it did not run")
	require.Equal(t, http.StatusOK, call("running.2", "/quick/"))
	require.Equal(t, 1, quick.app.Runs("running.2"))
	header, _, _ := quick.app.LastRequest("running.2")
	left, err := strconv.Atoi(header.Get("X-Deadline-Ms"))
	require.NoError(t, err)
	require.Less(t, time.Duration(left)*time.Millisecond, time.Duration(shop.node.grace.Load()), "the server knows when the node ends")
	close(finish)
	require.Equal(t, http.StatusOK, (<-running).status)
	require.NoError(t, <-shop.done)
}

// Guards against a planned stop closing the connection of a request that still runs
// at its end, and against logging that its caller has left.
func TestStopInterruptsWithResponse(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	slow := f.add(standin.AppOptions{ID: "i-slow", Service: "slow", Slots: 10, SelfTime: waitLimit})
	f.applyConfig(1, routeTo("slow", "/slow/", "safe"))
	shop.node.grace.Store(int64(2 * time.Second))
	reply := make(chan callerResponse, 1)
	go func() { reply <- shop.send(callerRequest{path: "/slow/", id: "running"}) }()
	require.Eventually(t, func() bool { return slow.app.Runs("running") > 0 }, waitLimit, time.Millisecond)
	shop.stop()
	r := <-reply
	require.NoError(t, r.err)
	require.Equal(t, http.StatusBadGateway, r.status, "the outcome is unknown")
	require.NoError(t, <-shop.done)
	require.Contains(t, shop.log.String(), `"reason":"leaving"`)
}

// Guards against a stopping node refusing the connections on which running requests
// make their calls, so that the requests fail.
func TestStopCallOnNewConnection(t *testing.T) {
	f := newFleet(t)
	finish := make(chan struct{})
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, Fault: func(string) standin.AppFault {
		<-finish
		return ""
	}})
	f.add(standin.AppOptions{ID: "i-quick", Service: "quick", Slots: 10})
	f.applyConfig(1, routeTo("shop", "/shop/", "unsafe"), routeTo("quick", "/quick/", "safe"))
	shop.node.grace.Store(int64(8 * time.Second))
	running := make(chan callerResponse, 1)
	go func() { running <- shop.send(callerRequest{path: "/shop/", id: "running"}) }()
	require.Eventually(t, func() bool { return len(shop.app.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	shop.stop()
	require.Eventually(t, shop.node.callersClosed.Load, waitLimit, time.Millisecond)
	for i := range 10 {
		c := shop.connect(t)
		c.send(fmt.Sprintf("GET /quick/ HTTP/1.1\r\nHost: %s\r\nX-Request-Id: running.%d\r\nX-Deadline-Ms: 9000\r\n\r\n", host, i))
		require.Equal(t, http.StatusOK, c.readStatus())
	}
	require.Equal(t, http.StatusServiceUnavailable, shop.send(callerRequest{path: "/quick/", id: "late"}).status, "callers are refused")
	close(finish)
	require.Equal(t, http.StatusOK, (<-running).status)
	require.NoError(t, <-shop.done)
}

// Guards against a request that is on its way to another node being missed by the
// withdrawal and waiting there until its connection is closed.
func TestWithdrawRepeats(t *testing.T) {
	var withdrawals atomic.Int32
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{clock: clockwork.NewRealClock()}
	n.sent = newSentRequests(log, func(_ context.Context, addr string, w peer.Withdrawal) error {
		require.Equal(t, "node", addr)
		require.Equal(t, []string{"one"}, w.IDs)
		withdrawals.Add(1)
		return errors.New("not reached")
	})
	c := &call{id: "one"}
	require.True(t, n.sent.add(c, "node"))
	n.withdrawUntil(n.clock.Now().Add(waitLimit), func() bool { return withdrawals.Load() >= 3 })
	require.GreaterOrEqual(t, withdrawals.Load(), int32(3))
	require.False(t, n.sent.add(&call{id: "two"}, "node"), "no more are sent")
	n.sent.remove(c)
	n.sent.withdraw(context.Background())
	require.Equal(t, int32(3), withdrawals.Load(), "nothing is left to withdraw")
}
