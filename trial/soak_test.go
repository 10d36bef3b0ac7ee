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
	a := &Server{VM: board.VMFields{Name: "a"}, CallerAddr: "a:1"}
	b := &Server{VM: board.VMFields{Name: "b"}, CallerAddr: "b:1"}
	plan := &Plan{Site: "s", Document: testDocument}
	return &soak{
		fleet: &Fleet{plan: plan, servers: []*Server{a, b}}, out: io.Discard, start: time.Now(),
		violations: make(map[string][]string), live: make(map[string]*nodeObservation),
	}
}

// Guards against failures that cannot be reproduced from their seed, and against
// omitting a kind of fault.
func TestScheduleIsReproducible(t *testing.T) {
	s := newTestSoak()
	first := newSchedule(7, time.Minute, s.fleet)
	require.Equal(t, first, newSchedule(7, time.Minute, s.fleet))
	require.NotEqual(t, first, newSchedule(8, time.Minute, s.fleet))
	seen := make(map[string]int)
	for _, f := range first {
		seen[f.kind]++
	}
	for _, k := range faultKinds {
		require.Equal(t, faultRounds, seen[k.name], k.name)
	}
}

// Guards against attributing a call that a planned stop cut to a kill.
func TestCheckCuts(t *testing.T) {
	s := newTestSoak()
	at := func(ms int64) time.Time { return s.start.Add(time.Duration(ms) * time.Millisecond) }
	s.kills = []termination{{s.fleet.servers[0], at(1000), at(1010)}}
	lost := func(token, ingress string, behindIngress bool, sent, done int64) standin.LostAttempt {
		return standin.LostAttempt{Token: token, IngressAddr: ingress, BehindIngress: behindIngress, SentMicros: sent * 1000, DoneMicros: done * 1000}
	}
	s.checkCuts(&standin.Result{Start: s.start, LostAttempts: []standin.LostAttempt{
		lost("later retry", "b:1", true, 2000, 2010),
		lost("later retry", "b:1", true, 990, 1005),
		lost("ingress was killed", "a:1", false, 900, 1005),
		lost("written to a dead connection", "a:1", false, 1100, 1101),
		lost("other ingress", "b:1", false, 901, 1005),
		lost("before the kill", "a:1", false, 900, 950),
		lost("after the kill", "b:1", true, 1500, 1510),
	}})
	require.Len(t, s.violations[checkCut], 3)
	for i, token := range []string{"before the kill", "other ingress", "after the kill"} {
		require.Contains(t, s.violations[checkCut][i], token)
	}
}

// Guards against missing a late node, and against reporting one although it, the
// platform or the pair has been available for less than 5 s.
func TestCheckActivePairs(t *testing.T) {
	long, short := time.Now().Add(-2*maxActivationTime), time.Now().Add(-maxActivationTime/2)
	want := revisionPair{3, 1}
	for _, c := range []struct {
		name                     string
		up, reachable, published time.Time
		have                     revisionPair
		late                     bool
	}{
		{"late", long, long, long, revisionPair{2, 1}, true},
		{"active", long, long, long, want, false},
		{"platform just recovered", short, long, long, revisionPair{2, 1}, false},
		{"platform down", time.Time{}, long, long, revisionPair{2, 1}, false},
		{"node just recovered", long, short, long, revisionPair{2, 1}, false},
		{"node down", long, time.Time{}, long, revisionPair{2, 1}, false},
		{"just published", long, long, short, revisionPair{2, 1}, false},
	} {
		s := newTestSoak()
		s.docs.upSince = c.up
		s.live["a"] = &nodeObservation{reachableSince: c.reachable, pair: c.have}
		s.checkActivePairs(want, c.published)
		require.Equal(t, c.late, len(s.violations[checkActive]) > 0, c.name)
	}
}
