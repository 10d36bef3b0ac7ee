package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// watchWait is how long a watch waits for a change. A watch that was made while
	// the store was silent never gets a response and looks like one without news,
	// so watchWait bounds how long the end of an outage goes unnoticed. Nodes
	// must act on changes 3 s after it.
	watchWait = 1200 * time.Millisecond
	// MaxResponseInterval is the longest time between two responses to a node that
	// watches a store which responds in time.
	MaxResponseInterval = watchWait + 200*time.Millisecond
	// probeWait replaces watchWait after a failed call, since an outage may last and a
	// longer call would go unanswered for longer after its end, and for the first call
	// of a node that takes over from readers to which the store does not respond.
	probeWait = 300 * time.Millisecond
	// batchDelay is the pause after a change, so that one call returns the
	// changes of a burst. It delays only changes that follow another one.
	batchDelay = 100 * time.Millisecond
	// startupBatchDelay replaces batchDelay for startupPeriod after the first call.
	// When a fleet starts, its servers register one by one. The pauses of different
	// nodes do not coincide, and what one of them reads the others get from it.
	startupBatchDelay = 600 * time.Millisecond
	startupPeriod     = 3 * time.Second
	// stuckWatchDelay is how long a watch may lack a change that peers have
	// before its connection counts as broken, stuckWatchCheckInterval how often
	// that is checked.
	stuckWatchDelay         = 400 * time.Millisecond
	stuckWatchCheckInterval = 200 * time.Millisecond
	// readCheckInterval is how often the mode is checked while it is ReadNone and during
	// the pause after a failed call.
	readCheckInterval = 50 * time.Millisecond
	// staleReadInterval is the time between two stale reads.
	staleReadInterval = 250 * time.Millisecond
	// initialRetryDelay is the pause after the first failed call, before jitter.
	initialRetryDelay = 150 * time.Millisecond
)

// ErrCompacted reports that the store no longer has the history that a watch
// requested.
var ErrCompacted = errors.New("history is no longer available")

// errStuckWatch reports that a watch lacks a change that peers have.
var errStuckWatch = errors.New("watch did not return a change that peers have")

// ReadMode is how a node reads the store.
type ReadMode int

const (
	// ReadNone leaves the reading to other nodes.
	ReadNone ReadMode = iota
	// ReadStale reads the complete state now and then, which may be seconds old.
	ReadStale
	// ReadFresh watches the store.
	ReadFresh
)

// FollowerOptions configures a Follower. All fields but Random are required.
type FollowerOptions struct {
	Clock clockwork.Clock
	View  *View
	// Read returns all backend servers and the configuration, nil if there is none
	// yet. The configuration is not older than the revision of the listing. A
	// stale read may return a state of some seconds ago.
	Read func(ctx context.Context, stale bool) (Listing, *Config, error)
	// Watch waits up to wait for a change after a revision. It returns the
	// changes and the revision up to which they are complete, or ErrCompacted.
	Watch func(ctx context.Context, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Mode returns how this node should read the store now.
	Mode func() ReadMode
	// MaxRetryDelay returns the longest pause after failed calls, before jitter.
	MaxRetryDelay func() time.Duration
	// ConnectionChanged is called with the error when the connection to the store
	// is lost, and with nil when it is established.
	ConnectionChanged func(err error)
	// ReadingStopped is called when this node stops watching the store, because
	// others do.
	ReadingStopped func()
	// Responded is called after each response of the store that is complete up to its
	// time, once its changes are applied.
	Responded func()
	// StoreUnavailable reports whether a failed call shows that the store itself is
	// unavailable, and not only the connection that the call used.
	StoreUnavailable func(err error) bool
	// OutageEnded returns how long ago the store's last outage ended, as far as this node
	// and its readers know, and false if there was none. It is called when a call
	// succeeds after one that has shown that the store is unavailable.
	OutageEnded func() (ago time.Duration, away bool)
	// CallFailed is called with the error of each failed call, how long the call
	// took and the pause before the next one.
	CallFailed func(err error, took, pause time.Duration)
	// StaleReadFailed is called with the error of a stale read.
	StaleReadFailed func(err error)
	// Random returns a number in [0, 1). The default is that of math/rand.
	Random func() float64
}

// Follower keeps a View up to date with the platform's store.
type Follower struct {
	opts      FollowerOptions
	connected atomic.Bool
	// storeLost is set if a call since the last successful one has shown that the store
	// is unavailable, and no peer has replaced this node as a reader since. Only Run
	// accesses it and firstReadAt.
	storeLost bool
	// firstReadAt is when a call first succeeded; zero before.
	firstReadAt time.Time
}

// NewFollower returns a Follower, which starts with Run.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	return &Follower{opts: opts}
}

// Connected reports whether the last call to the store succeeded. It is false
// while this node does not watch the store.
func (f *Follower) Connected() bool { return f.connected.Load() }

