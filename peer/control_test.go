package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/exp/jsonrpc2"

	"dogwoodhead/frame"
	"dogwoodhead/member"
	"dogwoodhead/relay"
	"dogwoodhead/source"
)

// fixture is a control server on loopback with a client for it.
type fixture struct {
	addr   string
	client *ControlClient
	server *ControlServer
	clock  *clockwork.FakeClock
	stop   func()
	// unblockPull blocks pulls until it is closed.
	unblockPull chan struct{}
	mu          sync.Mutex
	handled     []string
}

func (f *fixture) record(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handled = append(f.handled, s)
}

func newState(vm string) member.State {
	from := frame.NewIncarnation(vm, rand.New(rand.NewPCG(1, 2)))
	return member.State{From: from, Revs: relay.Revs{Base: 1, Overlay: 2, VMs: 3}, Load: frame.NewLoad(4, 5)}
}

func newFixture(t *testing.T, opts ControlServerOptions) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock(), unblockPull: make(chan struct{})}
	reply := func(name string) func(context.Context, member.State) (member.State, error) {
		return func(_ context.Context, s member.State) (member.State, error) {
			f.record(name + " " + s.From.VM())
			return newState("vm-b"), nil
		}
	}
	opts.Handlers = Handlers{
		Hello: reply("hello"), Heartbeat: reply("beat"),
		Leave: func(_ context.Context, s member.State) error { f.record("leave " + s.From.VM()); return nil },
		Push: func(_ context.Context, r relay.PushRequest) (relay.PushReply, error) {
			return relay.PushReply{Have: r.Doc.Rev}, errors.New("refused here")
		},
		Pull: func(ctx context.Context, r relay.PullRequest) (relay.PullReply, error) {
			select {
			case <-f.unblockPull:
			case <-ctx.Done():
			}
			return relay.PullReply{More: r.Full}, nil
		},
	}
	opts.Metrics = metrics.NewSet()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.addr = listener.Addr().String()
	f.server = NewControlServer(opts)
	f.client = NewControlClient(ControlClientOptions{Clock: f.clock, Metrics: opts.Metrics, Timeout: 5 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.server.Serve(ctx, listener) }()
	var once sync.Once
	f.stop = func() {
		once.Do(func() {
			f.client.Close()
			cancel()
			require.NoError(t, <-done)
		})
	}
	t.Cleanup(func() { f.stop(); goleak.VerifyNone(t) })
	return f
}

// Guards against messages changing in transit, bytes not being counted and idle
// connections staying open.
func TestControlRoundTrip(t *testing.T) {
	f := newFixture(t, ControlServerOptions{})
	ctx := t.Context()
	s := newState("vm-a")
	s.Leaving, s.Service, s.Zone, s.ControlAddr = true, "bookings", "z-1", "127.0.0.1:9"
	got, err := f.client.Hello(ctx, f.addr, s)
	require.NoError(t, err)
	require.Equal(t, newState("vm-b"), got)
	_, err = f.client.Heartbeat(ctx, f.addr, newState("vm-a"))
	require.NoError(t, err)
	require.NoError(t, f.client.Leave(ctx, f.addr, s))
	require.Equal(t, []string{"hello vm-a", "beat vm-a", "leave vm-a"}, f.handled)
	_, err = f.client.Push(ctx, f.addr, relay.PushRequest{})
	require.ErrorContains(t, err, "refused here")
	largest := make([]byte, source.MaxValueBytes)
	_, _ = rand.NewChaCha8([32]byte{}).Read(largest)
	encoded := relay.Encode(relay.NewDocument(relay.KeyVMs, 1, largest), relay.Document{})
	_, err = f.client.Push(ctx, f.addr, relay.PushRequest{From: "vm-a", Doc: encoded})
	require.ErrorContains(t, err, "refused here", "an incompressible value of the largest size arrives")
	close(f.unblockPull)
	pulled, err := f.client.Pull(ctx, f.addr, relay.PullRequest{Full: true})
	require.NoError(t, err)
	require.True(t, pulled.More)
	require.Equal(t, 1, f.client.ConnCount(), "a handler error does not close the connection")
	// A write is counted after it returns, by which time the peer may have read it.
	require.Eventually(t, func() bool {
		in := f.server.traffic.in.Get()
		return in == f.server.traffic.out.Get() && in > source.MaxValueBytes
	}, 5*time.Second, time.Millisecond, "client and server count into the same set")
	f.clock.Advance(controlIdleTimeout)
	f.client.Sweep()
	require.Zero(t, f.client.ConnCount())
}

