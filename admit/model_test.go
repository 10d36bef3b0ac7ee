package admit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

// event is a function that the model runs at a model time.
type event struct {
	at  time.Duration
	run func()
}

// modelCall is one call of the model.
type modelCall struct {
	Call
	arrived, deadline time.Duration
	ticket            *Ticket
	entry             *entry
	serviceTime       time.Duration
	// dependencyWait is how long the call waits on its dependency.
	dependencyWait time.Duration
	// queueDelay is the time between arrival and admission.
	queueDelay time.Duration
	// ended is when the call was answered or refused.
	ended  time.Duration
	reason frame.Reason
	// inTime is set if the call was answered by its deadline.
	inTime bool
	// backendWait is the time in backendQueue; until it ends, the time of admission.
	backendWait time.Duration
}

// model is a discrete-event simulation of one gate and one backend server, which
// has slots and a first-in first-out queue.
type model struct {
	clock *clockwork.FakeClock
	gate  *Gate
	rng   *rand.Rand
	now   time.Duration
	// events ends with the next event; simultaneous ones are in reverse order of
	// scheduling.
	events []event
	// slots is the real number of slots and serviceTime the mean time per call;
	// slowdown returns a factor for it by time.
	slots       int
	serviceTime time.Duration
	slowdown    func(time.Duration) float64
	// load returns the offered rate as a multiple of capacity, by time.
	load func(time.Duration) float64
	// newCall sets priority, time left, dependency and dependencyWait.
	newCall      func() modelCall
	busySlots    int
	backendQueue []*modelCall
	pending      []*modelCall
	calls        []*modelCall
	// ingressAdmits reports whether the ingress node admits a call, else sheds it.
	ingressAdmits func(*modelCall) bool
	onAdmitted    func(*modelCall)
	onRefused     func(*modelCall)
	tickLevels    []frame.Level
	tickLimits    []int
	tickQueued    []int
}

// shedAtIngress is the reason of calls that the model's ingress node sheds.
const shedAtIngress = frame.Reason("ingress")

const modelSeed = 20261204

func newModel(t testing.TB, opts Options, slots int, service time.Duration) *model {
	t.Helper()
	t.Logf("model seed %d", modelSeed)
	clock := clockwork.NewFakeClock()
	opts.Clock = clock
	m := &model{
		clock: clock, gate: NewGate(opts), rng: rand.New(rand.NewPCG(modelSeed, 1)),
		slots: slots, serviceTime: service,
		slowdown:      func(time.Duration) float64 { return 1 },
		load:          func(time.Duration) float64 { return 1 },
		ingressAdmits: func(*modelCall) bool { return true },
		onAdmitted:    func(*modelCall) {}, onRefused: func(*modelCall) {},
	}
	m.newCall = m.classMix(0.1, 0.4)
	return m
}

// classMix generates calls of classes 0, 1 and 2; the last has the rest.
func (m *model) classMix(class0, class1 float64) func() modelCall {
	return func() modelCall {
		class := 2
		switch x := m.rng.Float64(); {
		case x < class0:
			class = 0
		case x < class0+class1:
			class = 1
		}
		return modelCall{Call: call(class, m.rng.IntN(256), 2*time.Second)}
	}
}

func (m *model) schedule(d time.Duration, run func()) {
	at := m.now + d
	i, _ := slices.BinarySearchFunc(m.events, at, func(e event, at time.Duration) int {
		if e.at > at {
			return -1
		}
		return 1
	})
	m.events = slices.Insert(m.events, i, event{at: at, run: run})
}

// run runs the simulation until the given model time.
func (m *model) run(until time.Duration) {
	m.schedule(0, m.arrive)
	m.schedule(100*time.Millisecond, m.tick)
	for {
		e := m.events[len(m.events)-1]
		if e.at > until {
			return
		}
		m.events = m.events[:len(m.events)-1]
		m.clock.Advance(e.at - m.now)
		m.now = e.at
		e.run()
		m.collectSettled()
	}
}

func (m *model) tick() {
	m.gate.Tick()
	m.tickLevels = append(m.tickLevels, m.gate.Level())
	m.tickLimits = append(m.tickLimits, m.gate.limit.Value())
	m.tickQueued = append(m.tickQueued, m.gate.queue.Len())
	m.schedule(100*time.Millisecond, m.tick)
}

