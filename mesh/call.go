package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"

	"dogwoodhead/admit"
	"dogwoodhead/catalog"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
	"dogwoodhead/platform"
)

const (
	// keptBody is the largest body in bytes that is read whole before it is sent
	// on. A request with a larger one can't be sent again, and a response with a
	// larger one is passed on while it arrives.
	keptBody = 64 << 10
	// keptPart is the part of the process's memory, as a divisor, that the bodies
	// of all requests and responses may take. Beyond it they are passed on while
	// they arrive, whatever their size.
	keptPart = 8
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

// errTooLarge says that a body exceeds the configured limit.
var errTooLarge = errors.New("body is too large")

// readBody reads a body that is small enough to keep, or leaves it as a stream.
func (c *call) readBody(r *http.Request, limit int64, memory *semaphore.Weighted) error {
	if r.ContentLength == 0 {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return errTooLarge
	}
	in := io.Reader(r.Body)
	if limit > 0 {
		in = &limited{in: r.Body, left: limit}
	}
	if !c.held.take(memory, r.ContentLength) {
		c.stream, c.length = in, r.ContentLength
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(in, keptBody+1))
	if err != nil {
		return err
	}
	if len(kept) <= keptBody {
		c.body = kept
		c.held.shrink(len(kept))
		return nil
	}
	c.stream, c.length = io.MultiReader(bytes.NewReader(kept), in), r.ContentLength
	return nil
}

// held is what one body takes of a node's memory for bodies.
type held struct {
	memory *semaphore.Weighted
	// bytes is 0 where nothing is held.
	bytes int64
}

// take holds memory for a body of a length in bytes, negative where it is not
// known. It reports whether the body may be kept.
func (h *held) take(memory *semaphore.Weighted, length int64) bool {
	if length < 0 {
		length = keptBody
	}
	if length > keptBody || !memory.TryAcquire(length) {
		return false
	}
	h.memory, h.bytes = memory, length
	return true
}

// shrink gives back what the body turned out not to need.
func (h *held) shrink(length int) {
	if rest := h.bytes - int64(length); rest > 0 {
		h.memory.Release(rest)
		h.bytes -= rest
	}
}

// release gives back what is held; only the first call has an effect.
func (h *held) release() {
	if h.bytes > 0 {
		h.memory.Release(h.bytes)
		h.bytes = 0
	}
}

// limited fails once more than left bytes were read.
type limited struct {
	in   io.Reader
	left int64
}

func (l *limited) Read(p []byte) (int, error) {
	n, err := l.in.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}

// request returns the request as it is sent with the given headers.
func (c *call) request(h http.Header) *h1.Request {
	return &h1.Request{
		Method: c.method, Target: c.target, Host: c.host, Header: h,
		Body: c.body, Stream: c.stream, Length: c.length,
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

// answer is a response, whole or with the rest of its body on its way.
type answer struct {
	status int
	header http.Header
	body   []byte
	// stream is the body where it is too large to keep; nil otherwise. It must
	// be closed. length is its length in bytes, negative where it is not known.
	stream io.ReadCloser
	length int64
	// held is what the body takes of the node's memory for bodies.
	held held
}

// result is what became of one attempt.
type result struct {
	outcome frame.Outcome
	reason  frame.Reason
	detail  string
	// answer is set where outcome is Answered.
	answer *answer
	// feedback is what the node beside the backend server says of itself; nil
	// where it said nothing.
	feedback *frame.Feedback
}

// discard ends an answer that nobody gets. It frees the slot of one whose body
// is still on its way.
func (r result) discard() {
	if r.answer != nil {
		r.answer.close()
	}
}

// close ends an answer: nobody needs its body any more. Only the first call has
// an effect.
func (a *answer) close() {
	if a.stream != nil {
		// The body is not used; how its connection ends does not matter.
		_ = a.stream.Close()
	}
	a.held.release()
}

func refused(reason frame.Reason, detail string) result {
	return result{outcome: frame.NotRun, reason: reason, detail: detail}
}

func lost(reason frame.Reason, detail string) result {
	return result{outcome: frame.Unknown, reason: reason, detail: detail}
}

// err returns the result as an error of package frame, nil for an answer.
func (r result) err() error {
	switch r.outcome {
	case frame.Answered:
		return nil
	case frame.NotRun:
		return frame.Refuse(r.reason, r.detail)
	default:
		return frame.Lose(r.reason, r.detail)
	}
}

// failure returns the result of an exchange without a response: not run where no
// byte of the request was sent.
func failure(ctx context.Context, err error) result {
	var failed *h1.Error
	if errors.As(err, &failed) && !failed.Sent() {
		return refused(reasonOf(ctx, frame.ReasonDial), err.Error())
	}
	return lost(reasonOf(ctx, frame.ReasonLost), err.Error())
}

// reasonOf tells why ctx ended.
func reasonOf(ctx context.Context, otherwise frame.Reason) frame.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return frame.ReasonTimeout
	case ctx.Err() != nil:
		return frame.ReasonCancelled
	}
	return otherwise
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
