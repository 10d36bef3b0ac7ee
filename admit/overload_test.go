package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

func collective() Options {
	return Options{Limits: Limits{Slots: 50, Queue: 64, Connections: 400, Share: 0.5, Enabled: true}}
}

func TestTrace(t *testing.T) {
	for _, load := range []float64{0.9, 1.2, 2, 5, 10} {
		m := newModel(t, collective(), 50, 20*time.Millisecond)
		m.load = func(at time.Duration) float64 {
			if at > 2*time.Second && at < 8*time.Second {
				return load
			}
			return 0.6
		}
		m.run(12 * time.Second)
		fmt.Println(load, "goodput", m.goodput(3*time.Second, 8*time.Second)/m.capacity())
		for c := range 3 {
			fmt.Printf(" class %d served %.4f\n", c, m.served(c, 2*time.Second, 8*time.Second))
		}
		fmt.Println(m.levels[15:90])
		fmt.Println(m.queued[15:90])
		fmt.Println(m.gate.View().Refusals)
	}
	for _, n := range []int{10, 50} {
		m := newModel(t, Options{Limits: Limits{Slots: n, Queue: 64, Connections: 400, Share: 0.5, Enabled: true}}, n, 20*time.Millisecond)
		m.load = func(at time.Duration) float64 { return 0.8 }
		m.factor = func(at time.Duration) float64 {
			if at > 2*time.Second && at < 12*time.Second {
				return 10
			}
			return 1
		}
		m.run(17 * time.Second)
		fmt.Println("slow", n, "goodput during", 10*m.goodput(2*time.Second, 12*time.Second)/m.capacity())
		for at := 11 * time.Second; at < 15*time.Second; at += 200 * time.Millisecond {
			fmt.Printf(" %s:%.2f", at, m.goodput(at, at+200*time.Millisecond)/m.capacity())
		}
		fmt.Println()
		for c := range 3 {
			fmt.Printf(" class %d served %.4f\n", c, m.served(c, 2*time.Second, 12*time.Second))
		}
		fmt.Println(m.levels[15:160])
		fmt.Println(m.queued[15:160])
		fmt.Println(m.limits[15:160])
		fmt.Println(m.gate.View().Refusals)
	}
	require.NotNil(t, frame.ReasonBad)
}
