package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

func newTestBackend(t *testing.T, clock clockwork.Clock, s BackendSettings) (*Backend, *httptest.Server) {
	t.Helper()
	if s.Calls == nil {
		s.Calls = map[string][]string{"row": nil}
	}
	if s.SelfTimes == nil {
		s.SelfTimes = map[string]Duration{"*": Duration(time.Second)}
	}
	b := NewBackend(s, clock)
	srv := httptest.NewServer(b.Handler())
	t.Cleanup(srv.Close)
	return b, srv
}

func post(ctx context.Context, url, token string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"token":%q}`, token)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against running more requests than there are slots, leaking the slot of
// a cancelled request, and miscounting in the ledger.
func TestBackendSlotsAndLedger(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	b, srv := newTestBackend(t, clock, BackendSettings{Service: "ladder", Slots: 2})
	done := make(chan error, 4)
	send := func(ctx context.Context, token string, inflight int) {
		go func() { done <- post(ctx, srv.URL+"/row", token) }()
		require.Eventually(t, func() bool { return b.slots.inflight() == inflight }, testTimeout, time.Millisecond)
	}
	runningCtx, cancelRunning := context.WithCancel(ctx)
	queuedCtx, cancelQueued := context.WithCancel(ctx)
	send(ctx, "a", 1)
	send(runningCtx, "b", 2)
	send(queuedCtx, "c", 3)
	send(ctx, "a", 4)
	require.NoError(t, clock.BlockUntilContext(ctx, 2))
	require.Equal(t, uint64(2), b.Ledger(false).Operations["row"].Started, "two slots")

	cancelQueued()
	require.Error(t, <-done)
	// The server detects a closed connection later than the client; until then
	// the request would still take the next free slot.
	require.Eventually(t, func() bool { return b.slots.inflight() == 3 }, testTimeout, time.Millisecond)
	clock.Advance(500 * time.Millisecond)
	cancelRunning()
	require.Error(t, <-done)
	require.Eventually(t, func() bool { return b.Ledger(false).Operations["row"].Started == 3 }, testTimeout, time.Millisecond)
	require.NoError(t, clock.BlockUntilContext(ctx, 2))
	clock.Advance(time.Second)
	require.NoError(t, <-done)
	require.NoError(t, <-done)

	v := b.Ledger(true)
	require.Equal(t, OperationCounts{Started: 3, Finished: 2, Cancelled: 1, Abandoned: 1, BusySeconds: 3, SelfSeconds: 3}, v.Operations["row"])
	require.Equal(t, []LedgerEntry{{Operation: "row", Token: "a", Runs: 2, Finished: 2, BusySeconds: 2.5, SelfSeconds: 2.5}}, v.Repeated)
	require.Len(t, v.Entries, 2)
}

// Guards against fault settings without effect: fewer slots, a warm-up, false and
// delayed reports, a drain.
func TestBackendFaults(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	b, srv := newTestBackend(t, clock, BackendSettings{Service: "ladder", Slots: 4})
	set := func(body string) {
		resp, err := http.Post(srv.URL+"/control/knobs", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	set(`{"slow": 10}`)
	require.Equal(t, 10*time.Second, b.drawSelfTime("row"))
	set(`{"slow": 1, "cold": "10s", "coldFactor": 5}`)
	require.Equal(t, 5*time.Second, b.drawSelfTime("row"))
	require.Equal(t, StateCold, b.currentReport().health.State)
	clock.Advance(5 * time.Second)
	require.Equal(t, 3*time.Second, b.drawSelfTime("row"))
	clock.Advance(5 * time.Second)
	require.Equal(t, time.Second, b.drawSelfTime("row"))
	require.Equal(t, StateLive, b.currentReport().health.State)

	set(`{"slots": 1}`)
	require.NoError(t, b.slots.acquire(ctx))
	cancelledCtx, cancel := context.WithCancel(ctx)
	cancel()
	require.Error(t, b.slots.acquire(cancelledCtx))
	require.Equal(t, Load{Inflight: 1, Slots: 4}, b.currentReport().load, "the actual slots are not reported")
	set(`{"inflight": 3, "reported": 9, "state": "cold"}`)
	require.Equal(t, Load{Inflight: 3, Slots: 9}, b.currentReport().load)

	set(`{"inflight": null, "reported": null, "state": "", "lag": "3s"}`)
	require.Equal(t, StateLive, b.currentReport().health.State)
	b.Drain()
	require.Equal(t, StateLive, b.currentReport().health.State, "the report is delayed")
	clock.Advance(3 * time.Second)
	require.Equal(t, StateDraining, b.currentReport().health.State)
	b.ledger.recordStart("row", "late", clock.Now())
	require.Equal(t, uint64(1), b.Ledger(false).StartsAfterDrain)
	require.Equal(t, Duration(3*time.Second), b.Ledger(false).LastStartAfterDrain)
}

// Guards against accepting more connections than the limit.
func TestBackendRefusesConnections(t *testing.T) {
	b := NewBackend(BackendSettings{Service: "ladder", Slots: 1, Connections: 1, DrainDelay: Duration(time.Millisecond)}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	l := httptest.NewUnstartedServer(nil).Listener
	served := make(chan error)
	go func() { served <- b.Serve(ctx, l) }()
	first := &http.Client{Transport: &http.Transport{}}
	resp, err := first.Get("http://" + l.Addr().String() + "/health")
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body) // the connection stays open only if the body is read to its end
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	second := &http.Client{Transport: &http.Transport{}}
	_, err = second.Get("http://" + l.Addr().String() + "/health")
	require.Error(t, err)
	first.CloseIdleConnections()
	require.Eventually(t, func() bool {
		resp, err := second.Get("http://" + l.Addr().String() + "/health")
		return err == nil && resp.Body.Close() == nil
	}, testTimeout, time.Millisecond)
	cancel()
	require.NoError(t, <-served)
}
