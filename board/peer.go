package board

import (
	"time"

	"dogwoodhead/frame"
)

// Peer is what this node knows of another node from its answers and
// heartbeats. It is a value; the table Peers holds the current one.
type Peer struct {
	// Incarnation is the process that answered last; unknown before the first
	// answer and after a connection to it broke.
	Incarnation frame.Incarnation
	// Load is the load that the peer reported last.
	Load frame.Load
	// Failing is the part of recent calls that the peer's backend server failed, as
	// reported last.
	Failing float64
	// Slow is the time of the peer's backend server divided by that of the others.
	Slow float64
	// Seen is when the peer answered last; zero before the first answer.
	Seen time.Time
	// Inflight is the number of calls this node waits on at the peer; never negative.
	Inflight int
	// Leaving is set when the peer says that it is leaving and cleared when
	// another incarnation answers.
	Leaving bool
	// Avoid is the time before which the peer is chosen only if there is no other.
	Avoid time.Time
	// Failures counts failures in a row; it sets how long the next avoidance lasts.
	Failures int
	// Rev is the revision pair that the peer reported last.
	Rev frame.Revision
}
