package mesh

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
	"dogwoodhead/standin"
)

// Guards against requests and responses being changed in transit, and against a
// caller forging the origin or the target backend server.
func TestForward(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	book := f.add(standin.AppOptions{ID: "i-book", Service: "book", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"), routeTo("shop", "/shop/", "safe"))
	r := shop.send(callerRequest{
		method: http.MethodPost, path: "/book/a%2Fb//c?x=%20&y", id: "one", body: "some body",
		header: map[string]string{
			"X-Caller-Service": "forged", "X-Target-Instance": "i-other", "Dogwood-Hop": "0;nf;x", "X-Kept": "yes",
		},
	})
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, standin.AppBody("i-book", "one"), r.body)
	require.Equal(t, "i-book", r.header.Get("X-Server-Stamp"))
	require.Equal(t, "one", r.header.Get("X-Request-Id"))
	h, target, body := book.app.LastRequest("one")
	require.Equal(t, "POST "+host+"/book/a%2Fb//c?x=%20&y", target)
	require.Equal(t, "some body", body)
	require.Equal(t, "shop", h.Get("X-Caller-Service"))
	require.Equal(t, "i-book", h.Get("X-Target-Instance"))
	require.Equal(t, "yes", h.Get("X-Kept"))
	require.Empty(t, h.Get("Dogwood-Hop"))
	require.Empty(t, h.Get("Accept-Encoding"))
	for name := range r.header {
		require.False(t, strings.HasPrefix(name, reservedPrefix), "%s reaches the caller", name)
	}
	local := shop.send(callerRequest{path: "/shop/x", id: "two"})
	require.Equal(t, standin.AppBody("i-shop", "two"), local.body)
}

// Guards against a response to HEAD counting as one that breaks off: its length is
// that of a body which is not sent.
func TestHead(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	f.add(standin.AppOptions{ID: "i-book", Service: "book", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "safe"), routeTo("shop", "/shop/", "safe"))
	for path, app := range map[string]string{"/book/x": "i-book", "/shop/x": "i-shop"} {
		r := shop.send(callerRequest{method: http.MethodHead, path: path, id: path})
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status, path)
		require.Equal(t, strconv.Itoa(len(standin.AppBody(app, path))), r.header.Get("Content-Length"))
		require.Empty(t, r.body)
	}
}

