package mesh

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/platform"
)

// server takes the requests of other nodes for the backend server.
type server struct {
	clock clockwork.Clock
	seat  *seat
	// memory is for the bodies of all requests and responses, in bytes.
	memory *semaphore.Weighted
	// service is that of the backend server.
	service string
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, instance, err := s.parse(r)
	defer c.held.release()
	if err != nil {
		s.write(w, result{outcome: frame.NotRun, reason: frame.ReasonBad, detail: err.Error(), feedback: s.seat.feedback(c)})
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), s.clock, c.deadline)
	defer cancel()
	s.write(w, s.seat.run(ctx, c, instance))
}

func (s *server) parse(r *http.Request) (*call, string, error) {
	c := &call{
		method: r.Method, target: r.RequestURI, host: r.Host, header: forwarded(r.Header), service: s.service,
	}
	instance, left, err := c.parseHop(r.Header.Get(headerHop))
	if err != nil {
		return c, "", err
	}
	c.header.Set(platform.HeaderRequest, c.id)
	c.deadline = s.clock.Now().Add(left)
	return c, instance, c.readBody(r, 0, s.memory)
}

// write sends a result to the node that asked.
func (s *server) write(w http.ResponseWriter, r result) {
	h := w.Header()
	h.Set(headerHop, r.reply())
	if r.feedback.Leaving {
		h.Set("Connection", "close")
	}
	if r.outcome == frame.Answered {
		writeAnswer(w, r.answer, unhopped...)
		return
	}
	h["Date"] = nil
	status := http.StatusServiceUnavailable
	if r.outcome == frame.Unknown {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// unhopped are headers of a backend server's response that the next node does
// not need: it knows the id and gets the load from the hop.
var unhopped = []string{
	platform.HeaderRequest, platform.HeaderLoad, platform.HeaderIncarnation, "Date",
}

// writeAnswer writes a response without the headers that are left out. Where its
// body breaks off, so does the connection.
func writeAnswer(w http.ResponseWriter, a *answer, leftOut ...string) {
	header := forwarded(a.header)
	for _, name := range leftOut {
		header.Del(name)
	}
	h := w.Header()
	maps.Copy(h, header)
	// Nothing is added to what the backend server sent.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			h[name] = nil
		}
	}
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	defer a.close()
	if a.stream == nil {
		// A failed write means that nobody reads the answer any more.
		_, _ = w.Write(a.body)
		return
	}
	if _, err := io.Copy(w, a.stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// client sends requests to the nodes beside other backend servers.
type client struct {
	clock clockwork.Clock
	http  *h1.Client
	// memory is for the bodies of all requests and responses, in bytes.
	memory *semaphore.Weighted
}

// run sends a request to a node and returns what became of it.
func (p *client) run(ctx context.Context, c *call, vm board.VM) result {
	h := without(c.header, named...)
	h.Set(headerHop, c.hop(vm.Name(), c.left(p.clock.Now())))
	resp, err := p.http.Do(ctx, vm.CallAddr(), c.request(h))
	if err != nil {
		return failure(ctx, err)
	}
	r, err := parseReply(resp.Header.Get(headerHop))
	if err != nil {
		_ = resp.Body.Close()
		return lost(frame.ReasonPartial, err.Error())
	}
	if r.outcome != frame.Answered {
		_ = drain(resp.Body)
		r.detail = "said by the node beside the backend server"
		return r
	}
	answered := receive(resp, p.memory)
	answered.feedback = r.feedback
	if answered.answer != nil {
		answered.answer.header.Set(platform.HeaderRequest, c.id)
	}
	return answered
}
