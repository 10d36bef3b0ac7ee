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

// Guards against a retry that could run an operation twice, adds load to a call
// graph that is shedding, or cannot succeed.
func TestDecide(t *testing.T) {
	const timeLeft = time.Second
	notRun, unknown := frame.NotRun, frame.Unknown
	tests := []struct {
		name string
		give Failure
		want Action
		wait bool
	}{
		{"leaving", Failure{Outcome: notRun, Reason: frame.ReasonLeaving, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, OtherServer, false},
		{"leaving, no permit", Failure{Outcome: notRun, Reason: frame.ReasonLeaving, TimeLeft: timeLeft, Attempts: 1, LeavingAttempts: 1}, OtherServer, false},
		{"leaving, too often", Failure{Outcome: notRun, Reason: frame.ReasonLeaving, TimeLeft: timeLeft, Attempts: 4, LeavingAttempts: 4}, GiveUp, false},
		{"leaving, unknown outcome", Failure{Outcome: unknown, Reason: frame.ReasonLeaving, TimeLeft: timeLeft, Attempts: 1, LeavingAttempts: 1}, GiveUp, false},
		{"leaving, keyed", Failure{Outcome: notRun, Reason: frame.ReasonLeaving, Keyed: true, TimeLeft: timeLeft, Attempts: 1, LeavingAttempts: 1}, GiveUp, false},
		{"draining, no permit", Failure{Outcome: notRun, Reason: frame.ReasonDraining, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"dial", Failure{Outcome: notRun, Reason: frame.ReasonDial, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, OtherServer, false},
		{"dial, second", Failure{Outcome: notRun, Reason: frame.ReasonDial, Permits: 1, TimeLeft: timeLeft, Attempts: 2}, OtherServer, true},
		{"dial, no permit", Failure{Outcome: notRun, Reason: frame.ReasonDial, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"full", Failure{Outcome: notRun, Reason: frame.ReasonFull, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, OtherServer, true},
		{"full, no time", Failure{Outcome: notRun, Reason: frame.ReasonFull, Permits: 1, TimeLeft: time.Millisecond, Attempts: 1}, GiveUp, false},
		{"level", Failure{Outcome: notRun, Reason: frame.ReasonLevel, Permits: 2, TimeLeft: timeLeft, Attempts: 1, ShedAttempts: 1}, OtherServer, true},
		{"level twice", Failure{Outcome: notRun, Reason: frame.ReasonLevel, Permits: 2, TimeLeft: timeLeft, Attempts: 2, ShedAttempts: 2}, GiveUp, false},
		{"late", Failure{Outcome: notRun, Reason: frame.ReasonLate, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"void", Failure{Outcome: notRun, Reason: frame.ReasonVoid, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"lost", Failure{Outcome: unknown, Reason: frame.ReasonLost, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"lost, idempotent", Failure{Outcome: unknown, Reason: frame.ReasonLost, Idempotent: true, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, OtherServer, false},
		{"incarnation", Failure{Outcome: unknown, Reason: frame.ReasonIncarnation, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"incarnation, idempotent", Failure{Outcome: unknown, Reason: frame.ReasonIncarnation, Idempotent: true, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, OtherServer, false},
		{"lost, keyed", Failure{Outcome: unknown, Reason: frame.ReasonLost, Keyed: true, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, SameServer, true},
		{"owner replaced, keyed", Failure{Outcome: unknown, Reason: frame.ReasonIncarnation, Keyed: true, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"refused by owner, keyed", Failure{Outcome: notRun, Reason: frame.ReasonFull, Keyed: true, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, GiveUp, false},
		{"dial, keyed", Failure{Outcome: notRun, Reason: frame.ReasonDial, Keyed: true, Permits: 1, TimeLeft: timeLeft, Attempts: 1}, SameServer, true},
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

// Guards against a retry that spends no permit. For a call that is not idempotent,
// guards against a retry that runs concurrently with the first call, after its
// response or after an unknown outcome.
func TestOutboundCalls(t *testing.T) {
	ctx := context.Background()
	target, err := frame.NewTarget("bookings", "book")
	require.NoError(t, err)
	permits := 0
	spend := func() bool { permits--; return permits >= 0 }
	r := NewOutboundCalls(3)
	begin := func(body, step string, idempotent bool) (*Claim, frame.Answer, error) {
		return r.Begin(ctx, OutboundCallKeyOf(frame.NewRequest(target, []byte(body), step)), idempotent, spend)
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
	require.NoError(t, err, "a different step makes it a new call")
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
	require.NotNil(t, c, "an idempotent retry runs with a permit")
	c, _, err = begin("read", "", true)
	require.Equal(t, frame.ReasonRepeat, reason(c, err))
	c, _, err = begin("b", "", false)
	require.Equal(t, frame.ReasonTable, reason(c, err), "the record is full")
	c, _, err = begin("other", "", true)
	require.Equal(t, frame.ReasonRepeat, reason(c, err), "when the record is full, a new idempotent call counts as a retry")
}

// Guards against counting a caller's retry within the window as a new request,
// counting a new request as a retry, and a table that grows beyond its bound.
func TestCallerRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		start := clock.Now()
		const limit = 40 // the 15 IDs below never fill a generation within a window
		c := NewCallerRequests(CallerRequestOptions{Clock: clock, Window: time.Minute, MaxRequestIDs: limit})
		last := map[string]time.Duration{}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			clock.Advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			now := clock.Since(start)
			id := fmt.Sprint(rapid.IntRange(1, 15).Draw(t, "id"))
			at, ok := last[id]
			require.Equal(t, ok && now-at < time.Minute, c.RecordRequestID("caller", id))
			last[id] = now
		}
		require.False(t, c.RecordRequestID("caller", ""))
		require.False(t, c.RecordRequestID("other", "1"))
		require.False(t, c.RecordOperationKey("1"))
		for i := range 10 * limit {
			c.RecordRequestID("flood", fmt.Sprint(i))
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

// Guards against permits that a faulty child creates, and against permits that
// are returned after the pool was closed.
func TestPermitGrantFaults(t *testing.T) {
	pool := NewPermitPool(3)
	grant := pool.Grant(false)
	require.Panics(t, func() { grant.Return(grant.Permits() + 1) })
	grant.Forfeit()
	require.Panics(t, grant.Forfeit)
	require.Zero(t, NewPermitPool(3).Grant(true).Permits(), "a leaf is granted none")
	require.False(t, NewPermitPool(0).Spend())
	closed := NewPermitPool(4)
	grant = closed.Grant(false)
	require.Equal(t, 1, closed.Close())
	grant.Return(3)
	require.False(t, closed.Spend())
	require.Zero(t, closed.Grant(false).Permits())
	require.Equal(t, PermitCounts{Initial: 4, Forfeited: 3, Returned: 1}, closed.Counts())
}

func BenchmarkPermitPoolGrantReturn(b *testing.B) {
	b.ReportAllocs()
	pool := NewPermitPool(3)
	for b.Loop() {
		grant := pool.Grant(false)
		grant.Return(grant.Permits())
	}
}