// Guards against long bodies being truncated or changed, and against a body
// beyond the limit reaching a backend server.
func TestLongBodies(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	book := f.add(standin.AppOptions{ID: "i-book", Service: "book", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	long := strings.Repeat("0123456789", maxBufferedRequest/5)
	r := shop.send(callerRequest{method: http.MethodPost, path: "/book/x", id: "one", body: long})
	require.Equal(t, http.StatusOK, r.status)
	_, _, body := book.app.LastRequest("one")
	require.Equal(t, long, body)
	r = shop.send(callerRequest{method: http.MethodPost, path: "/book/x", id: "two", body: strings.Repeat("x", 1<<20+1)})
	require.Equal(t, http.StatusRequestEntityTooLarge, r.status)
	require.Zero(t, book.app.Runs("two"))
}

// Guards against buffered bodies together exceeding the memory limit, and
// against reserved memory not being freed.
func TestBodyMemory(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	book := f.add(standin.AppOptions{ID: "i-book", Service: "book", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	budget := int64(200<<20) / bodyMemoryDivisor
	body := strings.Repeat("x", maxBufferedBody)
	send := func(id string) {
		r := shop.send(callerRequest{method: http.MethodPost, path: "/book/x", id: id, body: body})
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, standin.AppBody("i-book", id), r.body)
		_, _, got := book.app.LastRequest(id)
		require.Equal(t, body, got)
	}
	free := func(v *testVM) bool {
		if !v.node.bodyMemory.TryAcquire(budget) {
			return false
		}
		v.node.bodyMemory.Release(budget)
		return true
	}
	for i := range 10 {
		send(fmt.Sprint("buffered", i))
	}
	for _, v := range f.vms {
		require.Eventually(t, func() bool { return free(v) }, waitLimit, time.Millisecond)
		require.True(t, v.node.bodyMemory.TryAcquire(budget))
	}
	send("streamed")
	var reservation bodyReservation
	require.False(t, reservation.acquire(shop.node.bodyMemory, 1), "nothing is buffered without memory")
}

// Guards against a rejected request running or getting the wrong status.
func TestRejectStatus(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	require.Eventually(t, func() bool {
		r := shop.send(callerRequest{path: "/shop/x", id: "early"})
		return r.err == nil && r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != ""
	}, waitLimit, 10*time.Millisecond, "no configuration yet")
	require.False(t, shop.ready())
	f.applyConfig(1, routeTo("shop", "/shop/", "safe"), routeTo("none", "/none/", "safe"))
	require.Equal(t, http.StatusNotFound, shop.send(callerRequest{path: "/other/x", id: "a"}).status)
	require.Equal(t, http.StatusBadRequest, shop.send(callerRequest{path: "/shop/x"}).status)
	none := shop.send(callerRequest{path: "/none/x", id: "b"})
	require.Equal(t, http.StatusServiceUnavailable, none.status)
	require.NotEmpty(t, none.header.Get("Retry-After"))
	big := shop.send(callerRequest{path: "/shop/x", id: "c", header: map[string]string{"X-Big": strings.Repeat("x", 17<<10)}})
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, big.status)
	require.Empty(t, shop.app.AllRuns())
}

// Guards against a request failing because one backend server refused it while
// another has free slots, and against a request being reported as not run after
// it ran.
func TestShed(t *testing.T) {
	f := newFleet(t)
	var shed atomic.Bool
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "book", Slots: 10, Fault: func(string) standin.AppFault {
		if shed.Load() {
			return standin.AppShed
		}
		return ""
	}})
	two := f.add(standin.AppOptions{ID: "i-2", Service: "book", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	for i := range 100 {
		require.Equal(t, http.StatusOK, shop.send(callerRequest{method: http.MethodPost, path: "/book/x", id: fmt.Sprint("warm", i)}).status)
	}
	shed.Store(true)
	for i := range 100 {
		id := fmt.Sprint("shed", i)
		r := shop.send(callerRequest{method: http.MethodPost, path: "/book/x", id: id})
		runs := one.app.Runs(id) + two.app.Runs(id)
		switch r.status {
		case http.StatusOK:
			require.Equal(t, 1, runs, id)
		case http.StatusServiceUnavailable:
			require.Zero(t, runs, id)
		default:
			t.Fatalf("%s: status %d", id, r.status)
		}
	}
}

// Guards against sending a backend server more requests than it has slots: it
// never responds to the excess, which must wait or be refused.
func TestSlots(t *testing.T) {
	f := newFleet(t)
	const slots = 4
	one := f.add(standin.AppOptions{ID: "i-1", Service: "book", Slots: slots, SelfTime: 20 * time.Millisecond})
	two := f.add(standin.AppOptions{ID: "i-2", Service: "shop", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[string]int{}
	for i := range 40 {
		for _, v := range []*testVM{one, two} {
			wg.Go(func() {
				id := fmt.Sprintf("%s-%d", v.ip, i)
				r := v.send(callerRequest{method: http.MethodPost, path: "/book/x", id: id})
				mu.Lock()
				defer mu.Unlock()
				got[id] = r.status
			})
		}
	}
	wg.Wait()
	peak, hung := one.app.SlotUsage()
	require.LessOrEqual(t, peak, slots)
	require.Zero(t, hung)
	for id, status := range got {
		switch status {
		case http.StatusOK:
			require.Equal(t, 1, one.app.Runs(id), id)
		case http.StatusServiceUnavailable:
			require.Zero(t, one.app.Runs(id), id)
		default:
			t.Fatalf("%s: status %d", id, status)
		}
	}
}

// Guards against new work at a draining backend server.
func TestDrain(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "book", Slots: 10})
	f.add(standin.AppOptions{ID: "i-2", Service: "book", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	one.app.Register(f.store, true)
	for _, v := range f.vms {
		require.Eventually(t, func() bool {
			vm, ok := v.node.board.Members().Get("i-1")
			return ok && vm.Leaving()
		}, waitLimit, time.Millisecond)
	}
	for i := range 50 {
		id := fmt.Sprint("late", i)
		require.Equal(t, http.StatusOK, shop.send(callerRequest{path: "/book/x", id: id}).status)
		require.Zero(t, one.app.Runs(id))
	}
}

// Guards against a queued request being sent to a backend server that was
// removed from the list while the request waited for a slot.
func TestDrainQueued(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	removed := make(chan struct{})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "book", Slots: 1, Fault: func(string) standin.AppFault {
		<-removed
		return ""
	}})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	first := make(chan callerResponse, 1)
	go func() { first <- shop.send(callerRequest{path: "/book/x", id: "first"}) }()
	require.Eventually(t, func() bool { return len(one.app.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	queued := make(chan callerResponse, 1)
	go func() { queued <- shop.send(callerRequest{path: "/book/x", id: "queued"}) }()
	require.Eventually(t, func() bool { return one.node.gate.Load().Used() == 2 }, waitLimit, time.Millisecond)
	f.store.Delete("servers/i-1")
	require.Eventually(t, func() bool { return one.node.localBackend.server.Load() == nil }, waitLimit, time.Millisecond)
	close(removed)
	require.Equal(t, http.StatusOK, (<-first).status)
	require.Equal(t, http.StatusServiceUnavailable, (<-queued).status)
	require.Zero(t, one.app.Runs("queued"))
}

// Guards against a request running at a backend server of another service that
// reuses a listed address, whichever of the two entries was written last.
func TestReusedAddress(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	other := f.add(standin.AppOptions{ID: "i-other", Service: "other", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	// The stale entry of the previous server still has the address.
	stale := standin.NewApp(standin.AppOptions{
		ID: "i-book", Service: "book", Zone: "zone-a", Slots: 10, Addr: fmt.Sprintf("%s:%d", other.ip, appPort),
	})
	check := func(rev uint64, id string) {
		require.Eventually(t, func() bool { return shop.node.view.Rev() >= rev && len(shop.node.view.Listing().Servers) == 3 }, waitLimit, time.Millisecond)
		r := shop.send(callerRequest{path: "/book/x", id: id})
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Zero(t, other.app.Runs(id))
	}
	check(stale.Register(f.store, false), "one")
	check(other.app.Register(f.store, false), "two")
}

// Guards against requests to a backend server that was replaced by another one at
// its address, while its entry has not expired: after a power failure that is half
// of all entries. Each such request costs an attempt, and a permit if the new
// server refuses it.
func TestReplacedServer(t *testing.T) {
	f := newFleet(t)
	old := standin.NewApp(standin.AppOptions{ID: "i-old", Service: "one", Zone: "zone-a", Slots: 10, Addr: fmt.Sprintf("%s.2:%d", f.net, appPort)})
	old.Register(f.store, false)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-new", Service: "one", Slots: 10})
	f.applyConfig(1, routeTo("one", "/x/", "safe"))
	for i := range 20 {
		require.Equal(t, http.StatusOK, shop.send(callerRequest{path: "/x/", id: fmt.Sprint(i)}).status)
	}
	require.NotContains(t, shop.log.String()+one.log.String(), "i-old")
	// A node with an older list may still send requests for the previous server.
	r, refused := one.node.localBackend.unavailable("i-old")
	require.True(t, refused)
	require.Equal(t, frame.ReasonDraining, r.reason)
}

// Guards against requests being routed by an older configuration once a newer
// one is active.
func TestConfigChange(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10})
	f.add(standin.AppOptions{ID: "i-2", Service: "two", Slots: 10})
	f.applyConfig(3, routeTo("one", "/x/", "safe"))
	require.Equal(t, "i-1", shop.send(callerRequest{path: "/x/", id: "a"}).header.Get("X-Server-Stamp"))
	f.applyConfig(7, routeTo("two", "/x/", "safe"))
	require.Equal(t, "i-2", shop.send(callerRequest{path: "/x/", id: "b"}).header.Get("X-Server-Stamp"))
	f.store.PutConfig(5, []standin.StoreRoute{routeTo("one", "/x/", "safe")})
	f.applyConfig(8, routeTo("two", "/y/", "safe"))
	require.Equal(t, http.StatusNotFound, shop.send(callerRequest{path: "/x/", id: "c"}).status)
}

// Guards against the shares of a split deviating from their weights.
func TestSplit(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10})
	f.add(standin.AppOptions{ID: "i-2", Service: "two", Slots: 10})
	r := routeTo("", "/x/", "safe")
	r.Service, r.Split = "", map[string]int{"one": 90, "two": 10}
	f.applyConfig(1, r)
	for i := range 100 {
		require.Equal(t, http.StatusOK, shop.send(callerRequest{path: "/x/", id: fmt.Sprint(i)}).status)
	}
	require.InDelta(t, 90, len(one.app.AllRuns()), 1)
}

// Guards against a node falling behind or never becoming ready while the store
// refuses it but serves others.
func TestStoreRefuses(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10})
	f.applyConfig(1, routeTo("one", "/x/", "safe"))
	f.store.SetRefused(shop.ip, true)
	require.Eventually(t, func() bool { return !shop.node.follower.Connected() }, waitLimit, time.Millisecond)
	f.applyConfig(2, routeTo("one", "/y/", "safe"))
	require.Equal(t, http.StatusOK, shop.send(callerRequest{path: "/y/", id: "a"}).status)
	one.app.Register(f.store, true)
	require.Eventually(t, func() bool {
		vm, ok := shop.node.board.Members().Get("i-1")
		return ok && vm.Leaving()
	}, waitLimit, time.Millisecond)
	one.app.Register(f.store, false)
	shop.node.grace.Store(0)
	shop.stop()
	require.NoError(t, <-shop.done)
	shop.start()
	f.waitForVersion(2)
	require.Eventually(t, func() bool {
		vm, ok := shop.node.board.Members().Get("i-1")
		return ok && !vm.Leaving()
	}, waitLimit, time.Millisecond, "the other node reads changes slowly after its start")
	require.False(t, shop.node.follower.Connected(), "it got its state from its peers")
	require.Equal(t, http.StatusOK, shop.send(callerRequest{path: "/y/", id: "b"}).status, "node:\n%s\nother node:\n%s", shop.log, one.log)
}

// Guards against child requests being refused while new requests are served,
// which would waste the work of their parents.
func TestChildPriority(t *testing.T) {
	f := newFleet(t)
	front := f.add(standin.AppOptions{ID: "i-front", Service: "front", Slots: 40, Calls: []string{host + "/deep/", host + "/deep/"}})
	f.add(standin.AppOptions{ID: "i-deep", Service: "deep", Slots: 2, SelfTime: 10 * time.Millisecond})
	f.applyConfig(1, routeTo("front", "/front/", "safe"), routeTo("deep", "/deep/", "safe"))
	require.Equal(t, http.StatusOK, front.send(callerRequest{path: "/front/", id: "one"}).status)
	require.Contains(t, front.log.String(), `"request":"one.0"`)
	require.Equal(t, 4, classOfRequest(t, front.log.String(), "one.0"))
	require.Equal(t, 5, classOfRequest(t, front.log.String(), "one"))
}

// classOfRequest returns the class from the log line of a request.
func classOfRequest(t *testing.T, log, id string) int {
	t.Helper()
	for line := range strings.Lines(log) {
		if !strings.Contains(line, fmt.Sprintf(`"request":%q`, id)) || !strings.Contains(line, `"msg":"request"`) {
			continue
		}
		var class int
		i := strings.Index(line, `"class":`)
		_, err := fmt.Sscanf(line[i:], `"class":%d`, &class)
		require.NoError(t, err)
		return class
	}
	t.Fatalf("no line of request %s", id)
	return 0
}
