package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

// The fuzz targets guard against a header of another node that is accepted
// although it is malformed, and against one that changes its meaning.

func FuzzDecodeHop(f *testing.F) {
	f.Add((&call{class: 3, idempotent: true, route: "r", origin: "o", id: "i;d"}).encodeHop("i-1", time.Second))
	f.Add("1;if;5;r;i;o;id")
	f.Add("1;xx;-5;r;i;o;")
	f.Fuzz(func(t *testing.T, s string) {
		var c call
		instance, timeLeft, err := c.decodeHop(s)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, c.class, 0)
		require.LessOrEqual(t, c.class, frame.MaxClass)
		var again call
		gotInstance, gotTimeLeft, err := again.decodeHop(c.encodeHop(instance, timeLeft))
		require.NoError(t, err)
		require.Equal(t, instance, gotInstance)
		require.Equal(t, max(timeLeft, time.Millisecond), gotTimeLeft)
		require.Equal(t, c.route+c.origin+c.id, again.route+again.origin+again.id)
		require.Equal(t, []bool{c.idempotent, c.isRetry}, []bool{again.idempotent, again.isRetry})
	})
}

func FuzzDecodeReply(f *testing.F) {
	f.Add(result{outcome: frame.NotRun, reason: frame.ReasonFull, feedback: &frame.Feedback{Load: frame.NewLoad(3, 4)}}.encodeReply())
	f.Add("a;1/2;0;0;0;ld")
	f.Add("a;1/2;0;0;-1;x")
	f.Fuzz(func(t *testing.T, s string) {
		r, err := decodeReply(s)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, r.feedback.TypicalLatency, time.Duration(0))
		again, err := decodeReply(r.encodeReply())
		require.NoError(t, err)
		require.Equal(t, r, again)
	})
}
