package mesh

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against limits that together allow more descriptors or memory than the process
// has: a request that is passed on needs a connection on both sides.
func TestHoldLimits(t *testing.T) {
	for _, c := range []struct {
		descriptors int
		memory      int64
	}{
		{400, 32 << 20}, {600, 64 << 20}, {4100, 184 << 20}, {4100, 284 << 20}, {8192, 536 << 20}, {1 << 20, 16 << 30},
	} {
		t.Run(fmt.Sprint(c.descriptors, " ", c.memory), func(t *testing.T) {
			l := newHoldLimits(c.descriptors, c.memory)
			open := 2*(l.outbound.Conns+l.call.Conns) + l.ready.Conns + l.operator.Conns + l.idlePeerConns + l.idleBackendConns
			require.LessOrEqual(t, open, c.descriptors-fileDescriptors)
			held := int64(l.outbound.Conns+l.call.Conns)*memoryPerConn + l.outbound.HeadMemory + l.call.HeadMemory +
				l.ready.HeadMemory + l.operator.HeadMemory
			require.LessOrEqual(t, held, c.memory/2)
		})
	}
}
