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

// callerConn is a raw connection of a caller, for requests sent in pieces.
type callerConn struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (v *testVM) connect(t *testing.T) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", v.settings.OutboundAddr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return &callerConn{Conn: c, t: t, reader: bufio.NewReader(c)}
}

func (c *callerConn) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// readStatus reads a response and returns its status.
func (c *callerConn) readStatus() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.t, err)
	return resp.StatusCode
}

// requireClosed waits until the node closes the connection without sending more.
func (c *callerConn) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

const getRequestHeader = "GET /shop/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"

// Guards against a slow caller holding a connection forever, a late request
// whose connection is closed without a response or that still runs, and the
// timeout of a request's header being applied to an idle connection.
func TestSlowCaller(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	const headerTimeout = 100 * time.Millisecond
	f.store.SetTimeouts(headerTimeout, time.Hour)
	f.applyConfig(1, routeTo("shop", "/shop/", "safe"))

	late := shop.connect(t)
	late.send("GET /shop/x HTTP/1.1\r\nHost: ")
	require.Equal(t, http.StatusRequestTimeout, late.readStatus())
	late.requireClosed()

	shop.connect(t).requireClosed()

	reused := shop.connect(t)
	reused.send(fmt.Sprintf(getRequestHeader+"\r\n", "one", 20000))
	require.Equal(t, http.StatusOK, reused.readStatus())
	time.Sleep(3 * headerTimeout)
	reused.send(fmt.Sprintf(getRequestHeader+"\r\n", "two", 20000))
	require.Equal(t, http.StatusOK, reused.readStatus())
	reused.send("GET /shop/x HTTP/1.1\r\n")
	require.Equal(t, http.StatusRequestTimeout, reused.readStatus())
	reused.requireClosed()

	slow := shop.connect(t)
	slow.send(fmt.Sprintf(getRequestHeader+"Content-Length: 10\r\n\r\nhalf", "half", 200))
	require.Equal(t, http.StatusRequestTimeout, slow.readStatus())
	slow.requireClosed()
	require.Zero(t, shop.app.Runs("half"))
	require.Contains(t, shop.log.String(), `"status":408`)
}

// Guards against the configured idle timeout being ignored or being applied to
// a request in progress.
func TestIdleCaller(t *testing.T) {
	f := newFleet(t)
	const idle = 100 * time.Millisecond
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, SelfTime: 3 * idle})
	f.store.SetTimeouts(waitLimit, idle)
	f.applyConfig(1, routeTo("shop", "/shop/", "safe"))
	c := shop.connect(t)
	c.send(fmt.Sprintf(getRequestHeader+"\r\n", "one", 20000))
	require.Equal(t, http.StatusOK, c.readStatus())
	c.requireClosed()
}
