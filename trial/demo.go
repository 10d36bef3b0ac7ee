package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodhead/standin"
)

// demoScale keeps the demo's load well below capacity.
const demoScale = 0.3

// DemoOptions configures Demo.
type DemoOptions struct {
	Programs Programs
	// Base and Overlay are the files of the deployment.
	Base    string
	Overlay string
	// Dir takes settings and logs.
	Dir string
	// Length is how long calls are sent.
	Length time.Duration
	Seed   uint64
	Out    io.Writer
}

// Demo runs the council's deployment under its usual load, prints a table and
// returns an error where anything went wrong.
func Demo(ctx context.Context, o DemoOptions) error {
	plan, err := councilPlan(o.Base, o.Overlay, o.Seed)
	if err != nil {
		return err
	}
	fleet, err := StartFleet(ctx, plan, o.Programs, o.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "%d nodes and %d backend servers in %d zones run; sending calls for %s\n",
		len(fleet.servers), len(fleet.servers), len(plan.Zones), o.Length)
	res, ledgers, err := fleet.run(ctx, fleet.scenario("demo", o.Seed, o.Length, demoScale))
	err = errors.Join(err, fleet.Stop())
	if err != nil {
		return err
	}
	printClasses(o.Out, res)
	account := NewAccount(plan.Document, res.RootCalls, ledgers)
	fmt.Fprintf(o.Out, "attempts per call %.3f, wasted work %.1f%%\n", account.AttemptsPerRoot(), 100*account.WastedShare())
	return errors.Join(account.check(res), allBooked(res))
}

// councilPlan reads the council's deployment with the service times of this
// package.
func councilPlan(base, overlay string, seed uint64) (*Plan, error) {
	plan, err := ReadPlan(base, overlay)
	if err != nil {
		return nil, err
	}
	plan.Work, plan.Spread, plan.Seed = councilWork, workSpread, seed
	return plan, nil
}

// run sends load and reads the ledgers afterwards.
func (f *Fleet) run(ctx context.Context, sc standin.Scenario) (*standin.Result, []standin.LedgerView, error) {
	callers, err := standin.NewCallers(sc, nil)
	if err != nil {
		return nil, nil, err
	}
	res := callers.Run(ctx)
	if ctx.Err() != nil {
		return nil, nil, eris.Wrap(ctx.Err(), "interrupted")
	}
	ledgers, err := f.Ledgers(ctx)
	return res, ledgers, err
}

// check returns an error for each promise that was broken.
func (a Account) check(res *standin.Result) error {
	var found []error
	for _, c := range res.Classes {
		if c.Wrong > 0 {
			found = append(found, eris.Errorf("%s: %d wrong answers: %q", c.Name, c.Wrong, res.Examples))
		}
	}
	if len(a.Twice) > 0 {
		found = append(found, eris.Errorf("%d operations ran more than once: %.10q", len(a.Twice), a.Twice[:min(3, len(a.Twice))]))
	}
	if len(a.Ran) > 0 {
		found = append(found, eris.Errorf("%d calls ran that were reported as not run: %q", len(a.Ran), a.Ran[:min(3, len(a.Ran))]))
	}
	return errors.Join(found...)
}

// allBooked returns an error where a booking has no whole answer, or an answer
// was cut short though no process failed.
func allBooked(res *standin.Result) error {
	var found []error
	for _, c := range res.Classes {
		if c.Partial > 0 {
			found = append(found, eris.Errorf("%s: %d answers were cut short", c.Name, c.Partial))
		}
		if c.Name == councilLoads[0].Class && c.Whole != c.Sent {
			found = append(found, eris.Errorf("%s: %d of %d calls have no whole answer: %v", c.Name, c.Sent-c.Whole, c.Sent, c.Reasons))
		}
	}
	return errors.Join(found...)
}

func printClasses(out io.Writer, res *standin.Result) {
	w := newTable(out)
	defer w.Flush()
	fmt.Fprintln(w, "class\tsent\twhole\tnot run\tunknown\tfailed\twrong\tp50 ms\tp99 ms\t")
	for _, c := range res.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n",
			c.Name, c.Sent, c.Whole, c.NotRun, c.Unknown, c.Failed, c.Wrong, c.P50, c.P99)
	}
}
