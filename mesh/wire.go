package mesh

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/platform"
)

const (
	// headerHop carries what a node tells the next one about a request, and the
	// answer to it what the node beside the backend server says. One short header
	// each, because bytes between zones are dear.
	headerHop = "Dogwood-Hop"
	// ownPrefix begins the headers of the product, which no caller may set.
	ownPrefix = "Dogwood-"
	// hopFields is the number of fields of a request's hop, the id last.
	hopFields = 7
	// replyFields is the number of fields of an answer's hop.
	replyFields = 6
)

// hopError says which part of a hop is malformed.
type hopError struct{ field string }

// Field returns the name of the malformed part.
func (e *hopError) Field() string { return e.field }

func (e *hopError) Error() string { return headerHop + ": field " + e.field + " is malformed" }

// named are the headers that a hop replaces between nodes.
var named = []string{
	platform.HeaderRequestID, platform.HeaderDeadline, platform.HeaderTargetInstance, platform.HeaderCallerService,
}

// hop encodes a request for the node beside a backend server: class, flags, time
// left in milliseconds, route, instance, origin and id.
func (c *call) hop(instance string, left time.Duration) string {
	flags := []byte{'n', 'f'}
	if c.idempotent {
		flags[0] = 'i'
	}
	if c.repeat {
		flags[1] = 'r'
	}
	return strings.Join([]string{
		strconv.Itoa(c.class), string(flags), strconv.FormatInt(max(left.Milliseconds(), 1), 10),
		c.route, instance, c.origin, c.id,
	}, ";")
}

// parseHop reads what hop wrote and returns the instance and the time left.
func (c *call) parseHop(s string) (instance string, left time.Duration, err error) {
	f := strings.SplitN(s, ";", hopFields)
	if len(f) != hopFields {
		return "", 0, &hopError{field: "count"}
	}
	if c.class, err = strconv.Atoi(f[0]); err != nil || c.class < 0 || c.class > frame.MaxClass {
		return "", 0, &hopError{field: "class"}
	}
	if len(f[1]) != 2 {
		return "", 0, &hopError{field: "flags"}
	}
	ms, err := strconv.ParseInt(f[2], 10, 32)
	if err != nil {
		return "", 0, &hopError{field: "left"}
	}
	c.idempotent, c.repeat = f[1][0] == 'i', f[1][1] == 'r'
	c.route, c.origin, c.id = f[3], f[5], f[6]
	return f[4], time.Duration(ms) * time.Millisecond, nil
}

// Letters of outcomes in a reply.
const (
	letterAnswered = "a"
	letterNotRun   = "n"
	letterUnknown  = "u"
)

// reply encodes what became of a request: outcome and reason, load, strain and
// failing in hundredths, typical time in milliseconds, flags.
func (r result) reply() string {
	outcome := letterUnknown
	switch r.outcome {
	case frame.Answered:
		outcome = letterAnswered
	case frame.NotRun:
		outcome = letterNotRun
	}
	flags := ""
	if r.feedback.Leaving {
		flags += "l"
	}
	if r.feedback.HasChildRequests {
		flags += "d"
	}
	return strings.Join([]string{
		outcome + string(r.reason), r.feedback.Load.String(), hundredths(r.feedback.Backpressure),
		hundredths(r.feedback.FailedFraction), strconv.FormatInt(r.feedback.TypicalLatency.Milliseconds(), 10), flags,
	}, ";")
}

func hundredths(part float64) string { return strconv.Itoa(int(part*100 + 0.5)) }

// parseReply reads what reply wrote.
func parseReply(s string) (result, error) {
	f := strings.Split(s, ";")
	if len(f) != replyFields || f[0] == "" {
		return result{}, &hopError{field: "count"}
	}
	r := result{reason: frame.Reason(f[0][1:]), feedback: &frame.Feedback{}}
	switch f[0][:1] {
	case letterAnswered:
		r.outcome = frame.Answered
	case letterNotRun:
		r.outcome = frame.NotRun
	case letterUnknown:
		r.outcome = frame.Unknown
	default:
		return result{}, &hopError{field: "outcome"}
	}
	load, err := frame.ParseLoad(f[1])
	strain, err1 := strconv.Atoi(f[2])
	failing, err2 := strconv.Atoi(f[3])
	typical, err3 := strconv.ParseInt(f[4], 10, 32)
	if errors.Join(err, err1, err2, err3) != nil || strain < 0 || strain > 100 || failing < 0 || failing > 100 {
		return result{}, &hopError{field: "feedback"}
	}
	r.feedback = &frame.Feedback{
		Load: load, Backpressure: float64(strain) / 100, FailedFraction: float64(failing) / 100,
		TypicalLatency: time.Duration(typical) * time.Millisecond,
		Leaving:        strings.Contains(f[5], "l"), HasChildRequests: strings.Contains(f[5], "d"),
	}
	return r, nil
}

// without returns a header without some names; the header stays as it is. The
// values are shared and not changed.
func without(h http.Header, names ...string) http.Header {
	out := maps.Clone(h)
	for _, name := range names {
		out.Del(name)
	}
	return out
}
