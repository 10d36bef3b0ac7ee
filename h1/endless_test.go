package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
)

// maxEndlessBytes is the most that a client may read of a head without end: the
// bound and one read buffer.
const maxEndlessBytes = maxHeadBytes + readBufferSize

// countedConn counts the bytes that a client reads.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// endlessServer is a server that responds to a request with a prefix and then
// with a unit again and again until the client closes the connection.
type endlessServer struct {
	addr string
	// closed is closed once the client has closed the connection.
	closed chan struct{}
}

func serveEndless(t *testing.T, prefix, unit string, pause func()) *endlessServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &endlessServer{addr: ln.Addr().String(), closed: make(chan struct{})}
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer close(s.closed)
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, prefix)
		for err == nil {
			pause()
			_, err = io.WriteString(c, unit)
		}
	}()
	return s
}

// waitClosed waits until the client has closed the connection.
func (s *endlessServer) waitClosed(t *testing.T) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(testTimeout):
		t.Fatal("the client keeps the connection open")
	}
}

// newCountingClient returns a client and the number of bytes that it has read.
func newCountingClient() (*Client, *atomic.Int64) {
	var read atomic.Int64
	return NewClient(Options{
		Clock: clockwork.NewRealClock(), RequestIDHeader: "X-Request-Id",
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countedConn{Conn: c, bytes: &read}, err
		},
	}), &read
}

// TestEndlessResponses plays servers that send bytes without end, which are in
// testdata/endless. Guards against such bytes filling the memory, being taken for
// a complete response, or keeping the connection open.
func TestEndlessResponses(t *testing.T) {
	forEachArchive(t, "testdata/endless/*.txtar", playEndless)
}

func playEndless(t *testing.T, archive *txtar.Archive) {
	t.Helper()
	text := make(map[string]string)
	for _, f := range archive.Files {
		text[f.Name] = strings.ReplaceAll(strings.TrimSuffix(string(f.Data), "\n"), "\n", "\r\n")
	}
	s := serveEndless(t, text["prefix"], strings.Repeat(text["unit"], 100), func() {})
	c, read := newCountingClient()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := c.Do(ctx, s.addr, newGet())
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
	}
	require.ErrorContains(t, err, strings.TrimSpace(text["error"]))
	require.NoError(t, ctx.Err(), "ended by the timeout")
	s.waitClosed(t)
	limit := int64(maxEndlessBytes)
	if text["large"] != "" {
		limit = maxBodyBytes + maxEndlessBytes
	}
	if text["limit"] != "" {
		var err error
		limit, err = strconv.ParseInt(strings.TrimSpace(text["limit"]), 10, 64)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, read.Load(), limit)
}

// Guards against a server that sends a response one byte at a time counting as
// silent: its request must end at the deadline with an error that says so.
func TestSlowResponse(t *testing.T) {
	for name, prefix := range map[string]string{"status line": "H", "header": "HTTP/1.1 200 OK\r\nX-Any: "} {
		t.Run(name, func(t *testing.T) {
			next := make(chan struct{})
			s := serveEndless(t, prefix, "a", func() { <-next })
			c, read := newCountingClient()
			clock := clockwork.NewFakeClock()
			ctx, cancel := clockwork.WithTimeout(context.Background(), clock, time.Second)
			defer cancel()
			go func() {
				for read.Load() < int64(len(prefix)+10) {
					select {
					case next <- struct{}{}:
					case <-time.After(time.Millisecond):
					}
				}
				clock.Advance(time.Second)
				close(next)
			}()
			_, err := c.Do(ctx, s.addr, newGet())
			var h1Err *Error
			require.ErrorAs(t, err, &h1Err)
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.True(t, h1Err.Sent())
			require.True(t, h1Err.Partial())
			s.waitClosed(t)
		})
	}
}
