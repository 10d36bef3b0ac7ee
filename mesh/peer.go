package mesh

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/peer"
	"dogwoodhead/platform"
)

// peerServer serves the requests of other nodes for the local backend server.
type peerServer struct {
	clock        clockwork.Clock
	localBackend *localBackend
	// bodyMemory limits the bytes of all buffered request and response bodies.
	bodyMemory *semaphore.Weighted
	// service is the service of the local backend server.
	service string
	// lifetime ends when requests in progress are interrupted.
	lifetime context.Context
}

// responseMargin is how long a node waits for a backend server beyond the deadline
// that it passed on, so that the server's own response at the deadline gets through.
// The ingress node ends the request earlier if the caller's deadline is reached.
const responseMargin = 100 * time.Millisecond

func (s *peerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, instance, err := s.parse(w, r)
	defer c.close()
	if !peer.RequestRead(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		s.writeResult(w, c, result{outcome: frame.NotRun, reason: frame.ReasonBad, detail: err.Error(), feedback: s.localBackend.feedback(c)})
		return
	}
	peer.SetResponseDeadline(r.Context(), c.giveUpAt.Add(responseLinger))
	ctx, cancel := requestContext(r.Context(), s.lifetime, s.clock, c.giveUpAt)
	defer cancel()
	res := s.localBackend.run(ctx, c, instance)
	s.writeResult(w, c, res)
	if res.outcome == frame.Answered {
		c.upload.passRest(ctx, res.response)
	}
}

func (s *peerServer) parse(w http.ResponseWriter, r *http.Request) (*call, string, error) {
	c := &call{
		method: r.Method, target: r.RequestURI, host: r.Host, header: forwardedHeaders(r.Header), service: s.service,
	}
	instance, timeLeft, err := c.decodeHop(r.Header.Get(headerHop))
	if err != nil {
		return c, "", err
	}
	c.header.Set(platform.HeaderRequestID, c.id)
	c.deadline = s.clock.Now().Add(timeLeft)
	c.giveUpAt = c.deadline.Add(responseMargin)
	return c, instance, c.readBody(w, r, 0, s.bodyMemory)
}

// writeResult sends a result to the requesting node.
func (s *peerServer) writeResult(w http.ResponseWriter, c *call, r result) {
	h := w.Header()
	h.Set(headerHop, r.encodeReply())
	if r.feedback.Leaving {
		h.Set("Connection", "close")
	}
	if r.outcome == frame.Answered {
		writeResponse(w, c, r.response, omittedBetweenNodes...)
		return
	}
	status := http.StatusServiceUnavailable
	if r.outcome == frame.Unknown {
		status = http.StatusBadGateway
	}
	c.writeStatus(w, status)
}

// omittedBetweenNodes are headers of a backend server's response that are not
// sent to the ingress node: it has the id, and headerHop carries the load.
var omittedBetweenNodes = []string{
	platform.HeaderRequestID, platform.HeaderServerLoad, platform.HeaderInstanceID, "Date",
}

// writeResponse writes a response without the omitted headers and closes it. If
// streaming the body fails, it aborts the connection with http.ErrAbortHandler.
func writeResponse(w http.ResponseWriter, c *call, resp *response, omitted ...string) {
	header := forwardedHeaders(resp.header)
	for _, name := range omitted {
		header.Del(name)
	}
	h := w.Header()
	maps.Copy(h, header)
	// nil stops net/http from adding headers that the backend server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			h[name] = nil
		}
	}
	switch {
	case resp.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	case c.upload.isPending():
		// The end of the response is written after that of the upload.
		h.Set("Connection", "close")
	}
	w.WriteHeader(resp.status)
	defer resp.close()
	if resp.stream == nil {
		// A write fails only if the reader has disconnected.
		_, _ = w.Write(resp.body)
		return
	}
	if _, err := io.Copy(w, resp.stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// peerClient sends requests to the nodes beside other backend servers.
type peerClient struct {
	clock clockwork.Clock
	http  *h1.Client
	// bodyMemory limits the bytes of all buffered request and response bodies.
	bodyMemory *semaphore.Weighted
}

// run sends a request to a node and returns the result.
func (p *peerClient) run(ctx context.Context, c *call, vm board.VM) result {
	h := cloneWithout(c.header, replacedByHop...)
	h.Set(headerHop, c.encodeHop(vm.Name(), c.timeLeft(p.clock.Now())))
	resp, err := p.http.Do(ctx, vm.CallAddr(), c.httpRequest(h))
	if err != nil {
		return failedExchange(ctx, err)
	}
	reply := resp.Header.Get(headerHop)
	if reply == "" && resp.Status == http.StatusServiceUnavailable {
		// The node's listener had no memory for the head, so that the request was not read.
		_ = resp.Body.Close()
		return refused(frame.ReasonMemory, "the node beside the backend server has no memory for the request")
	}
	r, err := decodeReply(reply)
	if err != nil {
		_ = resp.Body.Close()
		return unknownOutcome(frame.ReasonPartial, err.Error())
	}
	if r.outcome != frame.Answered {
		_ = drainBody(resp.Body)
		r.detail = "said by the node beside the backend server"
		return r
	}
	received := readResponse(resp, p.bodyMemory)
	received.feedback = r.feedback
	if received.response != nil {
		received.response.header.Set(platform.HeaderRequestID, c.id)
	}
	return received
}
