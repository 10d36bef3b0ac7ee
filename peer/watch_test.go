package peer

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
)

// Guards against a paused peer that holds calls until their deadline, against a
// slow peer that is taken for a paused one, and against ending attempts that no
// other may replace.
func TestWatch(t *testing.T) {
	tests := []struct {
		name      string
		answers   bool
		retryable bool
		ended     bool
	}{
		{"paused peer", false, true, true},
		{"paused peer, attempt must not run twice", false, false, false},
		{"slow backend server, node answers", true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := board.New(board.Self{})
			vm := board.NewVM(board.VMFields{Name: "a"})
			probes, suspected := 0, 0
			w := NewWatch(clock, b, func(board.VM) {
				probes++
				if tt.answers {
					b.Peers().Put("a", board.Peer{LastResponse: clock.Now()})
				}
			}, func(string) { suspected++ })
			ctx, end := w.start(context.Background(), vm, func() bool { return tt.retryable })
			for range 20 {
				clock.Advance(WatchInterval)
				w.Tick()
			}
			require.Positive(t, probes)
			require.Equal(t, tt.ended, ctx.Err() != nil)
			require.Equal(t, !tt.answers, suspected > 0)
			require.LessOrEqual(t, probes, 1+int(20*WatchInterval/probeEvery))
			end()
			require.Empty(t, w.waiting)
			require.Empty(t, w.probed)
			clock.Advance(time.Second)
			w.Tick()
		})
	}
}
