package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/relay"
)

// Guards against a process that leaves for good because a stale platform showed
// it a list from before its VM was replaced, and against one that does not leave
// when the list in force says so.
func TestListSaysLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		// marks are the leaving marks of the lists, in the order of revisions.
		marks     []bool
		at, after bool
	}{
		{"running", time.Minute, []bool{true}, true, true},
		{"just started", 0, []bool{true}, false, true},
		{"just started, a newer list follows", 0, []bool{true, false}, false, false},
		{"running, not marked", time.Minute, []bool{false}, false, false},
	} {
		clock := clockwork.NewFakeClock()
		vm := board.NewVM(board.VMFields{Name: "a1", Zone: "z", Region: "r", Service: "a", Call: "127.0.0.1:1", Control: "127.0.0.1:2"})
		b := board.New(board.NewSelf(vm, "r", frame.Incarnation{}))
		m := New(Options{Board: b, Clock: clock, Metrics: metrics.NewSet(), Services: func() []string { return nil }, Ready: func() bool { return false }})
		clock.Advance(c.age)
		for i, leaving := range c.marks {
			list := fmt.Sprintf(`{"vms": [{"name": "a1", "zone": "z", "region": "r", "service": "a", "call": "127.0.0.1:1", "control": "127.0.0.1:2", "leaving": %t}]}`, leaving)
			require.NoError(t, m.Apply(relay.NewDocument(relay.KeyVMs, uint64(i+1), []byte(list))), c.name)
		}
		require.Equal(t, c.at, b.Leaving(), c.name)
		clock.Advance(firstList)
		m.Tick()
		require.Equal(t, c.after, b.Leaving(), c.name)
	}
}
