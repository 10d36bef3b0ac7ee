package peer

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that was paused passing on requests whose clients have
// left: it finds the request and the end of its connection together.
func TestDisconnected(t *testing.T) {
	for _, close := range []bool{true, false} {
		for range 50 {
			seen := make(chan bool, 1)
			l := NewListener("test", "", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- Disconnected(r.Context()) }))
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			c, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			if close {
				require.NoError(t, c.Close())
			}
			go func() {
				_ = l.server.Serve(clientListener{Listener: ln, owner: l})
			}()
			require.Equal(t, close, <-seen)
			l.Close()
			_ = c.Close()
		}
	}
}
