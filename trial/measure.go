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
	// warmUp lets connections, limits and levels settle before the level
	// before the trigger is taken.
	warmUp = 3 * time.Second
	// settled is the span that gives the level before the trigger.
	settled = 5 * time.Second
	// aftermath is watched for the recovery after the trigger.
	aftermath = 10 * time.Second
	// slowFactor is how much the deep service slows down.
	slowFactor = 10
	// surgeFactor multiplies the rate of lookups.
	surgeFactor = 5
	// lateLimit is the lateness of the callers, in milliseconds, above which a
	// row says more about the machine than about the nodes.
	lateLimit = 100.0
	// surgeRetries and surgeBackoff are those of callers that retry hard.
	surgeRetries = 4
	surgeBackoff = 50 * time.Millisecond
	// deepService is the deepest service of the council's graph.
	deepService = "ladder"
	// surgeClass is the class whose demand surges.
	surgeClass = "lookup"
)

// Trigger is one scripted overload or failure.
type Trigger struct {
	// Name is the letter for --scenario and the name in the table.
	Name string
	// About says what happens.
	About string

	slow     bool
	surge    bool
	kill     bool
	platform bool
}

// Triggers are the scripted scenarios.
var Triggers = []Trigger{
	{Name: "slow", About: "the deepest service is 10 times slower", slow: true},
	{Name: "surge", About: "5 times the lookups, callers retry hard", surge: true},
	{Name: "both", About: "slow and surge together", slow: true, surge: true},
	{Name: "zone", About: "the nodes of one zone are killed", kill: true},
	{Name: "platform", About: "surge while the platform is down", surge: true, platform: true},
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

// Row is what one scenario came to in one mode.
type Row struct {
	Scenario string `json:"scenario"`
	Mode     string `json:"mode"`
	// Limit is what the slots can carry during the trigger, Offered what was
	// sent and Answered what was delivered, in calls a second.
	Limit    float64 `json:"limit"`
	Offered  float64 `json:"offered"`
	Answered float64 `json:"answered"`
	// Goodput is Answered/Limit.
	Goodput float64 `json:"goodput"`
	// Bookings is the share answered of those sent during the trigger.
	Bookings float64 `json:"bookings"`
	// Attempts is per external call, from the nodes' counters, which include
	// attempts that were refused. Runs is the same from the ledgers alone.
	Attempts float64 `json:"attempts"`
	Runs     float64 `json:"runs"`
	// Wasted is the share of the busy slot time that brought no answer.
	Wasted float64 `json:"wasted"`
	// Recovery is in seconds, absent where goodput did not come back.
	Recovery *float64 `json:"recovery"`
	// Wrong, Partial, Twice and Ran count broken promises.
	Wrong   int `json:"wrong"`
	Partial int `json:"partial"`
	Twice   int `json:"twice"`
	Ran     int `json:"ran"`
	// Late is how late the callers were at the 99th percentile, in
	// milliseconds; see standin.ClassResult.
	Late float64 `json:"late"`
	// Reads is the platform's largest number of reads within a second.
	Reads   int                   `json:"reads"`
	Classes []standin.ClassResult `json:"classes"`
}

// Measure runs all scenarios in all modes and prints a JSON line for each and a
// table at the end. The error joins the runs that failed or broke a promise;
// missed targets are only marked.
func Measure(ctx context.Context, o MeasureOptions) error {
	var rows []Row
	var found []error
	if !o.direct() {
		added, err := measureAdded(ctx, o)
		if err != nil {
			return err
		}
		fmt.Fprintln(o.Out, added)
	}
	for _, t := range o.Triggers {
		for _, mode := range o.Modes {
			if ctx.Err() != nil {
				return errors.Join(append(found, eris.Wrap(ctx.Err(), "interrupted"))...)
			}
			row, err := measureOne(ctx, o, t, mode)
			if err != nil {
				found = append(found, eris.Wrapf(err, "scenario %s, mode %s", t.Name, mode))
			}
			if row == nil {
				continue
			}
			rows = append(rows, *row)
			line, err := json.Marshal(row)
			if err != nil {
				return eris.Wrap(err, "write result")
			}
			fmt.Fprintln(o.Out, string(line))
		}
	}
	printRows(o.Out, rows)
	return errors.Join(found...)
}

func (o MeasureOptions) direct() bool { return o.Programs.Node == "" }

// fleet starts a scaled fleet in a mode, with a directory of its own.
func (o MeasureOptions) fleet(ctx context.Context, name, mode string) (*Fleet, error) {
	plan, err := councilPlan(o.Base, o.Overlay, o.Seed)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(plan.Scale(o.Scale), plan.Control(mode)); err != nil {
		return nil, err
	}
	dir := filepath.Join(o.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	return StartFleet(ctx, plan, o.Programs, dir)
}

// measureOne runs one scenario in one mode.
func measureOne(ctx context.Context, o MeasureOptions, t Trigger, mode string) (*Row, error) {
	fleet, err := o.fleet(ctx, t.Name+"-"+mode, mode)
	if err != nil {
		return nil, err
	}
	trigger := Span{From: warmUp + settled, To: warmUp + settled + o.Length}
	sc := fleet.scenario(t.Name, o.Seed, trigger.To+aftermath, o.Scale)
	t.shape(sc.Classes, trigger)
	acted := make(chan error, 1)
	go func() { acted <- t.act(ctx, fleet, trigger) }()
	res, ledgers, err := fleet.run(ctx, sc)
	err = errors.Join(err, <-acted)
	var stats standin.PlatformStats
	var extra int
	if err == nil {
		stats, err = fleet.PlatformStats(ctx)
	}
	if err == nil {
		extra, err = fleet.ExtraAttempts(ctx)
	}
	if err = errors.Join(err, fleet.Stop()); res == nil {
		return nil, err
	}
	row := t.row(fleet, mode, res, sc, trigger)
	row.Reads = stats.PeakReadsPerSecond
	account := NewAccount(fleet.plan.Document, res.RootCalls, ledgers)
	row.Runs, row.Wasted = account.AttemptsPerRoot(), account.WastedShare()
	row.Attempts = max(row.Runs, 1+float64(extra)/float64(max(1, account.External)))
	row.Twice, row.Ran = len(account.Twice), len(account.Ran)
	return row, errors.Join(err, account.check(res))
}

// shape adds the surge to the load.
func (t Trigger) shape(classes []standin.ClassLoad, span Span) {
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

// act makes the faults of a scenario happen in time with the load, which
// begins now.
func (t Trigger) act(ctx context.Context, f *Fleet, span Span) error {
	if t.platform {
		if err := f.SetPlatform(ctx, standin.ModeDown); err != nil {
			return err
		}
	}
	if !pause(ctx, span.From) {
		return ctx.Err()
	}
	if t.kill {
		f.KillZone(f.plan.Zones[len(f.plan.Zones)-1])
	}
	if !t.slow {
		return nil
	}
	if err := f.SetKnobs(ctx, deepService, fmt.Sprintf(`{"slow":%d}`, slowFactor)); err != nil {
		return err
	}
	if !pause(ctx, span.Length()) {
		return ctx.Err()
	}
	return f.SetKnobs(ctx, deepService, `{"slow":1}`)
}

// capacity returns what the slots carry while the trigger lasts.
func (t Trigger) capacity(f *Fleet) Capacity {
	c := Capacity{Document: f.plan.Document, Slots: make(map[string]float64)}
	servers := f.plan.Servers()
	if t.kill {
		servers -= f.plan.PerZone
	}
	for name, s := range f.plan.Document.Services {
		c.Slots[name] = float64(s.Slots * servers)
	}
	c.Work = func(target string) time.Duration {
		work := f.plan.Work[target]
		if t.slow && strings.HasPrefix(target, deepService+"/") {
			work *= slowFactor
		}
		return work
	}
	return c
}

// row works out the figures that come from the callers alone.
func (t Trigger) row(f *Fleet, mode string, res *standin.Result, sc standin.Scenario, span Span) *Row {
	r := &Row{Scenario: t.Name, Mode: mode, Classes: res.Classes}
	var answered, offered Series
	var demands []Demand
	for _, c := range res.Classes {
		answered, offered = answered.add(c.AnsweredPerStep), offered.add(c.OfferedPerStep)
		rate := float64(Series(c.OfferedPerStep).Sum(span)) / span.Length().Seconds()
		demands = append(demands, Demand{Target: c.Target, Rate: rate})
		r.Offered += rate
		r.Wrong += c.Wrong
		r.Partial += c.Partial
		r.Late = max(r.Late, c.LateP99)
	}
	for _, rate := range t.capacity(f).Carry(demands) {
		r.Limit += rate
	}
	r.Answered = float64(answered.Sum(span)) / span.Length().Seconds()
	if r.Limit > 0 {
		r.Goodput = r.Answered / r.Limit
	}
	r.Bookings = answeredShare(res.RootCalls, councilLoads[0].Target, span)
	end := span.To
	if t.kill { // the nodes stay away, so recovery counts from the kill
		end = span.From
	}
	before := Span{From: warmUp, To: warmUp + settled}
	if d, ok := Recovery(answered, offered, before, end, sc.Duration.D()); ok {
		seconds := d.Seconds()
		r.Recovery = &seconds
	}
	return r
}

// answeredShare returns the share of whole answers among the calls of an
// operation that were sent within the span, 1 where none was.
func answeredShare(roots []standin.RootCall, target string, span Span) float64 {
	sent, whole := 0, 0
	for _, r := range roots {
		at := time.Duration(r.SentMicros) * time.Microsecond
		if r.Target != target || at < span.From || at >= span.To {
			continue
		}
		sent++
		if r.Outcome == standin.OutcomeWhole {
			whole++
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(whole) / float64(sent)
}

// FindTriggers returns the scenarios with the given names, all where none is
// given.
func FindTriggers(names []string) ([]Trigger, error) {
	if len(names) == 0 {
		return Triggers, nil
	}
	var found []Trigger
	for _, n := range names {
		i := slices.IndexFunc(Triggers, func(t Trigger) bool { return t.Name == n })
		if i < 0 {
			return nil, eris.Errorf("scenario %q: not one of slow, surge, both, zone, platform", n)
		}
		found = append(found, Triggers[i])
	}
	return found, nil
}

func printRows(out io.Writer, rows []Row) {
	w := newTable(out)
	defer w.Flush()
	fmt.Fprintln(w, "scenario\tmode\toffered/s\tlimit/s\tanswered/s\tgoodput\tbookings\tattempts\twasted\trecovery s\twrong\ttwice\tnot run but ran\tcallers late ms\t")
	for _, r := range rows {
		recovery := "none" + missMark
		if r.Recovery != nil {
			recovery = mark("%.1f", *r.Recovery, *r.Recovery <= targetRecovery.Seconds())
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%s\t%s\t%s\t%.1f%%\t%s\t%d\t%d\t%d\t%s\t\n",
			r.Scenario, r.Mode, r.Offered, r.Limit, r.Answered,
			mark("%.1f%%", 100*r.Goodput, r.Goodput >= targetGoodput),
			mark("%.1f%%", 100*r.Bookings, r.Bookings >= targetBookings),
			mark("%.3f", r.Attempts, r.Attempts <= 1+targetRatio),
			100*r.Wasted, recovery, r.Wrong, r.Twice, r.Ran, mark("%.0f", r.Late, r.Late <= lateLimit))
	}
	fmt.Fprintf(w, "%s misses the target: goodput >= %.0f%%, bookings >= %.0f%%, attempts <= %.1f, recovery <= %s; "+
		"callers more than %.0f ms late had too little processor time\n",
		missMark, 100*targetGoodput, 100*targetBookings, 1+targetRatio, targetRecovery, lateLimit)
}
