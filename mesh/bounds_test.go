package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

// callerConn is one connection of a caller that writes as slowly as it likes.
type callerConn struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (v *testVM) connect(t *testing.T) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", v.set.Outbound())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return &callerConn{Conn: c, t: t, in: bufio.NewReader(c)}
}

func (c *callerConn) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// status reads a response and returns its status.
func (c *callerConn) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.t, err)
	return resp.StatusCode
}

// closed waits until the node closes the connection, without a further byte.
func (c *callerConn) closed() {
	c.t.Helper()
	_, err := c.in.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

const getHead = "GET /shop/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"

// TestSlowCaller guards against connections that a slow caller holds for good,
// against a late request that is closed without an answer or runs all the same,
// and against the bound of a head being applied to an idle connection.
func TestSlowCaller(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	const head = 100 * time.Millisecond
	f.store.SetTimeouts(head, time.Hour)
	f.config(1, routeTo("shop", "/shop/", "safe"))

	late := shop.connect(t)
	late.write("GET /shop/x HTTP/1.1\r\nHost: ")
	require.Equal(t, http.StatusRequestTimeout, late.status())
	late.closed()

	shop.connect(t).closed()

	kept := shop.connect(t)
	kept.write(fmt.Sprintf(getHead+"\r\n", "one", 20000))
	require.Equal(t, http.StatusOK, kept.status())
	time.Sleep(3 * head)
	kept.write(fmt.Sprintf(getHead+"\r\n", "two", 20000))
	require.Equal(t, http.StatusOK, kept.status())
	kept.write("GET /shop/x HTTP/1.1\r\n")
	require.Equal(t, http.StatusRequestTimeout, kept.status())
	kept.closed()

	slow := shop.connect(t)
	slow.write(fmt.Sprintf(getHead+"Content-Length: 10\r\n\r\nhalf", "half", 200))
	require.Equal(t, http.StatusRequestTimeout, slow.status())
	slow.closed()
	require.Zero(t, shop.app.Runs("half"))
	require.Contains(t, shop.log.String(), `"status":408`)
}

// TestIdleCaller guards against the idle bound of a configuration not being
// applied, and against its being applied to a request in progress.
func TestIdleCaller(t *testing.T) {
	f := newFleet(t)
	const idle = 100 * time.Millisecond
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, Work: 3 * idle})
	f.store.SetTimeouts(waitLimit, idle)
	f.config(1, routeTo("shop", "/shop/", "safe"))
	c := shop.connect(t)
	c.write(fmt.Sprintf(getHead+"\r\n", "one", 20000))
	require.Equal(t, http.StatusOK, c.status())
	c.closed()
}
