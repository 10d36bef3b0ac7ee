package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodhead/standin"
)

// Modes are the values of the policy field control that are compared.
var Modes = []string{"full", "none", "fixed", "ratio"}

const (
	// warmUp lets connections, limits and levels settle before the baseline.
	warmUp = 3 * time.Second
	// baselineLength is the length of the baseline before the trigger.
	baselineLength = 5 * time.Second
	// recoveryLength is how long the run continues after the trigger.
	recoveryLength = 10 * time.Second
	// slowFactor multiplies the self times of the deepest service.
	slowFactor = 10
	// surgeFactor multiplies the rate of lookups.
	surgeFactor = 5
	// maxCallerLateness is the lateness of the callers, in milliseconds, above
	// which a result reflects the machine rather than the nodes.
	maxCallerLateness = 100.0
	// surgeRetries and surgeBackoff apply to callers that retry aggressively.
	surgeRetries = 4
	surgeBackoff = 50 * time.Millisecond
	// deepService is the deepest service in the call graph of the council deployment.
	deepService = "ladder"
	// surgeClass is the class whose rate surges.
	surgeClass = "lookup"
)

// Trigger is one scripted overload or failure.
type Trigger struct {
	// Name is the value for --scenario and the name in the table.
	Name string
	// Description is a short summary of the faults.
	Description string

	slowDeepService bool
	surge           bool
	killZone        bool
	platformDown    bool
}

// Triggers are the scripted scenarios.
var Triggers = []Trigger{
	{Name: "slow", Description: "the deepest service is 10 times slower", slowDeepService: true},
	{Name: "surge", Description: "5 times the lookups, callers retry hard", surge: true},
	{Name: "both", Description: "slow and surge together", slowDeepService: true, surge: true},
	{Name: "zone", Description: "the nodes of one zone are killed", killZone: true},
	{Name: "platform", Description: "surge while the platform is down", surge: true, platformDown: true},
}

// MeasureOptions configures Measure.
type MeasureOptions struct {
	DemoOptions
	// Scale multiplies slots and load.
	Scale float64
	// Triggers and Modes are run in all combinations.
	Triggers []Trigger
	Modes    []string
}

// ScenarioResult holds the figures of one scenario in one mode.
type ScenarioResult struct {
	Scenario string `json:"scenario"`
	Mode     string `json:"mode"`
	// Capacity is the rate that the slots can serve during the trigger, Offered
	// the rate sent and Answered the rate answered, in calls per second.
	Capacity float64 `json:"limit"`
	Offered  float64 `json:"offered"`
	Answered float64 `json:"answered"`
	// Goodput is Answered/Capacity.
	Goodput float64 `json:"goodput"`
	// BookingsAnswered is the fraction answered of those sent during the trigger.
	BookingsAnswered float64 `json:"bookings"`
	// AttemptsPerCall is 1 plus the extra attempts per external call, from the
	// nodes' counters, which include refused attempts. RunsPerCall is 1 plus the
	// extra runs per external call, from the backend servers' ledgers.
	AttemptsPerCall float64 `json:"attempts"`
	RunsPerCall     float64 `json:"runs"`
	// WastedFraction is the fraction of busy slot time that produced no response.
	WastedFraction float64 `json:"wasted"`
	// RecoverySeconds is nil if goodput did not recover.
	RecoverySeconds *float64 `json:"recovery"`
	// Wrong, Partial, RanTwice and FalseNotRun count violated guarantees.
	Wrong       int `json:"wrong"`
	Partial     int `json:"partial"`
	RanTwice    int `json:"twice"`
	FalseNotRun int `json:"ran"`
	// CallerLateness is the 99th percentile of the callers' lateness, in
	// milliseconds; see standin.ClassResult.
	CallerLateness float64 `json:"late"`
	// PeakPlatformReads is the platform's largest number of reads within a second.
	PeakPlatformReads int                   `json:"reads"`
	Classes           []standin.ClassResult `json:"classes"`
}

// Measure runs all scenarios in all modes and prints a JSON line for each and a
// table at the end. The error joins the runs that failed or violated a
// guarantee; missed targets are only marked.
func Measure(ctx context.Context, opts MeasureOptions) error {
	var results []ScenarioResult
	var errs []error
	if !opts.direct() {
		added, err := measureAddedLatency(ctx, opts)
		if err != nil {
			return err
		}
		fmt.Fprintln(opts.Out, added)
	}
	for _, t := range opts.Triggers {
		for _, mode := range opts.Modes {
			if ctx.Err() != nil {
				return errors.Join(append(errs, eris.Wrap(ctx.Err(), "interrupted"))...)
			}
			result, err := runScenario(ctx, opts, t, mode)
			if err != nil {
				errs = append(errs, eris.Wrapf(err, "scenario %s, mode %s", t.Name, mode))
			}
			if result == nil {
				continue
			}
			results = append(results, *result)
			line, err := json.Marshal(result)
			if err != nil {
				return eris.Wrap(err, "write result")
			}
			fmt.Fprintln(opts.Out, string(line))
		}
	}
	printResults(opts.Out, results)
	return errors.Join(errs...)
}

