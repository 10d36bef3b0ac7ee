package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/standin"
)

// answeredHop is the header of another node's response that passes on an answer.
const answeredHop = headerHop + ": a;0/10;0;0;0;"

// callPeer sends a call to another node, for which the handler stands in.
func callPeer(t *testing.T, peer http.Handler, c *call) result {
	t.Helper()
	srv := httptest.NewServer(peer)
	defer srv.Close()
	client := h1.NewClient(h1.Options{Clock: clockwork.NewRealClock(), Dial: (&net.Dialer{}).DialContext})
	defer client.Close()
	p := &peerClient{clock: clockwork.NewRealClock(), http: client, bodyMemory: semaphore.NewWeighted(1 << 20)}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	c.method, c.target, c.host, c.header = http.MethodPost, "/", host, http.Header{}
	c.deadline = time.Now().Add(waitLimit)
	return p.run(ctx, c, board.NewVM(board.VMFields{Name: "i-1", CallAddr: strings.TrimPrefix(srv.URL, "http://")}))
}

// Guards against using a response of another node that is not valid HTTP.
func TestMalformedPeer(t *testing.T) {
	for name, raw := range standin.MalformedResponses("") {
		t.Run(name, func(t *testing.T) {
			raw = strings.ReplaceAll(raw, "X-Server-Stamp: stand-in", answeredHop)
			r := callPeer(t, standin.RawHandler(raw), &call{id: "one"})
			require.Equal(t, frame.Unknown, r.outcome)
			require.Contains(t, r.detail, "malformed")
		})
	}
}

// Guards against a part of another node's response being taken for a complete one, if
// its connection is reset while the body of the request is passed on.
func TestResetPeer(t *testing.T) {
	peer := standin.EarlyHandler("HTTP/1.1 200 OK\r\n"+answeredHop+"\r\n\r\na part", standin.Reset)
	for range 100 {
		u := &upload{in: strings.NewReader(strings.Repeat("u", 4<<20))}
		r := callPeer(t, peer, &call{id: "one", upload: u, uploadLength: 4 << 20})
		require.Equal(t, frame.Unknown, r.outcome)
	}
}
