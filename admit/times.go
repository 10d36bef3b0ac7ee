package admit

import (
	"math"
	"time"

	"dogwoodhead/frame"
)

const (
	// maxOperations bounds the table of times per operation. Further
	// operations share the estimate of the whole gate.
	maxOperations = 256
	// slowWeight is the weight of a new sample near or above the estimate.
	slowWeight = 0.1
	// fastWeight is the weight of a sample under half of an operation's
	// estimate. It is larger, because a stale high estimate refuses calls that would succeed,
	// and refused calls bring no new samples.
	fastWeight = 0.5
	// halfLife is the time in which the estimate of an operation halves while
	// none of its calls is in flight, so that an estimate above every call's
	// time left does not refuse the operation for good.
	halfLife = 100 * time.Millisecond
)

// estimate is a smoothed duration of one operation.
type estimate struct {
	mean     float64
	last     time.Time
	inflight int
}

// add takes a sample; fall is its weight where it is under half of the estimate.
func (e *estimate) add(d time.Duration, fall float64, now time.Time) {
	v := float64(d)
	switch {
	case e.mean == 0:
		e.mean = v
	case v < e.mean/2:
		e.mean += fall * (v - e.mean)
	default:
		e.mean += slowWeight * (v - e.mean)
	}
	e.last = now
}

// at returns the estimate aged to now.
func (e *estimate) at(now time.Time) time.Duration {
	idle := now.Sub(e.last)
	if e.inflight > 0 || idle <= halfLife {
		return time.Duration(e.mean)
	}
	return time.Duration(e.mean * math.Exp2(1-float64(idle)/float64(halfLife)))
}

// times keeps the recent durations of calls. The gate's mutex guards it.
type times struct {
	// own is the time of a call without its outbound calls, by operation.
	own map[frame.Target]*estimate
	// all is the own time over all operations.
	all estimate
	// held is how long calls hold a slot, outbound calls included.
	held estimate
}

func newTimes() *times { return &times{own: make(map[frame.Target]*estimate)} }

// operation returns the estimate of a target, that of the gate where the table
// is full.
func (t *times) operation(target frame.Target) *estimate {
	if e, ok := t.own[target]; ok {
		return e
	}
	if len(t.own) >= maxOperations {
		return &t.all
	}
	e := &estimate{}
	t.own[target] = e
	return e
}

// typical returns the recent own time of an operation, 0 where none is known.
func (t *times) typical(target frame.Target, now time.Time) time.Duration {
	if e, ok := t.own[target]; ok {
		return e.at(now)
	}
	if len(t.own) >= maxOperations {
		return t.all.at(now)
	}
	return 0
}

// leave records a finished call. A failed call counts only where it lasted
// longer than the estimate: a fast failure says nothing about the time that an
// answer takes, a slow one is a lower bound of it.
func (t *times) leave(e *estimate, own, held time.Duration, ok bool, now time.Time) {
	if ok || float64(own) > e.mean {
		if e != &t.all {
			e.add(own, fastWeight, now)
		}
		t.all.add(own, slowWeight, now)
	}
	t.held.add(held, slowWeight, now)
}
