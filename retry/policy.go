package retry

import (
	"time"

	"dogwoodhead/frame"
)

// Action is the next step of a hop after an attempt without a response.
type Action int

const (
	// GiveUp reports the outcome of the attempt upstream.
	GiveUp Action = iota
	// OtherServer calls another server of the service.
	OtherServer
	// SameServer calls the same server, the only owner of the operation key.
	SameServer
)

// String returns the action as it appears in logs and explain.
func (a Action) String() string {
	switch a {
	case OtherServer:
		return "elsewhere"
	case SameServer:
		return "again"
	default:
		return "giveup"
	}
}

// Failure describes the attempts of one call so far, the last of which got no
// response.
type Failure struct {
	// Outcome and Reason are those of the last attempt.
	Outcome frame.Outcome
	Reason  frame.Reason
	// Idempotent is set if the operation may run twice.
	Idempotent bool
	// Keyed is set if the call carries an operation key. Only the owner of the
	// key deduplicates it, so the call can't go to another server.
	Keyed bool
	// Permits is the number available after the attempt's grant has ended.
	Permits int
	// TimeLeft is the time until the deadline of the call.
	TimeLeft time.Duration
	// Attempts counts the attempts made, at least 1.
	Attempts int
	// ShedAttempts counts attempts refused by admission level, the last included.
	ShedAttempts int
	// LeavingAttempts counts attempts refused because the server's node was
	// leaving, the last included.
	LeavingAttempts int
}

// Decision is the result of Policy.Decide, whose caller must spend a permit
// before every further attempt that is not Free: each one adds load.
type Decision struct {
	Action Action
	// Free is set if the next attempt replaces one that a leaving node refused
	// before it reached the backend server. A planned stop must not fail a call
	// because the permits are in use.
	Free bool
	// Wait is the delay before the attempt.
	Wait time.Duration
}

// Policy holds the timing of retries. The zero value never waits.
type Policy struct {
	// Backoff is the mean delay before the second attempt; it doubles with every
	// further one.
	Backoff time.Duration
	// MaxBackoff bounds the mean delay.
	MaxBackoff time.Duration
	// MinTimeLeft is the time until the deadline that an attempt needs.
	MinTimeLeft time.Duration
	// Random returns a number in [0, 1) for jitter; nil stands for 0.5.
	Random func() float64
}

// DefaultPolicy returns a policy for zones with one-way delays of a few
// milliseconds: 3.5 ms at the council and 5 ms at the collective.
func DefaultPolicy(random func() float64) Policy {
	return Policy{
		Backoff: 10 * time.Millisecond, MaxBackoff: 80 * time.Millisecond,
		MinTimeLeft: 5 * time.Millisecond, Random: random,
	}
}

// maxShedAttempts bounds the attempts of a call that is shed by admission level.
// A level reflects an overloaded call graph rather than one server; a second
// server may still differ, a third attempt would only add load.
const maxShedAttempts = 2

// maxFreeAttempts bounds the attempts of a call that need no permit. Several nodes
// of a service may leave at once, before the caller's node knows.
const maxFreeAttempts = 3

// retryTiming is whether and when a call is retried after a reason.
type retryTiming int

const (
	retryNever retryTiming = iota
	// retryNow: the fault is the server's; another one is likely to work.
	retryNow
	// retryAfterWait: the condition is likely to pass.
	retryAfterWait
)

// retryTimings lists the retryable reasons. Any other reason holds at every
// server (service, graph, size, bad, repeat, void, key, owner, table) or leaves no
// time (late, expired, cancelled).
var retryTimings = map[frame.Reason]retryTiming{
	frame.ReasonLeaving:     retryNow,
	frame.ReasonDraining:    retryNow,
	frame.ReasonDial:        retryNow,
	frame.ReasonIncarnation: retryNow,
	frame.ReasonDuplicate:   retryNow,
	frame.ReasonLost:        retryNow,
	frame.ReasonPartial:     retryNow,
	frame.ReasonDown:        retryNow,
	frame.ReasonStale:       retryNow,
	frame.ReasonConfig:      retryNow,
	frame.ReasonFull:        retryAfterWait,
	frame.ReasonLevel:       retryAfterWait,
	frame.ReasonBulkhead:    retryAfterWait,
	frame.ReasonMemory:      retryAfterWait,
	frame.ReasonTimeout:     retryAfterWait,
}

// Decide returns the next step after a failure. A call that is neither idempotent
// nor keyed is retried only if it was not run. A keyed call is retried at the
// owner of the key: after an unknown outcome, when the retry joins the first
// attempt, and after not run if the owner did not receive the call. A key that
// its owner refused is void.
func (p Policy) Decide(f Failure) Decision {
	timing := retryTimings[f.Reason]
	free := f.Outcome == frame.NotRun && f.Reason == frame.ReasonLeaving && f.LeavingAttempts <= maxFreeAttempts
	switch {
	case f.Outcome == frame.Answered, timing == retryNever, f.Permits < 1 && !free:
		return Decision{}
	case f.Outcome == frame.Unknown && !f.Idempotent && !f.Keyed:
		return Decision{}
	case f.Keyed && !retryableAtOwner(f):
		return Decision{}
	case f.ShedAttempts >= maxShedAttempts:
		return Decision{}
	}
	d := Decision{Action: OtherServer, Free: free}
	if f.Keyed {
		d.Action = SameServer
	}
	if f.Keyed || timing == retryAfterWait || f.Attempts > 1 {
		d.Wait = p.backoff(f.Attempts)
	}
	if f.TimeLeft < d.Wait+p.MinTimeLeft {
		return Decision{}
	}
	return d
}

// retryableAtOwner reports whether a retry of a keyed call can get another result
// from the owner of the key.
func retryableAtOwner(f Failure) bool {
	switch f.Reason {
	case frame.ReasonDial:
		return true
	case frame.ReasonLost, frame.ReasonTimeout, frame.ReasonPartial, frame.ReasonDuplicate:
		return f.Outcome == frame.Unknown
	default:
		return false
	}
}

// backoff returns the delay after the given number of attempts, between half and
// one and a half times the mean.
func (p Policy) backoff(attempts int) time.Duration {
	mean := p.Backoff << min(max(attempts-1, 0), 10)
	mean = min(mean, p.MaxBackoff)
	random := 0.5
	if p.Random != nil {
		random = p.Random()
	}
	return mean/2 + time.Duration(random*float64(mean))
}

// MergeErrors returns the error of a call from the merged error of its earlier
// attempts, nil if there are none, and the error of its last attempt. A call is
// not run only if no attempt may have run. ReasonVoid comes from the owner of the
// operation key and covers all attempts with the key.
func MergeErrors(earlier, last error) error {
	outcome, reason := frame.OutcomeOf(last)
	if outcome == frame.NotRun && reason == frame.ReasonVoid {
		return last
	}
	if o, _ := frame.OutcomeOf(earlier); earlier != nil && o == frame.Unknown {
		return earlier
	}
	return last
}
