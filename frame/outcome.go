package frame

import "fmt"

// Outcome is what is known about the execution of one call.
type Outcome int

const (
	// Unknown means that the call may or may not have run. It is the zero
	// value, because it is the only outcome that is always safe to report.
	Unknown Outcome = iota
	// Answered means that the complete response to one attempt was received.
	Answered
	// NotRun means that the call did not run and never will.
	NotRun
)

// String returns the value of HeaderOutcome.
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

// Reason is the one-word cause of an outcome other than Answered.
type Reason string

// Reasons reported by nodes: the check that refused the call, or the failure that
// left its outcome unknown.
const (
	// ReasonFull: the queue is full of calls of higher priority.
	ReasonFull Reason = "full"
	// ReasonLevel: the call's priority value exceeds an admission level.
	ReasonLevel Reason = "level"
	// ReasonLate: the time left is shorter than the typical time of the service.
	ReasonLate Reason = "late"
	// ReasonExpired: the deadline passed while the call was queued.
	ReasonExpired Reason = "expired"
	// ReasonCancelled: the caller cancelled the call.
	ReasonCancelled Reason = "cancelled"
	// ReasonLeaving: the node accepts no new work until its process ends.
	ReasonLeaving Reason = "leaving"
	// ReasonDraining: the backend server reports draining, or the VM list marks
	// the VM as leaving. Both may be wrong, so unlike ReasonLeaving it can end.
	ReasonDraining Reason = "draining"
	// ReasonBulkhead: too many calls are already waiting on a dependency.
	ReasonBulkhead Reason = "bulkhead"
	// ReasonRepeat: a retry without a permit, or of a call that is not idempotent.
	ReasonRepeat Reason = "repeat"
	// ReasonDuplicate: the attempt was received before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonIncarnation: the attempt is addressed to another process.
	ReasonIncarnation Reason = "incarnation"
	// ReasonVoid: the operation key was refused or expired unused; it will never run.
	ReasonVoid Reason = "void"
	// ReasonKey: the operation key is missing, malformed, expired or from another node.
	ReasonKey Reason = "key"
	// ReasonTable: a bounded table has no room for another entry.
	ReasonTable Reason = "table"
	// ReasonOwner: the process that owns the operation key has ended or is not listed.
	ReasonOwner Reason = "owner"
	// ReasonService: the service or operation does not exist, or no peer serves it.
	ReasonService Reason = "service"
	// ReasonGraph: the call graph does not declare the call.
	ReasonGraph Reason = "graph"
	// ReasonDial: the connection could not be opened; no byte was sent.
	ReasonDial Reason = "dial"
	// ReasonLost: the connection broke after the call was sent.
	ReasonLost Reason = "lost"
	// ReasonTimeout: no response in time after the call was sent.
	ReasonTimeout Reason = "timeout"
	// ReasonPartial: the response was truncated, too long or for another attempt.
	ReasonPartial Reason = "partial"
	// ReasonDown: the backend server is down.
	ReasonDown Reason = "down"
	// ReasonStale: the node was paused and has not refreshed its state since.
	ReasonStale Reason = "stale"
	// ReasonMemory: the memory budget for bodies is exhausted.
	ReasonMemory Reason = "memory"
	// ReasonSize: the request body is larger than allowed.
	ReasonSize Reason = "size"
	// ReasonBad: the request is malformed.
	ReasonBad Reason = "bad"
	// ReasonConfig: no configuration is active yet.
	ReasonConfig Reason = "config"
)
