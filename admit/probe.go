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
	probeMin = 24
	probeMax = 1200
	// probeZ is the number of standard errors that a verdict needs.
	probeZ = 2.5
	// probePhase bounds the shortest phase of a trial; the phase is otherwise
	// twice the own time, of which the first half settles.
	probePhase = 20 * time.Millisecond
	// probePause and probePauseMax bound the pause between downward trials,
	// which cost up to half of probeStep in throughput. The pause doubles with
	// each trial that changes nothing.
	probePause    = 2 * time.Second
	probePauseMax = 30 * time.Second
)

// arm collects the own time of the calls that entered at one concurrency.
type arm struct {
	n         float64
	sum, sqr  float64
	occupancy float64
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
	// phase is when the current phase began; settled is when its samples count.
	phase, settled time.Time
	own            float64
	next           time.Time
	pause          time.Duration
	// down says that the next trial at the ceiling or after a trial upwards
	// goes downwards.
	down bool
	idle int
}

func newProbe(l *Limit) {
	p := &probe{limit: l}
	l.leave = p.leave
	l.tick = p.tick
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
	if !s.full {
		p.abort(s.now)
		return
	}
	if !s.entered.Before(p.settled) {
		p.arm().add(v)
	}
	if s.now.Sub(p.settled) >= p.length() && p.arm().n > 0 {
		p.turn(s.now)
	}
}

func (p *probe) arm() *arm {
	if p.atHigh {
		return p.hi
	}
	return p.lo
}

func (p *probe) length() time.Duration { return max(time.Duration(p.own), probePhase) }

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
	p.settled = now.Add(p.length())
	p.limit.set(p.arm().occupancy)
}

// decide returns false while the samples do not suffice.
func (p *probe) decide(now time.Time) bool {
	// Where slots carry the extra concurrency, the own time is the same in both
	// arms; where they do not, it grows in proportion.
	hi, lo := p.hi.mean(), p.lo.mean()
	grown := hi * (1 - p.lo.occupancy/p.hi.occupancy)
	z := (hi - lo - grown/2) / math.Sqrt(p.hi.variance()+p.lo.variance()+1)
	if math.Abs(z) < probeZ && min(p.hi.n, p.lo.n) < probeMax {
		return false
	}
	queued := z >= probeZ
	up := p.hi.occupancy > p.base
	old := p.base
	switch {
	case queued && !up:
		p.base = math.Min(p.base, p.hi.occupancy*lo/hi*probeMargin)
	case !queued && up:
		p.base = p.hi.occupancy
	}
	p.conclude(now, old, up)
	return true
}

// conclude ends a trial and plans the next.
func (p *probe) conclude(now time.Time, old float64, up bool) {
	p.lo, p.hi = nil, nil
	p.limit.set(p.base)
	p.base = p.limit.value
	changed := int(p.base) != int(old)
	if changed {
		p.pause = probePause
		p.next = now
		p.down = !up
		return
	}
	p.next = now.Add(p.pause)
	p.pause = min(2*p.pause, probePauseMax)
	p.down = up
}

func (p *probe) abort(now time.Time) {
	p.lo, p.hi = nil, nil
	p.limit.set(p.base)
	p.next = now.Add(probePause / 4)
}

func (p *probe) tick(now time.Time, full bool) {
	if !full {
		p.relax(now)
		return
	}
	p.idle = 0
	if p.lo != nil || now.Before(p.next) || p.own == 0 {
		return
	}
	ceiling := p.limit.ceiling
	up := !p.down && math.Floor(p.base) < math.Floor(ceiling)
	hi := p.base
	if up {
		hi = math.Min(ceiling, math.Max(p.base*(1+probeStep), p.base+1))
	}
	lo := p.base
	if !up {
		lo = math.Min(p.base*(1-probeStep), p.base-1)
	}
	hi, lo = math.Floor(hi), math.Floor(lo)
	if lo < 1 || hi <= lo {
		p.down = !p.down
		return
	}
	p.hi, p.lo = &arm{occupancy: hi}, &arm{occupancy: lo}
	p.enter(now, true)
}

// relax lets a limit that does not bind return to the ceiling, so that an old
// verdict does not meet the next overload: 10% a second after 5 s.
func (p *probe) relax(now time.Time) {
	if p.lo != nil {
		p.abort(now)
	}
	p.idle++
	if p.idle >= 50 && p.idle%10 == 0 && p.base < float64(p.limit.slots) {
		p.limit.set(math.Min(p.base*1.1, float64(p.limit.slots)))
		p.base = p.limit.value
	}
}
