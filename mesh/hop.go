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
	// headerHop carries the metadata of a request between nodes, and in the
	// response the result and feedback. It is one short header each way, because
	// traffic between zones is expensive.
	headerHop = "Dogwood-Hop"
	// reservedPrefix is the prefix of internal headers, which callers may not set.
	reservedPrefix = "Dogwood-"
	// hopFields is the number of fields of headerHop in a request, the id last.
	hopFields = 7
	// maxHopName is the longest name of a route, an instance or a service in a request, in
	// bytes. A node keeps what it knows of a route by its name.
	maxHopName = 1 << 10
	// replyFields is the number of fields of headerHop in a response.
	replyFields = 6
)

// hopError reports which field of headerHop is malformed.
type hopError struct{ field string }

// Field returns the name of the malformed field.
func (e *hopError) Field() string { return e.field }

func (e *hopError) Error() string { return headerHop + ": field " + e.field + " is malformed" }

// replacedByHop are the headers that headerHop replaces between nodes.
var replacedByHop = []string{
	platform.HeaderRequestID, platform.HeaderDeadline, platform.HeaderTargetInstance, platform.HeaderCallerService,
}

// encodeHop encodes a request for the node beside a backend server: class, flags,
// time left in milliseconds, route, instance, origin and id.
func (c *call) encodeHop(instance string, timeLeft time.Duration) string {
	flags := []byte{'n', 'f'}
	if c.idempotent {
		flags[0] = 'i'
	}
	if c.isRetry {
		flags[1] = 'r'
	}
	return strings.Join([]string{
		strconv.Itoa(c.class), string(flags), strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10),
		c.route, instance, c.origin, c.id,
	}, ";")
}

// decodeHop decodes the output of encodeHop into c and returns the instance and the
// time left. The error is a *hopError.
func (c *call) decodeHop(s string) (instance string, timeLeft time.Duration, err error) {
	fields := strings.SplitN(s, ";", hopFields)
	if len(fields) != hopFields {
		return "", 0, &hopError{field: "count"}
	}
	if c.class, err = strconv.Atoi(fields[0]); err != nil || c.class < 0 || c.class > frame.MaxClass {
		return "", 0, &hopError{field: "class"}
	}
	if len(fields[1]) != 2 {
		return "", 0, &hopError{field: "flags"}
	}
	ms, err := strconv.ParseInt(fields[2], 10, 32)
	if err != nil {
		return "", 0, &hopError{field: "left"}
	}
	if max(len(fields[3]), len(fields[4]), len(fields[5])) > maxHopName {
		return "", 0, &hopError{field: "name"}
	}
	c.idempotent, c.isRetry = fields[1][0] == 'i', fields[1][1] == 'r'
	c.route, c.origin, c.id = fields[3], fields[5], fields[6]
	return fields[4], time.Duration(ms) * time.Millisecond, nil
}

// Codes of outcomes in a reply.
const (
	codeAnswered = "a"
	codeNotRun   = "n"
	codeUnknown  = "u"
)

// encodeReply encodes the result of a request: outcome and reason, load,
// backpressure and failures in hundredths, typical latency in milliseconds, flags.
func (r result) encodeReply() string {
	outcome := codeUnknown
	switch r.outcome {
	case frame.Answered:
		outcome = codeAnswered
	case frame.NotRun:
		outcome = codeNotRun
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

func hundredths(fraction float64) string { return strconv.Itoa(int(fraction*100 + 0.5)) }

// decodeReply decodes the output of encodeReply. The error is a *hopError.
func decodeReply(s string) (result, error) {
	fields := strings.Split(s, ";")
	if len(fields) != replyFields || fields[0] == "" {
		return result{}, &hopError{field: "count"}
	}
	r := result{reason: frame.Reason(fields[0][1:]), feedback: &frame.Feedback{}}
	switch fields[0][:1] {
	case codeAnswered:
		r.outcome = frame.Answered
	case codeNotRun:
		r.outcome = frame.NotRun
	case codeUnknown:
		r.outcome = frame.Unknown
	default:
		return result{}, &hopError{field: "outcome"}
	}
	load, err := frame.ParseLoad(fields[1])
	backpressure, err1 := strconv.Atoi(fields[2])
	failed, err2 := strconv.Atoi(fields[3])
	typical, err3 := strconv.ParseInt(fields[4], 10, 32)
	if errors.Join(err, err1, err2, err3) != nil || backpressure < 0 || backpressure > 100 || failed < 0 || failed > 100 || typical < 0 {
		return result{}, &hopError{field: "feedback"}
	}
	r.feedback = &frame.Feedback{
		Load: load, Backpressure: float64(backpressure) / 100, FailedFraction: float64(failed) / 100,
		TypicalLatency: time.Duration(typical) * time.Millisecond,
		Leaving:        strings.Contains(fields[5], "l"), HasChildRequests: strings.Contains(fields[5], "d"),
	}
	return r, nil
}

// cloneWithout returns a copy of a header without some names. The copy shares the
// values, which must not be changed.
func cloneWithout(h http.Header, names ...string) http.Header {
	out := maps.Clone(h)
	for _, name := range names {
		out.Del(name)
	}
	return out
}
