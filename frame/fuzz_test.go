package frame

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The fuzz targets guard against a peer's header that is accepted although it is
// malformed, and against one that means something else once it is written again.

func FuzzParseContext(f *testing.F) {
	c, err := NewContext(Fields{RootID: 1, SpanID: 2, Class: 3, Rank: 4, TimeLeft: time.Second, Permits: 1, Depth: 2, OperationKey: "k"})
	require.NoError(f, err)
	f.Add(c.Encode())
	f.Add(strings.Replace(c.Encode(), "left=1000", "left=18446744073710", 1)) // overflows a Duration to 0.4 ms
	f.Add(c.Encode() + ";")
	f.Fuzz(func(t *testing.T, s string) {
		c, err := ParseContext(s)
		if err != nil {
			return
		}
		require.NoError(t, c.validate())
		again, err := ParseContext(c.Encode())
		require.NoError(t, err)
		require.Equal(t, c, again)
	})
}

func FuzzParseLoad(f *testing.F) {
	for _, s := range []string{"3/12", "3/12 more", "+3/12", "03/12", "-1/2", "3"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if l, err := ParseLoad(s); err == nil {
			require.Equal(t, s, l.String())
			require.GreaterOrEqual(t, l.Used(), 0)
			require.GreaterOrEqual(t, l.Limit(), 0)
		}
	})
}

func FuzzParseLevel(f *testing.F) {
	for _, s := range []string{"3.12", "3.12x", "3. 12", "15.255", "16.0", "-1.2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if l, err := ParseLevel(s); err == nil {
			require.Equal(t, s, l.String())
			require.LessOrEqual(t, l, OpenLevel)
		}
	})
}

func FuzzParseAttempt(f *testing.F) {
	for _, s := range []string{"vm-1:0a/vm-2:0b/7", "vm-1:0a//7", "//0", "vm-1:0a/vm-2:0b/7/8"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		a, err := ParseAttempt(s)
		if err != nil {
			return
		}
		again, err := ParseAttempt(a.String())
		require.NoError(t, err)
		require.Equal(t, a, again)
	})
}

func FuzzParseTarget(f *testing.F) {
	f.Add("book/lane")
	f.Add("book/lane/more")
	f.Fuzz(func(t *testing.T, s string) {
		if target, err := ParseTarget(s); err == nil {
			require.Equal(t, s, target.String())
		}
	})
}
