package source

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dogwoodhead/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against reporting a platform failure as the wrong error type, on which
// the reader's next step depends.
func TestReadAndWatch(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header map[string]string
		body   string
		want   any
	}{
		{"value", 200, map[string]string{"Revision": "7"}, "text", nil},
		{"not found", 404, nil, "", &NotFoundError{}},
		{"throttled", 429, map[string]string{"Retry-After": "2"}, "", &ThrottledError{}},
		{"failed", 500, nil, "", &UnavailableError{}},
		{"no revision", 200, nil, "text", &InvalidError{}},
		{"revision zero", 200, map[string]string{"Revision": "0"}, "text", &InvalidError{}},
		{"too large", 200, map[string]string{"Revision": "7"}, strings.Repeat("x", MaxValueBytes+1), &InvalidError{}},
		{"cut short", 200, map[string]string{"Revision": "7", "Content-Length": "9"}, "text", &UnavailableError{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var paths []string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				paths = append(paths, r.URL.String())
				for k, v := range tt.header {
					w.Header().Set(k, v)
				}
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer srv.Close()
			c := NewClient(Options{Addr: strings.TrimPrefix(srv.URL, "http://")})
			defer c.Close()
			v, err := c.Read(t.Context(), "overlay/ogun-west")
			_, errWatch := c.Watch(t.Context(), "base", 6, 30*time.Second)
			require.Equal(t, []string{"/v1/value/overlay/ogun-west", "/v1/watch/base?after=6&wait=30s"}, paths)
			if tt.want == nil {
				require.NoError(t, errors.Join(err, errWatch))
				require.Equal(t, NewValue("overlay/ogun-west", 7, []byte("text")), v)
				return
			}
			require.IsType(t, tt.want, err)
			require.IsType(t, tt.want, errWatch)
			var throttled *ThrottledError
			if errors.As(err, &throttled) {
				require.Equal(t, 2*time.Second, throttled.RetryAfter())
			}
		})
	}
}

// Guards against a tight loop on a stale replica, and against leaking a watch
// after its Watcher is closed.
func TestWatchEnds(t *testing.T) {
	watchStarted := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("after") {
		case "1":
			w.WriteHeader(http.StatusNotModified)
		case "2":
			w.Header().Set(HeaderRevision, "2")
		default:
			close(watchStarted)
			<-r.Context().Done()
		}
	}))
	defer srv.Close()
	c := NewClient(Options{Addr: strings.TrimPrefix(srv.URL, "http://")})
	defer c.Close()
	_, err := c.Watch(t.Context(), "base", 1, time.Second)
	require.ErrorIs(t, err, ErrUnchanged)
	_, err = c.Watch(t.Context(), "base", 2, time.Second)
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
	w := NewWatcher(c)
	done := make(chan error, 1)
	w.Start("base", 3, time.Hour, func(_ Value, err error) { done <- err })
	<-watchStarted
	w.Close()
	err = <-done
	require.ErrorIs(t, err, context.Canceled)
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
	w.Start("base", 3, time.Hour, func(Value, error) { t.Error("started after Close") })
}

// Guards against a header without end filling the memory.
func TestEndlessHeader(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = buf.WriteString("HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = buf.WriteString("Any: value\r\n")
		}
	}))
	defer srv.Close()
	c := NewClient(Options{Addr: strings.TrimPrefix(srv.URL, "http://")})
	defer c.Close()
	_, err := c.Read(context.Background(), "key")
	require.ErrorContains(t, err, "exceeded 65536 bytes")
}

// Guards against a value being taken from a response that is not valid HTTP.
func TestMalformedResponse(t *testing.T) {
	for name, raw := range standin.MalformedResponses("") {
		t.Run(name, func(t *testing.T) {
			raw = strings.ReplaceAll(raw, "X-Server-Stamp: stand-in", HeaderRevision+": 7")
			srv := httptest.NewServer(standin.RawHandler(raw))
			defer srv.Close()
			c := NewClient(Options{Addr: strings.TrimPrefix(srv.URL, "http://")})
			defer c.Close()
			_, err := c.Read(t.Context(), "base")
			var unavailable *UnavailableError
			require.ErrorAs(t, err, &unavailable)
			require.ErrorContains(t, err, "malformed")
		})
	}
}
