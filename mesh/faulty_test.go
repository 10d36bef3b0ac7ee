package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

// Guards against a non-idempotent request being sent again after its response
// was lost, truncated or followed by a second one. The method does not matter:
// a GET of an unsafe route may run only once.
func TestAtMostOnce(t *testing.T) {
	f := newFleet(t)
	var fault atomic.Value
	fault.Store(standin.AppFault(""))
	faults := func(string) standin.AppFault { return fault.Load().(standin.AppFault) }
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	apps := []*testVM{
		f.add(standin.AppOptions{ID: "i-1", Service: "book", Slots: 10, Fault: faults}),
		f.add(standin.AppOptions{ID: "i-2", Service: "book", Slots: 10, Fault: faults}),
	}
	f.applyConfig(1, routeTo("book", "/book/", "unsafe"))
	runs := func(id string) int { return apps[0].app.Runs(id) + apps[1].app.Runs(id) }
	for i := range 20 {
		for _, kind := range []standin.AppFault{"", standin.AppLose, standin.AppCut, standin.AppEndless, standin.AppExtra, standin.AppFail} {
			fault.Store(kind)
			id := fmt.Sprintf("%d-%s", i, kind)
			r := shop.send(callerRequest{path: "/book/x", id: id})
			require.NoError(t, r.err, id)
			if kind == standin.AppFail && runs(id) == 0 {
				// The stand-in closes the connection after the second response of the
				// previous request. A request sent during the close does not run and is
				// not sent again.
				require.Equal(t, http.StatusBadGateway, r.status, id)
				continue
			}
			require.Equal(t, 1, runs(id), id)
			switch kind {
			case standin.AppLose, standin.AppCut, standin.AppEndless:
				require.Equal(t, http.StatusBadGateway, r.status, id)
				require.Empty(t, r.header.Get("X-Server-Stamp"))
			case standin.AppFail:
				require.Equal(t, http.StatusInternalServerError, r.status)
			default:
				require.Equal(t, http.StatusOK, r.status, id)
				require.Contains(t, r.body, " to "+id)
			}
		}
	}
}

// Guards against telling the caller that a request has not run, or sending it on,
// because the server repeats its first refusal while it runs the request.
func TestRepeatedRefusal(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10, Fault: func(id string) standin.AppFault {
		if strings.HasPrefix(id, "twice") {
			return standin.AppRefuseTwice
		}
		return ""
	}})
	f.applyConfig(1, routeTo("one", "/x/", "unsafe"), routeTo("shop", "/shop/", "safe"))
	ran := 0
	for i := range 20 {
		for j := range 40 {
			r := shop.send(callerRequest{path: "/x/", id: fmt.Sprintf("earns a permit %d.%d", i, j)})
			require.Equal(t, http.StatusOK, r.status)
		}
		id := fmt.Sprint("twice", i)
		r := shop.send(callerRequest{path: "/x/", id: id})
		require.NoError(t, r.err)
		if one.app.Runs(id) == 0 {
			require.Equal(t, http.StatusServiceUnavailable, r.status)
			continue
		}
		ran++
		require.Equal(t, 1, one.app.Runs(id))
		require.Equal(t, http.StatusOK, r.status, "request %s has run", id)
		require.Equal(t, standin.AppBody("i-1", id), r.body)
	}
	require.Positive(t, ran, "requests are sent again after a refusal")
}

// Guards against passing on a response that breaks off in its header as a complete
// one, and against running a request that is not idempotent again after it.
func TestResponseCutInHeader(t *testing.T) {
	f := newFleet(t)
	cut := func(string) standin.AppFault { return standin.AppCutHead }
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, Fault: cut})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10, Fault: cut})
	f.applyConfig(1, routeTo("one", "/x/", "unsafe"), routeTo("shop", "/shop/", "unsafe"))
	for _, target := range []struct {
		path string
		app  *standin.App
	}{{"/x/", one.app}, {"/shop/", shop.app}} {
		r := shop.send(callerRequest{path: target.path, id: target.path})
		require.NoError(t, r.err)
		require.Equal(t, http.StatusBadGateway, r.status)
		require.Equal(t, 1, target.app.Runs(target.path))
	}
}

// Guards against passing on a response that is not valid HTTP, or what follows it, as the
// response to the request, and against running the request again after it.
func TestMalformedResponse(t *testing.T) {
	f := newFleet(t)
	malformed := func(string) standin.AppFault { return standin.AppMalformed }
	responseTo := func(id string) string {
		_, name, _ := strings.Cut(id, " ")
		return standin.MalformedResponses(id)[name]
	}
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, Fault: malformed, RawResponse: responseTo})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10, Fault: malformed, RawResponse: responseTo})
	f.applyConfig(1, routeTo("one", "/one/", "unsafe"), routeTo("shop", "/shop/", "unsafe"))
	for path, app := range map[string]*standin.App{"/one/": one.app, "/shop/": shop.app} {
		for name := range standin.MalformedResponses("") {
			t.Run(path+name, func(t *testing.T) {
				id := path + " " + name
				r := shop.send(callerRequest{path: path, id: id})
				require.NoError(t, r.err)
				require.Equal(t, http.StatusBadGateway, r.status, "%v %q", r.header, r.body)
				require.Empty(t, r.body)
				require.Empty(t, r.header.Get("X-Server-Stamp"))
				require.Equal(t, 1, app.Runs(id))
			})
		}
	}
}

// Guards against a server that sends bytes without end counting as healthy and
// holding its slot and connection.
func TestEndlessResponse(t *testing.T) {
	f := newFleet(t)
	// The node uses one of the two slots. The server holds the other one until it
	// notices that its connection was closed.
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 2, Fault: func(id string) standin.AppFault {
		if id == "endless" {
			return standin.AppEndless
		}
		return ""
	}})
	f.applyConfig(1, routeTo("shop", "/shop/", "unsafe"))
	require.Equal(t, http.StatusBadGateway, shop.send(callerRequest{path: "/shop/x", id: "endless"}).status)
	require.Zero(t, shop.node.gate.Load().Used())
	require.Positive(t, shop.node.localBackend.health.failedFraction())
	require.Equal(t, http.StatusOK, shop.send(callerRequest{path: "/shop/x", id: "next"}).status)
	require.Equal(t, 1, shop.app.Runs("endless"))
}

// Guards against idempotent requests failing without a retry, and against
// retries beyond the budget.
func TestRetrySafe(t *testing.T) {
	f := newFleet(t)
	var lose atomic.Bool
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	apps := []*testVM{
		f.add(standin.AppOptions{ID: "i-1", Service: "read", Slots: 10, Fault: func(string) standin.AppFault {
			if lose.Load() {
				return standin.AppLose
			}
			return ""
		}}),
		f.add(standin.AppOptions{ID: "i-2", Service: "read", Slots: 10}),
	}
	f.applyConfig(1, routeTo("read", "/read/", "safe"))
	for i := range 100 {
		require.Equal(t, http.StatusOK, shop.send(callerRequest{path: "/read/x", id: fmt.Sprint("warm", i)}).status)
	}
	lose.Store(true)
	served, retries := 0, 0
	const requests = 200
	for i := range requests {
		id := fmt.Sprint("lossy", i)
		if shop.send(callerRequest{path: "/read/x", id: id}).status == http.StatusOK {
			served++
		}
		retries += apps[0].app.Runs(id) + apps[1].app.Runs(id) - 1
	}
	require.Positive(t, retries)
	require.LessOrEqual(t, float64(retries), 0.2*(requests+100)+40)
	require.Greater(t, served, requests*8/10, "the server that loses responses is avoided")
}
