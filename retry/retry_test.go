package retry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/frame"
)

// Guards against a retry that could run an operation twice, that adds load to a
// graph that sheds, or that cannot succeed.
func TestDecide(t *testing.T) {
	const left = time.Second
	n, u := frame.NotRun, frame.Unknown
	tests := []struct {
		name string
		give Failure
		want Action
		wait bool
	}{
		{"leaving", Failure{Outcome: n, Reason: frame.ReasonLeaving, Permits: 1, Left: left, Made: 1}, Elsewhere, false},
		{"dial", Failure{Outcome: n, Reason: frame.ReasonDial, Permits: 1, Left: left, Made: 1}, Elsewhere, false},
		{"dial, second", Failure{Outcome: n, Reason: frame.ReasonDial, Permits: 1, Left: left, Made: 2}, Elsewhere, true},
		{"dial, no permit", Failure{Outcome: n, Reason: frame.ReasonDial, Left: left, Made: 1}, GiveUp, false},
		{"full", Failure{Outcome: n, Reason: frame.ReasonFull, Permits: 1, Left: left, Made: 1}, Elsewhere, true},
		{"full, no time", Failure{Outcome: n, Reason: frame.ReasonFull, Permits: 1, Left: time.Millisecond, Made: 1}, GiveUp, false},
		{"level", Failure{Outcome: n, Reason: frame.ReasonLevel, Permits: 2, Left: left, Made: 1, Shed: 1}, Elsewhere, true},
		{"level twice", Failure{Outcome: n, Reason: frame.ReasonLevel, Permits: 2, Left: left, Made: 2, Shed: 2}, GiveUp, false},
		{"late", Failure{Outcome: n, Reason: frame.ReasonLate, Permits: 1, Left: left, Made: 1}, GiveUp, false},
		{"void", Failure{Outcome: n, Reason: frame.ReasonVoid, Permits: 1, Left: left, Made: 1}, GiveUp, false},
		{"lost", Failure{Outcome: u, Reason: frame.ReasonLost, Permits: 1, Left: left, Made: 1}, GiveUp, false},
		{"lost, idempotent", Failure{Outcome: u, Reason: frame.ReasonLost, Idempotent: true, Permits: 1, Left: left, Made: 1}, Elsewhere, false},
		{"incarnation", Failure{Outcome: u, Reason: frame.ReasonIncarnation, Permits: 1, Left: left, Made: 1}, GiveUp, false},
		{"incarnation, idempotent", Failure{Outcome: u, Reason: frame.ReasonIncarnation, Idempotent: true, Permits: 1, Left: left, Made: 1}, Elsewhere, false},
		{"lost, keyed", Failure{Outcome: u, Reason: frame.ReasonLost, Keyed: true, Permits: 1, Left: left, Made: 1}, Again, true},
		{"owner replaced, keyed", Failure{Outcome: u, Reason: frame.ReasonIncarnation, Keyed: true, Permits: 1, Left: left, Made: 1}, GiveUp, false},
		{"refused by owner, keyed", Failure{Outcome: n, Reason: frame.ReasonFull, Keyed: true, Permits: 1, Left: left, Made: 1}, GiveUp, false},
		{"dial, keyed", Failure{Outcome: n, Reason: frame.ReasonDial, Keyed: true, Permits: 1, Left: left, Made: 1}, Again, true},
	}
	p := DefaultPolicy(rand.New(rand.NewPCG(1, 2)).Float64)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := p.Decide(tt.give)
			require.Equal(t, tt.want, d.Action)
			require.Equal(t, tt.wait, d.Wait > 0)
			require.Less(t, d.Wait, 2*p.MaxBackoff)
		})
	}
}

