package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/peer"
	"dogwoodhead/standin"
)

// Guards against a backend server whose header does not end filling the memory of
// its node, with calls or with probes.
func TestEndlessHeader(t *testing.T) {
	app := standin.NewApp(standin.AppOptions{ID: "i-1", Slots: 10, Fault: func(string) standin.AppFault { return standin.AppEndless }})
	srv := httptest.NewServer(app)
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	c := NewClient(ClientOptions{Addr: addr})
	defer c.Close()
	req, err := http.NewRequest(http.MethodPost, srv.URL, http.NoBody)
	require.NoError(t, err)
	_, err = c.http.Do(req)
	require.ErrorContains(t, err, "exceeded 65536 bytes")
	m := NewMonitor(MonitorOptions{Addr: addr, Clock: clockwork.NewFakeClock()})
	require.ErrorContains(t, m.getJSON(context.Background(), "/health", &healthReport{}), "exceeded 65536 bytes")
}

// Guards against a probe using what a response that is not valid HTTP holds.
func TestMalformedProbe(t *testing.T) {
	for name, raw := range standin.MalformedResponses("") {
		t.Run(name, func(t *testing.T) {
			raw = strings.ReplaceAll(raw, "hello", "{ }  ")
			srv := httptest.NewServer(standin.RawHandler(raw))
			defer srv.Close()
			m := NewMonitor(MonitorOptions{Addr: strings.TrimPrefix(srv.URL, "http://"), Clock: clockwork.NewFakeClock()})
			require.ErrorContains(t, m.getJSON(context.Background(), "/health", &healthReport{}), "malformed")
		})
	}
}

// Guards against a part of a response being taken for a complete one, if the server
// responds to a call without a length before it has read it and resets the connection.
func TestResetEarly(t *testing.T) {
	app := standin.NewApp(standin.AppOptions{ID: "i-1", Slots: 10, Fault: func(string) standin.AppFault { return standin.AppResetEarly }})
	srv := httptest.NewServer(app)
	defer srv.Close()
	c := NewClient(ClientOptions{Addr: strings.TrimPrefix(srv.URL, "http://")})
	defer c.Close()
	for range 100 {
		req, err := http.NewRequest(http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("u", 4<<20)))
		require.NoError(t, err)
		resp, err := c.http.Do(req)
		if err == nil {
			_, err = peer.ReadResponseBody(context.Background(), resp, 1<<20)
			_ = resp.Body.Close()
		}
		require.Error(t, err)
	}
}
