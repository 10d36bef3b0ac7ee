package catalog

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// scriptedStore responds to the calls of a Follower from a script, and cancels
// the context after the last step.
type scriptedStore struct {
	t      *testing.T
	cancel context.CancelFunc
	steps  []step
	calls  []string
}

type step struct {
	call   string
	err    error
	events []Event
	list   Listing
	rev    uint64
}

func (s *scriptedStore) next(call string) step {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.cancel()
		return step{err: context.Canceled}
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	require.Equal(s.t, st.call, call)
	return st
}

// errTestConnection is a failure of a call that does not show that the store is away.
var errTestConnection = errors.New("connection failed")

func runFollower(t *testing.T, clock clockwork.Clock, v *View, steps []step) (*scriptedStore, []bool) {
	t.Helper()
	return runFollowerAfterOutage(t, clock, v, func() (time.Duration, bool) { return 0, true }, steps)
}

// runFollowerAfterOutage runs a Follower which knows from other calls when the store returned.
func runFollowerAfterOutage(t *testing.T, clock clockwork.Clock, v *View, outageEnded func() (time.Duration, bool), steps []step) (*scriptedStore, []bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s := &scriptedStore{t: t, cancel: cancel, steps: steps}
	var connected []bool
	f := NewFollower(FollowerOptions{
		Clock: clock, View: v, Random: func() float64 { return 0 }, Mode: func() ReadMode { return ReadFresh },
		MaxRetryDelay:    func() time.Duration { return time.Second },
		CallFailed:       func(error, time.Duration, time.Duration) {},
		StoreUnavailable: func(err error) bool { return !errors.Is(err, errTestConnection) },
		Read: func(context.Context, bool) (Listing, *Config, error) {
			st := s.next("read")
			if st.rev == 0 {
				return st.list, nil, st.err
			}
			return st.list, NewConfig(Document{Version: st.rev}), st.err
		},
		Watch: func(_ context.Context, _ uint64, _ time.Duration) ([]Event, uint64, error) {
			st := s.next("watch")
			return st.events, st.rev, st.err
		},
		Responded: func() {}, OutageEnded: outageEnded,
		ConnectionChanged: func(err error) { connected = append(connected, err == nil) },
	})
	f.Run(ctx)
	return s, connected
}

// scriptedModes returns the modes in turn, then cancels the context.
func scriptedModes(modes []ReadMode, cancel context.CancelFunc) func() ReadMode {
	return func() ReadMode {
		if len(modes) == 0 {
			cancel()
			return ReadNone
		}
		mode := modes[0]
		modes = modes[1:]
		return mode
	}
}

// Guards against losing changes when the store is unavailable, when it compacts its
// history, and when a watch ends without a change.
func TestFollow(t *testing.T) {
	clock := clockwork.NewRealClock()
	v := NewView(ViewOptions{Clock: clock})
	changed := newTestServer("a", 12)
	changed.Draining = true
	_, connected := runFollower(t, clock, v, []step{
		{call: "read", err: errors.New("down")},
		{call: "read", rev: 1, list: Listing{Rev: 10, Servers: []Server{newTestServer("a", 3), newTestServer("b", 4)}}},
		{call: "watch", rev: 10},
		{call: "watch", rev: 12, events: []Event{{Server: &changed, Rev: 12}, {Config: NewConfig(Document{Version: 2}), Rev: 11}}},
		{call: "watch", err: ErrCompacted},
		{call: "read", rev: 3, list: Listing{Rev: 20, Servers: []Server{changed}}},
		{call: "watch", err: errors.New("down")},
		{call: "watch", rev: 20},
	})
	require.Equal(t, uint64(3), v.ConfigVersion())
	require.Equal(t, uint64(20), v.Rev())
	require.Equal(t, []Server{changed}, v.Listing().Servers)
	require.Equal(t, []bool{true, false, true}, connected, "a call cancelled at shutdown does not count as a lost store")
}

// Guards against removing servers after a store outage because their entries
// expired during it.
func TestFollowExpiryGrace(t *testing.T) {
	clock := clockwork.NewRealClock()
	var serverCount int
	v := NewView(ViewOptions{Clock: clock, ServersChanged: func(s []Server) { serverCount = len(s) }})
	runFollower(t, clock, v, []step{
		{call: "read", rev: 1, list: Listing{Rev: 10, Servers: []Server{newTestServer("a", 3)}}},
		{call: "watch", err: errors.New("down")},
		{call: "watch", rev: 15, events: []Event{{Removed: "a", Rev: 14}}},
	})
	require.Equal(t, 1, serverCount, "the server is used until its grace period ends")
	require.Empty(t, v.Listing().Servers, "the expired server is not passed on to other nodes")
}

