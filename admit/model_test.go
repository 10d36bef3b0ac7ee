package admit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

// event is one step of the model.
type event struct {
	at  time.Duration
	run func()
}

// modelCall is one call of the model.
type modelCall struct {
	Call
	start, deadline time.Duration
	ticket          *Ticket
	entry           *entry
	service         time.Duration
	// stall is how long the call waits on its dependency.
	stall time.Duration
	// queued is the time between arrival and admission.
	queued time.Duration
	// ended is when it was answered or refused.
	ended  time.Duration
	reason frame.Reason
	// inTime says that it was answered before its deadline.
	inTime bool
	inner  time.Duration
}

// model is a discrete-event loop over one gate and one backend server with
// slots and an inner first-in first-out queue.
type model struct {
	clock *clockwork.FakeClock
	gate  *Gate
	rng   *rand.Rand
	now   time.Duration
	// queue ends with the next event; those of one time are in reverse order of
	// planning.
	queue []event
	// slots is the real number of slots; service their mean time; factor
	// multiplies it at a time.
	slots   int
	service time.Duration
	factor  func(time.Duration) float64
	// load is the offered rate as a multiple of slots/service, by time.
	load func(time.Duration) float64
	// make returns the class, rank, time left, dependency and its stall of a new call.
	make    func() modelCall
	busy    int
	inner   []*modelCall
	pending []*modelCall
	calls   []*modelCall
	// entry is the entry node: a call for which it returns false is shed there.
	entry    func(*modelCall) bool
	admitted func(*modelCall)
	refused  func(*modelCall)
	levels   []frame.Level
	limits   []int
	queued   []int
}

// shedAtEntry is the reason of calls that the model's entry node sheds.
const shedAtEntry = frame.Reason("entry")

const modelSeed = 20261204

func newModel(t testing.TB, o Options, slots int, service time.Duration) *model {
	t.Helper()
	t.Logf("model seed %d", modelSeed)
	clock := clockwork.NewFakeClock()
	o.Clock = clock
	m := &model{
		clock: clock, gate: NewGate(o), rng: rand.New(rand.NewPCG(modelSeed, 1)),
		slots: slots, service: service,
		factor:   func(time.Duration) float64 { return 1 },
		load:     func(time.Duration) float64 { return 1 },
		entry:    func(*modelCall) bool { return true },
		admitted: func(*modelCall) {}, refused: func(*modelCall) {},
	}
	m.make = m.mixed(0.1, 0.4)
	return m
}

// mixed makes calls of class 0 and 1 with the given probabilities, else of class 2.
func (m *model) mixed(first, second float64) func() modelCall {
	return func() modelCall {
		class := 2
		switch x := m.rng.Float64(); {
		case x < first:
			class = 0
		case x < first+second:
			class = 1
		}
		return modelCall{Call: call(class, m.rng.IntN(256), 2*time.Second)}
	}
}

func (m *model) after(d time.Duration, run func()) {
	at := m.now + d
	i, _ := slices.BinarySearchFunc(m.queue, at, func(e event, at time.Duration) int {
		if e.at > at {
			return -1
		}
		return 1
	})
	m.queue = slices.Insert(m.queue, i, event{at: at, run: run})
}

// run plays the model until the given time.
func (m *model) run(until time.Duration) {
	m.after(0, m.arrive)
	m.after(100*time.Millisecond, m.tick)
	for {
		e := m.queue[len(m.queue)-1]
		if e.at > until {
			return
		}
		m.queue = m.queue[:len(m.queue)-1]
		m.clock.Advance(e.at - m.now)
		m.now = e.at
		e.run()
		m.collect()
	}
}

func (m *model) tick() {
	m.gate.Tick()
	m.levels = append(m.levels, m.gate.Level())
	m.limits = append(m.limits, m.gate.limit.Value())
	m.queued = append(m.queued, m.gate.queue.Len())
	m.after(100*time.Millisecond, m.tick)
}

// capacity is what the slots carry per second at a factor of 1.
func (m *model) capacity() float64 { return float64(m.slots) / m.service.Seconds() }

func (m *model) arrive() {
	gap := m.rng.ExpFloat64() / (m.load(m.now) * m.capacity())
	m.after(time.Duration(gap*float64(time.Second)), m.arrive)
	c := m.make()
	c.start, c.deadline = m.now, m.now+c.Left
	m.offer(&c)
}

func (m *model) offer(c *modelCall) {
	m.calls = append(m.calls, c)
	if !m.entry(c) {
		c.reason, c.ended = shedAtEntry, m.now
		return
	}
	ticket, e, refusal := m.gate.offer(c.Call)
	switch {
	case refusal != nil:
		c.reason, c.ended = refusal.Reason(), m.now
		m.refused(c)
	case ticket != nil:
		c.ticket = ticket
		m.serve(c)
	default:
		c.entry = e
		m.pending = append(m.pending, c)
		m.after(c.deadline-m.now, func() { m.gate.abandon(e, frame.ReasonExpired, "") })
	}
}

// collect takes up queued calls that the gate settled in the last step.
func (m *model) collect() {
	if len(m.pending) == m.gate.queue.Len() {
		return
	}
	kept := m.pending[:0]
	var granted []*modelCall
	for _, c := range m.pending {
		select {
		case <-c.entry.done:
		default:
			kept = append(kept, c)
			continue
		}
		if c.entry.err != nil {
			c.reason, c.ended = c.entry.err.Reason(), m.now
			m.refused(c)
			continue
		}
		c.ticket = c.entry.ticket
		granted = append(granted, c)
	}
	m.pending = kept
	for _, c := range granted {
		m.serve(c)
	}
}

func (m *model) serve(c *modelCall) {
	c.queued = m.now - c.start
	m.admitted(c)
	c.inner = m.now
	if m.busy >= m.slots {
		m.inner = append(m.inner, c)
		return
	}
	m.work(c)
}

func (m *model) work(c *modelCall) {
	m.busy++
	c.inner = m.now - c.inner
	// Half of the service time is fixed, half exponential: variation 0.5.
	mean := float64(m.service) * m.factor(m.now)
	c.service = time.Duration(mean * (0.5 + 0.5*m.rng.ExpFloat64()))
	if len(c.Dependencies) == 0 {
		m.after(c.service, func() { m.answer(c) })
		return
	}
	m.after(c.service/2, func() {
		done := c.ticket.Wait(c.Dependencies[0])
		m.after(c.stall, func() {
			done()
			m.after(c.service/2, func() { m.answer(c) })
		})
	})
}

func (m *model) answer(c *modelCall) {
	m.busy--
	c.ended = m.now
	c.inTime = m.now <= c.deadline
	c.ticket.Leave(c.inTime)
	if len(m.inner) > 0 {
		next := m.inner[0]
		m.inner = m.inner[1:]
		m.work(next)
	}
}

// goodput returns the answers in time per second within a span of model time.
func (m *model) goodput(from, to time.Duration) float64 {
	n := 0
	for _, c := range m.calls {
		if c.inTime && c.ended >= from && c.ended < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// served returns the part of the calls of a class that started within the span
// and were answered in time.
func (m *model) served(class int, from, to time.Duration) float64 {
	return m.part(func(c *modelCall) bool {
		return c.Priority.Class() == class && c.start >= from && c.start < to
	})
}

// part returns the part of the chosen calls that were answered in time.
func (m *model) part(choose func(*modelCall) bool) float64 {
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
