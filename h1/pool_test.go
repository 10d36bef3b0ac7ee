package h1

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against idle connections to many servers taking all descriptors, and against
// closing others than those that have been idle for the longest time.
func TestMaxIdle(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &pool{clock: clock, maxIdlePerServer: 2, maxIdle: 5, idle: make(map[string][]*persistConn)}
	count := func() (idle int) {
		for _, list := range p.idle {
			idle += len(list)
		}
		return idle
	}
	for i := range 30 {
		here, there := net.Pipe()
		defer there.Close()
		p.put(newPersistConn(here, fmt.Sprint("server-", i/2)), time.Minute)
		clock.Advance(time.Second)
		require.Equal(t, min(i+1, 5), count())
		require.Equal(t, count(), p.idleCount)
	}
	for i := range 30 {
		c := p.popOpen(fmt.Sprint("server-", i/2), "")
		require.Equal(t, i >= 25, c != nil, i)
	}
	require.Zero(t, p.idleCount)
}
