package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

// Guards against a peer whose header does not end filling the memory of a node.
func TestEndlessHeader(t *testing.T) {
	app := standin.NewApp(standin.AppOptions{ID: "i-1", Slots: 10, Fault: func(string) standin.AppFault { return standin.AppEndless }})
	srv := httptest.NewServer(app)
	defer srv.Close()
	c := NewClient(ClientOptions{})
	defer c.Close()
	req, err := http.NewRequest(http.MethodPost, srv.URL, http.NoBody)
	require.NoError(t, err)
	_, err = c.http.Do(req)
	require.ErrorContains(t, err, "exceeded 65536 bytes")
}

// Guards against a response of a peer that is not valid HTTP being used.
func TestMalformedResponse(t *testing.T) {
	for name, raw := range standin.MalformedResponses("") {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(standin.RawHandler(raw))
			defer srv.Close()
			c := NewClient(ClientOptions{})
			defer c.Close()
			req, err := http.NewRequest(http.MethodPost, srv.URL, http.NoBody)
			require.NoError(t, err)
			resp, err := c.http.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			require.ErrorContains(t, err, "malformed")
		})
	}
}
