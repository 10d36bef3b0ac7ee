package member

import (
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/relay"
)

// Guards against new work for a VM that the list marks as leaving, and against
// a stale list that takes a replaced VM out of use permanently.
func TestListedLeaving(t *testing.T) {
	vm := board.NewVM(board.VMFields{Name: "a1", Zone: "z", Region: "r", Service: "a", CallAddr: "127.0.0.1:1", ControlAddr: "127.0.0.1:2"})
	b := board.New(board.NewSelf(vm, "r", frame.Incarnation{}))
	m := New(Options{
		Board: b, Clock: clockwork.NewFakeClock(), Metrics: metrics.NewSet(),
		Services: func() []string { return nil }, Ready: func() bool { return false },
	})
	for i, leaving := range []bool{false, true, true, false, true} {
		list := fmt.Sprintf(`{"vms": [{"name": "a1", "zone": "z", "region": "r", "service": "a", "call": "127.0.0.1:1", "control": "127.0.0.1:2", "leaving": %t}]}`, leaving)
		require.NoError(t, m.ApplyList(relay.NewDocument(relay.KeyVMs, uint64(i+1), []byte(list))))
		require.Equal(t, leaving, b.ListedLeaving(), "list %d", i+1)
		require.False(t, b.Leaving(), "a list does not make the process itself leave")
	}
}
