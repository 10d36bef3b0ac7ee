package admit

import (
	"math"
	"time"
)

const (
	// probeStepFraction is the fraction by which a trial changes the concurrency.
	probeStepFraction = 0.2
	// probeSlotMargin is the ratio of the limit to the estimated number of usable
	// slots. It is above 1, because an idle slot costs throughput and a short
	// queue inside the backend server does not.
	probeSlotMargin = 1.05
	// probeMinSamples and probeMaxSamples bound the samples per arm of a trial.
	probeMinSamples = 48
	probeMaxSamples = 1200
	// probeQueuedErrors and probeGainErrors are the distances, in standard errors,
	// that end a trial with the result that calls queue inside the backend server
	// or that higher concurrency raises throughput. The test is repeated after
	// each phase, which makes false results more likely; a false "queued" costs
	// throughput, a false gain does not.
	probeQueuedErrors = 4.0
	probeGainErrors   = 2.0
	// probeMinPhase is the shortest phase of a trial, and probePhaseSelfTimes its
	// length in self times if that is longer: the concurrency needs about one
	// self time to follow the limit.
	probeMinPhase       = 20 * time.Millisecond
	probePhaseSelfTimes = 2.0
	// probeUpPause is the pause after an upward trial without a gain.
	probeUpPause = time.Second
	// probeMinDownPause and probeMaxDownPause bound the pause after a downward
	// trial that left the limit unchanged. Such a trial costs up to half of
	// probeStepFraction in throughput; the pause doubles each time.
	probeMinDownPause = 2 * time.Second
	probeMaxDownPause = 30 * time.Second
	// probeDownPauseTrials is the minimum of that pause in durations of the
	// preceding trial, because trials of a slow server take long.
	probeDownPauseTrials = 10
	// probeSaturatedTicks is the number of consecutive saturated ticks before a
	// downward trial, so that none starts while the load is just near the limit.
	probeSaturatedTicks = 5
	// probeAbortTicks is the number of unsaturated ticks that abort a trial.
	probeAbortTicks = 5
	// probeRelaxTicks is the number of unsaturated ticks after which a limit
	// below the slots rises towards them by the factor probeRelaxFactor per tick.
	probeRelaxTicks  = 50
	probeRelaxFactor = 1.01
)

// arm sums the self times, in nanoseconds, of calls admitted at one concurrency.
type arm struct {
	concurrency     int
	count           float64
	sum, sumSquares float64
}

func (a *arm) add(v float64) {
	a.count++
	a.sum += v
	a.sumSquares += v * v
}

func (a *arm) mean() float64 { return a.sum / a.count }

// meanVariance returns the variance of the mean.
func (a *arm) meanVariance() float64 {
	m := a.mean()
	return max(a.sumSquares/a.count-m*m, 0) / a.count
}

// probe runs trials: it alternates between two concurrency limits and compares
// their throughput, which by Little's law is concurrency divided by self time.
// If the higher concurrency has more throughput, the backend server has slots
// for it, however slow they are; if not, calls queue inside the backend server.
// Alternating cancels changes that the limit did not cause.
type probe struct {
	limit *Limit
	// base is the limit between trials.
	base float64
	// lowArm and highArm belong to the current trial; nil between trials.
	lowArm, highArm *arm
	atHigh          bool
	// trialStart is when the trial began, phaseStart when its current phase did.
	trialStart, phaseStart time.Time
	// selfTime is a moving average, in nanoseconds.
	selfTime float64
	// nextUp and nextDown are the earliest times of the next trials. An upward
	// trial goes first, so that it checks each step down.
	nextUp, nextDown time.Time
	downPause        time.Duration
	// unsaturatedTicks and saturatedTicks count consecutive ticks.
	unsaturatedTicks, saturatedTicks int
}

func installProbe(l *Limit) {
	p := &probe{limit: l}
	l.onSample = p.observe
	l.onTick = p.tick
	l.onClass0Backlog = p.abortDownTrial
	l.onReset = p.reset
}

func (p *probe) reset() {
	*p = probe{limit: p.limit, base: p.limit.value, downPause: probeMinDownPause}
}

func (p *probe) observe(s sample) {
	selfTime := float64(s.selfTime)
	if p.selfTime == 0 {
		p.selfTime = selfTime
	}
	p.selfTime += 0.1 * (selfTime - p.selfTime)
	if p.lowArm == nil {
		return
	}
	// Calls admitted while the concurrency changed belong to neither arm.
	if !s.admittedAt.Before(p.trialStart) {
		switch s.concurrency {
		case p.highArm.concurrency:
			p.highArm.add(selfTime)
		case p.lowArm.concurrency:
			p.lowArm.add(selfTime)
		}
	}
	if s.releasedAt.Sub(p.phaseStart) >= max(probeMinPhase, time.Duration(probePhaseSelfTimes*p.selfTime)) {
		p.endPhase(s.releasedAt)
	}
}

