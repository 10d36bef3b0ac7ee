package member

import (
	"context"
	"time"
)

const (
	// refreshRetryDelay is the time between attempts to refresh the documents.
	refreshRetryDelay = 200 * time.Millisecond
	// After minRefreshAttempts and minRefreshTime a node acts as ingress node
	// again without a refresh: serving with outdated documents is better than not
	// serving.
	minRefreshAttempts = 3
	minRefreshTime     = time.Second
	// refreshTimeout bounds one attempt.
	refreshTimeout = 400 * time.Millisecond
	// maxRefreshTime applies if attempts do not get to run because the workers
	// are busy.
	maxRefreshTime = 2 * time.Second
)

// refreshState is the state of the refresh after a pause or a start.
type refreshState struct {
	// stale is the inverse of Board.Fresh.
	stale bool
	// starting is set until the first documents are available; until then the
	// node has no earlier ones to fall back on.
	starting bool
	// detectedAt is when the pause was detected.
	detectedAt time.Time
	// nextAt is when the next attempt may start; attempts counts the finished ones.
	nextAt   time.Time
	attempts int
	running  bool
	// generation counts pauses, so that an attempt that began before the latest
	// pause does not mark the documents fresh.
	generation int
}

// CheckFresh reports whether the documents are fresh. Unlike Board.Fresh it
// also detects a pause that no tick has detected yet, so that a call right
// after the pause does not pass with outdated documents.
func (m *Membership) CheckFresh() bool {
	last := m.lastTick.Load()
	if last != 0 && m.opts.Clock.Now().UnixNano()-last > int64(pauseThreshold) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.detectPause(m.opts.Clock.Now())
		m.lastTick.Store(m.opts.Clock.Now().UnixNano())
	}
	return m.opts.Board.Fresh()
}

// detectPause marks the documents stale if the last tick is more than
// pauseThreshold ago. The caller holds mu.
func (m *Membership) detectPause(now time.Time) {
	last := m.lastTick.Load()
	if last == 0 || now.UnixNano()-last <= int64(pauseThreshold) || m.refreshState.starting {
		return
	}
	m.counters.pauses.Inc()
	m.refreshState = refreshState{stale: true, detectedAt: now, generation: m.refreshState.generation + 1}
	m.opts.Board.SetFresh(false)
}

// tickRefresh starts due refresh attempts while the documents are stale. It marks
// them fresh when the first ones are available or the attempts take too long.
func (m *Membership) tickRefresh(now time.Time) {
	state := &m.refreshState
	if !state.stale {
		return
	}
	if state.starting {
		if m.opts.Ready() {
			m.markFresh()
		}
		return
	}
	elapsed := now.Sub(state.detectedAt)
	if elapsed >= minRefreshTime && state.attempts >= minRefreshAttempts || elapsed >= maxRefreshTime {
		m.counters.unrefreshedPauses.Inc()
		m.markFresh()
		return
	}
	if state.running || now.Before(state.nextAt) {
		return
	}
	state.nextAt = now.Add(refreshRetryDelay)
	generation := state.generation
	state.running = m.submit(func(ctx context.Context) { m.refresh(ctx, generation) })
}

func (m *Membership) refresh(ctx context.Context, generation int) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	err := m.opts.Refresh(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refreshState.generation != generation {
		return
	}
	m.refreshState.running = false
	m.refreshState.attempts++
	if err == nil && m.refreshState.stale {
		m.markFresh()
	}
}

func (m *Membership) markFresh() {
	m.refreshState.stale = false
	m.refreshState.starting = false
	m.opts.Board.SetFresh(true)
}
