package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// Guards against a higher read limit than that of the real platform.
func TestPlatformLimitsReads(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewPlatform(PlatformOptions{Clock: clock, ReadsPerSecond: 3})
	p.Publish("base", 0, []byte("a"))
	h := p.Handler()
	for _, path := range []string{"/v1/value/base", "/v1/value/vms", "/v1/watch/base?after=0&wait=30s"} {
		require.NotEqual(t, http.StatusTooManyRequests, get(h, path).Code, path)
	}
	require.Equal(t, http.StatusTooManyRequests, get(h, "/v1/value/base").Code)
	require.Equal(t, http.StatusTooManyRequests, get(h, "/v1/watch/base?after=0&wait=30s").Code)
	require.Equal(t, http.StatusOK, get(h, "/control/stats").Code, "control requests are not counted")
	clock.Advance(time.Second)
	require.Equal(t, http.StatusOK, get(h, "/v1/value/base").Code)
	s := p.Stats()
	require.Equal(t, uint64(4), s.Reads)
	require.Equal(t, uint64(1), s.Watches)
	require.Equal(t, uint64(2), s.RateLimited)
	require.Equal(t, 3, s.PeakReadsPerSecond)
}

// Guards against returning other revisions than the faulty service would.
func TestPlatformModes(t *testing.T) {
	p := NewPlatform(PlatformOptions{Clock: clockwork.NewFakeClock()})
	h := p.Handler()
	p.Publish("overlay/canterbury", 0, []byte("one"))
	p.Publish("overlay/canterbury", 7, []byte("seven"))
	p.SetMode(ModeStale)
	p.Publish("overlay/canterbury", 0, []byte("eight"))
	for _, c := range []struct {
		mode   Mode
		status int
		rev    string
		body   string
	}{
		{ModeStale, 200, "7", "seven"},
		{ModeUp, 200, "8", "eight"},
		{ModeOlder, 200, "7", "seven"},
		{ModeDown, 503, "", "platform is down\n"},
	} {
		p.SetMode(c.mode)
		w := get(h, "/v1/value/overlay%2Fcanterbury")
		require.Equal(t, c.status, w.Code, c.mode)
		require.Equal(t, c.rev, w.Header().Get("Revision"), c.mode)
		require.Equal(t, c.body, w.Body.String(), c.mode)
	}
	p.SetMode(ModeRefuse)
	require.Panics(t, func() { get(h, "/v1/value/base") }, "the connection is closed")
	p.SetMode(ModeUp)
	require.Equal(t, http.StatusNotFound, get(h, "/v1/value/base").Code)
}

// Guards against missing a change in a watch, and against charging a watch again
// while it waits.
func TestPlatformWatch(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewPlatform(PlatformOptions{Clock: clock})
	h := p.Handler()
	for _, c := range []struct {
		name   string
		change func()
		status int
	}{
		{"higher revision", func() {
			r := httptest.NewRequest(http.MethodPost, "/control/publish/base?revision=5", strings.NewReader("x"))
			h.ServeHTTP(httptest.NewRecorder(), r)
		}, 200},
		{"lower revision, then the wait expires", func() {
			p.Publish("base", 2, []byte("y"))
			clock.Advance(30 * time.Second)
		}, 304},
		{"down", func() { p.SetMode(ModeDown) }, 503},
	} {
		before := p.Stats().Reads
		status := make(chan int)
		go func() { status <- get(h, "/v1/watch/base?after=4&wait=30s").Code }()
		require.NoError(t, clock.BlockUntilContext(context.Background(), 2), c.name)
		require.Equal(t, 1, p.Stats().WaitingWatches, c.name)
		c.change()
		require.Equal(t, c.status, <-status, c.name)
		require.Equal(t, before+1, p.Stats().Reads, c.name)
		p.Publish("base", 1, nil)
	}
}
