package trial

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/standin"
)

func newTestSoak() *soak {
	a := &Server{VM: board.VMFields{Name: "a"}, Caller: "a:1"}
	b := &Server{VM: board.VMFields{Name: "b"}, Caller: "b:1"}
	plan := &Plan{Site: "s", Document: testDocument}
	return &soak{
		fleet: &Fleet{plan: plan, servers: []*Server{a, b}}, out: io.Discard, start: time.Now(),
		found: make(map[string][]string), live: make(map[string]*watched),
	}
}

// Guards against a failure that cannot be repeated from its seed, and against a
// kind of fault that is left out.
func TestScheduleRepeats(t *testing.T) {
	s := newTestSoak()
	first := newSchedule(7, time.Minute, s.fleet)
	require.Equal(t, first, newSchedule(7, time.Minute, s.fleet))
	require.NotEqual(t, first, newSchedule(8, time.Minute, s.fleet))
	seen := make(map[string]int)
	for _, f := range first {
		seen[f.kind]++
	}
	for _, k := range faultKinds {
		require.Equal(t, soakRounds, seen[k.name], k.name)
	}
}

// Guards against a call that a planned stop cut being put down to a kill.
func TestCheckCuts(t *testing.T) {
	s := newTestSoak()
	at := func(ms int64) time.Time { return s.start.Add(time.Duration(ms) * time.Millisecond) }
	s.kills = []ending{{s.fleet.servers[0], at(1000), at(1010)}}
	lost := func(token, entry string, inside bool, sent, done int64) standin.LostAttempt {
		return standin.LostAttempt{Token: token, Ingress: entry, BehindIngress: inside, SentMicros: sent * 1000, DoneMicros: done * 1000}
	}
	s.checkCuts(&standin.Result{Start: s.start, LostAttempts: []standin.LostAttempt{
		lost("later repeat", "b:1", true, 2000, 2010),
		lost("later repeat", "b:1", true, 990, 1005),
		lost("entry was killed", "a:1", false, 900, 1005),
		lost("written to a dead connection", "a:1", false, 1100, 1101),
		lost("other entry", "b:1", false, 901, 1005),
		lost("before the kill", "a:1", false, 900, 950),
		lost("after the kill", "b:1", true, 1500, 1510),
	}})
	require.Len(t, s.found[checkCut], 3)
	for i, token := range []string{"before the kill", "other entry", "after the kill"} {
		require.Contains(t, s.found[checkCut][i], token)
	}
}

// Guards against a late node that is not noticed, and against one that is
// blamed though it, the platform or the pair is there for less than 5 s.
func TestCheckInForce(t *testing.T) {
	long, short := time.Now().Add(-2*inForceLimit), time.Now().Add(-inForceLimit/2)
	want := pair{3, 1}
	for _, c := range []struct {
		name                     string
		up, reachable, published time.Time
		have                     pair
		late                     bool
	}{
		{"late", long, long, long, pair{2, 1}, true},
		{"in force", long, long, long, want, false},
		{"platform just back", short, long, long, pair{2, 1}, false},
		{"platform away", time.Time{}, long, long, pair{2, 1}, false},
		{"node just back", long, short, long, pair{2, 1}, false},
		{"node away", long, time.Time{}, long, pair{2, 1}, false},
		{"just published", long, long, short, pair{2, 1}, false},
	} {
		s := newTestSoak()
		s.docs.up = c.up
		s.live["a"] = &watched{reachable: c.reachable, pair: c.have}
		s.checkInForce(want, c.published)
		require.Equal(t, c.late, len(s.found[checkInForce]) > 0, c.name)
	}
}
