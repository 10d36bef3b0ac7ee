package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

// Guards against a graceful shutdown aborting requests, and against a stopping
// node reporting that it is ready.
func TestStop(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 50, SelfTime: 1600 * time.Millisecond})
	f.applyConfig(1, routeTo("one", "/x/", "unsafe"), routeTo("shop", "/shop/", "safe"))
	replies := make(chan callerResponse, 20)
	for i := range cap(replies) {
		go func() { replies <- shop.send(callerRequest{path: "/x/", id: fmt.Sprint(i)}) }()
	}
	require.Eventually(t, func() bool { return len(one.app.AllRuns()) > 0 }, waitLimit, time.Millisecond)
	shop.stop()
	require.Eventually(t, func() bool { return !shop.ready() }, waitLimit, time.Millisecond)
	late := shop.send(callerRequest{path: "/x/", id: "late"})
	require.Equal(t, http.StatusOK, late.status, "callers are served during the drain delay")
	for range cap(replies) {
		r := <-replies
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status)
	}
	require.NoError(t, <-shop.done)
}

// Guards against passing on a request that arrives late in the shutdown, on a
// connection that is still open, and cutting it off at the end of the grace period.
func TestStopLateRequest(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	slow := f.add(standin.AppOptions{ID: "i-slow", Service: "slow", Slots: 10, SelfTime: 3 * time.Second})
	f.applyConfig(1, routeTo("slow", "/slow/", "unsafe"), routeTo("shop", "/shop/", "safe"))
	outbound := net.JoinHostPort(shop.ip, strconv.Itoa(outboundPort))
	kept, err := net.Dial("tcp", outbound)
	require.NoError(t, err)
	defer kept.Close()
	reader := bufio.NewReader(kept)
	sendKept := func(id, path string) *http.Response {
		fmt.Fprintf(kept, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\n\r\n", path, host, id)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp
	}
	require.Equal(t, http.StatusOK, sendKept("early", "/shop/").StatusCode)
	inProgress := make(chan callerResponse, 1)
	go func() { inProgress <- shop.send(callerRequest{path: "/slow/", id: "in progress"}) }()
	require.Eventually(t, func() bool { return slow.app.Runs("in progress") > 0 }, waitLimit, time.Millisecond)
	shop.stop()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", outbound)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, waitLimit, time.Millisecond, "the node stops accepting connections")
	late := sendKept("late", "/slow/")
	require.Equal(t, http.StatusServiceUnavailable, late.StatusCode)
	require.NotEmpty(t, late.Header.Get("Retry-After"))
	require.True(t, late.Close)
	require.Zero(t, slow.app.Runs("late"), "the response says that it did not run")
	require.Equal(t, http.StatusOK, (<-inProgress).status)
	require.NoError(t, <-shop.done)
}

// Guards against new work starting at a backend server whose node is shutting
// down, and against such work running although it was refused.
func TestBackendClosed(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10})
	f.applyConfig(1, routeTo("one", "/x/", "unsafe"), routeTo("shop", "/shop/", "unsafe"))
	one.node.backendClosed.Store(true)
	shop.node.backendClosed.Store(true)
	require.Equal(t, http.StatusServiceUnavailable, shop.send(callerRequest{path: "/x/", id: "remote"}).status)
	require.Equal(t, http.StatusServiceUnavailable, shop.send(callerRequest{path: "/shop/", id: "local"}).status)
	require.Zero(t, one.app.Runs("remote"))
	require.Zero(t, shop.app.Runs("local"))
	p, ok := shop.node.board.Peers().Get("i-1")
	require.True(t, ok && p.ConsecutiveFailures > 0 && !p.AvoidUntil.IsZero(), "the node is avoided")
}

// Guards against a stopping node keeping requests of other nodes in its queue, until
// a slot is free or its end, instead of refusing them while they can be sent elsewhere.
func TestStopRefusesQueue(t *testing.T) {
	f := newFleet(t)
	refused := make(chan struct{})
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	busy := f.add(standin.AppOptions{ID: "i-busy", Service: "busy", Slots: 1, Fault: func(string) standin.AppFault {
		<-refused
		return ""
	}})
	route := routeTo("busy", "/busy/", "unsafe")
	route.Priority = 0 // requests of the highest priority wait for as long as they have time
	f.applyConfig(1, route)
	running := make(chan callerResponse, 1)
	go func() { running <- shop.send(callerRequest{path: "/busy/", id: "running"}) }()
	require.Eventually(t, func() bool { return len(busy.app.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	waiting := make(chan callerResponse, 1)
	go func() { waiting <- shop.send(callerRequest{path: "/busy/", id: "waiting"}) }()
	require.Eventually(t, func() bool { return busy.node.gate.Load().Used() == 2 }, waitLimit, time.Millisecond)
	busy.node.grace.Store(int64(8 * time.Second))
	busy.stop()
	require.Equal(t, http.StatusServiceUnavailable, (<-waiting).status)
	close(refused)
	require.Equal(t, http.StatusOK, (<-running).status, "the other request was refused while this one ran")
	require.Zero(t, busy.app.Runs("waiting"))
	require.NoError(t, <-busy.done)
}

// Guards against peers treating a restarted node as still leaving.
func TestRestart(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10})
	f.applyConfig(1, routeTo("one", "/x/", "unsafe"))
	one.node.backendClosed.Store(true)
	require.Equal(t, http.StatusServiceUnavailable, shop.send(callerRequest{path: "/x/", id: "a"}).status)
	one.node.grace.Store(0)
	one.stop()
	require.NoError(t, <-one.done)
	one.start()
	f.waitForVersion(1)
	i := 0
	require.Eventually(t, func() bool {
		i++
		return shop.send(callerRequest{path: "/x/", id: fmt.Sprint("b", i)}).status == http.StatusOK
	}, waitLimit, 10*time.Millisecond)
}

// Guards against sending requests to a server whose response said that it leaves,
// although the node beside it restarted since, and against never using the server
// again after it restarted under its id.
func TestServerLeavingNodeRestarts(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{
		ID: "i-1", Service: "one", Slots: 10, SetHeaders: func(h http.Header) { h.Set("Server-Leaving", "1") },
	})
	f.applyConfig(1, routeTo("one", "/x/", "unsafe"))
	first := shop.send(callerRequest{path: "/x/", id: "first"})
	require.Equal(t, http.StatusOK, first.status)
	require.Equal(t, "1", first.header.Get("Server-Leaving"))
	one.node.grace.Store(0)
	one.stop()
	require.NoError(t, <-one.done)
	one.start()
	f.waitForVersion(1)
	for i := range 50 {
		id := fmt.Sprint("late", i)
		require.Equal(t, http.StatusServiceUnavailable, shop.send(callerRequest{path: "/x/", id: id}).status)
		require.Zero(t, one.app.Runs(id))
	}
	restarted := standin.NewApp(standin.AppOptions{ID: "i-1", Service: "one", Zone: "zone-a", Addr: fmt.Sprintf("%s:%d", one.ip, appPort), Slots: 10})
	restarted.Register(f.store, false)
	require.Eventually(t, func() bool {
		return shop.send(callerRequest{path: "/x/", id: "again"}).status == http.StatusOK
	}, waitLimit, 10*time.Millisecond)
}
