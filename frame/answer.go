package frame

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of an answer, between nodes and to callers.
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

// Request is one call's body and what the caller sent with it.
type Request struct {
	target Target
	body   []byte
	step   string
}

// NewRequest returns a request. The body must not be changed afterwards.
func NewRequest(target Target, body []byte, step string) Request {
	return Request{target: target, body: body, step: step}
}

// Target returns the operation called.
func (r Request) Target() Target { return r.target }

// Body returns the request body; the reader must not change it.
func (r Request) Body() []byte { return r.body }

// Step returns the word that tells a deliberate repeat from a retry, or "".
func (r Request) Step() string { return r.step }

// Answer is a whole answer of one attempt.
type Answer struct {
	status int
	kind   string
	body   []byte
	digest uint64
}

// NewAnswer returns an answer and computes its digest. The body must not be
// changed afterwards.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, kind: contentType, body: body, digest: xxhash.Sum64(body)}
}

// Status returns the HTTP status that the backend server gave.
func (a Answer) Status() int { return a.status }

// ContentType returns the content type that the backend server gave.
func (a Answer) ContentType() string { return a.kind }

// Body returns the whole body; the reader must not change it.
func (a Answer) Body() []byte { return a.body }

// Digest returns the xxhash64 of the body.
func (a Answer) Digest() uint64 { return a.digest }

// Load is what a node says about its backend server's use.
type Load struct {
	used  int
	limit int
}

// NewLoad returns a load of used (in flight and queued) out of limit.
func NewLoad(used, limit int) Load { return Load{used: used, limit: limit} }

// Used returns the calls in flight and queued.
func (l Load) Used() int { return l.used }

// Limit returns the concurrency limit.
func (l Load) Limit() int { return l.limit }

// Utilisation returns used divided by limit; 1 where the limit is not known.
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
	var l Load
	if _, err := fmt.Sscanf(s, "%d/%d", &l.used, &l.limit); err != nil || l.used < 0 || l.limit < 0 {
		return Load{}, fmt.Errorf("load %q: want used/limit", s)
	}
	return l, nil
}

// Feedback is what a node tells its client about itself with every answer or
// refusal. It is advice: a client that loses it only chooses less well.
type Feedback struct {
	// Attempt is the attempt that is answered.
	Attempt Attempt
	// Outcome and Reason say what became of the attempt.
	Outcome Outcome
	Reason  Reason
	// Tries is the number of retry permits returned, 0 to the number lent.
	Tries int
	// Level is the worst admission level of the subtree.
	Level Level
	// Load is the answering node's load.
	Load Load
	// Strain is the part of new work of the least important class, 0 to 1, that
	// should not be sent to the answering node and what it calls.
	Strain float64
	// Failing is the part of recent calls, 0 to 1, that the backend server failed
	// or turned away by itself.
	Failing float64
	// Typical is the recent time of the answered operation at the backend server,
	// without the calls that it makes; 0 where it is not known.
	Typical time.Duration
	// Slow is the typical time divided by that of the other servers; the node that
	// gets the feedback works it out. 0 counts as 1.
	Slow float64
	// Deep says that calls of the answered kind make calls of their own.
	Deep bool
	// Incarnation is the answering process.
	Incarnation Incarnation
	// Leaving says that the node takes no new work.
	Leaving bool
	// Rev is the revision pair in force at the answering node.
	Rev Revision
}

// Write puts the feedback into the headers of an answer.
func (f Feedback) Write(h http.Header) {
	if f.Attempt.Seq() != 0 {
		h.Set(HeaderAttempt, f.Attempt.String())
	}
	h.Set(HeaderOutcome, f.Outcome.String())
	if f.Reason != "" {
		h.Set(HeaderReason, string(f.Reason))
	}
	h.Set(HeaderTries, strconv.Itoa(f.Tries))
	h.Set(HeaderLevel, f.Level.String())
	h.Set(HeaderLoad, f.Load.String())
	h.Set(HeaderIncarnation, f.Incarnation.String())
	h.Set(HeaderRev, f.Rev.String())
	if f.Leaving {
		h.Set(HeaderLeaving, "1")
	}
}

// ReadFeedback parses the headers that Write sets. A header that is missing or
// malformed is an error, because the sender is a node and always sets them.
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
	if f.Tries, err = strconv.Atoi(h.Get(HeaderTries)); err != nil || f.Tries < 0 {
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
