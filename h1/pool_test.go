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
		defer func() { _ = there.Close() }()
		p.put(newPersistConn(here, fmt.Sprint("server-", i/2)), time.Minute)
		clock.Advance(time.Second)
		require.Equal(t, min(i+1, 5), count())
		require.Equal(t, count(), p.idleCount)
	}
	kept := map[string]int{"server-12": 1, "server-13": 2, "server-14": 2}
	for i := range 15 {
		addr := fmt.Sprint("server-", i)
		for range kept[addr] {
			require.NotNil(t, p.popOpen(addr, ""), addr)
		}
		require.Nil(t, p.popOpen(addr, ""), addr)
	}
	require.Zero(t, p.idleCount)
}
