package peer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startListener serves a handler and returns the address.
func startListener(t *testing.T, limits HoldLimits, h http.HandlerFunc) (*Listener, string) {
	t.Helper()
	l := NewListener("test", "127.0.0.1:0", h)
	l.SetHoldLimits(limits, func(ClosedConn) {})
	require.NoError(t, l.Listen(make(chan error, 1)))
	t.Cleanup(l.Close)
	return l, l.ln.Addr().String()
}

func dialListener(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c, bufio.NewReader(c)
}

func requireStatus(t *testing.T, in *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
}

// Guards against a head that arrives in pieces, or together with a body, being measured
// wrongly.
func TestHeadMeter(t *testing.T) {
	for _, c := range []struct {
		pieces   string
		length   int
		lines    int
		complete bool
		rest     string
	}{
		{"GET / HTTP/1.1\r\nA: b\r\n\r\n", 24, 3, true, ""},
		{"GET / HTTP/1.1\r|\nA: b\r\n|\r|\nbody\n\n", 24, 3, true, "body\n\n"},
		{"GET / HTTP/1.1\nA: b\n\nnext", 21, 3, true, "next"},
		{"\r\n\r\n|\r\n", 6, 3, false, ""},
		{"\r\nGET / HTTP/1.1\r\nA", 19, 2, false, ""},
		{"a\n\n|more\n", 8, 3, true, ""},
	} {
		var m headMeter
		var rest []byte
		for _, piece := range strings.Split(c.pieces, "|") {
			rest = m.add([]byte(piece))
		}
		require.Equal(t, c.length, m.length, "%q", c.pieces)
		require.Equal(t, c.lines, m.lines, "%q", c.pieces)
		require.Equal(t, c.complete, m.complete, "%q", c.pieces)
		require.Equal(t, c.rest, string(rest), "%q", c.pieces)
	}
}

// Guards against a request within the limits being refused in calm because its head takes
// more memory than all heads may, and against what it took staying charged.
func TestLargeHeadServed(t *testing.T) {
	l, addr := startListener(t, HoldLimits{Conns: 4, HeadMemory: 64 << 10}, func(http.ResponseWriter, *http.Request) {})
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for i := range 2000 {
		fmt.Fprintf(&head, "a%d:\r\n", i)
	}
	head.WriteString("\r\n")
	c, in := dialListener(t, addr)
	for range 3 {
		_, err := io.WriteString(c, head.String())
		require.NoError(t, err)
		requireStatus(t, in, http.StatusOK)
	}
	require.Eventually(t, func() bool {
		l.conns.mu.Lock()
		defer l.conns.mu.Unlock()
		return l.conns.headMemory == 0
	}, 20*time.Second, time.Millisecond)
}

// Guards against requests that arrive together on one connection being lost or refused.
func TestPipelinedRequests(t *testing.T) {
	_, addr := startListener(t, DefaultHoldLimits(), func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	c, in := dialListener(t, addr)
	const requests = 200
	go func() {
		for range requests {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na\n\nb\r\n\r\nc")
		}
	}()
	for range requests {
		requireStatus(t, in, http.StatusOK)
	}
}

// Guards against a new connection being refused while others only wait, against one with
// a request in progress being closed for it, and against a client that is still new being
// closed before an idle one.
func TestMakeRoom(t *testing.T) {
	release := make(chan struct{})
	l, addr := startListener(t, HoldLimits{Conns: 3, HeadMemory: 1 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})
	send := func(path string) (net.Conn, *bufio.Reader) {
		c, in := dialListener(t, addr)
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		return c, in
	}
	phases := func() map[connPhase]int {
		l.conns.mu.Lock()
		defer l.conns.mu.Unlock()
		n := map[connPhase]int{}
		for c := range l.conns.conns {
			n[c.state.Load().phase]++
		}
		return n
	}
	awaitPhases := func(want map[connPhase]int) {
		t.Helper()
		require.Eventually(t, func() bool { return fmt.Sprint(phases()) == fmt.Sprint(want) }, 20*time.Second, time.Millisecond)
	}
	_, busy := send("/wait")
	_, idle := send("/")
	requireStatus(t, idle, http.StatusOK)
	awaitPhases(map[connPhase]int{phaseBusy: 1, phaseIdle: 1})
	_, young := dialListener(t, addr)
	awaitPhases(map[connPhase]int{phaseHead: 1, phaseBusy: 1, phaseIdle: 1})
	_, second := send("/wait")
	awaitPhases(map[connPhase]int{phaseHead: 1, phaseBusy: 2})
	_, err := idle.ReadByte()
	require.Error(t, err, "the idle connection makes room first")
	_, third := send("/wait")
	awaitPhases(map[connPhase]int{phaseBusy: 3})
	_, err = young.ReadByte()
	require.Error(t, err)
	_, refused := dialListener(t, addr)
	_, err = refused.ReadByte()
	require.Error(t, err, "no connection with a request in progress makes room")
	close(release)
	for _, in := range []*bufio.Reader{busy, second, third} {
		requireStatus(t, in, http.StatusOK)
	}
}
