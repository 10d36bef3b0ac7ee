package frame

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Response headers, between nodes and to callers.
const (
	HeaderOutcome     = "Dogwood-Outcome"
	HeaderReason      = "Dogwood-Reason"
	HeaderDigest      = "Dogwood-Digest"
	HeaderTries       = "Dogwood-Tries"
	HeaderLevel       = "Dogwood-Level"
	HeaderLoad        = "Dogwood-Load"
	HeaderIncarnation = "Dogwood-Incarnation"
	HeaderLeaving     = "Dogwood-Leaving"
	HeaderRev         = "Dogwood-Rev"
	HeaderTimeout     = "Dogwood-Timeout"
	HeaderKey         = "Dogwood-Key"
	HeaderCaller      = "Dogwood-Caller"
	HeaderRequest     = "Dogwood-Request"
	HeaderStep        = "Dogwood-Step"
)

// Request is the target and body of one call, and the step that distinguishes it
// from an identical earlier call.
type Request struct {
	target Target
	body   []byte
	step   string
}

// NewRequest returns a request. The body must not be modified afterwards.
func NewRequest(target Target, body []byte, step string) Request {
	return Request{target: target, body: body, step: step}
}

// Target returns the operation called.
func (r Request) Target() Target { return r.target }

// Body returns the request body, which must not be modified.
func (r Request) Body() []byte { return r.body }

// Step returns the value that marks a repetition as intended, not a retry, or "".
func (r Request) Step() string { return r.step }

// Answer is the complete response to one attempt.
type Answer struct {
	status      int
	contentType string
	body        []byte
	digest      uint64
}

// NewAnswer returns an answer and computes its digest. The body must not be
// modified afterwards.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body, digest: xxhash.Sum64(body)}
}

// Status returns the HTTP status of the backend server's response.
func (a Answer) Status() int { return a.status }

// ContentType returns the content type of the backend server's response.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the complete body, which must not be modified.
func (a Answer) Body() []byte { return a.body }

// Digest returns the xxhash64 of the body.
func (a Answer) Digest() uint64 { return a.digest }

// Load is the concurrency in use at a node's backend server, and its limit.
type Load struct {
	used  int
	limit int
}

// NewLoad returns a load of used calls (in flight and queued) out of limit.
func NewLoad(used, limit int) Load { return Load{used: used, limit: limit} }

// Used returns the number of calls in flight and queued.
func (l Load) Used() int { return l.used }

// Limit returns the concurrency limit.
func (l Load) Limit() int { return l.limit }

// Utilisation returns used divided by limit, or 1 if the limit is unknown.
func (l Load) Utilisation() float64 {
	if l.limit <= 0 {
		return 1
	}
	return float64(l.used) / float64(l.limit)
}

// String returns "used/limit".
func (l Load) String() string { return strconv.Itoa(l.used) + "/" + strconv.Itoa(l.limit) }

// ParseLoad parses the form that String writes.
func ParseLoad(s string) (Load, error) {
	used, limit, ok := parsePair(s, "/")
	if !ok {
		return Load{}, fmt.Errorf("load %q: want used/limit", s)
	}
	return NewLoad(used, limit), nil
}

// Feedback is the state that a node reports to its client with every response
// or refusal. It is advisory: a client without it only balances load less well.
type Feedback struct {
	// Attempt is the attempt that the feedback belongs to.
	Attempt Attempt
	// Outcome and Reason are the result of the attempt.
	Outcome Outcome
	Reason  Reason
	// PermitsReturned is the number of unused retry permits, 0 to the number granted.
	PermitsReturned int
	// Level is the lowest admission level among the node and its dependencies.
	Level Level
	// Load is the load of the responding node.
	Load Load
	// Backpressure is the fraction, 0 to 1, of new work of the lowest-priority
	// class that should not be sent to the responding node and its dependencies.
	Backpressure float64
	// FailedFraction is the fraction of recent calls, 0 to 1, that the backend
	// server itself failed or rejected.
	FailedFraction float64
	// TypicalLatency is the recent self time of the operation at the backend
	// server, without the calls that it makes; 0 if unknown.
	TypicalLatency time.Duration
	// RelativeLatency is TypicalLatency divided by that of the other servers,
	// computed by the node that receives the feedback. 0 counts as 1.
	RelativeLatency float64
	// HasChildRequests reports whether calls of this route make child requests.
	HasChildRequests bool
	// Incarnation is the responding process.
	Incarnation Incarnation
	// Leaving reports that the node accepts no new work.
	Leaving bool
	// Rev is the revision pair of the responding node's active configuration.
	Rev Revision
}

// Write sets the response headers. Fields that have no header are not sent.
func (f Feedback) Write(h http.Header) {
	if f.Attempt.Seq() != 0 {
		h.Set(HeaderAttempt, f.Attempt.String())
	}
	h.Set(HeaderOutcome, f.Outcome.String())
	if f.Reason != "" {
		h.Set(HeaderReason, string(f.Reason))
	}
	h.Set(HeaderTries, strconv.Itoa(f.PermitsReturned))
	h.Set(HeaderLevel, f.Level.String())
	h.Set(HeaderLoad, f.Load.String())
	h.Set(HeaderIncarnation, f.Incarnation.String())
	h.Set(HeaderRev, f.Rev.String())
	if f.Leaving {
		h.Set(HeaderLeaving, "1")
	}
}

// ReadFeedback parses the headers that Write sets. A missing or malformed header
// is an error, because every node sets them; Reason and Leaving are optional.
func ReadFeedback(h http.Header) (Feedback, error) {
	var f Feedback
	var err error
	if f.Attempt, err = ParseAttempt(h.Get(HeaderAttempt)); err != nil {
		return Feedback{}, err
	}
	if f.Outcome, err = ParseOutcome(h.Get(HeaderOutcome)); err != nil {
		return Feedback{}, err
	}
	f.Reason = Reason(h.Get(HeaderReason))
	if f.PermitsReturned, err = strconv.Atoi(h.Get(HeaderTries)); err != nil || f.PermitsReturned < 0 {
		return Feedback{}, fmt.Errorf("%s %q: want a number", HeaderTries, h.Get(HeaderTries))
	}
	if f.Level, err = ParseLevel(h.Get(HeaderLevel)); err != nil {
		return Feedback{}, err
	}
	if f.Load, err = ParseLoad(h.Get(HeaderLoad)); err != nil {
		return Feedback{}, err
	}
	if f.Incarnation, err = ParseIncarnation(h.Get(HeaderIncarnation)); err != nil {
		return Feedback{}, err
	}
	if f.Rev, err = ParseRevision(h.Get(HeaderRev)); err != nil {
		return Feedback{}, err
	}
	f.Leaving = h.Get(HeaderLeaving) == "1"
	return f, nil
}
