package member

import (
	"context"
	"time"
)

const (
	// refreshRetry is the time between attempts to refresh the view.
	refreshRetry = 200 * time.Millisecond
	// refreshAttempts and refreshLimit bound how long a node refuses to act as
	// entry node after a pause: serving with an old view is better than none.
	refreshAttempts = 3
	refreshLimit    = time.Second
	// refreshTime bounds one attempt.
	refreshTime = 400 * time.Millisecond
	// refreshHung applies where attempts do not get to run, because the workers
	// are busy.
	refreshHung = 2 * time.Second
)

// pause is the state of the refresh after a pause or a start.
type pause struct {
	// stale is the opposite of the board's fresh.
	stale bool
	// starting is set until the first documents are there; the node has no old
	// view to fall back on then.
	starting bool
	// since is when the pause was noticed.
	since time.Time
	// next is when the next attempt may start; attempts counts the finished ones.
	next     time.Time
	attempts int
	running  bool
	// round counts pauses, so that an attempt that a second pause overtook does
	// not make the view fresh.
	round int
}

// Fresh reports whether the view is fresh. Unlike the board it also notices a
// pause that the next tick has yet to find, so a call that arrives right after
// the pause does not slip through.
func (m *Member) Fresh() bool {
	last := m.lastTick.Load()
	if last != 0 && m.o.Clock.Now().UnixNano()-last > int64(pauseLimit) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.noticePause(m.o.Clock.Now())
		m.lastTick.Store(m.o.Clock.Now().UnixNano())
	}
	return m.o.Board.Fresh()
}

// noticePause marks the view as stale where the last tick is long ago.
func (m *Member) noticePause(now time.Time) {
	last := m.lastTick.Load()
	if last == 0 || now.UnixNano()-last <= int64(pauseLimit) || m.pause.starting {
		return
	}
	m.counts.pauses.Inc()
	m.pause = pause{stale: true, since: now, round: m.pause.round + 1}
	m.o.Board.SetFresh(false)
}

// tickRefresh makes the view fresh again.
func (m *Member) tickRefresh(now time.Time) {
	p := &m.pause
	if !p.stale {
		return
	}
	if p.starting {
		if m.o.Ready() {
			m.becomeFresh()
		}
		return
	}
	late := now.Sub(p.since)
	if late >= refreshLimit && p.attempts >= refreshAttempts || late >= refreshHung {
		m.counts.unrefreshed.Inc()
		m.becomeFresh()
		return
	}
	if p.running || now.Before(p.next) {
		return
	}
	p.next = now.Add(refreshRetry)
	round := p.round
	p.running = m.submit(func(ctx context.Context) { m.refresh(ctx, round) })
}

func (m *Member) refresh(ctx context.Context, round int) {
	ctx, cancel := context.WithTimeout(ctx, refreshTime)
	defer cancel()
	err := m.o.Refresh(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pause.round != round {
		return
	}
	m.pause.running = false
	m.pause.attempts++
	if err == nil && m.pause.stale {
		m.becomeFresh()
	}
}

func (m *Member) becomeFresh() {
	m.pause.stale = false
	m.pause.starting = false
	m.o.Board.SetFresh(true)
}
