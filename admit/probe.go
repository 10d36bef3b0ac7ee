package admit

import (
	"math"
	"time"
)

const (
	// probeStep is the part by which a trial changes the concurrency.
	probeStep = 0.2
	// probeMargin is kept above the estimated number of real slots, because an
	// idle slot costs throughput and a short inner queue does not.
	probeMargin = 1.05
	// probeMin and probeMax bound the samples per arm of a trial.
	probeMin = 48
	probeMax = 1200
	// probeQueued and probePays are the standard errors that a verdict needs.
	// The evidence is looked at after each phase, which makes chance verdicts
	// more likely; a wrong "queued" costs throughput, a wrong "pays" does not.
	probeQueued = 4.0
	probePays   = 2.0
	// probePhase is the shortest phase of a trial, and probeOwn its length in
	// own times where that is longer: the concurrency needs about one own time
	// to follow the limit.
	probePhase = 20 * time.Millisecond
	probeOwn   = 2.0
	// probeAgain is the pause after a trial upwards that brought nothing.
	probeAgain = time.Second
	// probePause and probePauseMax bound the pause after a trial downwards that
	// brought nothing, which costs up to half of probeStep in throughput. The
	// pause doubles each time.
	probePause    = 2 * time.Second
	probePauseMax = 30 * time.Second
	// probeRest is the least pause in lengths of the trial before, because a
	// trial of a slow server takes long.
	probeRest = 10
	// probeBound is how many ticks in full use precede a trial downwards, so that
	// a load near the limit does not meet a lower one.
	probeBound = 5
	// probeGiveUp is how many ticks without full use end a trial.
	probeGiveUp = 5
	// probeForget is how many ticks without full use it takes until a limit
	// below the slots returns to them by probeRelax per tick.
	probeForget = 50
	probeRelax  = 1.01
)

// arm collects the own time of the calls that entered at one concurrency.
type arm struct {
	concurrency int
	n           float64
	sum, sqr    float64
}

func (a *arm) add(v float64) {
	a.n++
	a.sum += v
	a.sqr += v * v
}

func (a *arm) mean() float64 { return a.sum / a.n }

// variance returns the variance of the mean.
func (a *arm) variance() float64 {
	m := a.mean()
	return max(a.sqr/a.n-m*m, 0) / a.n
}

// probe runs trials: it alternates between two concurrency limits and compares
// completions per second of own work, which by Little's law is concurrency
// divided by own time. Where the higher concurrency brings more, slots carry it,
// however slow they are; where it brings nothing, calls wait inside the backend
// server. Alternation cancels changes that are not caused by the limit.
type probe struct {
	limit *Limit
	// base is the limit between trials.
	base float64
	// lo and hi are the arms of the running trial, nil between trials.
	lo, hi *arm
	atHigh bool
	// began is when the trial began, phase when its current phase did.
	began, phase time.Time
	own          float64
	// nextUp and nextDown are the earliest times of the next trials; a trial
	// upwards goes first, so that it checks each step down.
	nextUp, nextDown time.Time
	pause            time.Duration
	// free and bound count the ticks in a row in which the limit did not bind or
	// did.
	free, bound int
}

func newProbe(l *Limit) {
	p := &probe{limit: l}
	l.leave = p.leave
	l.tick = p.tick
	l.press = p.press
	l.reset = p.reset
}

func (p *probe) reset() {
	*p = probe{limit: p.limit, base: p.limit.value, pause: probePause}
}

func (p *probe) leave(s sample) {
	v := float64(s.own)
	if p.own == 0 {
		p.own = v
	}
	p.own += 0.1 * (v - p.own)
	if p.lo == nil {
		return
	}
	// A call that entered while the concurrency moved between the arms tells
	// nothing about either.
	if !s.entered.Before(p.began) {
		switch s.concurrency {
		case p.hi.concurrency:
			p.hi.add(v)
		case p.lo.concurrency:
			p.lo.add(v)
		}
	}
	if s.now.Sub(p.phase) >= max(probePhase, time.Duration(probeOwn*p.own)) {
		p.turn(s.now)
	}
}

