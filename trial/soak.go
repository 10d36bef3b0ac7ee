package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"dogwoodhead/standin"
)

const (
	// soakScale keeps the load below capacity, so that most calls run instead of
	// being refused at ingress.
	soakScale = 0.3
	// soakWarmUp is the time before the first fault.
	soakWarmUp = 3 * time.Second
	// soakSettleTime follows the last fault, so that configuration must be
	// active everywhere before the run ends.
	soakSettleTime = maxActivationTime + 2*time.Second
	// servingTimeout is the time in which nodes must serve calls after the faults.
	servingTimeout = 10 * time.Second
	// soakCancelFraction is the fraction of calls of a "-hangup" class that the
	// callers cancel.
	soakCancelFraction = 0.5
)

// The collective's load at scale 1. Payouts and lookups both reach patternroom,
// which has 40 slots in all.
var collectiveLoads = []Load{
	{Class: "payout", Target: "tannerpay/pay", Rate: 40, Keyed: true},
	{Class: "lookup", Target: "hidebook/lookup", Rate: 250},
	{Class: "browse", Target: "dyehouse/batches", Rate: 80},
}

var collectiveSelfTimes = map[string]time.Duration{
	"hidebook/lookup":     80 * time.Millisecond,
	"hidebook/lot":        40 * time.Millisecond,
	"hidebook/settle":     60 * time.Millisecond,
	"hidebook/browse":     60 * time.Millisecond,
	"tannerpay/pay":       80 * time.Millisecond,
	"tannerpay/statement": 60 * time.Millisecond,
	"dyehouse/check":      60 * time.Millisecond,
	"dyehouse/batches":    60 * time.Millisecond,
	"dyehouse/close":      60 * time.Millisecond,
	"patternroom/sheet":   20 * time.Millisecond,
	"patternroom/index":   20 * time.Millisecond,
	"patternroom/release": 20 * time.Millisecond,
}

// soak is one run of Soak.
type soak struct {
	fleet    *Fleet
	out      io.Writer
	schedule []fault
	start    time.Time

	// mu guards the process and VM fields of the fleet's servers, and the
	// fields below.
	mu            sync.Mutex
	ledgers       []standin.LedgerView // of processes that ended
	plannedStops  []termination        // of nodes
	kills         []termination        // of nodes and backend servers
	newWorkChecks int                  // checks of new work after leaving
	violations    map[string][]string
	docs          documents
	ended         []nodeObservation
	live          map[string]*nodeObservation
}

// Soak sends mixed load to a deployment while faults of all kinds happen, and
// returns an error if a guarantee was violated.
func Soak(ctx context.Context, opts DemoOptions) error {
	plan, loads, err := soakPlan(opts)
	if err != nil {
		return err
	}
	fleet, err := StartFleet(ctx, plan, opts.Programs, opts.Dir)
	if err != nil {
		return err
	}
	s := &soak{
		fleet: fleet, out: opts.Out, schedule: newSchedule(opts.Seed, opts.Length, fleet),
		violations: make(map[string][]string), live: make(map[string]*nodeObservation),
	}
	fmt.Fprintf(opts.Out, "site %s, seed %d, %d nodes, %s, %d faults:\n", plan.Site, opts.Seed, len(fleet.servers), opts.Length, len(s.schedule))
	for _, f := range s.schedule {
		fmt.Fprintln(opts.Out, " ", f)
	}
	res, err := s.run(ctx, fleet.soakScenario(loads, opts.Seed, opts.Length))
	s.stopAll()
	if err != nil {
		return err
	}
	return s.report(res)
}

// soakPlan reads a deployment and returns a load that its services can carry.
func soakPlan(opts DemoOptions) (*Plan, []Load, error) {
	plan, err := councilPlan(opts.Base, opts.Overlay, opts.Seed)
	if err != nil {
		return nil, nil, err
	}
	plan.LogLevel = "info" // planned stops are checked in the node's log
	if _, ok := plan.Document.Services["tannerpay"]; ok {
		plan.SelfTimes = collectiveSelfTimes
		return plan, collectiveLoads, nil
	}
	return plan, councilLoads, nil
}

// soakScenario returns the load with two more classes, whose callers cancel calls.
func (f *Fleet) soakScenario(loads []Load, seed uint64, length time.Duration) standin.Scenario {
	scenario := standin.Scenario{
		Name: "soak", Seed: seed, Duration: standin.Duration(length), RandomIngress: true,
		Graph: f.plan.Document.Graph(), RecordCalls: true,
	}
	for _, l := range loads {
		scenario.Classes = append(scenario.Classes, l.classLoad(f, soakScale))
	}
	for _, l := range loads[:2] {
		c := l.classLoad(f, soakScale/4)
		c.Name, c.CancelFraction = l.Class+"-hangup", soakCancelFraction
		scenario.Classes = append(scenario.Classes, c)
	}
	return scenario
}

// run sends load, injects the faults and watches the nodes.
func (s *soak) run(ctx context.Context, scenario standin.Scenario) (*standin.Result, error) {
	callers, err := standin.NewCallers(scenario, nil)
	if err != nil {
		return nil, err
	}
	if err := s.docs.init(ctx, s.fleet); err != nil {
		return nil, err
	}
	s.start = time.Now()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watch, g errgroup.Group
	watch.Go(func() error { s.watch(watchCtx); return nil })
	var res *standin.Result
	g.Go(func() error { res = callers.Run(ctx); return nil })
	for _, f := range s.schedule {
		g.Go(func() error { return eris.Wrapf(s.runFault(ctx, f), "%s", f) })
	}
	err = g.Wait()
	if err == nil && !sleep(ctx, soakSettleTime) {
		err = eris.Wrap(ctx.Err(), "interrupted")
	}
	if err == nil {
		s.checkAllServing(ctx)
		s.scrapeAll(ctx)
	}
	stopWatching()
	_ = watch.Wait()
	if err != nil {
		return nil, err
	}
	ledgers, err := s.fleet.Ledgers(ctx)
	s.ledgers = append(s.ledgers, ledgers...)
	return res, err
}

// checkAllServing records nodes that do not serve calls after the faults.
func (s *soak) checkAllServing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	var g errgroup.Group
	for _, server := range s.fleet.servers {
		g.Go(func() error {
			if s.statusOf(server).Leaving {
				s.recordViolation(checkServing, "%s is still leaving", server.VM.Name)
			}
			if err := s.fleet.waitServing(ctx, server); err != nil {
				s.recordViolation(checkServing, "%v", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// stopAll stops the fleet; each process must end cleanly.
func (s *soak) stopAll() {
	if err := s.fleet.Stop(); err != nil {
		s.recordViolation(checkStop, "at the end: %v", err)
	}
}

// elapsed returns the time since the run began.
func (s *soak) elapsed() time.Duration { return time.Since(s.start).Round(time.Millisecond) }

// logf prints a message with the elapsed time.
func (s *soak) logf(format string, args ...any) {
	fmt.Fprintf(s.out, "%8s %s\n", s.elapsed(), fmt.Sprintf(format, args...))
}

// recordViolation records a violation of a check.
func (s *soak) recordViolation(check, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations[check] = append(s.violations[check], s.elapsed().String()+" "+fmt.Sprintf(format, args...))
}

// errCheckFailed is returned if a check failed; the report has the details.
var errCheckFailed = errors.New("soak: a check failed")