// Guards against a repeat that costs no permit, and against a repeat of a call
// that is not idempotent which runs beside the first, after an answer or after
// an unknown outcome.
func TestRepeats(t *testing.T) {
	ctx := context.Background()
	target, err := frame.NewTarget("bookings", "book")
	require.NoError(t, err)
	permits := 0
	spend := func() bool { permits--; return permits >= 0 }
	r := NewRepeats(3)
	begin := func(body, step string, idempotent bool) (*Claim, frame.Answer, error) {
		return r.Begin(ctx, RepeatOf(frame.NewRequest(target, []byte(body), step)), idempotent, spend)
	}
	reason := func(c *Claim, err error) frame.Reason {
		require.Nil(t, c)
		_, reason := frame.OutcomeOf(err)
		return reason
	}

	first, _, err := begin("a", "", false)
	require.NoError(t, err)
	joined := make(chan string)
	go func() {
		_, a, _ := begin("a", "", false)
		joined <- string(a.Body())
	}()
	other, _, err := begin("a", "step", false)
	require.NoError(t, err, "a step tells a deliberate repeat")
	first.SettleAnswered(frame.NewAnswer(200, "", []byte("answer")))
	require.Equal(t, "answer", <-joined)
	_, a, err := begin("a", "", false)
	require.NoError(t, err)
	require.Equal(t, "answer", string(a.Body()))

	other.SettleNotRun(frame.NotRunError(frame.ReasonFull, ""))
	c, _, err := begin("a", "step", false)
	require.Equal(t, frame.ReasonRepeat, reason(c, err), "no permit")
	permits = 1
	c, _, err = begin("a", "step", false)
	require.NoError(t, err)
	c.SettleUnknown(frame.UnknownError(frame.ReasonLost, ""))
	permits = 1
	c, _, err = begin("a", "step", false)
	require.Equal(t, frame.ReasonLost, reason(c, err))
	require.Equal(t, 1, permits)

	_, _, err = begin("read", "", true)
	require.NoError(t, err)
	c, _, err = begin("read", "", true)
	require.NoError(t, err)
	require.NotNil(t, c, "an idempotent repeat runs with a permit")
	c, _, err = begin("read", "", true)
	require.Equal(t, frame.ReasonRepeat, reason(c, err))
	c, _, err = begin("b", "", false)
	require.Equal(t, frame.ReasonTable, reason(c, err), "the record is full")
	c, _, err = begin("other", "", true)
	require.Equal(t, frame.ReasonRepeat, reason(c, err), "beyond the record every call is a repeat")
}

// Guards against a caller's retry that is taken for a new call within the
// window, a new call that is taken for a retry, and a table that grows.
func TestCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		start := clock.Now()
		const limit = 40 // never reached within a window by the 15 ids below
		c := NewCallers(CallerOptions{Clock: clock, Window: time.Minute, Max: limit})
		last := map[string]time.Duration{}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			clock.Advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			now := clock.Since(start)
			id := fmt.Sprint(rapid.IntRange(1, 15).Draw(t, "id"))
			at, ok := last[id]
			require.Equal(t, ok && now-at < time.Minute, c.Repeat("caller", id))
			last[id] = now
		}
		require.False(t, c.Repeat("caller", ""))
		require.False(t, c.Repeat("other", "1"))
		require.False(t, c.RepeatKey("1"))
		for i := range 10 * limit {
			c.Repeat("flood", fmt.Sprint(i))
		}
		require.LessOrEqual(t, c.Len(), limit)
	})
}

// Guards against fractions that are lost or created when permits are earned,
// taken, returned and reconfigured.
func TestBucket(t *testing.T) {
	b := NewBucket(BucketOptions{Ratio: 0.1, Burst: 5, Start: 100})
	require.Equal(t, 5, b.Take(9), "start is bounded by burst")
	for range 9 {
		b.Earn()
	}
	require.Zero(t, b.Take(1))
	b.Earn()
	require.Equal(t, 1, b.Take(3))
	b.Return(9)
	require.Equal(t, 5, b.Permits(), "returns are bounded by burst")
	b.Configure(0.1, 2)
	require.Equal(t, 2, b.Permits())
}

// Guards against permits that a faulty child makes up, and against permits that
// come back after the span has given its own back.
func TestLoanFaults(t *testing.T) {
	e := NewEscrow(3)
	l := e.Lend(false)
	require.Panics(t, func() { l.Return(l.Permits() + 1) })
	l.Forfeit()
	require.Panics(t, l.Forfeit)
	require.Zero(t, NewEscrow(3).Lend(true).Permits(), "a leaf is lent none")
	require.False(t, NewEscrow(0).Spend())
	late := NewEscrow(4)
	l = late.Lend(false)
	require.Equal(t, 1, late.Close())
	l.Return(3)
	require.False(t, late.Spend())
	require.Zero(t, late.Lend(false).Permits())
	require.Equal(t, Totals{Created: 4, Forfeited: 3, Returned: 1}, late.Totals())
}

func BenchmarkEscrowLendReturn(b *testing.B) {
	b.ReportAllocs()
	e := NewEscrow(3)
	for b.Loop() {
		l := e.Lend(false)
		l.Return(l.Permits())
	}
}