// turn ends a phase: it decides, or goes on with the other arm.
func (p *probe) turn(now time.Time) {
	if p.lo.n >= probeMin && p.hi.n >= probeMin && p.decide(now) {
		return
	}
	p.enter(now, !p.atHigh)
}

func (p *probe) enter(now time.Time, high bool) {
	p.atHigh = high
	p.phase = now
	a := p.lo
	if high {
		a = p.hi
	}
	p.limit.set(float64(a.concurrency))
}

// decide returns false while the samples do not suffice.
func (p *probe) decide(now time.Time) bool {
	// Where slots carry the extra concurrency, the own time is the same in both
	// arms; where they do not, it grows in proportion.
	hi, lo := p.hi.mean(), p.lo.mean()
	ratio := float64(p.lo.concurrency) / float64(p.hi.concurrency)
	grown := hi * (1 - ratio)
	z := (hi - lo - grown/2) / math.Sqrt(p.hi.variance()+p.lo.variance()+1)
	if z < probeQueued && z > -probePays && min(p.hi.n, p.lo.n) < probeMax {
		return false
	}
	p.conclude(now, z >= probeQueued, lo/hi)
	return true
}

// conclude ends a trial, given its verdict and the ratio of the own times.
func (p *probe) conclude(now time.Time, queued bool, ratio float64) {
	lo, hi := float64(p.lo.concurrency), float64(p.hi.concurrency)
	p.lo, p.hi = nil, nil
	switch up := hi > p.base; {
	case up && queued:
		p.nextUp = now.Add(probeAgain)
	case up:
		p.base = hi
		p.pause = probePause
	case queued:
		// hi*ratio estimates the real slots. The low arm bounds the step,
		// because nothing below it was measured.
		p.base = min(p.base, max(lo, hi*ratio*probeMargin))
		p.nextUp = now
		p.pause = probePause
	default:
		p.nextDown = now.Add(max(p.pause, probeRest*now.Sub(p.began)))
		p.pause = min(2*p.pause, probePauseMax)
	}
	p.limit.set(p.base)
	p.base = p.limit.value
}

func (p *probe) abort() {
	p.lo, p.hi = nil, nil
	p.limit.set(p.base)
}

func (p *probe) tick(now time.Time, use use) {
	if !use.full {
		p.relax()
		return
	}
	p.free = 0
	p.bound++
	if p.lo != nil || p.own == 0 {
		return
	}
	lo, hi := math.Floor(p.base), math.Floor(p.base)
	switch {
	case hi < math.Floor(p.limit.ceiling) && !now.Before(p.nextUp):
		hi = math.Floor(min(max(p.base*(1+probeStep), p.base+1), p.limit.ceiling))
	case lo > 1 && !use.pressed && p.bound >= probeBound && !now.Before(p.nextDown):
		lo = math.Floor(min(p.base*(1-probeStep), p.base-1))
	default:
		return
	}
	p.lo, p.hi = &arm{concurrency: max(int(lo), 1)}, &arm{concurrency: int(hi)}
	p.began = now
	p.enter(now, true)
}

// press ends a trial downwards; the pause keeps the next one away.
func (p *probe) press(now time.Time) bool {
	if p.lo == nil || float64(p.lo.concurrency) >= math.Floor(p.base) {
		return false
	}
	p.abort()
	p.nextDown = now.Add(probePause)
	return true
}

// relax lets a limit that does not bind return to the slots, so that an old
// verdict does not meet the next overload.
func (p *probe) relax() {
	p.free++
	p.bound = 0
	if p.lo != nil && p.free >= probeGiveUp {
		p.abort()
	}
	slots := float64(p.limit.slots)
	if p.free >= probeForget && p.base < slots {
		p.limit.set(min(p.base*probeRelax, slots))
		p.base = p.limit.value
	}
}
