package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// watchWait is how long a watch waits for a change. It bounds how long a
	// watch whose answer was lost goes unnoticed.
	watchWait = 5 * time.Second
	// gather is the pause after a change, so that one call gets the changes of a
	// burst. It delays only those that follow another one.
	gather = 100 * time.Millisecond
	// firstGather takes the place of gather for the time of filling after the first
	// read. The servers of a fleet that starts register one by one, and every node
	// reads the store until the list names the other nodes of its zone.
	firstGather = 600 * time.Millisecond
	filling     = 3 * time.Second
	// stuckAfter is how long a watch may lack a change that peers know of before
	// its connection counts as broken, and stuckPoll how often that is looked at.
	stuckAfter = 400 * time.Millisecond
	stuckPoll  = 200 * time.Millisecond
	// idlePoll is how often a follower that is not to read looks whether it is.
	idlePoll = 50 * time.Millisecond
	// firstPause and lastPause bound the wait after a failed call.
	firstPause = 150 * time.Millisecond
	lastPause  = time.Second
)

// ErrCompacted says that the store no longer has the history that a watch
// asked for.
var ErrCompacted = errors.New("history is no longer available")

// errStuck says that a watch lacks a change that peers know of.
var errStuck = errors.New("watch lacks a change that peers know of")

// FollowerOptions configures a Follower. All fields are required.
type FollowerOptions struct {
	Clock clockwork.Clock
	View  *View
	// Config reads the configuration; nil without an error where there is none yet.
	Config func(ctx context.Context) (*Config, error)
	// List reads all backend servers.
	List func(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision and the revision up to which
	// they are complete, as soon as there is one or after the wait.
	Watch func(ctx context.Context, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Reading reports whether this node is to read the store now.
	Reading func() bool
	// Connected is told each time that the store is lost, with the error, or
	// regained, with nil.
	Connected func(err error)
	// Random returns a number in [0, 1).
	Random func() float64
}

// Follower keeps a View in line with the platform's store.
type Follower struct {
	o  FollowerOptions
	up atomic.Bool
	// missed says that the store was lost since the last successful call.
	missed bool
	// began is when the state was read for the first time; zero before.
	began time.Time
}

// NewFollower returns a follower that does not run yet.
func NewFollower(o FollowerOptions) *Follower {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Follower{o: o}
}

// Up reports whether the last call to the store succeeded.
func (f *Follower) Up() bool { return f.up.Load() }

// Run reads the store and follows its changes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed := f.o.View.Rev() > 0
	failures := 0
	for ctx.Err() == nil {
		if !f.o.Reading() {
			f.up.Store(false)
			f.sleep(ctx, idlePoll)
			continue
		}
		var err error
		if !listed {
			err = f.read(ctx)
			listed = err == nil
		} else {
			err = f.watch(ctx)
			listed = !errors.Is(err, ErrCompacted)
		}
		if err == nil || errors.Is(err, ErrCompacted) {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			// The call ended because the process does.
			return
		}
		f.lost(err)
		f.pause(ctx, failures)
		failures++
	}
}

// read takes over the whole state. The configuration is read last, so that it
// is not older than the list.
func (f *Follower) read(ctx context.Context) error {
	l, err := f.o.List(ctx)
	if err != nil {
		return err
	}
	c, err := f.o.Config(ctx)
	if err != nil {
		return err
	}
	f.regained()
	if f.began.IsZero() {
		f.began = f.o.Clock.Now()
	}
	if c != nil {
		f.o.View.Offer(c)
	}
	f.o.View.Replace(l)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	after := f.o.View.Rev()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.guard(ctx, cancel, after)
	events, rev, err := f.o.Watch(ctx, after, watchWait)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	f.regained()
	f.o.View.Apply(events, rev)
	if len(events) == 0 {
		return nil
	}
	wait := gather
	if f.o.Clock.Since(f.began) < filling {
		wait = firstGather
	}
	f.sleep(ctx, wait)
	return nil
}

// guard ends a watch whose connection went silent: peers know of a change after
// the watched revision, and the watch has not returned it.
func (f *Follower) guard(ctx context.Context, cancel context.CancelCauseFunc, after uint64) {
	for ctx.Err() == nil {
		f.sleep(ctx, stuckPoll)
		if f.o.View.Rev() <= after {
			continue
		}
		f.sleep(ctx, stuckAfter)
		cancel(errStuck)
	}
}

func (f *Follower) regained() {
	if f.up.Swap(true) {
		return
	}
	if f.missed {
		f.o.View.Returned(0)
	}
	f.missed = false
	f.o.Connected(nil)
}

func (f *Follower) lost(err error) {
	f.missed = true
	if f.up.Swap(false) {
		f.o.Connected(err)
	}
}

// pause waits before the next call, longer after each failure.
func (f *Follower) pause(ctx context.Context, failures int) {
	d := firstPause
	for range failures {
		d = min(2*d, lastPause)
	}
	d = d/2 + time.Duration(f.o.Random()*float64(d)/2)
	f.sleep(ctx, d)
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.o.Clock.After(d):
	}
}
