package peer

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
	"dogwoodhead/member"
	"dogwoodhead/relay"
)

// Seconds between the messages of an idle node, from packages member and relay.
const (
	heartbeatSeconds = 8.0
	perPeerSeconds   = 0.4
	pullSeconds      = 1.5
)

// BenchmarkControlBytes measures the counted bytes of control messages, and the
// bytes per second that an idle node sends and receives if it has as many peers as
// callers and no calls replace heartbeats.
func BenchmarkControlBytes(b *testing.B) {
	self := newState("vm-0123")
	self.Revs, self.Load = relay.Revs{Base: 1234, Overlay: 567, VMs: 89012}, frame.NewLoad(37, 110)
	reply := func(context.Context, member.State) (member.State, error) { return self, nil }
	set := metrics.NewSet()
	server := NewControlServer(ControlServerOptions{Metrics: set, Handlers: Handlers{
		Hello: reply, Heartbeat: reply,
		Leave: func(context.Context, member.State) error { return nil },
		Push:  func(context.Context, relay.PushRequest) (relay.PushReply, error) { return relay.PushReply{}, nil },
		Pull:  func(context.Context, relay.PullRequest) (relay.PullReply, error) { return relay.PullReply{}, nil },
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	defer func() {
		cancel()
		require.NoError(b, <-done)
	}()
	client := NewControlClient(ControlClientOptions{Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet()})
	defer client.Close()
	addr := listener.Addr().String()
	bytesPerCall := func(f func() error) float64 {
		const calls = 100
		require.NoError(b, f())
		before := client.traffic.in.Get() + client.traffic.out.Get()
		for range calls {
			require.NoError(b, f())
		}
		return float64(client.traffic.in.Get()+client.traffic.out.Get()-before) / calls
	}
	heartbeatBytes := bytesPerCall(func() error { _, err := client.Heartbeat(ctx, addr, self); return err })
	request := relay.PullRequest{From: "vm-0123", ControlAddr: "10.12.34.56:7002", Site: "ogun-west", Have: self.Revs}
	pullBytes := bytesPerCall(func() error { _, err := client.Pull(ctx, addr, request); return err })
	for _, peers := range []int{5, 19, 40} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := client.Heartbeat(ctx, addr, self)
				require.NoError(b, err)
			}
			b.ReportMetric(heartbeatBytes, "B/beat")
			b.ReportMetric(pullBytes, "B/probe")
			b.ReportMetric(2*float64(peers)*heartbeatBytes/max(heartbeatSeconds, perPeerSeconds*float64(peers))+2*pullBytes/pullSeconds, "B/s-in-and-out")
		})
	}
}
