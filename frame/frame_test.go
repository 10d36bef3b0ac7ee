package frame

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func validFields() Fields {
	return Fields{
		RootID: 1, SpanID: 2, Class: 1, Rank: 7, TimeLeft: 250 * time.Millisecond,
		Permits: 3, Depth: 4, OperationKey: "vm-1.k", Rev: NewRevision(3, 4),
	}
}

// Guards against a context that changes when encoded and parsed.
func TestContextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, err := NewContext(Fields{
			RootID:       ID(rapid.Uint64Min(1).Draw(t, "call")),
			SpanID:       ID(rapid.Uint64Min(1).Draw(t, "span")),
			Class:        rapid.IntRange(0, MaxClass).Draw(t, "class"),
			Rank:         rapid.IntRange(0, MaxRank).Draw(t, "rank"),
			TimeLeft:     time.Duration(rapid.IntRange(0, 3_600_000).Draw(t, "left")) * time.Millisecond,
			Permits:      rapid.IntRange(0, MaxPermits).Draw(t, "tries"),
			Depth:        rapid.IntRange(0, MaxDepth).Draw(t, "depth"),
			OperationKey: rapid.StringMatching(`[a-z0-9./]{0,40}`).Draw(t, "op"),
			Rev:          NewRevision(rapid.Uint64().Draw(t, "base"), rapid.Uint64().Draw(t, "overlay")),
		})
		require.NoError(t, err)
		got, err := ParseContext(c.Encode())
		require.NoError(t, err)
		require.Equal(t, c, got)
	})
}

// Guards against accepting a malformed header as a valid context.
func TestContextMalformed(t *testing.T) {
	c, err := NewContext(validFields())
	require.NoError(t, err)
	valid := c.Encode()
	tests := []struct {
		name  string
		give  string
		field string
	}{
		{"empty", "", ""},
		{"no value", "call", "call"},
		{"unknown field", valid + ";x=1", "x"},
		{"twice", valid + ";rank=1", "rank"},
		{"missing", "call=0000000000000001", "span"},
		{"zero call", "call=0000000000000000" + valid[len("call=0000000000000001"):], "call"},
		{"negative left", "left=-1;" + valid, "left"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseContext(tt.give)
			var ce *ContextError
			require.True(t, errors.As(err, &ce), "error %v", err)
			require.Equal(t, tt.field, ce.Field())
		})
	}
}

// Guards against a child request deeper than MaxDepth.
func TestChildDepthBound(t *testing.T) {
	f := validFields()
	f.Depth = MaxDepth
	c, err := NewContext(f)
	require.NoError(t, err)
	_, err = c.Child(9, time.Second, 0, Revision{})
	require.Error(t, err)
}

// Guards against feedback that changes when written and read.
func TestFeedbackRoundTrip(t *testing.T) {
	in := Feedback{
		Attempt: NewAttempt(Incarnation{vm: "vm-1", process: 5}, Incarnation{vm: "vm-2", process: 6}, 9),
		Outcome: NotRun, Reason: ReasonFull, PermitsReturned: 2, Level: NewLevel(1, 128), Load: NewLoad(3, 50),
		Incarnation: Incarnation{vm: "vm-2", process: 6}, Leaving: true, Rev: NewRevision(7, 8),
	}
	h := http.Header{}
	in.Write(h)
	out, err := ReadFeedback(h)
	require.NoError(t, err)
	require.Equal(t, in, out)
}

// Guards against reporting an error of another type as NotRun.
func TestOutcomeOfDefaultsToUnknown(t *testing.T) {
	o, _ := OutcomeOf(errors.New("x"))
	require.Equal(t, Unknown, o)
	o, r := OutcomeOf(NotRunError(ReasonFull, ""))
	require.Equal(t, NotRun, o)
	require.Equal(t, ReasonFull, r)
}
