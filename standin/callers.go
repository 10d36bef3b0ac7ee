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
	// defaultMaxOutstanding limits concurrent calls.
	defaultMaxOutstanding = 20000
	// minArrivalSleep is the shortest sleep of the load generator; arrivals
	// closer together start at once.
	minArrivalSleep = time.Millisecond
	// responseGrace is added to a caller's timeout, so that the node's
	// timeout response still arrives.
	responseGrace = 250 * time.Millisecond
	// refusedExclusion is how long callers skip an ingress that refused a
	// connection, as a client with several addresses does.
	refusedExclusion = time.Second
)

// Callers is a stand-in for all callers of one deployment.
type Callers struct {
	clock       clockwork.Clock
	scenario    Scenario
	client      *http.Client
	openCalls   chan struct{} // one element per open call
	nextIngress atomic.Uint64
	startedAt   time.Time
	// excludedUntil maps an ingress (string) that refused a connection to the
	// time.Time until which it is skipped.
	excludedUntil sync.Map
}

// NewCallers returns the callers of a scenario. A nil clock is the real clock.
func NewCallers(scenario Scenario, clock clockwork.Clock) (*Callers, error) {
	for _, class := range scenario.Classes {
		if len(scenario.Ingresses) == 0 && len(class.Ingresses) == 0 {
			return nil, eris.Errorf("scenario: class %s has no entries", class.Name)
		}
	}
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if scenario.MaxOutstanding <= 0 {
		scenario.MaxOutstanding = defaultMaxOutstanding
	}
	return &Callers{
		clock: clock, scenario: scenario, openCalls: make(chan struct{}, scenario.MaxOutstanding),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
		}},
	}, nil
}

// Run starts calls until the scenario's duration has passed or ctx is done,
// waits for open calls and returns the counts.
func (c *Callers) Run(ctx context.Context) *Result {
	c.startedAt = c.clock.Now()
	result := &Result{Start: c.startedAt}
	tallies := make([]*tally, len(c.scenario.Classes))
	var wg sync.WaitGroup
	for i, class := range c.scenario.Classes {
		tallies[i] = newTally(class, c.scenario.RecordCalls)
		wg.Go(func() { c.generate(ctx, i, class, tallies[i]) })
	}
	wg.Wait()
	for _, t := range tallies {
		result.Classes = append(result.Classes, t.finish())
		result.RootCalls = append(result.RootCalls, t.rootCalls...)
		result.LostAttempts = append(result.LostAttempts, t.lostAttempts...)
		result.Examples = append(result.Examples, t.wrongExamples...)
	}
	c.client.CloseIdleConnections()
	return result
}

// generate starts the calls of one class at Poisson arrival times (an open
// loop: it does not wait for earlier calls).
func (c *Callers) generate(ctx context.Context, index int, class ClassLoad, t *tally) {
	random := rand.New(rand.NewPCG(c.scenario.Seed, uint64(index)))
	var wg sync.WaitGroup
	defer wg.Wait()
	due := time.Duration(0)
	for n := 0; ; n++ {
		load := class.loadAt(due)
		if load.Rate <= 0 {
			return
		}
		due += time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second))
		if due >= c.scenario.Duration.D() || !c.sleepUntil(ctx, due) {
			return
		}
		token := c.scenario.Name + "-" + class.Name + "-" + strconv.Itoa(n)
		newCall := &call{
			callers: c, class: class.loadAt(due), tally: t, token: token, due: due,
			random: rand.New(rand.NewPCG(random.Uint64(), uint64(n))),
		}
		select {
		case c.openCalls <- struct{}{}:
		default:
			t.countSkipped()
			continue
		}
		wg.Go(func() {
			defer func() { <-c.openCalls }()
			newCall.run(ctx)
		})
	}
}

// sleepUntil waits until due, an offset from the start of the run. It returns false
// if ctx is done.
func (c *Callers) sleepUntil(ctx context.Context, due time.Duration) bool {
	wait := due - c.clock.Since(c.startedAt)
	if wait < minArrivalSleep {
		return ctx.Err() == nil
	}
	return c.sleep(ctx, wait)
}

// sleep waits for d. It returns false if ctx is done.
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

// pickIngress selects the ingress of the next request, if possible not excluded.
func (c *Callers) pickIngress(class ClassLoad, random *rand.Rand) string {
	ingresses := class.Ingresses
	if len(ingresses) == 0 {
		ingresses = c.scenario.Ingresses
	}
	var ingress string
	for range len(ingresses) {
		if c.scenario.RandomIngress {
			ingress = ingresses[random.IntN(len(ingresses))]
		} else {
			ingress = ingresses[c.nextIngress.Add(1)%uint64(len(ingresses))]
		}
		until, ok := c.excludedUntil.Load(ingress)
		if !ok || !c.clock.Now().Before(until.(time.Time)) {
			break
		}
	}
	return ingress
}

// excludeIngress skips an ingress for refusedExclusion.
func (c *Callers) excludeIngress(ingress string) {
	c.excludedUntil.Store(ingress, c.clock.Now().Add(refusedExclusion))
}
