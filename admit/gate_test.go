package admit

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

func call(class, rank int, timeLeft time.Duration, deps ...string) Call {
	target, _ := frame.NewTarget("bookings", "book")
	return Call{Priority: frame.NewLevel(class, rank), TimeLeft: timeLeft, Target: target, Dependencies: deps}
}

func reasonOf(err error) frame.Reason {
	_, r := frame.OutcomeOf(err)
	return r
}

// Guards against an Enter that stays blocked after its call left the queue, for
// each cause of leaving it.
func TestEnterLeavesQueue(t *testing.T) {
	cases := map[string]struct {
		act  func(*Gate, *clockwork.FakeClock, *Ticket, context.CancelFunc)
		want frame.Reason
	}{
		"slot":    {func(_ *Gate, _ *clockwork.FakeClock, running *Ticket, _ context.CancelFunc) { running.Release(true) }, ""},
		"cancel":  {func(_ *Gate, _ *clockwork.FakeClock, _ *Ticket, cancel context.CancelFunc) { cancel() }, frame.ReasonCancelled},
		"expire":  {func(_ *Gate, c *clockwork.FakeClock, _ *Ticket, _ context.CancelFunc) { c.Advance(time.Second) }, frame.ReasonExpired},
		"close":   {func(g *Gate, _ *clockwork.FakeClock, _ *Ticket, _ context.CancelFunc) { g.Close(frame.ReasonLeaving) }, frame.ReasonLeaving},
		"disable": {func(g *Gate, _ *clockwork.FakeClock, _ *Ticket, _ context.CancelFunc) { g.Configure(Limits{Slots: 1}) }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			g := NewGate(Options{Clock: clock, Limits: Limits{Slots: 1, Queue: 4, Enabled: true}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			running, err := g.Enter(ctx, call(0, 0, time.Minute))
			require.NoError(t, err)
			got := make(chan error, 1)
			go func() {
				_, err := g.Enter(ctx, call(0, 1, time.Second))
				got <- err
			}()
			require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
			c.act(g, clock, running, cancel)
			err = <-got
			require.Equal(t, c.want, reasonOf(err))
			require.Zero(t, g.View().Queued)
		})
	}
}

// Guards against slots that stay idle because of a low level, and against
// shedding class 0 while calls of other classes could be admitted after it.
func TestDecideAtLevel(t *testing.T) {
	// Class 0 may queue class0QueueFactor calls.
	g := NewGate(Options{Clock: clockwork.NewFakeClock(), Limits: Limits{Slots: 1, Queue: 1, Enabled: true}})
	g.shedder.level = frame.NewLevel(0, 100)
	steps := []struct {
		class, rank int
		want        frame.Reason
	}{
		{2, 255, ""}, // takes the free slot
		{1, 0, frame.ReasonLevel},
		{0, 200, ""},
		{0, 201, ""},
		{0, 202, frame.ReasonLevel}, // class 0 fills half of its queue limit
		{0, 100, ""},
	}
	for _, s := range steps {
		reason, explanation := g.Explain(call(s.class, s.rank, time.Second))
		require.Equal(t, s.want, reason, explanation)
		_, _, refusal := g.arrive(call(s.class, s.rank, time.Second))
		require.Equal(t, s.want == "", refusal == nil)
	}
}

// Measures the cost of the gate per call; the target is about a microsecond.
func BenchmarkEnterRelease(b *testing.B) {
	g := NewGate(Options{Limits: Limits{Slots: 50, Queue: 64, Share: 0.5, Enabled: true}})
	c := call(1, 7, time.Second, "leagueboard")
	b.ReportAllocs()
	for b.Loop() {
		ticket, err := g.Enter(b.Context(), c)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Release(true)
	}
}

// Guards against data races, lost slots and lost wake-ups between Enter, Release,
// Tick, Configure and Close.
func TestConcurrent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := Limits{Slots: 4, Queue: 8, Share: 0.5, Enabled: true}
	g := NewGate(Options{Clock: clock, Limits: limits})
	var calls sync.WaitGroup
	for i := range 24 {
		calls.Go(func() {
			for n := range 300 {
				ctx, cancel := context.WithCancel(t.Context())
				if n%7 == 0 {
					go cancel()
				}
				ticket, err := g.Enter(ctx, call(i%3, n%256, time.Minute, "ladder"))
				if err == nil {
					done := ticket.BeginWait("ladder")
					done()
					ticket.Release(n%5 > 0)
				}
				cancel()
			}
		})
	}
	for n := range 200 {
		clock.Advance(time.Millisecond)
		g.Tick()
		limits.Slots, limits.Enabled = 1+n%6, n%50 > 0
		g.Configure(limits)
		_, _ = g.Explain(call(2, n%256, time.Second))
	}
	calls.Wait()
	v := g.View()
	require.Zero(t, v.Inflight+v.Queued)
	require.Empty(t, v.Waiting)
	g.Close(frame.ReasonLeaving)
	<-g.Drained()
}
