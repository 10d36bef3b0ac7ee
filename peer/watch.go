package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
)

const (
	// WatchInterval is how often Watch.Tick should be called.
	WatchInterval = 100 * time.Millisecond
	// probeAfter is how long a peer that owes answers may be silent before it
	// is asked for a sign of life. A slow backend server does not keep its node
	// from answering that question.
	probeAfter = 200 * time.Millisecond
	// probeEvery is the time between two questions to a silent peer.
	probeEvery = 300 * time.Millisecond
	// silentAfter is how long a peer may be silent, two unanswered questions
	// included, before it counts as paused or cut off.
	silentAfter = 700 * time.Millisecond
)

// errSilent ends an attempt at a peer that counts as paused or cut off.
var errSilent = errors.New("peer gives no sign of life")

// Watch notices peers that are paused or cut off while attempts wait there, so
// that calls which may run twice do not wait for their deadline.
type Watch struct {
	clock clockwork.Clock
	board *board.Board
	// probe asks a VM's node for a sign of life in the background; the answer
	// shows in board.Peer.Seen.
	probe func(vm board.VM)
	// suspect is told of each silent VM.
	suspect func(vm string)

	mu sync.Mutex
	// waiting holds the attempts in flight by VM name; no empty sets.
	waiting map[string]map[*waiter]struct{}
	// probed is when a VM that is in waiting was asked last.
	probed map[string]time.Time
}

// waiter is one attempt in flight.
type waiter struct {
	vm     board.VM
	since  time.Time
	cancel context.CancelCauseFunc
	// retryable says whether another attempt may replace this one.
	retryable func() bool
}

// NewWatch returns a watch without attempts.
func NewWatch(clock clockwork.Clock, b *board.Board, probe func(board.VM), suspect func(vm string)) *Watch {
	return &Watch{
		clock: clock, board: b, probe: probe, suspect: suspect,
		waiting: make(map[string]map[*waiter]struct{}), probed: make(map[string]time.Time),
	}
}

// start adds an attempt and returns its context; end removes it. The context is
// cancelled with errSilent as its cause when the peer counts as silent.
func (w *Watch) start(ctx context.Context, vm board.VM, retryable func() bool) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	x := &waiter{vm: vm, since: w.clock.Now(), cancel: cancel, retryable: retryable}
	w.mu.Lock()
	set := w.waiting[vm.Name()]
	if set == nil {
		set = make(map[*waiter]struct{})
		w.waiting[vm.Name()] = set
	}
	set[x] = struct{}{}
	w.mu.Unlock()
	return ctx, func() {
		cancel(nil)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(set, x)
		if len(set) == 0 && len(w.waiting[vm.Name()]) == 0 {
			delete(w.waiting, vm.Name())
			delete(w.probed, vm.Name())
		}
	}
}

// Tick asks silent peers for a sign of life and ends the attempts that another
// one may replace at those that gave none.
func (w *Watch) Tick() {
	now := w.clock.Now()
	var ask []board.VM
	var end []*waiter
	w.mu.Lock()
	for name, set := range w.waiting {
		vm, silence := w.silence(name, set, now)
		if silence >= probeAfter && now.Sub(w.probed[name]) >= probeEvery {
			w.probed[name] = now
			ask = append(ask, vm)
		}
		if silence < silentAfter {
			continue
		}
		for x := range set {
			end = append(end, x)
		}
	}
	w.mu.Unlock()
	for _, vm := range ask {
		w.probe(vm)
	}
	suspected := make(map[string]bool)
	for _, x := range end {
		if !suspected[x.vm.Name()] {
			suspected[x.vm.Name()] = true
			w.suspect(x.vm.Name())
		}
		if x.retryable() {
			x.cancel(errSilent)
		}
	}
}

// silence returns how long a VM has owed a sign of life: since it was heard
// last, or since the oldest attempt in flight was sent.
func (w *Watch) silence(name string, set map[*waiter]struct{}, now time.Time) (board.VM, time.Duration) {
	var vm board.VM
	oldest := now
	for x := range set {
		vm = x.vm
		if x.since.Before(oldest) {
			oldest = x.since
		}
	}
	if p, ok := w.board.Peers().Get(name); ok && p.LastResponse.After(oldest) {
		oldest = p.LastResponse
	}
	return vm, now.Sub(oldest)
}
