package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
	"dogwoodhead/standin"
)

// requestBody returns a request body for the stand-in backend server.
func requestBody(token string) string { return fmt.Sprintf(`{"token":%q}`, token) }

// Guards against a call not reaching the deepest service or returning an
// incomplete response.
func TestCallPath(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	doc, err := standin.ParseDocument([]byte(testBase))
	require.NoError(t, err)
	for _, ingress := range f.servers {
		token := "look-" + ingress.vm.Name
		resp, body := f.post(t, ingress.callerAddr, "/call/front/look", requestBody(token))
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
		require.Equal(t, "answered", outcome(resp))
		require.NoError(t, standin.CheckResponse(doc.Graph(), "front/look", token, resp.Header, []byte(body), false))
	}
	require.Equal(t, len(f.servers), f.runs("deep", "get"))
}

// Guards against invalid input getting no clear error or reaching a backend
// server.
func TestBadInput(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	front := f.server("front")
	long := strings.Repeat("x", 70_000)
	tests := []struct {
		name       string
		address    string
		path       string
		body       string
		headers    []string
		status     int
		outcome    string
		wantInBody string
	}{
		{"unknown service", front.callerAddr, "/call/none/look", requestBody("t"), nil, 404, "notrun service", "none/look"},
		{"unknown operation", front.callerAddr, "/call/front/none", requestBody("t"), nil, 404, "notrun service", "front/none"},
		{"malformed name", front.callerAddr, "/call/Front/look", requestBody("t"), nil, 400, "notrun bad", "Front"},
		{"body too large", front.callerAddr, "/call/front/look", long, nil, 413, "notrun size", "longer than allowed"},
		{"no key", front.callerAddr, "/call/front/book", requestBody("t"), nil, 428, "notrun key", "/key/front/book"},
		{"malformed key", front.callerAddr, "/call/front/book", requestBody("t"), []string{frame.HeaderKey, "x;y"}, 428, "notrun key", ""},
		{"malformed timeout", front.callerAddr, "/call/front/look", requestBody("t"), []string{frame.HeaderTimeout, "soon"}, 400, "notrun bad", "800ms"},
		{"negative timeout", front.callerAddr, "/call/front/look", requestBody("t"), []string{frame.HeaderTimeout, "-1s"}, 400, "notrun bad", "positive"},
		{"no context at a node", front.vm.CallAddr, "/call/front/look", requestBody("t"), nil, 400, "notrun bad", frame.HeaderContext},
		{"malformed context at a node", front.vm.CallAddr, "/call/front/look", requestBody("t"), []string{frame.HeaderContext, "call=1"}, 400, "notrun bad", "call"},
		{"key of an unknown operation", front.callerAddr, "/key/front/none", "", nil, 404, "notrun service", "front/none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, body := f.post(t, tt.address, tt.path, tt.body, tt.headers...)
			require.Equal(t, tt.status, resp.StatusCode, body)
			require.Equal(t, tt.outcome, outcome(resp))
			require.Contains(t, body, tt.wantInBody)
		})
	}
	require.Zero(t, f.runs("front", "look")+f.runs("front", "book"))
}

// Guards against an incomplete request running, or blocking the node, after its
// caller disconnects.
func TestCallerStopsHalfway(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	front := f.server("front")
	conn, err := net.Dial("tcp", front.callerAddr)
	require.NoError(t, err)
	_, err = fmt.Fprint(conn, "POST /call/front/look HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"token\":")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	resp, body := f.post(t, front.callerAddr, "/call/front/look", requestBody("after"))
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, 1, f.runs("front", "look"))
}

// Guards against a partial response of a backend server being returned as complete.
func TestPartialResponse(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	f.server("front").backend.SetFaults(standin.BackendFaults{TruncatedFraction: 1})
	resp, body := f.post(t, f.server("deep").callerAddr, "/call/front/look", requestBody("half"))
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, body)
	require.Equal(t, "unknown partial", outcome(resp))
}

