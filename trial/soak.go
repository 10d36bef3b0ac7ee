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
	// soakScale keeps the load below capacity, so that most calls are in
	// progress somewhere and not refused at the entry.
	soakScale = 0.3
	// soakLead is the time before the first fault.
	soakLead = 3 * time.Second
	// soakSettle follows the last fault, so that configuration has to be in
	// force everywhere before the run ends.
	soakSettle = inForceLimit + 2*time.Second
	// servesLimit is the time in which every node has to answer once all is settled.
	servesLimit = 10 * time.Second
	// soakHangUp is the share of calls that one class of callers gives up.
	soakHangUp = 0.5
)

// The collective's load at scale 1. Payouts and lookups both end at
// patternroom, which has 40 slots in all.
var collectiveLoads = []Load{
	{Class: "payout", Target: "tannerpay/pay", Rate: 40, Keyed: true},
	{Class: "lookup", Target: "hidebook/lookup", Rate: 250},
	{Class: "browse", Target: "dyehouse/batches", Rate: 80},
}

var collectiveWork = map[string]time.Duration{
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

// soak is one run.
type soak struct {
	fleet    *Fleet
	out      io.Writer
	schedule []fault
	start    time.Time

	// mu guards the process fields of the fleet's servers, their entries of
	// the VM list, and what follows.
	mu      sync.Mutex
	ledgers []standin.LedgerView // of processes that ended
	stops   []ending             // planned stops of nodes
	kills   []ending             // of nodes and backend servers
	late    int                  // checks of new work after leaving
	found   map[string][]string
	docs    documents
	past    []watched
	live    map[string]*watched
}

// Soak sends mixed load to a deployment while faults of all kinds happen, and
// returns an error where anything was broken that must always hold.
func Soak(ctx context.Context, o DemoOptions) error {
	plan, loads, err := soakPlan(o)
	if err != nil {
		return err
	}
	fleet, err := StartFleet(ctx, plan, o.Programs, o.Dir)
	if err != nil {
		return err
	}
	s := &soak{
		fleet: fleet, out: o.Out, schedule: newSchedule(o.Seed, o.Length, fleet),
		found: make(map[string][]string), live: make(map[string]*watched),
	}
	fmt.Fprintf(o.Out, "site %s, seed %d, %d nodes, %s, %d faults:\n", plan.Site, o.Seed, len(fleet.servers), o.Length, len(s.schedule))
	for _, f := range s.schedule {
		fmt.Fprintln(o.Out, " ", f)
	}
	res, err := s.run(ctx, fleet.soakScenario(loads, o.Seed, o.Length))
	s.stopAll()
	if err != nil {
		return err
	}
	return s.report(res)
}

// soakPlan reads a deployment with the load that its services can carry.
func soakPlan(o DemoOptions) (*Plan, []Load, error) {
	plan, err := councilPlan(o.Base, o.Overlay, o.Seed)
	if err != nil {
		return nil, nil, err
	}
	plan.Log = "info" // planned stops are checked by what the node logs
	if _, ok := plan.Document.Services["tannerpay"]; ok {
		plan.Work = collectiveWork
		return plan, collectiveLoads, nil
	}
	return plan, councilLoads, nil
}

// soakScenario is the load with two further classes of callers that hang up.
func (f *Fleet) soakScenario(loads []Load, seed uint64, length time.Duration) standin.Scenario {
	sc := standin.Scenario{
		Name: "soak", Seed: seed, Duration: standin.Duration(length), RandomIngress: true,
		Graph: f.plan.Document.Graph(), RecordCalls: true,
	}
	for _, l := range loads {
		sc.Classes = append(sc.Classes, l.classLoad(f, soakScale))
	}
	for _, l := range loads[:2] {
		c := l.classLoad(f, soakScale/4)
		c.Name, c.CancelFraction = l.Class+"-hangup", soakHangUp
		sc.Classes = append(sc.Classes, c)
	}
	return sc
}

// run sends load, makes the faults happen and watches until all is settled.
func (s *soak) run(ctx context.Context, sc standin.Scenario) (*standin.Result, error) {
	callers, err := standin.NewCallers(sc, nil)
	if err != nil {
		return nil, err
	}
	if err := s.docs.init(ctx, s.fleet); err != nil {
		return nil, err
	}
	s.start = time.Now()
	watching, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watch, g errgroup.Group
	watch.Go(func() error { s.watch(watching); return nil })
	var res *standin.Result
	g.Go(func() error { res = callers.Run(ctx); return nil })
	for _, f := range s.schedule {
		g.Go(func() error { return eris.Wrapf(s.act(ctx, f), "%s", f) })
	}
	err = g.Wait()
	if err == nil && !pause(ctx, soakSettle) {
		err = eris.Wrap(ctx.Err(), "interrupted")
	}
	if err == nil {
		s.checkServes(ctx)
		s.scrapeAll(ctx)
	}
	stopWatch()
	_ = watch.Wait()
	if err != nil {
		return nil, err
	}
	ledgers, err := s.fleet.Ledgers(ctx)
	s.ledgers = append(s.ledgers, ledgers...)
	return res, err
}

// checkServes finds nodes that no longer take calls, though all faults are over.
func (s *soak) checkServes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, servesLimit)
	defer cancel()
	var g errgroup.Group
	for _, v := range s.fleet.servers {
		g.Go(func() error {
			if s.statusOf(v).Leaving {
				s.broken(checkServes, "%s still leaves", v.VM.Name)
			}
			if err := s.fleet.waitAnswer(ctx, v); err != nil {
				s.broken(checkServes, "%v", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// stopAll ends the fleet; each process must end cleanly.
func (s *soak) stopAll() {
	if err := s.fleet.Stop(); err != nil {
		s.broken(checkStop, "at the end: %v", err)
	}
}

// since returns the time since the run began.
func (s *soak) since() time.Duration { return time.Since(s.start).Round(time.Millisecond) }

// note prints what happened when.
func (s *soak) note(format string, args ...any) {
	fmt.Fprintf(s.out, "%8s %s\n", s.since(), fmt.Sprintf(format, args...))
}

// broken records a violation.
func (s *soak) broken(check, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found[check] = append(s.found[check], s.since().String()+" "+fmt.Sprintf(format, args...))
}

// errSoak is returned where a check was broken; the report has the details.
var errSoak = errors.New("soak: a check was broken")