// endPhase concludes the trial or continues it with the other arm.
func (p *probe) endPhase(now time.Time) {
	if p.lowArm.count >= probeMinSamples && p.highArm.count >= probeMinSamples && p.tryConclude(now) {
		return
	}
	p.startPhase(now, !p.atHigh)
}

func (p *probe) startPhase(now time.Time, high bool) {
	p.atHigh = high
	p.phaseStart = now
	a := p.lowArm
	if high {
		a = p.highArm
	}
	p.limit.setClamped(float64(a.concurrency))
}

// tryConclude ends the trial if the samples suffice, and reports whether it did.
func (p *probe) tryConclude(now time.Time) bool {
	// If there are slots for the extra concurrency, the self time is the same in
	// both arms; if not, it grows in proportion to the concurrency.
	hi, lo := p.highArm.mean(), p.lowArm.mean()
	ratio := float64(p.lowArm.concurrency) / float64(p.highArm.concurrency)
	queueingGrowth := hi * (1 - ratio)
	z := (hi - lo - queueingGrowth/2) / math.Sqrt(p.highArm.meanVariance()+p.lowArm.meanVariance()+1)
	if z < probeQueuedErrors && z > -probeGainErrors && min(p.highArm.count, p.lowArm.count) < probeMaxSamples {
		return false
	}
	p.conclude(now, z >= probeQueuedErrors, lo/hi)
	return true
}

// conclude ends a trial; queued is set if calls queue inside the backend server,
// and ratio is the self time of the low arm divided by that of the high arm.
func (p *probe) conclude(now time.Time, queued bool, ratio float64) {
	lo, hi := float64(p.lowArm.concurrency), float64(p.highArm.concurrency)
	p.lowArm, p.highArm = nil, nil
	switch up := hi > p.base; {
	case up && queued:
		p.nextUp = now.Add(probeUpPause)
	case up:
		p.base = hi
		p.downPause = probeMinDownPause
	case queued:
		// hi*ratio estimates the usable slots. The low arm bounds the step,
		// because nothing below it was measured.
		p.base = min(p.base, max(lo, hi*ratio*probeSlotMargin))
		p.nextUp = now
		p.downPause = probeMinDownPause
	default:
		p.nextDown = now.Add(max(p.downPause, probeDownPauseTrials*now.Sub(p.trialStart)))
		p.downPause = min(2*p.downPause, probeMaxDownPause)
	}
	p.limit.setClamped(p.base)
	p.base = p.limit.value
}

func (p *probe) abort() {
	p.lowArm, p.highArm = nil, nil
	p.limit.setClamped(p.base)
}

func (p *probe) tick(now time.Time, usage limitUsage) {
	if !usage.saturated {
		p.relax()
		return
	}
	p.unsaturatedTicks = 0
	p.saturatedTicks++
	if p.lowArm != nil || p.selfTime == 0 {
		return
	}
	lo, hi := math.Floor(p.base), math.Floor(p.base)
	switch {
	case hi < math.Floor(p.limit.ceiling) && !now.Before(p.nextUp):
		hi = math.Floor(min(max(p.base*(1+probeStepFraction), p.base+1), p.limit.ceiling))
	case lo > 1 && !usage.class0Backlogged && p.saturatedTicks >= probeSaturatedTicks && !now.Before(p.nextDown):
		lo = math.Floor(min(p.base*(1-probeStepFraction), p.base-1))
	default:
		return
	}
	p.lowArm, p.highArm = &arm{concurrency: max(int(lo), 1)}, &arm{concurrency: int(hi)}
	p.trialStart = now
	p.startPhase(now, true)
}

// abortDownTrial aborts a downward trial and delays the next one; it reports
// whether there was one.
func (p *probe) abortDownTrial(now time.Time) bool {
	if p.lowArm == nil || float64(p.lowArm.concurrency) >= math.Floor(p.base) {
		return false
	}
	p.abort()
	p.nextDown = now.Add(probeMinDownPause)
	return true
}

// relax counts an unsaturated tick and raises a limit that stays unsaturated
// towards the slots, so that it is not outdated in the next overload.
func (p *probe) relax() {
	p.unsaturatedTicks++
	p.saturatedTicks = 0
	if p.lowArm != nil && p.unsaturatedTicks >= probeAbortTicks {
		p.abort()
	}
	slots := float64(p.limit.slots)
	if p.unsaturatedTicks >= probeRelaxTicks && p.base < slots {
		p.limit.setClamped(min(p.base*probeRelaxFactor, slots))
		p.base = p.limit.value
	}
}