// Run reads the store and follows its changes until ctx is done. It reads the
// complete state only if no peer has sent it, or if the store no longer has the
// changes after it.
func (f *Follower) Run(ctx context.Context) {
	compacted := false
	wait := watchWait
	failures := 0
	for ctx.Err() == nil {
		mode := f.opts.Mode()
		if mode != ReadFresh {
			wait, failures = probeWait, 0
			f.markNotReading()
			f.readStale(ctx, mode)
			continue
		}
		started := f.opts.Clock.Now()
		var err error
		if compacted || f.opts.View.Rev() == 0 {
			err = f.readAll(ctx)
		} else {
			err = f.watchOnce(ctx, wait)
		}
		compacted = errors.Is(err, ErrCompacted) || compacted && err != nil
		if err == nil || errors.Is(err, ErrCompacted) {
			wait, failures = watchWait, 0
			continue
		}
		if ctx.Err() != nil {
			// The call failed because the process is stopping.
			return
		}
		f.markDisconnected(err)
		pause := f.retryDelay(failures)
		f.opts.CallFailed(err, f.opts.Clock.Since(started), pause)
		f.pauseReading(ctx, pause)
		wait = probeWait
		failures++
	}
}

// readStale makes a stale read if the mode requires it, and pauses. A failed one
// is not repeated before the next interval.
func (f *Follower) readStale(ctx context.Context, mode ReadMode) {
	if mode == ReadNone {
		f.sleep(ctx, readCheckInterval)
		return
	}
	l, c, err := f.opts.Read(ctx, true)
	if err != nil {
		f.opts.StaleReadFailed(err)
	} else {
		f.apply(l, c)
	}
	f.sleep(ctx, staleReadInterval)
}

func (f *Follower) readAll(ctx context.Context) error {
	l, c, err := f.opts.Read(ctx, false)
	if err != nil {
		return err
	}
	f.markConnected()
	f.apply(l, c)
	f.opts.Responded()
	return nil
}

// apply applies what is newer than the view.
func (f *Follower) apply(l Listing, c *Config) {
	if c != nil {
		f.opts.View.ApplyConfig(c)
	}
	f.opts.View.ReplaceServers(l)
}

func (f *Follower) watchOnce(ctx context.Context, wait time.Duration) error {
	after := f.opts.View.Rev()
	ctx, cancel := context.WithCancelCause(ctx)
	var check sync.WaitGroup
	defer check.Wait()
	defer cancel(nil)
	check.Go(func() { f.cancelStuckWatch(ctx, cancel, after) })
	events, rev, err := f.opts.Watch(ctx, after, wait)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	f.markConnected()
	f.opts.View.ApplyEvents(events, rev)
	f.opts.Responded()
	if len(events) == 0 {
		return nil
	}
	delay := batchDelay
	if f.opts.Clock.Since(f.firstReadAt) < startupPeriod {
		delay = startupBatchDelay
	}
	f.sleep(ctx, delay)
	return nil
}

// cancelStuckWatch cancels a watch whose connection is unresponsive: a peer
// sent a change after the watched revision, and the watch has not returned it.
func (f *Follower) cancelStuckWatch(ctx context.Context, cancel context.CancelCauseFunc, after uint64) {
	for ctx.Err() == nil {
		f.sleep(ctx, stuckWatchCheckInterval)
		if f.opts.View.Rev() <= after {
			continue
		}
		f.sleep(ctx, stuckWatchDelay)
		cancel(errStuckWatch)
	}
}

func (f *Follower) markConnected() {
	if f.firstReadAt.IsZero() {
		f.firstReadAt = f.opts.Clock.Now()
	}
	if f.connected.Swap(true) {
		return
	}
	if f.storeLost {
		f.recordStoreReturn()
	}
	f.storeLost = false
	f.opts.ConnectionChanged(nil)
}

// recordStoreReturn records when the store returned. That may be before this node's call:
// the store may have responded to the readers while this node was cut off.
func (f *Follower) recordStoreReturn() {
	if ago, away := f.opts.OutageEnded(); away {
		f.opts.View.RecordStoreReturn(ago)
	}
}

// markDisconnected records a failed call. If only its connection failed, entries did
// not expire: the next call, on a new connection, shows whether the store is away, long
// before any server has missed the heartbeats that its entry needs.
func (f *Follower) markDisconnected(err error) {
	if !errors.Is(err, errStuckWatch) && f.opts.StoreUnavailable(err) {
		f.storeLost = true
	}
	if f.connected.Swap(false) {
		f.opts.ConnectionChanged(err)
	}
}

// markNotReading forgets the state of the connection. The nodes that watch the
// store instead report the end of an outage.
func (f *Follower) markNotReading() {
	connected := f.connected.Swap(false)
	if connected || f.storeLost {
		f.opts.ReadingStopped()
	}
	f.storeLost = false
}

// retryDelay returns the pause before the next call, which doubles with each failure.
func (f *Follower) retryDelay(failures int) time.Duration {
	d, maxDelay := initialRetryDelay, f.opts.MaxRetryDelay()
	for range failures {
		d = min(2*d, maxDelay)
	}
	return d/2 + time.Duration(f.opts.Random()*float64(d)/2)
}

// pauseReading sleeps for a time, or until other nodes read the store: this node may
// have to take over from them at once.
func (f *Follower) pauseReading(ctx context.Context, pause time.Duration) {
	end := f.opts.Clock.Now().Add(pause)
	for ctx.Err() == nil && f.opts.Mode() == ReadFresh {
		left := f.opts.Clock.Until(end)
		if left <= 0 {
			return
		}
		f.sleep(ctx, min(left, readCheckInterval))
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.opts.Clock.After(d):
	}
}
