package operator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

// Guards against the operations that other nodes name filling the memory with counters.
func TestTargetLabels(t *testing.T) {
	m := NewMetrics()
	for i := range 4 * maxTargetLabels {
		target, err := frame.NewTarget("shop", fmt.Sprint("operation-", i))
		require.NoError(t, err)
		m.ObserveInbound(target, "p0-new", frame.Answered, "", time.Second)
	}
	counters := 0
	m.counters.entries.Range(func(any, any) bool { counters++; return true })
	require.Equal(t, maxTargetLabels+1, counters)
}
