package h1

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request on a connection that has carried a response which is not
// valid: what the server sends next on it would be taken for the response.
func TestTransportClosesConnection(t *testing.T) {
	remotes := make(map[string]bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remotes[r.RemoteAddr] = true
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		for err == nil {
			_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nX Any: value\r\nContent-Length: 0\r\n\r\n")
			_ = buf.Flush()
			_, err = http.ReadRequest(buf.Reader)
		}
	}))
	defer srv.Close()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	for range 10 {
		req, err := http.NewRequest(http.MethodPost, srv.URL, http.NoBody)
		require.NoError(t, err)
		_, err = transport.Do(req)
		var malformed *HeadError
		require.ErrorAs(t, err, &malformed)
	}
	require.Len(t, remotes, 10)
}
