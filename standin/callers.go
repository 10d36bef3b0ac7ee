package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

const (
	// defaultOutstanding bounds the calls open at a time.
	defaultOutstanding = 20000
	// arrivalGrain is how long the load generator sleeps at least; arrivals
	// that fall within it start together.
	arrivalGrain = time.Millisecond
	// answerGrace is how long a caller waits beyond its own timeout, so that
	// the system's own answer to the timeout still arrives.
	answerGrace = 250 * time.Millisecond
	// refusedFor is how long callers leave out an entry that refused a
	// connection, as a client with several addresses does.
	refusedFor = time.Second
)

// Callers is a stand-in of all callers of one deployment.
type Callers struct {
	clock  clockwork.Clock
	sc     Scenario
	client *http.Client
	open   chan struct{}
	next   atomic.Uint64
	start  time.Time
	// refused holds, per entry that refused a connection, until when (a
	// time.Time) it is not used.
	refused sync.Map
}

// NewCallers returns callers for a scenario; clock is the real clock where nil.
func NewCallers(sc Scenario, clock clockwork.Clock) (*Callers, error) {
	for _, class := range sc.Classes {
		if len(sc.Entries) == 0 && len(class.Entries) == 0 {
			return nil, eris.Errorf("scenario: class %s has no entries", class.Name)
		}
	}
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if sc.Outstanding <= 0 {
		sc.Outstanding = defaultOutstanding
	}
	return &Callers{
		clock: clock, sc: sc, open: make(chan struct{}, sc.Outstanding),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
		}},
	}, nil
}

// Run starts calls until the scenario's duration is over or ctx ends, waits for
// the open ones and returns the counts.
func (c *Callers) Run(ctx context.Context) *Result {
	c.start = c.clock.Now()
	res := &Result{Start: c.start}
	tallies := make([]*tally, len(c.sc.Classes))
	var wg sync.WaitGroup
	for i, class := range c.sc.Classes {
		tallies[i] = newTally(class, c.sc.Record)
		wg.Go(func() { c.generate(ctx, i, class, tallies[i]) })
	}
	wg.Wait()
	for _, t := range tallies {
		res.Classes = append(res.Classes, t.result())
		res.Roots = append(res.Roots, t.roots...)
		res.Lost = append(res.Lost, t.lost...)
		res.Examples = append(res.Examples, t.examples...)
	}
	c.client.CloseIdleConnections()
	return res
}

// generate starts the calls of one class at Poisson arrival times, whether or
// not earlier calls are answered.
func (c *Callers) generate(ctx context.Context, index int, class ClassLoad, t *tally) {
	random := rand.New(rand.NewPCG(c.sc.Seed, uint64(index)))
	var wg sync.WaitGroup
	defer wg.Wait()
	due := time.Duration(0)
	for n := 0; ; n++ {
		now := class.at(due)
		if now.Rate <= 0 {
			return
		}
		due += time.Duration(random.ExpFloat64() / now.Rate * float64(time.Second))
		if due >= c.sc.Duration.D() || !c.sleepUntil(ctx, due) {
			return
		}
		token := c.sc.Name + "-" + class.Name + "-" + strconv.Itoa(n)
		one := &call{
			callers: c, class: class.at(due), tally: t, token: token, due: due,
			random: rand.New(rand.NewPCG(random.Uint64(), uint64(n))),
		}
		select {
		case c.open <- struct{}{}:
		default:
			t.skip()
			continue
		}
		wg.Go(func() {
			defer func() { <-c.open }()
			one.run(ctx)
		})
	}
}

// sleepUntil waits until a time since the start and reports whether ctx still
// runs.
func (c *Callers) sleepUntil(ctx context.Context, due time.Duration) bool {
	wait := due - c.clock.Since(c.start)
	if wait < arrivalGrain {
		return ctx.Err() == nil
	}
	return c.sleep(ctx, wait)
}

func (c *Callers) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := c.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// entry returns the next entry to use.
func (c *Callers) entry(class ClassLoad, random *rand.Rand) string {
	entries := class.Entries
	if len(entries) == 0 {
		entries = c.sc.Entries
	}
	var entry string
	for range len(entries) {
		if c.sc.Random {
			entry = entries[random.IntN(len(entries))]
		} else {
			entry = entries[c.next.Add(1)%uint64(len(entries))]
		}
		until, ok := c.refused.Load(entry)
		if !ok || !c.clock.Now().Before(until.(time.Time)) {
			break
		}
	}
	return entry
}

// refuse leaves an entry out for a while.
func (c *Callers) refuse(entry string) { c.refused.Store(entry, c.clock.Now().Add(refusedFor)) }
