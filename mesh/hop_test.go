package mesh

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/frame"
)

// Guards against requests being decoded wrongly. Ids may contain any character
// that is allowed in a header.
func TestHopRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9-]{0,12}`)
		want := &call{
			class: rapid.IntRange(0, frame.MaxClass).Draw(t, "class"), idempotent: rapid.Bool().Draw(t, "idempotent"),
			isRetry: rapid.Bool().Draw(t, "isRetry"), route: name.Draw(t, "route"), origin: name.Draw(t, "origin"),
			id: rapid.StringMatching(`[!-~]{0,40}`).Draw(t, "id"),
		}
		timeLeft := time.Duration(rapid.IntRange(1, 1e6).Draw(t, "left")) * time.Millisecond
		got := &call{}
		instance, gotTimeLeft, err := got.decodeHop(want.encodeHop("i-1", timeLeft))
		require.NoError(t, err)
		require.Equal(t, "i-1", instance)
		require.Equal(t, timeLeft, gotTimeLeft)
		require.Equal(t, want, got)
	})
}

// Guards against names that other nodes choose, and under which a node keeps what it knows,
// filling the memory.
func TestHopNameLength(t *testing.T) {
	c := &call{id: "one", route: strings.Repeat("r", maxHopName)}
	_, _, err := (&call{}).decodeHop(c.encodeHop("i-1", time.Second))
	require.NoError(t, err)
	c.route += "r"
	_, _, err = (&call{}).decodeHop(c.encodeHop("i-1", time.Second))
	var malformed *hopError
	require.ErrorAs(t, err, &malformed)
	require.Equal(t, "name", malformed.Field())
}

// Guards against outcomes and feedback being decoded wrongly.
func TestReplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := result{
			outcome: rapid.SampledFrom([]frame.Outcome{frame.Answered, frame.NotRun, frame.Unknown}).Draw(t, "outcome"),
			reason:  rapid.SampledFrom([]frame.Reason{"", frame.ReasonFull, frame.ReasonDown}).Draw(t, "reason"),
			feedback: &frame.Feedback{
				Load:         frame.NewLoad(rapid.IntRange(0, 99).Draw(t, "used"), rapid.IntRange(0, 99).Draw(t, "limit")),
				Backpressure: float64(rapid.IntRange(0, 100).Draw(t, "backpressure")) / 100, FailedFraction: float64(rapid.IntRange(0, 100).Draw(t, "failedFraction")) / 100,
				TypicalLatency: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "typical")) * time.Millisecond,
				Leaving:        rapid.Bool().Draw(t, "leaving"), HasChildRequests: rapid.Bool().Draw(t, "hasChildRequests"),
			},
		}
		got, err := decodeReply(want.encodeReply())
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// Guards against malformed hops and replies being accepted.
func TestMalformedHop(t *testing.T) {
	for _, s := range []string{"", "a", "x;1/2;0;0;0;", "a;1;0;0;0;", "a;1/2;101;0;0;", "a;1/2;0;-1;0;", "a;1/2;0;0;0", ";1/2;0;0;0;"} {
		_, err := decodeReply(s)
		var malformed *hopError
		require.ErrorAs(t, err, &malformed, s)
		require.NotEmpty(t, malformed.Field())
	}
	for _, s := range []string{"", "1;if;5;r;i;o", "99;if;5;r;i;o;id", "1;i;5;r;i;o;id", "1;if;x;r;i;o;id"} {
		_, _, err := new(call).decodeHop(s)
		var malformed *hopError
		require.ErrorAs(t, err, &malformed, s)
	}
}
