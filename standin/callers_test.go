package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

// nodeHandler responds like a node in front of the backend server h.
func nodeHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/key/") {
			w.Header().Set(frame.HeaderKey, "key-"+r.Header.Get(frame.HeaderRequest))
			return
		}
		rec := httptest.NewRecorder()
		r.URL.Path = r.URL.Path[strings.LastIndex(r.URL.Path, "/"):]
		h.ServeHTTP(rec, r)
		w.Header().Set(frame.HeaderOutcome, "answered")
		w.Header().Set(frame.HeaderDigest, frame.ID(xxhash.Sum64(rec.Body.Bytes())).String())
		writeBody(w, rec.Code, rec.Body.Bytes())
	})
}

func runCallers(t *testing.T, h http.Handler, graph Graph, class ClassLoad) ClassResult {
	t.Helper()
	srv := httptest.NewServer(h)
	defer srv.Close()
	class.Name, class.Target, class.Rate, class.Timeout = "lookup", "finder/find", 500, Duration(testTimeout)
	c, err := NewCallers(Scenario{
		Name: "t", Seed: 20261204, Duration: Duration(200 * time.Millisecond),
		Ingresses: []string{srv.Listener.Addr().String()}, Graph: graph, Classes: []ClassLoad{class},
	}, nil)
	require.NoError(t, err)
	r := c.Run(context.Background()).Classes[0]
	require.Equal(t, r.Sent, r.Complete+r.NotRun+r.Unknown+r.Failed+r.Cancelled+r.Wrong)
	require.Greater(t, r.Sent, 50)
	return r
}

func newFinder(t *testing.T, padding int) (*Backend, Graph) {
	t.Helper()
	_, ladder := newTestBackend(t, nil, BackendSettings{Service: "ladder", Slots: 100, SelfTimes: map[string]Duration{"*": 0}})
	graph := Graph{"finder/find": {"ladder/row", "ladder/row"}, "ladder/row": nil}
	return NewBackend(BackendSettings{
		Service: "finder", Slots: 100, PaddingBytes: padding, SelfTimes: map[string]Duration{"*": 0},
		Calls:       map[string][]string{"find": graph["finder/find"]},
		DirectAddrs: map[string]string{"ladder": ladder.Listener.Addr().String()},
	}, nil), graph
}

// Guards against accepting the response to another request.
func TestCallersDetectWrongResponses(t *testing.T) {
	b, graph := newFinder(t, 10)
	correct := runCallers(t, nodeHandler(b.Handler()), graph, ClassLoad{Keyed: true})
	require.Equal(t, correct.Sent, correct.Complete, "%+v", correct.Reasons)
	require.Empty(t, b.Ledger(false).Repeated)

	// Every tenth response is that of an earlier request.
	var mu sync.Mutex
	var earlier *httptest.ResponseRecorder
	n, swapped := 0, 0
	innerHandler := nodeHandler(b.Handler())
	r := runCallers(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		innerHandler.ServeHTTP(rec, r)
		mu.Lock()
		defer mu.Unlock()
		if n++; n%10 == 0 {
			rec, earlier = earlier, rec
			swapped++
		} else {
			earlier = rec
		}
		for k, v := range rec.Header() {
			w.Header()[k] = v
		}
		writeBody(w, rec.Code, rec.Body.Bytes())
	}), graph, ClassLoad{})
	require.Equal(t, swapped, r.Wrong, "%+v", r.Reasons)
	require.Equal(t, r.Sent-swapped, r.Complete)
}

// Guards against accepting a truncated response.
func TestCallersDetectTruncatedResponses(t *testing.T) {
	b, graph := newFinder(t, 100_000)
	b.SetFaults(BackendFaults{TruncatedFraction: 1})
	srv := httptest.NewServer(b.Handler())
	defer srv.Close()
	c, err := NewCallers(Scenario{
		Seed: 20261204, Duration: Duration(200 * time.Millisecond), Direct: true, Graph: graph,
		Ingresses: []string{srv.Listener.Addr().String()},
		Classes:   []ClassLoad{{Name: "lookup", Target: "finder/find", Rate: 100, Timeout: Duration(testTimeout), MaxRetries: 1}},
	}, nil)
	require.NoError(t, err)
	r := c.Run(context.Background()).Classes[0]
	require.Positive(t, r.Sent)
	require.Equal(t, r.Sent, r.Unknown)
	require.Equal(t, 2*r.Sent, r.Attempts)
	require.Equal(t, 2*r.Sent, r.Partial)
}

// Guards against accepting a body that is not the complete response.
func TestCheckResponse(t *testing.T) {
	graph := Graph{"finder/find": {"ladder/row", "ladder/row"}, "ladder/row": nil}
	const complete = `{"token":"a","service":"finder","operation":"find","parts":[` +
		`{"token":"a.0","service":"ladder","operation":"row"},{"token":"a.1","service":"ladder","operation":"row"}]}`
	for _, c := range []struct {
		name, from, to string
		header         func(http.Header)
		ok             bool
	}{
		{name: "complete", ok: true},
		{name: "other token", from: `"a"`, to: `"b"`},
		{name: "other operation", from: `"find"`, to: `"seek"`},
		{name: "child response of another request", from: `"a.1"`, to: `"b.1"`},
		{name: "child responses swapped", from: `"a.0"`, to: `"a.1"`},
		{name: "child response of another service", from: `"ladder"`, to: `"snake"`},
		{name: "child response missing", from: `,{"token":"a.1","service":"ladder","operation":"row"}`},
		{name: "truncated", from: `}]}`},
		{name: "no digest", header: func(h http.Header) { h.Del(frame.HeaderDigest) }},
		{name: "digest of another body", header: func(h http.Header) { h.Set(frame.HeaderDigest, "0000000000000001") }},
		{name: "other length", header: func(h http.Header) { h.Set("Content-Length", "7") }},
	} {
		body := strings.Replace(complete, c.from, c.to, 1)
		h := http.Header{}
		h.Set("Content-Length", strconv.Itoa(len(body)))
		h.Set(frame.HeaderDigest, frame.ID(xxhash.Sum64String(body)).String())
		if c.header != nil {
			c.header(h)
		}
		err := CheckResponse(graph, "finder/find", "a", h, []byte(body), false)
		if c.ok {
			require.NoError(t, err, c.name)
			continue
		}
		var wrong *WrongResponseError
		require.ErrorAs(t, err, &wrong, c.name)
	}
}
