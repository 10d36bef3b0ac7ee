package admit

import (
	"math"
	"time"

	"dogwoodhead/frame"
)

const (
	// maxOperations bounds the number of estimates per operation. Further
	// operations use the overall estimate.
	maxOperations = 256
	// sampleWeight is the weight of a sample of at least half of the estimate.
	sampleWeight = 0.1
	// lowSampleWeight is the weight of a sample under half of an operation's
	// estimate. It is larger, because an outdated high estimate refuses calls that
	// would succeed, and refused calls provide no samples.
	lowSampleWeight = 0.5
	// estimateHalfLife is the half-life of an operation's estimate while none of
	// its calls is in flight. Without the decay, an estimate above every call's
	// time left would refuse the operation forever.
	estimateHalfLife = 100 * time.Millisecond
)

// estimate is a moving average of durations, in nanoseconds.
type estimate struct {
	mean      float64
	updatedAt time.Time
	inflight  int
}

// add adds a sample; lowWeight is its weight if it is under half of the estimate.
func (e *estimate) add(d time.Duration, lowWeight float64, now time.Time) {
	v := float64(d)
	switch {
	case e.mean == 0:
		e.mean = v
	case v < e.mean/2:
		e.mean += lowWeight * (v - e.mean)
	default:
		e.mean += sampleWeight * (v - e.mean)
	}
	e.updatedAt = now
}

// at returns the estimate, decayed to now.
func (e *estimate) at(now time.Time) time.Duration {
	idle := now.Sub(e.updatedAt)
	if e.inflight > 0 || idle <= estimateHalfLife {
		return time.Duration(e.mean)
	}
	return time.Duration(e.mean * math.Exp2(1-float64(idle)/float64(estimateHalfLife)))
}

// callTimes estimates the durations of calls. The gate's mutex guards it.
type callTimes struct {
	// selfTimes is the time of a call without its outbound calls, by operation.
	selfTimes map[frame.Target]*estimate
	// overall is the self time over all operations.
	overall estimate
	// slotTime is how long calls occupy a slot, including outbound calls.
	slotTime estimate
}

func newCallTimes() *callTimes { return &callTimes{selfTimes: make(map[frame.Target]*estimate)} }

// findOrCreateEstimate returns the estimate of an operation, or the overall
// estimate if there is none and maxOperations are stored.
func (t *callTimes) findOrCreateEstimate(target frame.Target) *estimate {
	if e, ok := t.selfTimes[target]; ok {
		return e
	}
	if len(t.selfTimes) >= maxOperations {
		return &t.overall
	}
	e := &estimate{}
	t.selfTimes[target] = e
	return e
}

// typicalSelfTime returns the recent self time of an operation, 0 if unknown.
func (t *callTimes) typicalSelfTime(target frame.Target, now time.Time) time.Duration {
	if e, ok := t.selfTimes[target]; ok {
		return e.at(now)
	}
	if len(t.selfTimes) >= maxOperations {
		return t.overall.at(now)
	}
	return 0
}

// record records a completed call. A failed call counts only if it took longer
// than the estimate: the duration of a slow failure is a lower bound of the time
// to a response, that of a fast one is unrelated to it.
func (t *callTimes) record(e *estimate, selfTime, slotTime time.Duration, ok bool, now time.Time) {
	if ok || float64(selfTime) > e.mean {
		if e != &t.overall {
			e.add(selfTime, lowSampleWeight, now)
		}
		t.overall.add(selfTime, sampleWeight, now)
	}
	t.slotTime.add(slotTime, sampleWeight, now)
}
