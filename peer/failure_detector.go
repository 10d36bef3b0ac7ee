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
	// DetectionInterval is how often FailureDetector.Tick should be called.
	DetectionInterval = 100 * time.Millisecond
	// probeAfter is how long a peer with attempts in flight may send nothing before
	// it is probed. A node responds to probes even if its backend server is slow.
	probeAfter = 200 * time.Millisecond
	// probeInterval is the time between two probes of an unresponsive peer.
	probeInterval = 300 * time.Millisecond
	// unresponsiveAfter is how long a peer may send nothing, two unanswered probes
	// included, before it counts as paused or unreachable.
	unresponsiveAfter = 700 * time.Millisecond
)

// errUnresponsive cancels an attempt at a peer that is paused or unreachable.
var errUnresponsive = errors.New("peer is unresponsive")

// FailureDetector detects peers that are paused or unreachable while attempts are
// in flight there, so that calls that may run twice do not wait until their
// deadline. It is safe for concurrent use.
type FailureDetector struct {
	clock clockwork.Clock
	board *board.Board
	// probe probes a VM's node in the background; a response updates
	// board.Peer.LastResponse.
	probe func(vm board.VM)
	// suspect is called on each Tick for each unresponsive VM.
	suspect func(vm string)

	mu sync.Mutex
	// pending holds the attempts in flight by VM name; no empty sets.
	pending map[string]map[*pendingAttempt]struct{}
	// lastProbe is when a VM in pending was last probed.
	lastProbe map[string]time.Time
}

// pendingAttempt is one attempt in flight.
type pendingAttempt struct {
	vm     board.VM
	sentAt time.Time
	cancel context.CancelCauseFunc
	// retryable reports whether another attempt may replace this one.
	retryable func() bool
}

// NewFailureDetector returns a detector without attempts.
func NewFailureDetector(clock clockwork.Clock, b *board.Board, probe func(board.VM), suspect func(vm string)) *FailureDetector {
	return &FailureDetector{
		clock: clock, board: b, probe: probe, suspect: suspect,
		pending: make(map[string]map[*pendingAttempt]struct{}), lastProbe: make(map[string]time.Time),
	}
}

// track adds an attempt and returns its context; stop removes it. The context of a
// retryable attempt is cancelled with errUnresponsive if the peer is unresponsive.
func (d *FailureDetector) track(ctx context.Context, vm board.VM, retryable func() bool) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	attempt := &pendingAttempt{vm: vm, sentAt: d.clock.Now(), cancel: cancel, retryable: retryable}
	d.mu.Lock()
	attempts := d.pending[vm.Name()]
	if attempts == nil {
		attempts = make(map[*pendingAttempt]struct{})
		d.pending[vm.Name()] = attempts
	}
	attempts[attempt] = struct{}{}
	d.mu.Unlock()
	return ctx, func() {
		cancel(nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(attempts, attempt)
		if len(attempts) == 0 && len(d.pending[vm.Name()]) == 0 {
			delete(d.pending, vm.Name())
			delete(d.lastProbe, vm.Name())
		}
	}
}

// Tick probes peers that have sent nothing for probeAfter, and cancels the
// retryable attempts at those that are unresponsive.
func (d *FailureDetector) Tick() {
	now := d.clock.Now()
	var toProbe []board.VM
	var unresponsive []*pendingAttempt
	d.mu.Lock()
	for name, attempts := range d.pending {
		vm, elapsed := d.timeWithoutResponse(name, attempts, now)
		if elapsed >= probeAfter && now.Sub(d.lastProbe[name]) >= probeInterval {
			d.lastProbe[name] = now
			toProbe = append(toProbe, vm)
		}
		if elapsed < unresponsiveAfter {
			continue
		}
		for attempt := range attempts {
			unresponsive = append(unresponsive, attempt)
		}
	}
	d.mu.Unlock()
	for _, vm := range toProbe {
		d.probe(vm)
	}
	suspected := make(map[string]bool)
	for _, attempt := range unresponsive {
		if !suspected[attempt.vm.Name()] {
			suspected[attempt.vm.Name()] = true
			d.suspect(attempt.vm.Name())
		}
		if attempt.retryable() {
			attempt.cancel(errUnresponsive)
		}
	}
}

// timeWithoutResponse returns the time since a VM's last response, or since the
// oldest attempt in flight was sent, if that is later.
func (d *FailureDetector) timeWithoutResponse(name string, attempts map[*pendingAttempt]struct{}, now time.Time) (board.VM, time.Duration) {
	var vm board.VM
	since := now
	for attempt := range attempts {
		vm = attempt.vm
		if attempt.sentAt.Before(since) {
			since = attempt.sentAt
		}
	}
	if p, ok := d.board.Peers().Get(name); ok && p.LastResponse.After(since) {
		since = p.LastResponse
	}
	return vm, now.Sub(since)
}
