package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"dogwoodhead/frame"
)

// Guards against a rate limit that serves calls of low priority first, that ignores
// calls in the queue, or that reports free capacity to senders.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Options{Clock: clockwork.NewRealClock(), Algorithm: AlgorithmFixed, Limits: Limits{Slots: 10, Queue: 100, Enabled: true}})
		g.SetRateLimit(rate.Limit(2))
		started := time.Now()
		type admission struct {
			class int
			after time.Duration
		}
		admissions := make(chan admission, 9)
		enter := func(class int) {
			call := Call{Priority: frame.NewLevel(class, 0), TimeLeft: time.Minute, MaxQueueWait: time.Minute}
			ticket, err := g.Enter(context.Background(), call)
			require.NoError(t, err)
			a := admission{class, time.Since(started)}
			time.Sleep(100 * time.Millisecond)
			ticket.Release(true)
			admissions <- a
		}
		for _, class := range []int{5, 5, 5, 3, 3, 3, 1, 1, 1} {
			go enter(class)
			synctest.Wait()
		}
		require.Equal(t, frame.NewLoad(9, 1), g.Load())
		want := []int{5, 1, 1, 1, 3, 3, 3, 5, 5}
		for i, class := range want {
			a := <-admissions
			require.Equal(t, class, a.class, "admission %d", i)
			require.InDelta(t, float64(i)/2, a.after.Seconds(), 0.01, "admission %d", i)
		}
	})
}
