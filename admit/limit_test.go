package admit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scenario is one disturbance in the comparison of limit algorithms. The offered
// load is twice the capacity of the configured slots.
type scenario struct {
	name             string
	slots, realSlots int
	serviceTime      time.Duration
	slowdown         func(time.Duration) float64
	coldStart        bool
}

func scenarios(slots int, mean time.Duration) []scenario {
	noSlowdown := func(time.Duration) float64 { return 1 }
	slow := func(t time.Duration) float64 {
		if t >= 5*time.Second && t < 15*time.Second {
			return 10
		}
		return 1
	}
	warmUp := func(t time.Duration) float64 { return max(1, 5-2*t.Seconds()) }
	return []scenario{
		{"steady", slots, slots, mean, noSlowdown, false},
		{"slow 10x", slots, slots, mean, slow, false},
		{"half slots", slots, slots / 2, mean, noSlowdown, false},
		{"cold", slots, slots, mean, warmUp, true},
	}
}

// results are those of one run; goodput and worstSecond are fractions of the
// capacity, class0 is the fraction of class 0 answered in time.
type results struct {
	goodput, worstSecond, class0 float64
	backendWait                  time.Duration
	limit                        int
}

func runScenario(t testing.TB, a Algorithm, s scenario) results {
	const end = 25 * time.Second
	m := newModel(t, Options{
		Algorithm: a,
		Limits:    Limits{Slots: s.slots, Queue: 64, MaxConnections: 8 * s.slots, Share: 0.5, Enabled: true},
	}, s.realSlots, s.serviceTime)
	m.slowdown = s.slowdown
	m.load = func(time.Duration) float64 { return 2 * float64(s.slots) / float64(s.realSlots) }
	if s.coldStart {
		m.gate.BeginSlowStart()
	}
	m.run(end)
	var res results
	res.worstSecond = 10
	sum := 0.0
	for at := time.Second; at < end; at += time.Second {
		carried := 0.0
		for k := range 10 {
			carried += 0.1 / s.slowdown(at+time.Duration(k)*100*time.Millisecond)
		}
		fraction := m.goodput(at, at+time.Second) / (m.capacity() * carried)
		sum += fraction
		res.worstSecond = min(res.worstSecond, fraction)
	}
	res.goodput = sum / 24
	res.class0 = m.answeredOfClass(0, 0, end-3*time.Second)
	var backendWaits []time.Duration
	for _, c := range m.calls {
		if c.ticket != nil && c.ended > 20*time.Second {
			backendWaits = append(backendWaits, c.backendWait)
		}
	}
	slices.Sort(backendWaits)
	if len(backendWaits) > 0 {
		res.backendWait = backendWaits[len(backendWaits)/2]
	}
	res.limit = m.gate.limit.Value()
	return res
}

// Compares the algorithms: a good default keeps its throughput during a slowdown
// and detects missing slots. The table is the source of docs/decisions/0001-limit.md.
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
				res := runScenario(b, a, s)
				fmt.Fprintf(&table, "| %d | %s | %s | %.1f%% | %.1f%% | %.1f%% | %s | %d |\n", size.slots, s.name, a,
					100*res.goodput, 100*res.worstSecond, 100*res.class0, res.backendWait.Round(100*time.Microsecond), res.limit)
			}
		}
	}
	b.Log("\n" + table.String())
}

// Guards against a default algorithm that leaves calls queued inside a backend
// server with half of its slots, or that lowers the limit of a healthy one.
func TestMissingSlots(t *testing.T) {
	for _, s := range scenarios(50, 20*time.Millisecond) {
		if s.name == "steady" || s.name == "half slots" {
			res := runScenario(t, AlgorithmProbe, s)
			t.Logf("%s: %+v", s.name, res)
			require.Less(t, res.backendWait, s.serviceTime/2, "median wait inside the backend server")
			require.GreaterOrEqual(t, float64(res.limit), 0.75*float64(s.realSlots))
			require.GreaterOrEqual(t, res.goodput, 0.95)
		}
	}
}

// Guards against a downward trial that continues while calls of class 0 queue.
func TestClass0BacklogEndsTrial(t *testing.T) {
	l := newLimit(AlgorithmProbe, 20, 20)
	now := time.Unix(0, 0)
	l.observe(sample{releasedAt: now, selfTime: 20 * time.Millisecond})
	for range probeSaturatedTicks {
		l.tick(now, limitUsage{saturated: true})
	}
	for l.Value() == 20 {
		now = now.Add(probeMinPhase)
		l.observe(sample{releasedAt: now, selfTime: 20 * time.Millisecond})
	}
	require.Equal(t, 16, l.Value(), "low arm of the trial")
	require.True(t, l.onClass0Backlog(now))
	require.Equal(t, 20, l.Value())
	l.tick(now.Add(time.Second), limitUsage{saturated: true, class0Backlogged: true})
	require.False(t, l.onClass0Backlog(now), "no trial while class 0 is queued")
}
