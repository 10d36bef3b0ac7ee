package retry

import (
	"time"

	"dogwoodhead/frame"
)

// Action says what a hop does after an attempt without an answer.
type Action int

const (
	// GiveUp reports the outcome of the attempt upstream.
	GiveUp Action = iota
	// Elsewhere calls another server of the service.
	Elsewhere
	// Again calls the same server, because it alone owns the operation key.
	Again
)

// String returns the action as one word, for logs and explain.
func (a Action) String() string {
	switch a {
	case Elsewhere:
		return "elsewhere"
	case Again:
		return "again"
	default:
		return "giveup"
	}
}

// Failure describes the attempts of one call so far, the last of which has no
// answer.
type Failure struct {
	// Outcome and Reason are those of the last attempt.
	Outcome frame.Outcome
	Reason  frame.Reason
	// Idempotent says that the operation may run twice.
	Idempotent bool
	// Keyed says that the call carries an operation key, which its owner
	// deduplicates. It can go to no other server.
	Keyed bool
	// Permits is what the escrow holds after the attempt's loan has ended.
	Permits int
	// Left is the time left of the call.
	Left time.Duration
	// Made counts the attempts made, from 1.
	Made int
	// Shed counts the attempts refused by an admission level, the last included.
	Shed int
}

// Decision is what to do next. The caller of Decide spends a permit before it
// makes the attempt, whatever the reason: every extra attempt is load.
type Decision struct {
	// Action is what to do.
	Action Action
	// Wait is how long to wait first.
	Wait time.Duration
}

// Policy holds the timing of retries. The zero value never waits.
type Policy struct {
	// Backoff is the mean wait before the second attempt; it doubles with
	// every further one.
	Backoff time.Duration
	// MaxBackoff bounds the mean wait.
	MaxBackoff time.Duration
	// Need is the time left below which an attempt is not worth making.
	Need time.Duration
	// Float64 returns a random number in [0, 1) for jitter; nil stands for 0.5.
	Float64 func() float64
}

// DefaultPolicy returns waits that are short against the council's and the
// collective's zone delays of 3.5 and 5 ms one way.
func DefaultPolicy(random func() float64) Policy {
	return Policy{
		Backoff: 10 * time.Millisecond, MaxBackoff: 80 * time.Millisecond,
		Need: 5 * time.Millisecond, Float64: random,
	}
}

// maxShed is how often a call is tried in a service that sheds by level. A
// level says that the graph is overloaded, not one server; a second server may
// differ, a third attempt would only add load.
const maxShed = 2

// worth says how a reason is treated.
type worth int

const (
	never worth = iota
	// now: the server is the fault, another one is likely to work.
	now
	// later: waiting is likely to help.
	later
)

// worths lists the reasons that are worth another attempt. A reason that is not
// listed stays true wherever the call goes (service, graph, size, bad, repeat,
// void, key, owner, table), or leaves no time (late, expired, cancelled).
var worths = map[frame.Reason]worth{
	frame.ReasonLeaving:     now,
	frame.ReasonDraining:    now,
	frame.ReasonDial:        now,
	frame.ReasonIncarnation: now,
	frame.ReasonDuplicate:   now,
	frame.ReasonLost:        now,
	frame.ReasonPartial:     now,
	frame.ReasonDown:        now,
	frame.ReasonStale:       now,
	frame.ReasonConfig:      now,
	frame.ReasonFull:        later,
	frame.ReasonLevel:       later,
	frame.ReasonBulkhead:    later,
	frame.ReasonMemory:      later,
	frame.ReasonTimeout:     later,
}

// Decide returns what to do after a failure. A call that is neither idempotent
// nor keyed is attempted again only after not run. A keyed call is sent again
// to the owner of the key after an unknown outcome, where it joins the first;
// after not run it is so only where the owner did not see it, because a key
// that its owner refused is void.
func (p Policy) Decide(f Failure) Decision {
	w := worths[f.Reason]
	switch {
	case f.Outcome == frame.Answered, w == never, f.Permits < 1:
		return Decision{}
	case f.Outcome == frame.Unknown && !f.Idempotent && !f.Keyed:
		return Decision{}
	case f.Keyed && !ownerMayAnswer(f):
		return Decision{}
	case f.Shed >= maxShed:
		return Decision{}
	}
	d := Decision{Action: Elsewhere}
	if f.Keyed {
		d.Action = Again
	}
	if f.Keyed || w == later || f.Made > 1 {
		d.Wait = p.wait(f.Made)
	}
	if f.Left < d.Wait+p.Need {
		return Decision{}
	}
	return d
}

// ownerMayAnswer reports whether the owner of the key may say more about the
// call when it is asked again.
func ownerMayAnswer(f Failure) bool {
	switch f.Reason {
	case frame.ReasonDial:
		return true
	case frame.ReasonLost, frame.ReasonTimeout, frame.ReasonPartial, frame.ReasonDuplicate:
		return f.Outcome == frame.Unknown
	default:
		return false
	}
}

// wait returns the jittered wait after the given number of attempts, between
// half and one and a half of the mean.
func (p Policy) wait(made int) time.Duration {
	mean := p.Backoff << min(max(made-1, 0), 10)
	mean = min(mean, p.MaxBackoff)
	r := 0.5
	if p.Float64 != nil {
		r = p.Float64()
	}
	return mean/2 + time.Duration(r*float64(mean))
}

// Merge returns the error to report for a call whose earlier attempts gave
// sofar, nil where there are none, and whose last attempt gave last. A call is
// not run only where no attempt may have run. ReasonVoid comes from the owner
// of the operation key and speaks for all attempts with the key.
func Merge(sofar, last error) error {
	outcome, reason := frame.OutcomeOf(last)
	if outcome == frame.NotRun && reason == frame.ReasonVoid {
		return last
	}
	if o, _ := frame.OutcomeOf(sofar); sofar != nil && o == frame.Unknown {
		return sofar
	}
	return last
}