// Guards against a response of a backend server that is not valid HTTP reaching the
// caller as the response to its call.
func TestMalformedResponse(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	for name, raw := range standin.MalformedResponses("") {
		t.Run(name, func(t *testing.T) {
			f.server("front").backend.SetFaults(standin.BackendFaults{RawResponse: raw})
			resp, body := f.post(t, f.server("deep").callerAddr, "/call/front/look", requestBody(name))
			require.Equal(t, "unknown lost", outcome(resp), body)
			require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
		})
	}
}

// Guards against a keyed call running again when the caller retries it, also
// through another ingress node, and against a key running with another body.
func TestKeyRunsOnce(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	key := f.requestKey(t, f.server("deep"), "front/book")
	var bodies []string
	for _, ingress := range f.servers {
		resp, body := f.post(t, ingress.callerAddr, "/call/front/book", requestBody("pay"), frame.HeaderKey, key)
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
		bodies = append(bodies, body)
	}
	require.Equal(t, []string{bodies[0], bodies[0], bodies[0]}, bodies)
	resp, body := f.post(t, f.server("front").callerAddr, "/call/front/book", requestBody("other"), frame.HeaderKey, key)
	require.Equal(t, "notrun key", outcome(resp), body)
	require.Equal(t, 1, f.runs("front", "book"))
	require.Equal(t, 1, f.runs("middle", "write"))
}

// Guards against a non-idempotent operation running twice because a backend
// server retries its call.
func TestBackendRetries(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	// The first response of middle is lost on its way to front's backend server,
	// which then retries the call.
	f.server("middle").backend.SetFaults(standin.BackendFaults{TruncatedFraction: 1})
	key := f.requestKey(t, f.server("front"), "front/book")
	resp, body := f.post(t, f.server("front").callerAddr, "/call/front/book", requestBody("pay"), frame.HeaderKey, key)
	require.NotEqual(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, 1, f.runs("middle", "write"))
}

// Guards against a planned stop interrupting a call in progress, and against new
// work reaching the backend server after the stop has begun.
func TestGracefulStop(t *testing.T) {
	f := startFleet(t, testBase, 300*time.Millisecond, "front", "middle", "deep", "deep")
	type result struct {
		status int
		body   string
	}
	results := make(chan result, 8)
	for i := range 8 {
		go func() {
			resp, body := f.post(t, f.server("middle").callerAddr, "/call/deep/get", requestBody(fmt.Sprintf("t%d", i)))
			results <- result{resp.StatusCode, body}
		}()
	}
	leaving := f.servers[3]
	require.Eventually(t, func() bool { return f.runs("deep", "get") == 8 }, 10*time.Second, time.Millisecond)
	leaving.stop()
	require.Eventually(t, func() bool { return leaving.node.board.Leaving() }, 10*time.Second, time.Millisecond)
	startedBefore := leaving.backend.Ledger(false).Operations["get"].Started
	for i := range 8 {
		resp, body := f.post(t, f.server("middle").callerAddr, "/call/deep/get", requestBody(fmt.Sprintf("u%d", i)))
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
	}
	for range 8 {
		r := <-results
		require.Equal(t, http.StatusOK, r.status, r.body)
	}
	require.Equal(t, startedBefore, leaving.backend.Ledger(false).Operations["get"].Started)
}

// Guards against /status and /explain responses differing from the node's state.
func TestOperatorViews(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	front := f.server("front")
	var status struct {
		VM, Service, Revision string
		VMs                   int
	}
	f.getJSON(t, "http://"+front.operatorAddr+"/status", &status)
	require.Equal(t, "front", status.Service)
	require.Equal(t, 3, status.VMs)
	require.Equal(t, "1.0", status.Revision)
	var e struct {
		Verdict string
		Steps   []struct{ Check string }
	}
	f.getJSON(t, "http://"+front.operatorAddr+"/explain?op=front/look", &e)
	require.Equal(t, "admit", e.Verdict)
	require.NotEmpty(t, e.Steps)
}

func (f *testFleet) getJSON(t testing.TB, url string, v any) {
	t.Helper()
	resp, err := f.client.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(v))
}
