package peer

import (
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
)

// BaselineBudgets holds the retry budgets of the modes without permits.
type BaselineBudgets struct {
	fixed *retry.Budget
	ratio *retry.Budget
}

// ratioBurst is the burst of the per-hop budget of control "ratio", in retries.
const ratioBurst = 10

// NewBaselineBudgets returns the budgets for a per-hop retry ratio.
func NewBaselineBudgets(ratio float64) *BaselineBudgets {
	return &BaselineBudgets{fixed: retry.NewFixedBudget(), ratio: retry.NewRatioBudget(ratio, ratioBurst)}
}

// retryDecider decides about the retries of one outgoing call.
type retryDecider struct {
	retryPolicy retry.Policy
	control     policy.ControlMode
	budgets     *BaselineBudgets
	out         OutgoingCall
	// attempts counts failed attempts, shedAttempts those refused by a level, and
	// leavingAttempts those refused by a leaving node.
	attempts, shedAttempts, leavingAttempts int
}

func (f *Forwarder) newRetryDecider(out OutgoingCall) *retryDecider {
	d := &retryDecider{retryPolicy: f.retryPolicy, budgets: f.opts.Budgets, out: out, control: policy.ControlFull}
	if active := f.opts.Board.ActiveConfig(); active != nil {
		d.control = active.Policy().ControlMode()
	}
	if d.control == policy.ControlRatio {
		d.budgets.ratio.RecordFirstAttempt()
	}
	return d
}

// takeRetry records a failed attempt and reports whether another may follow, and
// after which wait. If so, it has spent a permit or the baseline's equivalent.
func (d *retryDecider) takeRetry(err error, timeLeft time.Duration) (time.Duration, bool) {
	d.attempts++
	outcome, reason := frame.OutcomeOf(err)
	switch reason {
	case frame.ReasonLevel:
		d.shedAttempts++
	case frame.ReasonLeaving:
		d.leavingAttempts++
	}
	if d.control != policy.ControlFull {
		return 0, d.takeBaselineRetry(outcome)
	}
	decision := d.retryPolicy.Decide(retry.Failure{
		Outcome: outcome, Reason: reason, Idempotent: d.out.Operation.Idempotent(), Keyed: d.out.KeyOwner.Known(),
		Permits: d.out.PermitPool.Available(), TimeLeft: timeLeft, Attempts: d.attempts, ShedAttempts: d.shedAttempts,
		LeavingAttempts: d.leavingAttempts,
	})
	if decision.Action == retry.GiveUp || !decision.Free && !d.out.PermitPool.Spend() {
		return 0, false
	}
	return decision.Wait, true
}

// takeBaselineRetry decides for the modes without permits. They too retry a call
// that is not idempotent only if its outcome is NotRun.
func (d *retryDecider) takeBaselineRetry(o frame.Outcome) bool {
	if d.out.KeyOwner.Known() || (o == frame.Unknown && !d.out.Operation.Idempotent()) {
		return false
	}
	switch d.control {
	case policy.ControlFixed:
		return d.budgets.fixed.SpendRetry(d.attempts)
	case policy.ControlRatio:
		return d.budgets.ratio.SpendRetry(d.attempts)
	default:
		return false
	}
}
