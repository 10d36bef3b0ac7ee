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
	// block holds up pulls until it is closed.
	block chan struct{}
	mu    sync.Mutex
	got   []string
}

func (f *fixture) note(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, s)
}

func state(vm string) member.State {
	from := frame.NewIncarnation(vm, rand.New(rand.NewPCG(1, 2)))
	return member.State{From: from, Revs: relay.Revs{Base: 1, Overlay: 2, VMs: 3}, Load: frame.NewLoad(4, 5)}
}

func newFixture(t *testing.T, o ControlServerOptions) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock(), block: make(chan struct{})}
	answer := func(name string) func(context.Context, member.State) (member.State, error) {
		return func(_ context.Context, s member.State) (member.State, error) {
			f.note(name + " " + s.From.VM())
			return state("vm-b"), nil
		}
	}
	o.Handlers = Handlers{
		Hello: answer("hello"), Beat: answer("beat"),
		Leave: func(_ context.Context, s member.State) error { f.note("leave " + s.From.VM()); return nil },
		Push: func(_ context.Context, r relay.PushRequest) (relay.PushReply, error) {
			return relay.PushReply{Have: r.Doc.Rev}, errors.New("refused here")
		},
		Pull: func(ctx context.Context, r relay.PullRequest) (relay.PullReply, error) {
			select {
			case <-f.block:
			case <-ctx.Done():
			}
			return relay.PullReply{More: r.Whole}, nil
		},
	}
	o.Metrics = metrics.NewSet()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.addr = listener.Addr().String()
	f.server = NewControlServer(o)
	f.client = NewControlClient(ControlClientOptions{Clock: f.clock, Metrics: o.Metrics, Timeout: 5 * time.Second})
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

// Guards against messages that change on the wire, against bytes that are not
// counted, and against idle connections that stay open.
func TestControlRoundTrip(t *testing.T) {
	f := newFixture(t, ControlServerOptions{})
	ctx := t.Context()
	s := state("vm-a")
	s.Leaving, s.Service, s.Zone, s.Control = true, "bookings", "z-1", "127.0.0.1:9"
	got, err := f.client.Hello(ctx, f.addr, s)
	require.NoError(t, err)
	require.Equal(t, state("vm-b"), got)
	_, err = f.client.Beat(ctx, f.addr, state("vm-a"))
	require.NoError(t, err)
	require.NoError(t, f.client.Leave(ctx, f.addr, s))
	require.Equal(t, []string{"hello vm-a", "beat vm-a", "leave vm-a"}, f.got)
	_, err = f.client.Push(ctx, f.addr, relay.PushRequest{})
	require.ErrorContains(t, err, "refused here")
	largest := make([]byte, source.MaxValueBytes)
	_, _ = rand.NewChaCha8([32]byte{}).Read(largest)
	parcel := relay.Pack(relay.NewDocument(relay.KeyVMs, 1, largest), relay.Document{})
	_, err = f.client.Push(ctx, f.addr, relay.PushRequest{From: "vm-a", Doc: parcel})
	require.ErrorContains(t, err, "refused here", "the largest value that does not compress arrives")
	close(f.block)
	pulled, err := f.client.Pull(ctx, f.addr, relay.PullRequest{Whole: true})
	require.NoError(t, err)
	require.True(t, pulled.More)
	require.Equal(t, 1, f.client.Conns(), "an error of the handler keeps the connection")
	// A write is counted after it returns, when the reader may have its bytes.
	require.Eventually(t, func() bool {
		in := f.server.traffic.in.Get()
		return in == f.server.traffic.out.Get() && in > source.MaxValueBytes
	}, 5*time.Second, time.Millisecond, "both ends count into the same set")
	f.clock.Advance(controlIdle)
	f.client.Sweep()
	require.Zero(t, f.client.Conns())
}

// Guards against a server that dies of malformed input, or reserves memory for
// a message that never comes.
func TestControlMalformed(t *testing.T) {
	f := newFixture(t, ControlServerOptions{Conns: 3})
	frameOf := func(s string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...)
	}
	for _, give := range [][]byte{
		{0, 0, 0, 0},
		{0xff, 0xff, 0xff, 0xff, 'x'},
		frameOf("not json"),
		frameOf(`{"jsonrpc":"2.0","id":{},"method":"beat"}`),
		frameOf(`{"jsonrpc":"1.0","id":1,"method":"beat"}`),
		frameOf(`[]`),
	} {
		conn, err := net.Dial("tcp", f.addr)
		require.NoError(t, err)
		_, err = conn.Write(give)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "%q: the server closes the connection", give)
		require.Error(t, err)
		require.NoError(t, conn.Close())
	}
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	r := framer{}.Reader(conn)
	for give, want := range map[string]string{
		`{"jsonrpc":"2.0","id":1,"method":"nothing"}`:                              "method not found",
		`{"jsonrpc":"2.0","id":1,"method":"beat"}`:                                 "no parameters",
		`{"jsonrpc":"2.0","id":1,"method":"beat","params":{"from":"x"}}`:           "want vm:process",
		`{"jsonrpc":"2.0","id":1,"method":"push","params":{"doc":{"rev":-1}}}`:     "cannot unmarshal",
		`{"jsonrpc":"2.0","id":1,"method":"pull","params":{"have":{"base":1e99}}}`: "cannot unmarshal",
	} {
		_, err := conn.Write(frameOf(give))
		require.NoError(t, err)
		msg, _, err := r.Read(t.Context())
		require.NoError(t, err)
		answer, err := jsonrpc2.EncodeMessage(msg)
		require.NoError(t, err)
		require.Contains(t, string(answer), want)
	}
	_, err = f.client.Beat(t.Context(), f.addr, state("vm-a"))
	require.NoError(t, err)
}

// Guards against a flood of requests or connections that grows without bound,
// and against a call that hangs when its connection ends.
func TestControlBounds(t *testing.T) {
	f := newFixture(t, ControlServerOptions{Conns: 1, Workers: 1, Queue: 1})
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
	_, err := other.Beat(t.Context(), f.addr, state("vm-c"))
	require.Error(t, err, "a connection above the bound is closed at once")
	var ce *ControlError
	require.ErrorAs(t, err, &ce)
	require.Equal(t, methodBeat, ce.Method())
	f.stop()
	for range 2 {
		require.Error(t, <-errs)
	}
}

// Guards against a restarted peer that stays unreachable behind the connection
// to its earlier process.
func TestControlPeerRestart(t *testing.T) {
	f := newFixture(t, ControlServerOptions{})
	_, err := f.client.Beat(t.Context(), f.addr, state("vm-a"))
	require.NoError(t, err)
	f.server.mu.Lock()
	open := slices.Collect(maps.Keys(f.server.conns))
	f.server.mu.Unlock()
	for _, w := range open {
		require.NoError(t, w.Close())
	}
	require.Eventually(t, func() bool {
		s, err := f.client.pool.Get(t.Context(), f.addr)
		return err == nil && s.gone.Err() != nil
	}, 5*time.Second, time.Millisecond)
	_, err = f.client.Beat(t.Context(), f.addr, state("vm-a"))
	require.NoError(t, err)
}
