package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/platform"
)

// server takes the requests of other nodes for the backend server.
type server struct {
	clock clockwork.Clock
	seat  *seat
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := s.parse(r)
	if err != nil {
		s.write(w, result{outcome: frame.NotRun, reason: frame.ReasonBad, detail: err.Error(), feedback: s.seat.feedback(c)})
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), s.clock, c.deadline)
	defer cancel()
	s.write(w, s.seat.run(ctx, c, r.Header.Get(platform.HeaderInstance)))
}

func (s *server) parse(r *http.Request) (*call, error) {
	c := &call{
		id: r.Header.Get(platform.HeaderRequest), method: r.Method, target: r.RequestURI, host: r.Host,
		header: forwarded(r.Header), origin: r.Header.Get(platform.HeaderCaller),
	}
	if err := c.parseHop(r.Header.Get(headerHop)); err != nil {
		return nil, err
	}
	left, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64)
	if err != nil {
		return nil, err
	}
	c.deadline = s.clock.Now().Add(time.Duration(left) * time.Millisecond)
	return c, c.readBody(r, 0)
}

// write sends a result to the node that asked.
func (s *server) write(w http.ResponseWriter, r result) {
	h := w.Header()
	writeFeedback(h, r.feedback)
	if r.outcome == frame.Answered {
		h.Set(frame.HeaderOutcome, frame.Answered.String())
		writeAnswer(w, r.answer)
		return
	}
	h["Date"] = nil
	h.Set(frame.HeaderOutcome, r.outcome.String())
	h.Set(frame.HeaderReason, string(r.reason))
	status := http.StatusServiceUnavailable
	if r.outcome == frame.Unknown {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// writeFeedback writes what differs from the usual.
func writeFeedback(h http.Header, f *frame.Feedback) {
	h.Set(frame.HeaderLoad, f.Load.String())
	if f.Leaving {
		h.Set(frame.HeaderLeaving, "1")
		h.Set("Connection", "close")
	}
	if f.Deep {
		h.Set(frame.HeaderDeep, "1")
	}
	if f.Typical >= time.Millisecond {
		h.Set(frame.HeaderTypical, strconv.FormatInt(f.Typical.Milliseconds(), 10))
	}
	writePart(h, frame.HeaderStrain, f.Strain)
	writePart(h, frame.HeaderFailing, f.Failing)
}

// leastPart is the smallest part that is worth a header.
const leastPart = 0.01

func writePart(h http.Header, name string, v float64) {
	if v >= leastPart {
		h.Set(name, strconv.FormatFloat(v, 'f', 2, 64))
	}
}

// parsePart reads what writePart wrote; a malformed part counts as none.
func parsePart(h http.Header, name string) float64 {
	v, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || !(v >= 0 && v <= 1) {
		return 0
	}
	return v
}

// writeAnswer writes a response. Where its body breaks off, so does the connection.
func writeAnswer(w http.ResponseWriter, a *answer) {
	h := w.Header()
	for name, values := range forwarded(a.header) {
		h[name] = values
	}
	// Nothing is added to what the backend server sent.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := a.header[name]; !ok {
			h[name] = nil
		}
	}
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	if a.stream == nil {
		_, _ = w.Write(a.body)
		return
	}
	defer a.stream.Close()
	if _, err := io.Copy(w, a.stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// client sends requests to the nodes beside other backend servers.
type client struct {
	clock clockwork.Clock
	http  *h1.Client
}

// run sends a request to a node and returns what became of it.
func (p *client) run(ctx context.Context, c *call, vm board.VM) result {
	h := c.header.Clone()
	stampDeadline(h, c.left(p.clock.Now()))
	h.Set(platform.HeaderInstance, vm.Name())
	h.Set(platform.HeaderCaller, c.origin)
	h.Set(headerHop, c.hop())
	resp, err := p.http.Do(ctx, vm.Call(), &h1.Request{
		Method: c.method, Target: c.target, Host: c.host, Header: h,
		Body: c.body, Stream: c.stream, Length: c.length,
	})
	var failed *h1.Error
	if errors.As(err, &failed) && !failed.Sent() {
		return refused(reasonOf(ctx, frame.ReasonDial), err.Error())
	}
	if err != nil {
		return lost(reasonOf(ctx, frame.ReasonLost), err.Error())
	}
	feedback := parseFeedback(resp.Header)
	outcome, err := frame.ParseOutcome(resp.Header.Get(frame.HeaderOutcome))
	if err != nil {
		_ = resp.Body.Close()
		return lost(frame.ReasonPartial, err.Error())
	}
	if outcome != frame.Answered {
		_ = drain(resp.Body)
		return result{
			outcome: outcome, reason: frame.Reason(resp.Header.Get(frame.HeaderReason)),
			detail: "said by the node beside the backend server", feedback: feedback,
		}
	}
	r := receive(resp)
	r.feedback = feedback
	return r
}

// parseFeedback reads what a node says of itself. A malformed load is the same
// as none: it only makes choices worse.
func parseFeedback(h http.Header) *frame.Feedback {
	load, err := frame.ParseLoad(h.Get(frame.HeaderLoad))
	if err != nil {
		return nil
	}
	typical, err := strconv.ParseInt(h.Get(frame.HeaderTypical), 10, 32)
	if err != nil {
		typical = 0
	}
	return &frame.Feedback{
		Typical: time.Duration(typical) * time.Millisecond,
		Load:    load, Leaving: h.Get(frame.HeaderLeaving) != "", Deep: h.Get(frame.HeaderDeep) != "",
		Strain: parsePart(h, frame.HeaderStrain), Failing: parsePart(h, frame.HeaderFailing),
	}
}
