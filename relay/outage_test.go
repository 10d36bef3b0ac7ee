package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/source"
	"dogwoodhead/standin"
)

const (
	// activationBound is the target from a change to its activation everywhere.
	activationBound = 5 * time.Second
	outagePhases    = 20
	outagePhaseStep = 500 * time.Millisecond
)

// activationDelay returns how long after the end of a silent outage a reader of the
// only zone has a document that was published then.
func activationDelay(t *testing.T, length, phase time.Duration) time.Duration {
	t.Helper()
	platform := standin.NewPlatform(standin.PlatformOptions{})
	platform.Publish(KeyBase, 1, []byte("1"))
	ln := standin.NewPipeListener()
	srv := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	client := source.NewClient(source.Options{Addr: "platform:1", Dial: ln.Dial})
	watcher := source.NewWatcher(client)
	vms := newVMs(1)
	members := board.NewMembers(1, vms)
	store := NewStore(StoreOptions{Site: "site", Check: checkNotBad})
	random := rand.New(rand.NewPCG(20261204, 24))
	r := New(Options{
		Self: board.NewSelf(vms[0], "site", frame.NewIncarnation(vms[0].Name(), random)), Clock: clockwork.NewRealClock(), Rand: random,
		Metrics: metrics.NewSet(), Store: store, Members: func() *board.Members { return members },
		Push:  func(context.Context, board.VM, PushRequest) (PushReply, error) { return PushReply{}, nil },
		Pull:  func(context.Context, board.VM, PullRequest) (PullReply, error) { return PullReply{}, nil },
		Read:  client.Read,
		Watch: watcher.Start,
		Go:    func(func(context.Context)) bool { return false },
	})
	defer func() {
		watcher.Close()
		client.Close()
		_ = srv.Close()
	}()
	tickFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(TickInterval) {
			r.Tick()
		}
	}
	tickFor(time.Second + phase)
	require.Equal(t, uint64(1), store.Revs().Base)
	platform.SetMode(standin.ModeSilent)
	tickFor(length)
	platform.SetMode(standin.ModeUp)
	platform.Publish(KeyBase, 2, []byte("2"))
	returned := time.Now()
	for store.Revs().Base < 2 && time.Since(returned) < time.Minute {
		tickFor(TickInterval)
	}
	return time.Since(returned)
}

// Guards against activating a change too late after an outage of the platform,
// because a watch that was made during the outage hangs on after it.
func TestChangeAfterOutage(t *testing.T) {
	for _, length := range []time.Duration{300 * time.Millisecond, 5 * time.Second, 40 * time.Second} {
		for i := range outagePhases {
			phase := time.Duration(i) * outagePhaseStep
			synctest.Test(t, func(t *testing.T) {
				// The other nodes pull it antiEntropyInterval later at most on average.
				require.LessOrEqual(t, activationDelay(t, length, phase), activationBound-antiEntropyInterval, "outage of %s after %s", length, phase)
			})
		}
	}
}
