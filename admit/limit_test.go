package admit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scenario is one disturbance of the comparison of limit algorithms; the
// offered load is twice what the configured slots carry.
type scenario struct {
	name        string
	slots, real int
	mean        time.Duration
	factor      func(time.Duration) float64
	cold        bool
}

func scenarios(slots int, mean time.Duration) []scenario {
	one := func(time.Duration) float64 { return 1 }
	slow := func(t time.Duration) float64 {
		if t >= 5*time.Second && t < 15*time.Second {
			return 10
		}
		return 1
	}
	warm := func(t time.Duration) float64 { return max(1, 5-2*t.Seconds()) }
	return []scenario{
		{"steady", slots, slots, mean, one, false},
		{"slow 10x", slots, slots, mean, slow, false},
		{"half slots", slots, slots / 2, mean, one, false},
		{"cold", slots, slots, mean, warm, true},
	}
}

// figures are the results of one run, as parts of what the slots carry.
type figures struct {
	goodput, worst, first float64
	inner                 time.Duration
	limit                 int
}

func compare(t testing.TB, a Algorithm, s scenario) figures {
	const end = 25 * time.Second
	m := newModel(t, Options{
		Algorithm: a,
		Limits:    Limits{Slots: s.slots, Queue: 64, Connections: 8 * s.slots, Share: 0.5, Enabled: true},
	}, s.real, s.mean)
	m.factor = s.factor
	m.load = func(time.Duration) float64 { return 2 * float64(s.slots) / float64(s.real) }
	if s.cold {
		m.gate.Cold()
	}
	m.run(end)
	var f figures
	f.worst = 10
	sum := 0.0
	for at := time.Second; at < end; at += time.Second {
		carried := 0.0
		for k := range 10 {
			carried += 0.1 / s.factor(at+time.Duration(k)*100*time.Millisecond)
		}
		part := m.goodput(at, at+time.Second) / (m.capacity() * carried)
		sum += part
		f.worst = min(f.worst, part)
	}
	f.goodput = sum / 24
	f.first = m.served(0, 0, end-3*time.Second)
	var inner []time.Duration
	for _, c := range m.calls {
		if c.ticket != nil && c.ended > 20*time.Second {
			inner = append(inner, c.inner)
		}
	}
	slices.Sort(inner)
	if len(inner) > 0 {
		f.inner = inner[len(inner)/2]
	}
	f.limit = m.gate.limit.Value()
	return f
}

// Guards against a default algorithm that loses throughput in a slow-down or
// does not find missing slots. The table is the source of docs/decisions/0001-limit.md.
func BenchmarkLimits(b *testing.B) {
	var table strings.Builder
	table.WriteString("| slots | scenario | algorithm | goodput | worst second | class 0 | inner wait (median, last 5 s) | limit at end |\n")
	sizes := []struct {
		slots int
		mean  time.Duration
	}{{10, 20 * time.Millisecond}, {50, 20 * time.Millisecond}, {110, 40 * time.Millisecond}}
	for _, size := range sizes {
		for _, s := range scenarios(size.slots, size.mean) {
			for _, a := range []Algorithm{AlgorithmFixed, AlgorithmAIMD, AlgorithmGradient, AlgorithmProbe} {
				f := compare(b, a, s)
				fmt.Fprintf(&table, "| %d | %s | %s | %.1f%% | %.1f%% | %.1f%% | %s | %d |\n", size.slots, s.name, a,
					100*f.goodput, 100*f.worst, 100*f.first, f.inner.Round(100*time.Microsecond), f.limit)
			}
		}
	}
	b.Log("\n" + table.String())
}

// Guards against a default algorithm that keeps calls queued inside a backend
// server with half of its slots, or that takes slots from a healthy one.
func TestMissingSlots(t *testing.T) {
	for _, s := range scenarios(50, 20*time.Millisecond) {
		if s.name == "steady" || s.name == "half slots" {
			f := compare(t, AlgorithmProbe, s)
			t.Logf("%s: %+v", s.name, f)
			require.Less(t, f.inner, s.mean/2, "median wait inside the backend server")
			require.GreaterOrEqual(t, float64(f.limit), 0.75*float64(s.real))
			require.GreaterOrEqual(t, f.goodput, 0.95)
		}
	}
}

// Guards against a trial of a lower limit that goes on while calls of class 0 queue.
func TestPressEndsTrial(t *testing.T) {
	l := newLimit(AlgorithmProbe, 20, 20)
	now := time.Unix(0, 0)
	l.left(sample{now: now, own: 20 * time.Millisecond})
	for range probeBound {
		l.ticked(now, use{full: true})
	}
	for l.Value() == 20 {
		now = now.Add(probePhase)
		l.left(sample{now: now, own: 20 * time.Millisecond})
	}
	require.Equal(t, 16, l.Value(), "low arm of the trial")
	require.True(t, l.press(now))
	require.Equal(t, 20, l.Value())
	l.ticked(now.Add(time.Second), use{full: true, pressed: true})
	require.False(t, l.press(now), "no trial while class 0 is queued")
}