func (opts MeasureOptions) direct() bool { return opts.Programs.Node == "" }

// startFleet starts a scaled fleet in a mode, with a separate directory.
func (opts MeasureOptions) startFleet(ctx context.Context, name, mode string) (*Fleet, error) {
	plan, err := councilPlan(opts.Base, opts.Overlay, opts.Seed)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(plan.ScaleSlots(opts.Scale), plan.SetControl(mode)); err != nil {
		return nil, err
	}
	dir := filepath.Join(opts.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	return StartFleet(ctx, plan, opts.Programs, dir)
}

// runScenario runs one scenario in one mode.
func runScenario(ctx context.Context, opts MeasureOptions, t Trigger, mode string) (*ScenarioResult, error) {
	fleet, err := opts.startFleet(ctx, t.Name+"-"+mode, mode)
	if err != nil {
		return nil, err
	}
	trigger := Span{From: warmUp + baselineLength, To: warmUp + baselineLength + opts.Length}
	scenario := fleet.councilScenario(t.Name, opts.Seed, trigger.To+recoveryLength, opts.Scale)
	t.addSurge(scenario.Classes, trigger)
	injected := make(chan error, 1)
	go func() { injected <- t.inject(ctx, fleet, trigger) }()
	res, ledgers, err := fleet.runLoad(ctx, scenario)
	err = errors.Join(err, <-injected)
	var stats standin.PlatformStats
	var extraAttempts int
	if err == nil {
		stats, err = fleet.PlatformStats(ctx)
	}
	if err == nil {
		extraAttempts, err = fleet.ExtraAttempts(ctx)
	}
	if err = errors.Join(err, fleet.Stop()); res == nil {
		return nil, err
	}
	result := t.result(fleet, mode, res, scenario, trigger)
	result.PeakPlatformReads = stats.PeakReadsPerSecond
	account := NewAccount(fleet.plan.Document, res.RootCalls, ledgers)
	result.RunsPerCall, result.WastedFraction = account.AttemptsPerCall(), account.WastedFraction()
	result.AttemptsPerCall = max(result.RunsPerCall, 1+float64(extraAttempts)/float64(max(1, account.ExternalAttempts)))
	result.RanTwice, result.FalseNotRun = len(account.RanTwice), len(account.FalseNotRun)
	return result, errors.Join(err, account.check(res))
}

// addSurge adds the surge to the load.
func (t Trigger) addSurge(classes []standin.ClassLoad, span Span) {
	if !t.surge {
		return
	}
	for i := range classes {
		if classes[i].Name == surgeClass {
			classes[i].Surges = []standin.Surge{{
				Start: standin.Duration(span.From), Length: standin.Duration(span.Length()), RateFactor: surgeFactor,
				MaxRetries: surgeRetries, Backoff: standin.Duration(surgeBackoff),
			}}
		}
	}
}

// inject injects the faults of a scenario at their times relative to the load,
// which begins now.
func (t Trigger) inject(ctx context.Context, f *Fleet, span Span) error {
	if t.platformDown {
		if err := f.SetPlatformMode(ctx, standin.ModeDown); err != nil {
			return err
		}
	}
	if !sleep(ctx, span.From) {
		return ctx.Err()
	}
	if t.killZone {
		f.KillZone(f.plan.Zones[len(f.plan.Zones)-1])
	}
	if !t.slowDeepService {
		return nil
	}
	if err := f.SetBackendFaults(ctx, deepService, fmt.Sprintf(`{"slow":%d}`, slowFactor)); err != nil {
		return err
	}
	if !sleep(ctx, span.Length()) {
		return ctx.Err()
	}
	return f.SetBackendFaults(ctx, deepService, `{"slow":1}`)
}

// capacity returns the capacity during the trigger.
func (t Trigger) capacity(f *Fleet) Capacity {
	c := Capacity{Document: f.plan.Document, Slots: make(map[string]float64)}
	servers := f.plan.ServersPerService()
	if t.killZone {
		servers -= f.plan.PerZone
	}
	for name, s := range f.plan.Document.Services {
		c.Slots[name] = float64(s.Slots * servers)
	}
	c.SelfTime = func(target string) time.Duration {
		selfTime := f.plan.SelfTimes[target]
		if t.slowDeepService && strings.HasPrefix(target, deepService+"/") {
			selfTime *= slowFactor
		}
		return selfTime
	}
	return c
}

// result computes the figures that come from the callers alone.
func (t Trigger) result(f *Fleet, mode string, res *standin.Result, scenario standin.Scenario, span Span) *ScenarioResult {
	r := &ScenarioResult{Scenario: t.Name, Mode: mode, Classes: res.Classes}
	var answered, offered Series
	var demands []Demand
	for _, c := range res.Classes {
		answered, offered = answered.add(c.AnsweredPerStep), offered.add(c.OfferedPerStep)
		rate := float64(Series(c.OfferedPerStep).Sum(span)) / span.Length().Seconds()
		demands = append(demands, Demand{Target: c.Target, Rate: rate})
		r.Offered += rate
		r.Wrong += c.Wrong
		r.Partial += c.Partial
		r.CallerLateness = max(r.CallerLateness, c.LateP99)
	}
	for _, rate := range t.capacity(f).AnswerableRates(demands) {
		r.Capacity += rate
	}
	r.Answered = float64(answered.Sum(span)) / span.Length().Seconds()
	if r.Capacity > 0 {
		r.Goodput = r.Answered / r.Capacity
	}
	r.BookingsAnswered = answeredFraction(res.RootCalls, councilLoads[0].Target, span)
	end := span.To
	if t.killZone { // the nodes stay down, so recovery counts from the kill
		end = span.From
	}
	before := Span{From: warmUp, To: warmUp + baselineLength}
	if d, ok := Recovery(answered, offered, before, end, scenario.Duration.D()); ok {
		seconds := d.Seconds()
		r.RecoverySeconds = &seconds
	}
	return r
}

// answeredFraction returns the fraction of complete responses among the calls of
// an operation that were sent within the span, 1 if none was.
func answeredFraction(roots []standin.RootCall, target string, span Span) float64 {
	sent, complete := 0, 0
	for _, r := range roots {
		at := time.Duration(r.SentMicros) * time.Microsecond
		if r.Target != target || at < span.From || at >= span.To {
			continue
		}
		sent++
		if r.Outcome == standin.OutcomeComplete {
			complete++
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(complete) / float64(sent)
}

// FindTriggers returns the scenarios with the given names, all if none is given.
func FindTriggers(names []string) ([]Trigger, error) {
	if len(names) == 0 {
		return Triggers, nil
	}
	var triggers []Trigger
	for _, n := range names {
		i := slices.IndexFunc(Triggers, func(t Trigger) bool { return t.Name == n })
		if i < 0 {
			return nil, eris.Errorf("scenario %q: not one of slow, surge, both, zone, platform", n)
		}
		triggers = append(triggers, Triggers[i])
	}
	return triggers, nil
}

func printResults(out io.Writer, results []ScenarioResult) {
	w := newTable(out)
	defer w.Flush()
	fmt.Fprintln(w, "scenario\tmode\toffered/s\tlimit/s\tanswered/s\tgoodput\tbookings\tattempts\twasted\trecovery s\twrong\ttwice\tnot run but ran\tcallers late ms\t")
	for _, r := range results {
		recovery := "none" + missMark
		if r.RecoverySeconds != nil {
			recovery = formatMarked("%.1f", *r.RecoverySeconds, *r.RecoverySeconds <= targetRecovery.Seconds())
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%s\t%s\t%s\t%.1f%%\t%s\t%d\t%d\t%d\t%s\t\n",
			r.Scenario, r.Mode, r.Offered, r.Capacity, r.Answered,
			formatMarked("%.1f%%", 100*r.Goodput, r.Goodput >= targetGoodput),
			formatMarked("%.1f%%", 100*r.BookingsAnswered, r.BookingsAnswered >= targetBookings),
			formatMarked("%.3f", r.AttemptsPerCall, r.AttemptsPerCall <= 1+targetRatio),
			100*r.WastedFraction, recovery, r.Wrong, r.RanTwice, r.FalseNotRun, formatMarked("%.0f", r.CallerLateness, r.CallerLateness <= maxCallerLateness))
	}
	fmt.Fprintf(w, "%s misses the target: goodput >= %.0f%%, bookings >= %.0f%%, attempts <= %.1f, recovery <= %s; "+
		"callers more than %.0f ms late had too little processor time\n",
		missMark, 100*targetGoodput, 100*targetBookings, 1+targetRatio, targetRecovery, maxCallerLateness)
}