// Guards against the server crashing on malformed input, or allocating memory for
// a message that never arrives.
func TestControlMalformed(t *testing.T) {
	f := newFixture(t, ControlServerOptions{MaxConns: 3})
	frameOf := func(s string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...)
	}
	for _, input := range [][]byte{
		{0, 0, 0, 0},
		{0xff, 0xff, 0xff, 0xff, 'x'},
		frameOf("not json"),
		frameOf(`{"jsonrpc":"2.0","id":{},"method":"beat"}`),
		frameOf(`{"jsonrpc":"1.0","id":1,"method":"beat"}`),
		frameOf(`[]`),
	} {
		conn, err := net.Dial("tcp", f.addr)
		require.NoError(t, err)
		_, err = conn.Write(input)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "%q: the server closes the connection", input)
		require.Error(t, err)
		require.NoError(t, conn.Close())
	}
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	r := framer{}.Reader(conn)
	for input, want := range map[string]string{
		`{"jsonrpc":"2.0","id":1,"method":"nothing"}`:                              "method not found",
		`{"jsonrpc":"2.0","id":1,"method":"beat"}`:                                 "no parameters",
		`{"jsonrpc":"2.0","id":1,"method":"beat","params":{"from":"x"}}`:           "want vm:process",
		`{"jsonrpc":"2.0","id":1,"method":"push","params":{"doc":{"rev":-1}}}`:     "cannot unmarshal",
		`{"jsonrpc":"2.0","id":1,"method":"pull","params":{"have":{"base":1e99}}}`: "cannot unmarshal",
	} {
		_, err := conn.Write(frameOf(input))
		require.NoError(t, err)
		msg, _, err := r.Read(t.Context())
		require.NoError(t, err)
		response, err := jsonrpc2.EncodeMessage(msg)
		require.NoError(t, err)
		require.Contains(t, string(response), want)
	}
	_, err = f.client.Heartbeat(t.Context(), f.addr, newState("vm-a"))
	require.NoError(t, err)
}

// Guards against unbounded numbers of requests or connections, and against a call
// hanging when its connection ends.
func TestControlLimits(t *testing.T) {
	f := newFixture(t, ControlServerOptions{MaxConns: 1, Workers: 1, MaxQueued: 1})
	errs := make(chan error, 8)
	for range 8 {
		go func() {
			_, err := f.client.Pull(t.Context(), f.addr, relay.PullRequest{})
			errs <- err
		}()
	}
	for range 6 {
		require.ErrorContains(t, <-errs, "overloaded")
	}
	other := NewControlClient(ControlClientOptions{Clock: f.clock, Metrics: metrics.NewSet()})
	defer other.Close()
	_, err := other.Heartbeat(t.Context(), f.addr, newState("vm-c"))
	require.Error(t, err, "a connection above the limit is closed")
	var controlErr *ControlError
	require.ErrorAs(t, err, &controlErr)
	require.Equal(t, methodHeartbeat, controlErr.Method())
	f.stop()
	for range 2 {
		require.Error(t, <-errs)
	}
}

// Guards against a restarted peer staying unreachable because the connection to
// its previous process is reused.
func TestControlPeerRestart(t *testing.T) {
	f := newFixture(t, ControlServerOptions{})
	_, err := f.client.Heartbeat(t.Context(), f.addr, newState("vm-a"))
	require.NoError(t, err)
	f.server.mu.Lock()
	open := slices.Collect(maps.Keys(f.server.conns))
	f.server.mu.Unlock()
	for _, conn := range open {
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool {
		s, err := f.client.pool.Get(t.Context(), f.addr)
		return err == nil && s.closed.Err() != nil
	}, 5*time.Second, time.Millisecond)
	_, err = f.client.Heartbeat(t.Context(), f.addr, newState("vm-a"))
	require.NoError(t, err)
}
