package peer

import (
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
)

// Budgets holds the retry rules of the baselines.
type Budgets struct {
	fixed *retry.Budget
	ratio *retry.Budget
}

// ratioBurst is the burst of the per-hop budget of control "ratio", in retries.
const ratioBurst = 10

// NewBudgets returns the rules for a per-hop retry ratio.
func NewBudgets(ratio float64) *Budgets {
	return &Budgets{fixed: retry.NewFixedBudget(), ratio: retry.NewRatioBudget(ratio, ratioBurst)}
}

// decider decides about the attempts of one outgoing call.
type decider struct {
	rule    retry.Policy
	control policy.Control
	budgets *Budgets
	out     Outgoing
	// made counts attempts, shed those refused by a level.
	made int
	shed int
}

func (f *Forwarder) decider(out Outgoing) *decider {
	d := &decider{rule: f.rule, budgets: f.o.Budgets, out: out, control: policy.ControlFull}
	if in := f.o.Board.ActiveConfig(); in != nil {
		d.control = in.Policy().Control()
	}
	if d.control == policy.ControlRatio {
		d.budgets.ratio.RecordFirstAttempt()
	}
	return d
}

// next returns whether another attempt follows a failed one and how long to
// wait first. It has spent the permit when it says yes.
func (d *decider) next(err error, left time.Duration) (time.Duration, bool) {
	d.made++
	outcome, reason := frame.OutcomeOf(err)
	if reason == frame.ReasonLevel {
		d.shed++
	}
	if d.control != policy.ControlFull {
		return 0, d.baseline(outcome)
	}
	decision := d.rule.Decide(retry.Failure{
		Outcome: outcome, Reason: reason, Idempotent: d.out.Op.Idempotent(), Keyed: d.out.Owner.Known(),
		Permits: d.out.Escrow.Available(), TimeLeft: left, Attempts: d.made, ShedAttempts: d.shed,
	})
	if decision.Action == retry.GiveUp || !d.out.Escrow.Spend() {
		return 0, false
	}
	return decision.Wait, true
}

// baseline decides for the modes without permits. They keep the rule that only
// "not run" allows another attempt of a call that is not idempotent.
func (d *decider) baseline(o frame.Outcome) bool {
	if d.out.Owner.Known() || (o == frame.Unknown && !d.out.Op.Idempotent()) {
		return false
	}
	switch d.control {
	case policy.ControlFixed:
		return d.budgets.fixed.TakeRetry(d.made)
	case policy.ControlRatio:
		return d.budgets.ratio.TakeRetry(d.made)
	default:
		return false
	}
}
