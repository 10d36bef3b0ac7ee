package mesh

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/admit"
	"dogwoodhead/catalog"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/platform"
)

// call is one request in progress at a node.
type call struct {
	id string
	// method, target, host and header are what the caller sent; header holds only
	// the headers that are forwarded.
	method, target, host string
	header               http.Header
	// body is the buffered body; upload replaces it if the body is not buffered.
	// uploadLength is the length of upload in bytes, negative if unknown.
	body         []byte
	upload       *upload
	uploadLength int64
	// reservation is the memory reserved for the buffered body.
	reservation bodyReservation
	// service is the service that runs the request.
	service string
	route   string
	// origin is the service of the VM on which the request originated.
	origin     string
	idempotent bool
	// maxRuns bounds the backend servers that may run the request; set at the
	// ingress node.
	maxRuns int
	// class is the priority class at the backend server, 0 is the highest. Even
	// classes are for child requests, odd ones for new requests.
	class int
	// isRetry reports that the request is a retry or a child request of one.
	isRetry bool
	// deadline is in this node's clock. It is passed on with the request.
	deadline time.Time
	// giveUpAt is when this node stops waiting for a response: the deadline, or
	// later if the end of this node bounds the deadline.
	giveUpAt time.Time
	// objective is the latency within which the response has its full value; 0
	// at the node beside the backend server.
	objective time.Duration
	// parent is the running request that made this one, nil if none is known.
	parent *call
	// ticket is the slot that the request occupies; set before it runs.
	ticket *admit.Ticket
	// childFailed reports that a child request was not served.
	childFailed atomic.Bool
}

// numRanks is the number of ranks within a class.
const numRanks = frame.MaxRank + 1

// rank orders the requests of a class; 0 is the highest priority. It is a hash of
// the root request's id, as far as the id contains it, so that every node prefers
// the same roots and few are served only partially.
func (c *call) rank() int {
	root, _, _ := strings.Cut(c.id, ".")
	return int(xxhash.Sum64String(root) % numRanks)
}

// isChild reports whether the request is a child request.
func (c *call) isChild() bool { return c.class%2 == 0 }

// httpRequest returns the HTTP request to send, with the given headers.
func (c *call) httpRequest(h http.Header) *h1.Request {
	r := &h1.Request{Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body}
	if c.upload != nil {
		r.Stream, r.StreamLength = c.upload, c.uploadLength
	}
	return r
}

// close frees what the request holds. It must be called before its handler returns.
func (c *call) close() {
	c.reservation.release()
	c.upload.stop()
}

// timeLeft returns the time left until the deadline.
func (c *call) timeLeft(now time.Time) time.Duration { return c.deadline.Sub(now) }

// operation identifies the service and route in latency estimates and metrics.
func (c *call) operation() frame.Target {
	t, err := frame.NewTarget(c.service, c.route)
	if err != nil {
		// Routes whose names are not valid targets share one estimate.
		return frame.Target{}
	}
	return t
}

// setDeadlineHeader sets the time left, in milliseconds and at least 1.
func setDeadlineHeader(h http.Header, timeLeft time.Duration) {
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeaders returns the headers of a message that are forwarded.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, reservedPrefix) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// pathOf returns the path of a request target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// originForm converts an absolute-form request target to origin form.
func originForm(target string) string {
	rest, ok := strings.CutPrefix(target, "http://")
	if !ok {
		return target
	}
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

// classOf returns the class of a route's new requests. Child requests get the
// even class of their parent's priority, whatever the priority of their route.
func classOf(r *catalog.Route) int { return min(2*r.Priority+1, frame.MaxClass) }
