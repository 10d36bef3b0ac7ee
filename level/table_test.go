package level

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

func parseTarget(t testing.TB, name string) frame.Target {
	out, err := frame.ParseTarget(name)
	require.NoError(t, err)
	return out
}

const (
	low  = frame.Level(1<<8 | 40)
	open = frame.OpenLevel
)

// Guards against shedding because of one overloaded server, a level that stays
// low after the overload, and one that a single late response opens.
func TestQuorumLevel(t *testing.T) {
	type response struct {
		server string
		level  frame.Level
		times  int
	}
	cases := map[string]struct {
		responses []response
		wait      time.Duration
		want      frame.Level
	}{
		"nothing known":                  {nil, 0, open},
		"one server overloaded":          {[]response{{"a", low, 4}}, 0, low},
		"one of three overloaded":        {[]response{{"a", open, 4}, {"b", open, 4}, {"c", low, 50}}, 0, open},
		"two of four, tie":               {[]response{{"a", open, 4}, {"b", open, 4}, {"c", low, 9}, {"d", low, 9}}, 0, open},
		"three of four overloaded":       {[]response{{"a", open, 4}, {"b", low, 4}, {"c", low, 4}, {"d", low, 4}}, 0, low},
		"one open response, unnamed":     {[]response{{"", low, 15}, {"", open, 1}}, 0, low},
		"open responses raise it":        {[]response{{"", low, 16}, {"", open, 9}}, 0, open},
		"no response for a second":       {[]response{{"a", low, 4}}, time.Second, low},
		"no response, rises by ranks":    {[]response{{"a", low, 4}}, 1200 * time.Millisecond, low + 2*riseRanks},
		"no response, open after 5 s":    {[]response{{"a", low, 4}}, 5 * time.Second, open},
		"a level out of range is capped": {[]response{{"a", open + 9, 1}}, 0, open},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			table := NewTable(Options{Clock: clock})
			for _, r := range c.responses {
				for range r.times {
					clock.Advance(time.Millisecond)
					table.ObserveFrom(r.server, parseTarget(t, "lanefinder/search"), r.level)
				}
			}
			clock.Advance(c.wait)
			path := []frame.Target{parseTarget(t, "ladder/read"), parseTarget(t, "lanefinder/search")}
			require.Equal(t, c.want, table.PathLevel(path))
		})
	}
}

// Guards against missing probes, probes above their fraction, and counting calls
// that the level admits as probes.
func TestProbes(t *testing.T) {
	table := NewTable(Options{Clock: clockwork.NewFakeClock()})
	path := []frame.Target{parseTarget(t, "bookings/book"), parseTarget(t, "ladder/read")}
	table.Observe(path[0], frame.NewLevel(2, 0))
	table.Observe(path[1], low)
	for i := range 6400 {
		require.True(t, table.Admit(low, path), "call %d at the level", i)
		table.Admit(low+1, path)
		require.False(t, table.Admit(frame.NewLevel(2, 0), path), "probe below the class that is admitted next")
	}
	require.Equal(t, uint64(100), table.View().Probes)
	require.Equal(t, uint64(12700), table.View().Shed)
	strictest, l := table.Strictest(path)
	require.Equal(t, path[1], strictest)
	require.Equal(t, low, l)
}

// Guards against a table that grows with the number of operations ever seen.
func TestBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(Options{Clock: clock})
	for i := range maxEntries + 100 {
		table.Observe(parseTarget(t, fmt.Sprintf("s/op-%d", i)), low)
	}
	require.Len(t, table.View().Entries, maxEntries)
	clock.Advance(entryTTL)
	table.Observe(parseTarget(t, "ladder/read"), open)
	require.Len(t, table.View().Entries, 1)
}

// Measures the cost for an ingress node with a declared path of 14 operations.
func BenchmarkAdmit(b *testing.B) {
	table := NewTable(Options{})
	var path []frame.Target
	for i := range 14 {
		path = append(path, parseTarget(b, fmt.Sprintf("s-%d/read", i)))
		table.Observe(path[i], open)
	}
	for b.Loop() {
		table.Observe(path[0], open)
		table.Admit(low, path)
	}
}