// capacity returns the calls per second that the slots serve without slowdown.
func (m *model) capacity() float64 { return float64(m.slots) / m.serviceTime.Seconds() }

func (m *model) arrive() {
	gap := m.rng.ExpFloat64() / (m.load(m.now) * m.capacity())
	m.schedule(time.Duration(gap*float64(time.Second)), m.arrive)
	c := m.newCall()
	c.arrived, c.deadline = m.now, m.now+c.TimeLeft
	m.submit(&c)
}

func (m *model) submit(c *modelCall) {
	m.calls = append(m.calls, c)
	if !m.ingressAdmits(c) {
		c.reason, c.ended = shedAtIngress, m.now
		return
	}
	ticket, e, refusal := m.gate.arrive(c.Call)
	switch {
	case refusal != nil:
		c.reason, c.ended = refusal.Reason(), m.now
		m.onRefused(c)
	case ticket != nil:
		c.ticket = ticket
		m.enterBackend(c)
	default:
		c.entry = e
		m.pending = append(m.pending, c)
		m.schedule(c.deadline-m.now, func() { m.gate.abandon(e, frame.ReasonExpired, "") })
	}
}

// collectSettled processes queued calls that the last step admitted or refused.
func (m *model) collectSettled() {
	if len(m.pending) == m.gate.queue.Len() {
		return
	}
	kept := m.pending[:0]
	var admitted []*modelCall
	for _, c := range m.pending {
		select {
		case <-c.entry.done:
		default:
			kept = append(kept, c)
			continue
		}
		if c.entry.err != nil {
			c.reason, c.ended = c.entry.err.Reason(), m.now
			m.onRefused(c)
			continue
		}
		c.ticket = c.entry.ticket
		admitted = append(admitted, c)
	}
	m.pending = kept
	for _, c := range admitted {
		m.enterBackend(c)
	}
}

func (m *model) enterBackend(c *modelCall) {
	c.queueDelay = m.now - c.arrived
	m.onAdmitted(c)
	c.backendWait = m.now
	if m.busySlots >= m.slots {
		m.backendQueue = append(m.backendQueue, c)
		return
	}
	m.startWork(c)
}

func (m *model) startWork(c *modelCall) {
	m.busySlots++
	c.backendWait = m.now - c.backendWait
	// Half of the service time is fixed, half exponential: the coefficient of
	// variation is 0.5.
	mean := float64(m.serviceTime) * m.slowdown(m.now)
	c.serviceTime = time.Duration(mean * (0.5 + 0.5*m.rng.ExpFloat64()))
	if len(c.Dependencies) == 0 {
		m.schedule(c.serviceTime, func() { m.finishWork(c) })
		return
	}
	m.schedule(c.serviceTime/2, func() {
		done := c.ticket.BeginWait(c.Dependencies[0])
		m.schedule(c.dependencyWait, func() {
			done()
			m.schedule(c.serviceTime/2, func() { m.finishWork(c) })
		})
	})
}

func (m *model) finishWork(c *modelCall) {
	m.busySlots--
	c.ended = m.now
	c.inTime = m.now <= c.deadline
	c.ticket.Release(c.inTime)
	if len(m.backendQueue) > 0 {
		next := m.backendQueue[0]
		m.backendQueue = m.backendQueue[1:]
		m.startWork(next)
	}
}

// goodput returns the calls answered in time per second of a span of model time.
func (m *model) goodput(from, to time.Duration) float64 {
	n := 0
	for _, c := range m.calls {
		if c.inTime && c.ended >= from && c.ended < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// answeredOfClass returns the fraction answered in time of the calls of a class
// that arrived within the span.
func (m *model) answeredOfClass(class int, from, to time.Duration) float64 {
	return m.answeredFraction(func(c *modelCall) bool {
		return c.Priority.Class() == class && c.arrived >= from && c.arrived < to
	})
}

// answeredFraction returns the fraction of the chosen calls answered in time.
func (m *model) answeredFraction(choose func(*modelCall) bool) float64 {
	n, ok := 0, 0
	for _, c := range m.calls {
		if choose(c) {
			n++
			if c.inTime {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(n, 1))
}
