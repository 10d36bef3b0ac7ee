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
	// Dir is the directory for settings and logs.
	Dir string
	// Length is how long calls are sent.
	Length time.Duration
	Seed   uint64
	Out    io.Writer
}

// Demo runs the council deployment under its normal load, prints a table and
// returns an error if a guarantee was violated.
func Demo(ctx context.Context, opts DemoOptions) error {
	plan, err := councilPlan(opts.Base, opts.Overlay, opts.Seed)
	if err != nil {
		return err
	}
	fleet, err := StartFleet(ctx, plan, opts.Programs, opts.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(opts.Out, "%d nodes and %d backend servers in %d zones run; sending calls for %s\n",
		len(fleet.servers), len(fleet.servers), len(plan.Zones), opts.Length)
	res, ledgers, err := fleet.runLoad(ctx, fleet.councilScenario("demo", opts.Seed, opts.Length, demoScale))
	err = errors.Join(err, fleet.Stop())
	if err != nil {
		return err
	}
	printClasses(opts.Out, res)
	account := NewAccount(plan.Document, res.RootCalls, ledgers)
	fmt.Fprintf(opts.Out, "attempts per call %.3f, wasted work %.1f%%\n", account.AttemptsPerCall(), 100*account.WastedFraction())
	return errors.Join(account.check(res), checkBookings(res))
}

// councilPlan reads the base and overlay files of the deployment deploy/council and
// sets the processing time of each operation, without its child calls.
func councilPlan(base, overlay string, seed uint64) (*Plan, error) {
	plan, err := ReadPlan(base, overlay)
	if err != nil {
		return nil, err
	}
	plan.SelfTimes, plan.SelfTimeJitter, plan.Seed = councilSelfTimes, selfTimeJitter, seed
	return plan, nil
}

// runLoad sends load and reads the ledgers afterwards.
func (f *Fleet) runLoad(ctx context.Context, scenario standin.Scenario) (*standin.Result, []standin.LedgerView, error) {
	callers, err := standin.NewCallers(scenario, nil)
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

// check returns an error for each violated guarantee.
func (a Account) check(res *standin.Result) error {
	var errs []error
	for _, c := range res.Classes {
		if c.Wrong > 0 {
			errs = append(errs, eris.Errorf("%s: %d wrong responses: %q", c.Name, c.Wrong, res.Examples))
		}
	}
	if len(a.RanTwice) > 0 {
		errs = append(errs, eris.Errorf("%d operations ran more than once: %.10q", len(a.RanTwice), a.RanTwice[:min(3, len(a.RanTwice))]))
	}
	if len(a.FalseNotRun) > 0 {
		errs = append(errs, eris.Errorf("%d calls ran that were reported as not run: %q", len(a.FalseNotRun), a.FalseNotRun[:min(3, len(a.FalseNotRun))]))
	}
	return errors.Join(errs...)
}

// checkBookings returns an error if a booking has no complete response, or if a
// response was truncated although no process failed.
func checkBookings(res *standin.Result) error {
	var errs []error
	for _, c := range res.Classes {
		if c.Partial > 0 {
			errs = append(errs, eris.Errorf("%s: %d responses were cut short", c.Name, c.Partial))
		}
		if c.Name == councilLoads[0].Class && c.Complete != c.Sent {
			errs = append(errs, eris.Errorf("%s: %d of %d calls have no whole response: %v", c.Name, c.Sent-c.Complete, c.Sent, c.Reasons))
		}
	}
	return errors.Join(errs...)
}

func printClasses(out io.Writer, res *standin.Result) {
	w := newTable(out)
	defer w.Flush()
	fmt.Fprintln(w, "class\tsent\twhole\tnot run\tunknown\tfailed\twrong\tp50 ms\tp99 ms\t")
	for _, c := range res.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n",
			c.Name, c.Sent, c.Complete, c.NotRun, c.Unknown, c.Failed, c.Wrong, c.P50, c.P99)
	}
}