// Guards against using a server on that left, because this node found the store back
// later than its readers, or was cut off from it alone.
func TestExpiryGraceEndsWithReturn(t *testing.T) {
	for _, tc := range []struct {
		name     string
		ago      time.Duration
		away     bool
		deferred bool
	}{
		{"returned just now", 0, true, true},
		{"returned long before", expiryGrace, true, false},
		{"responded to the readers all the time", 0, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deferred := false
			v := NewView(ViewOptions{Clock: clockwork.NewRealClock(), RemovalDeferred: func(Server, time.Duration) { deferred = true }})
			outageEnded := func() (time.Duration, bool) { return tc.ago, tc.away }
			runFollowerAfterOutage(t, clockwork.NewRealClock(), v, outageEnded, []step{
				{call: "read", rev: 1, list: Listing{Rev: 10, Servers: []Server{newTestServer("a", 3)}}},
				{call: "watch", err: errors.New("down")},
				{call: "watch", rev: 15, events: []Event{{Removed: "a", Rev: 14}}},
			})
			require.Equal(t, tc.deferred, deferred)
		})
	}
}

// Guards against using a server on that left, because a connection to the store failed
// and the removal of its entry is taken for an expiry during an outage.
func TestNoExpiryGraceAfterConnectionFailure(t *testing.T) {
	for _, err := range []error{errTestConnection, errStuckWatch} {
		v := NewView(ViewOptions{Clock: clockwork.NewRealClock()})
		runFollower(t, clockwork.NewRealClock(), v, []step{
			{call: "read", rev: 1, list: Listing{Rev: 10, Servers: []Server{newTestServer("a", 3)}}},
			{call: "watch", err: err},
			{call: "watch", rev: 15, events: []Event{{Removed: "a", Rev: 14}}},
		})
		_, outage := v.SinceStoreReturn()
		require.False(t, outage, err)
	}
}

// Guards against one call per registering server while a fleet starts.
func TestFollowStartupBatching(t *testing.T) {
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var watched []time.Time
	f := NewFollower(FollowerOptions{
		Clock: clock, View: NewView(ViewOptions{Clock: clock}), Mode: func() ReadMode { return ReadFresh },
		MaxRetryDelay:    func() time.Duration { return time.Second },
		CallFailed:       func(error, time.Duration, time.Duration) {},
		StoreUnavailable: func(err error) bool { return !errors.Is(err, errTestConnection) },
		Read:             func(context.Context, bool) (Listing, *Config, error) { return Listing{Rev: 1}, nil, nil },
		Watch: func(_ context.Context, after uint64, _ time.Duration) ([]Event, uint64, error) {
			watched = append(watched, clock.Now())
			if len(watched) == 3 {
				cancel()
			}
			s := newTestServer(string(rune('a'+len(watched))), after+1)
			return []Event{{Server: &s, Rev: after + 1}}, after + 1, nil
		},
		Responded: func() {}, ConnectionChanged: func(error) {},
	})
	f.Run(ctx)
	require.Len(t, watched, 3)
	for i := range watched[1:] {
		require.GreaterOrEqual(t, watched[i+1].Sub(watched[i]), startupBatchDelay)
	}
}

// Guards against a long watch on a connection that went silent while it was idle, when a
// node takes over from readers to which the store does not respond.
func TestFirstWatchIsShort(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	modes := []ReadMode{ReadFresh, ReadNone, ReadFresh, ReadFresh}
	var waits []time.Duration
	v := NewView(ViewOptions{Clock: clockwork.NewRealClock()})
	v.ReplaceServers(Listing{Rev: 1})
	f := NewFollower(FollowerOptions{
		Clock: clockwork.NewRealClock(), View: v,
		Mode: scriptedModes(modes, cancel),
		Watch: func(_ context.Context, _ uint64, wait time.Duration) ([]Event, uint64, error) {
			waits = append(waits, wait)
			return nil, 1, nil
		},
		Responded: func() {}, ConnectionChanged: func(error) {}, ReadingStopped: func() {},
	})
	f.Run(ctx)
	require.Equal(t, []time.Duration{watchWait, probeWait, watchWait}, waits)
}

