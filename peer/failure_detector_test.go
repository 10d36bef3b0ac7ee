package peer

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
)

// Guards against calls waiting for a paused peer until their deadline, against a
// slow peer counting as paused, and against cancelling attempts that must not be
// retried.
func TestFailureDetector(t *testing.T) {
	tests := []struct {
		name      string
		responds  bool
		retryable bool
		cancelled bool
	}{
		{"paused peer", false, true, true},
		{"paused peer, attempt must not run twice", false, false, false},
		{"slow backend server, node responds", true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := board.New(board.Self{})
			vm := board.NewVM(board.VMFields{Name: "a"})
			probes, suspected := 0, 0
			d := NewFailureDetector(clock, b, func(board.VM) {
				probes++
				if tt.responds {
					b.Peers().Put("a", board.Peer{LastResponse: clock.Now()})
				}
			}, func(string) { suspected++ })
			ctx, stop := d.track(context.Background(), vm, func() bool { return tt.retryable })
			for range 20 {
				clock.Advance(DetectionInterval)
				d.Tick()
			}
			require.Positive(t, probes)
			require.Equal(t, tt.cancelled, ctx.Err() != nil)
			require.Equal(t, !tt.responds, suspected > 0)
			require.LessOrEqual(t, probes, 1+int(20*DetectionInterval/probeInterval))
			stop()
			require.Empty(t, d.pending)
			require.Empty(t, d.lastProbe)
			clock.Advance(time.Second)
			d.Tick()
		})
	}
}
