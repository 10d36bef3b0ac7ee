package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/admit"
	"dogwoodhead/catalog"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/operator"
	"dogwoodhead/standin"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound on the requests
	// that reach a server which limits their rate.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// backendFixture is a backend server and the part of the node beside it that sends
// it requests, in a bubble of synctest.
type backendFixture struct {
	app     *standin.App
	backend *localBackend
	stop    func()
	wg      sync.WaitGroup
	sent    int
}

func startBackendFixture(opts standin.AppOptions) *backendFixture {
	clock := clockwork.NewRealClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ln := standin.NewPipeListener()
	f := &backendFixture{app: standin.NewApp(opts)}
	f.app.Serve(ln)
	gate := admit.NewGate(admit.Options{
		Clock: clock, Algorithm: admit.AlgorithmFixed,
		Limits: admit.Limits{Slots: opts.Slots, MaxConnections: opts.Slots, Queue: queuePerSlot * opts.Slots, Enabled: true},
	})
	client := h1.NewClient(h1.Options{Clock: clock, Dial: ln.Dial, RequestIDHeader: "X-Request-Id"})
	f.backend = newLocalBackend(localBackendOptions{
		clock: clock, log: log, gate: gate, http: client, metrics: operator.NewMetrics(), bodyMemory: semaphore.NewWeighted(1 << 20),
		addr: "app:1", leaving: func() bool { return false },
	})
	f.backend.setServer(&catalog.Server{ID: opts.ID, Slots: opts.Slots, StartedMillis: 1}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	f.wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(gateInterval)
			gate.Tick()
		}
	})
	f.stop = func() {
		cancel()
		f.wg.Wait()
		client.Close()
		f.app.Stop()
	}
	return f
}

// send sends one request in the background; done gets its result.
func (f *backendFixture) send(done func(result)) {
	f.sent++
	id := fmt.Sprintf("request-%d", f.sent)
	f.wg.Go(func() {
		c := &call{
			id: id, method: http.MethodGet, target: "/x", host: host, header: http.Header{"X-Request-Id": {id}},
			service: "s", route: "r", idempotent: true, class: 5, deadline: time.Now().Add(5 * time.Second),
		}
		done(f.backend.run(context.Background(), c, f.app.ID()))
	})
}

// sendFor sends requests at a rate for a time.
func (f *backendFixture) sendFor(d time.Duration, perSecond int, done func(result)) {
	for range int(d.Seconds() * float64(perSecond)) {
		f.send(done)
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// requireRate checks the arrivals at the app from a time on against a limit.
func (f *backendFixture) requireRate(t *testing.T, from time.Time, perSecond float64) {
	t.Helper()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
	arrivals := f.app.Arrivals()
	for i, first := range arrivals {
		if first.At.Before(from) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) < limitWindow {
				n++
			}
		}
		require.LessOrEqual(t, n, allowed, "requests in the %s from %s", limitWindow, first.At)
	}
}

// Guards against sending a backend server more requests than the rate limit that it
// names in its responses, and against refusing requests that fit into it.
func TestServerLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 7.5, 30} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startBackendFixture(standin.AppOptions{
					ID: "i-1", Slots: 20, SelfTime: 50 * time.Millisecond,
					SetHeaders: func(h http.Header) { h.Set("Server-Limit", fmt.Sprint(perSecond)) },
				})
				defer f.stop()
				started := time.Now()
				var answered atomic.Int32
				count := func(r result) {
					if r.outcome == frame.Answered {
						answered.Add(1)
					}
				}
				f.sendFor(12*time.Second, 100, count)
				f.requireRate(t, started.Add(contactBound), perSecond)
				require.GreaterOrEqual(t, float64(answered.Load()), 0.9*perSecond*11)
			})
		})
	}
}

// Guards against limiting a backend server whose responses name no limit anymore,
// and a new one at the address of another that named one.
func TestServerLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limited atomic.Bool
		limited.Store(true)
		f := startBackendFixture(standin.AppOptions{
			ID: "i-1", Slots: 20, SelfTime: 50 * time.Millisecond,
			SetHeaders: func(h http.Header) {
				if limited.Load() {
					h.Set("Server-Limit", "2")
				}
			},
		})
		defer f.stop()
		arrivalsIn := func(d time.Duration) int {
			before := len(f.app.Arrivals())
			f.sendFor(d, 100, func(result) {})
			return len(f.app.Arrivals()) - before
		}
		arrivalsIn(time.Second)
		require.LessOrEqual(t, arrivalsIn(2*time.Second), 5)
		f.backend.setServer(&catalog.Server{ID: "i-1", Slots: 20, StartedMillis: 2}, nil)
		require.GreaterOrEqual(t, arrivalsIn(100*time.Millisecond), 4, "a restarted server starts without a limit")
		arrivalsIn(time.Second)
		require.LessOrEqual(t, arrivalsIn(2*time.Second), 5, "its responses name the limit again")
		limited.Store(false)
		arrivalsIn(2 * time.Second)
		require.GreaterOrEqual(t, arrivalsIn(2*time.Second), 190, "the limit has ended")
	})
}

// announceWhile returns a function that makes responses say that their server leaves
// while leaving is set.
func announceWhile(leaving *atomic.Bool) func(http.Header) {
	return func(h http.Header) {
		if leaving.Load() {
			h.Set("Server-Leaving", "1")
		}
	}
}

// Guards against sending requests to a backend server that says in its responses
// that it leaves, whatever its entry in the list says.
func TestServerLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaving atomic.Bool
		f := startBackendFixture(standin.AppOptions{
			ID: "i-1", Slots: 20, SelfTime: 50 * time.Millisecond,
			SetHeaders: announceWhile(&leaving),
		})
		defer f.stop()
		f.sendFor(time.Second, 20, func(r result) { require.Equal(t, frame.Answered, r.outcome) })
		leaving.Store(true)
		left := time.Now()
		f.sendFor(5*time.Second, 20, func(r result) {
			if r.outcome != frame.Answered {
				require.Equal(t, frame.ReasonDraining, r.reason)
			}
		})
		for _, a := range f.app.Arrivals() {
			require.Less(t, a.At.Sub(left), changeBound, "request after the server announced that it leaves")
		}
		leaving.Store(false)
		f.backend.setServer(&catalog.Server{ID: "i-1", Slots: 20, StartedMillis: 2}, nil)
		f.sendFor(time.Second, 20, func(r result) { require.Equal(t, frame.Answered, r.outcome, "a new incarnation under the same id") })
	})
}

// Guards against never using a server again that left the list and started under its
// id, and against using one whose entry is only missing from the list for a while.
func TestServerLeavingListedAgain(t *testing.T) {
	for _, tc := range []struct {
		name          string
		startedMillis int64
		outcome       frame.Outcome
	}{
		{"same incarnation", 1, frame.NotRun},
		{"started again", 2, frame.Answered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var leaving atomic.Bool
				leaving.Store(true)
				f := startBackendFixture(standin.AppOptions{
					ID: "i-1", Slots: 20,
					SetHeaders: announceWhile(&leaving),
				})
				defer f.stop()
				f.sendFor(time.Second, 1, func(r result) { require.Equal(t, frame.Answered, r.outcome) })
				leaving.Store(false)
				f.backend.setServer(nil, nil)
				f.backend.setServer(&catalog.Server{ID: "i-1", Slots: 20, StartedMillis: tc.startedMillis}, nil)
				f.sendFor(time.Second, 5, func(r result) { require.Equal(t, tc.outcome, r.outcome) })
			})
		})
	}
}