// Guards against a node that pauses after failed calls and cannot take over from the
// readers that have found the store back meanwhile.
func TestPauseEndsWithReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fed, unfed, end = 2300 * time.Millisecond, 3 * time.Second, 5 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), end)
		defer cancel()
		clock, started := clockwork.NewRealClock(), time.Now()
		v := NewView(ViewOptions{Clock: clock})
		v.ReplaceServers(Listing{Rev: 1})
		var calls []time.Duration
		f := NewFollower(FollowerOptions{
			Clock: clock, View: v, Random: func() float64 { return 1 },
			Mode: func() ReadMode {
				if now := time.Since(started); fed <= now && now < unfed {
					return ReadNone
				}
				return ReadFresh
			},
			Watch: func(context.Context, uint64, time.Duration) ([]Event, uint64, error) {
				calls = append(calls, time.Since(started))
				return nil, 0, errors.New("down")
			},
			MaxRetryDelay: func() time.Duration { return end }, StoreUnavailable: func(error) bool { return true },
			CallFailed: func(error, time.Duration, time.Duration) {}, ReadingStopped: func() {},
		})
		f.Run(ctx)
		next := slices.IndexFunc(calls, func(at time.Duration) bool { return at >= fed })
		require.Positive(t, next, calls)
		require.Less(t, calls[next], unfed+2*readCheckInterval)
		require.Less(t, calls[next+1]-calls[next], 2*initialRetryDelay, "the failures before do not count anymore")
	})
}

// Guards against a stale read that takes the state back, and against one that
// counts as a connection to the store.
func TestStaleRead(t *testing.T) {
	v := NewView(ViewOptions{Clock: clockwork.NewRealClock()})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	lists := []Listing{{Rev: 10, Servers: []Server{newTestServer("a", 3)}}, {Rev: 9}, {Rev: 12, Servers: []Server{newTestServer("b", 11)}}}
	var ids []string
	var failures []error
	f := NewFollower(FollowerOptions{
		Clock: clockwork.NewRealClock(), View: v,
		Mode: func() ReadMode {
			for _, s := range v.Listing().Servers {
				ids = append(ids, s.ID)
			}
			if len(lists) == 0 {
				cancel()
			}
			return ReadStale
		},
		Read: func(_ context.Context, stale bool) (Listing, *Config, error) {
			require.True(t, stale)
			if len(lists) == 0 {
				return Listing{}, nil, context.Canceled
			}
			l := lists[0]
			lists = lists[1:]
			return l, nil, nil
		},
		Responded: func() {}, ConnectionChanged: func(error) { require.Fail(t, "a stale read is no connection") },
		StaleReadFailed: func(err error) { failures = append(failures, err) },
	})
	f.Run(ctx)
	require.Equal(t, []string{"a", "a", "b"}, ids)
	require.Equal(t, []error{context.Canceled}, failures)
	require.False(t, f.Connected())
}

// Guards against waiting for a watch whose connection is unresponsive: peers have a
// change that it does not return.
func TestStuckWatch(t *testing.T) {
	clock := clockwork.NewRealClock()
	v := NewView(ViewOptions{Clock: clock})
	v.ReplaceServers(Listing{Rev: 10, Servers: []Server{newTestServer("a", 3)}})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	lost := make(chan error, 1)
	watches := 0
	f := NewFollower(FollowerOptions{
		Clock: clock, View: v, Random: func() float64 { return 0 }, Mode: func() ReadMode { return ReadFresh },
		MaxRetryDelay:    func() time.Duration { return time.Second },
		CallFailed:       func(error, time.Duration, time.Duration) {},
		StoreUnavailable: func(err error) bool { return !errors.Is(err, errTestConnection) },
		Watch: func(ctx context.Context, _ uint64, _ time.Duration) ([]Event, uint64, error) {
			watches++
			if watches == 1 {
				return nil, 10, nil
			}
			v.ApplyEvents([]Event{{Removed: "a", Rev: 11}}, 11)
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		Responded: func() {}, ConnectionChanged: func(err error) {
			if err != nil {
				lost <- err
				cancel()
			}
		},
	})
	f.Run(ctx)
	require.ErrorIs(t, <-lost, errStuckWatch)
}

// Guards against a node that stops watching the store counting as connected, and
// against that change of state going unreported.
func TestReadingStopped(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	modes := []ReadMode{ReadNone, ReadFresh, ReadFresh, ReadNone, ReadNone, ReadFresh, ReadNone}
	var states []string
	v := NewView(ViewOptions{Clock: clockwork.NewRealClock()})
	f := NewFollower(FollowerOptions{
		Clock: clockwork.NewRealClock(), View: v,
		Mode:      scriptedModes(modes, cancel),
		Read:      func(context.Context, bool) (Listing, *Config, error) { return Listing{Rev: 1}, nil, nil },
		Watch:     func(context.Context, uint64, time.Duration) ([]Event, uint64, error) { return nil, 1, nil },
		Responded: func() {}, ConnectionChanged: func(err error) {
			require.NoError(t, err)
			states = append(states, "connected")
		},
		ReadingStopped: func() { states = append(states, "stopped") },
	})
	f.Run(ctx)
	require.Equal(t, []string{"connected", "stopped", "connected", "stopped"}, states)
	require.False(t, f.Connected())
}
