package board

import (
	"time"

	"dogwoodhead/frame"
)

// Peer is the known state of another node, from its responses and heartbeats.
// It is a value; the table Board.Peers holds the current one.
type Peer struct {
	// Incarnation is the process that responded last; unknown before the first
	// response and after a connection to it broke.
	Incarnation frame.Incarnation
	// Load is the last load that the peer reported.
	Load frame.Load
	// FailedFraction is the last reported fraction of recent calls that failed at
	// the peer's backend server.
	FailedFraction float64
	// RelativeLatency is the latency of the peer's backend server divided by that of
	// the others.
	RelativeLatency float64
	// LastResponse is the time of the last response; zero before the first.
	LastResponse time.Time
	// Inflight is the number of calls that this node awaits at the peer; never negative.
	Inflight int
	// Leaving is set when the peer reports that it is leaving and cleared when
	// another incarnation responds.
	Leaving bool
	// AvoidUntil is the time before which the peer is chosen only if there is no
	// other.
	AvoidUntil time.Time
	// ConsecutiveFailures determines how long the next avoidance lasts.
	ConsecutiveFailures int
	// Rev is the last revision pair that the peer reported.
	Rev frame.Revision
}
