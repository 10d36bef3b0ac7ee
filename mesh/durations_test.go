package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one slow request letting a stopping node refuse the quick calls of
// running requests, and against a route that has become slow counting as quick.
func TestDurations(t *testing.T) {
	const quick, slow, left = 15 * time.Millisecond, 5 * time.Second, 2 * time.Second
	d := newDurations()
	require.Zero(t, d.upper("route"), "unknown")
	add := func(took time.Duration, n int) {
		for range n {
			d.add("route", took)
		}
	}
	add(quick, 20)
	add(slow, 1)
	require.Less(t, d.upper("route"), left, "one slow request")
	add(slow, 9)
	require.Greater(t, d.upper("route"), left, "a slow route")
	add(quick, 20)
	require.Less(t, d.upper("route"), left, "a quick route again")
}
