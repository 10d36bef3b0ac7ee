package frame

import "fmt"

// Outcome says what is known about one call.
type Outcome int

const (
	// Unknown means that the call may or may not have run. It is the zero
	// value, because it is the only outcome that is always safe to claim.
	Unknown Outcome = iota
	// Answered means that the whole answer of one attempt is at hand.
	Answered
	// NotRun means that the call did not run and never will.
	NotRun
)

// String returns the outcome as it stands in HeaderOutcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "notrun"
	default:
		return "unknown"
	}
}

// ParseOutcome parses the form that String writes.
func ParseOutcome(s string) (Outcome, error) {
	for _, o := range []Outcome{Answered, NotRun, Unknown} {
		if s == o.String() {
			return o, nil
		}
	}
	return Unknown, fmt.Errorf("outcome %q: want answered, notrun or unknown", s)
}

// Reason is the one-word cause of an outcome that is not an answer.
type Reason string

// Reasons that nodes give. Each says which check refused the call or how the
// attempt was lost.
const (
	// ReasonFull: the queue is full of more important calls.
	ReasonFull Reason = "full"
	// ReasonLevel: the call's priority is above an admission level.
	ReasonLevel Reason = "level"
	// ReasonLate: the time left is below the typical time of the service.
	ReasonLate Reason = "late"
	// ReasonExpired: the deadline passed while the call waited.
	ReasonExpired Reason = "expired"
	// ReasonCancelled: the caller gave up.
	ReasonCancelled Reason = "cancelled"
	// ReasonLeaving: the node takes no new work until its process ends.
	ReasonLeaving Reason = "leaving"
	// ReasonDraining: the backend server says that it drains, or the VM list that
	// the VM is leaving. Both may mislead, so this can end, unlike ReasonLeaving.
	ReasonDraining Reason = "draining"
	// ReasonBulkhead: too many calls already wait on a dependency.
	ReasonBulkhead Reason = "bulkhead"
	// ReasonRepeat: a repeat without a permit, or of a call that is not idempotent.
	ReasonRepeat Reason = "repeat"
	// ReasonDuplicate: the attempt was seen before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonIncarnation: the attempt names another process.
	ReasonIncarnation Reason = "incarnation"
	// ReasonVoid: the operation key was refused before and stays refused.
	ReasonVoid Reason = "void"
	// ReasonKey: the operation key is missing, malformed, expired or of another node.
	ReasonKey Reason = "key"
	// ReasonTable: a bounded table has no room for another entry.
	ReasonTable Reason = "table"
	// ReasonOwner: the node that owns the operation key is gone.
	ReasonOwner Reason = "owner"
	// ReasonService: no such service or operation, or no peer serves it.
	ReasonService Reason = "service"
	// ReasonGraph: the call graph does not declare the call.
	ReasonGraph Reason = "graph"
	// ReasonDial: the connection could not be opened; no byte was sent.
	ReasonDial Reason = "dial"
	// ReasonLost: the connection broke after the call was sent.
	ReasonLost Reason = "lost"
	// ReasonTimeout: no answer in time after the call was sent.
	ReasonTimeout Reason = "timeout"
	// ReasonPartial: the answer was cut short, too long or of another attempt.
	ReasonPartial Reason = "partial"
	// ReasonDown: the backend server is down.
	ReasonDown Reason = "down"
	// ReasonStale: the node was paused and has not refreshed its view.
	ReasonStale Reason = "stale"
	// ReasonMemory: the memory budget for bodies is used up.
	ReasonMemory Reason = "memory"
	// ReasonSize: the request body is larger than allowed.
	ReasonSize Reason = "size"
	// ReasonBad: the request is malformed.
	ReasonBad Reason = "bad"
	// ReasonConfig: no accepted configuration is in force yet.
	ReasonConfig Reason = "config"
)
