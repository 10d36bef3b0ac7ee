package mesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
	"dogwoodhead/peer"
	"dogwoodhead/standin"
)

// Guards against a request reaching the backend server although its client has
// closed the connection, which the request's context does not report yet.
func TestDisconnectedClient(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 1})
	f.applyConfig(1, routeTo("shop", "/shop/", "safe"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	conn, err := ln.Accept()
	require.NoError(t, err)
	defer conn.Close()
	ctx := peer.WithConn(context.Background(), conn)
	run := func(id string) result {
		c := &call{
			id: id, method: http.MethodGet, target: "/shop/x", host: host, header: http.Header{"X-Request-Id": {id}}, route: "r", service: "shop",
			deadline: time.Now().Add(waitLimit),
		}
		return shop.node.localBackend.run(ctx, c, "i-shop")
	}
	require.Equal(t, frame.Answered, run("one").outcome)
	require.NoError(t, client.Close())
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	for range 20 {
		r := run("two")
		require.Equal(t, frame.NotRun, r.outcome)
		require.Equal(t, frame.ReasonCancelled, r.reason)
	}
	require.Zero(t, shop.app.Runs("two"))
}
