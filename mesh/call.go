package mesh

import (
	"io"
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

// call is one request on its way through a node.
type call struct {
	id string
	// method, target, host and header are what the caller sent; header holds only
	// what is passed on.
	method, target, host string
	header               http.Header
	// body is the whole body; stream has it where it is too large to keep.
	body   []byte
	stream io.Reader
	length int64
	// held is what the body takes of the node's memory for bodies.
	held held
	// service is where the request runs.
	service string
	route   string
	// origin is the service of the VM on which the request began.
	origin     string
	idempotent bool
	// attempts is the most backend servers that may run the request; set at the
	// node where it begins.
	attempts int
	// class orders requests at the backend server, 0 is the most important.
	class int
	// repeat says that the request is part of work that is done once more.
	repeat bool
	// deadline is on this node's clock.
	deadline time.Time
	// objective is the latency within which the response has its full value; 0
	// at the node beside the backend server.
	objective time.Duration
	// parent is the running request that made this one, nil where none is known.
	parent *call
	// ticket is the slot that the request holds; set before it runs.
	ticket *admit.Ticket
	// hindered says that a request which this one made was not served.
	hindered atomic.Bool
}

// ranks is the number of ranks.
const ranks = frame.MaxRank + 1

// rank orders the requests of a class, 0 is the most important. It is that of
// the root, as far as the id tells it, so that every node prefers the same
// roots and few are served in part.
func (c *call) rank() int {
	root, _, _ := strings.Cut(c.id, ".")
	return int(xxhash.Sum64String(root) % ranks)
}

// inner reports whether the request is part of running work.
func (c *call) inner() bool { return c.class%2 == 0 }

// request returns the request as it is sent with the given headers.
func (c *call) request(h http.Header) *h1.Request {
	return &h1.Request{
		Method: c.method, Target: c.target, Host: c.host, Header: h,
		Body: c.body, Stream: c.stream, StreamLength: c.length,
	}
}

// left returns the time left until the deadline.
func (c *call) left(now time.Time) time.Duration { return c.deadline.Sub(now) }

// operation names the route for estimates of its duration.
func (c *call) operation() frame.Target {
	t, err := frame.NewTarget(c.service, c.route)
	if err != nil {
		// Estimates of routes with other names are shared.
		return frame.Target{}
	}
	return t
}

// stampDeadline writes the time left into the header, at least a millisecond.
func stampDeadline(h http.Header, left time.Duration) {
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

// perHop are the headers that concern one connection.
var perHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns the headers of a message that are passed on.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, ownPrefix) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perHop {
		delete(out, name)
	}
	return out
}

// pathOf returns the path of a request target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// originForm turns an absolute request target into the form that servers take.
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

// classOf maps a route's priority to the class of its new requests. Those of
// running work have the class before, whatever their own route's priority.
func classOf(r *catalog.Route) int { return min(2*r.Priority+1, frame.MaxClass) }
