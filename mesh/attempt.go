package mesh

import (
	"context"
	"net/http"
	"slices"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/platform"
	"dogwoodhead/route"
)

// route tries nodes in turn until one has run the request or none may be asked.
func (in *ingress) route(ctx context.Context, c *call, stats *requestStats) result {
	in.opts.budgets.countRequest(in.budgetKeyOf(c), c.isRetry)
	started := in.opts.clock.Now()
	var tried []string
	combined := refused(frame.ReasonDown, "no backend server of "+c.service+" is listed")
	for len(tried) < maxAttempts {
		vm, err := in.opts.chooser.Pick(c.service, tried)
		if err != nil {
			break
		}
		if slices.Contains(tried, vm.Name()) && combined.reason != frame.ReasonDown {
			in.opts.chooser.Report(vm.Name(), route.AttemptResult{Err: frame.NotRunError(frame.ReasonCancelled, "not asked again")})
			break
		}
		tried = append(tried, vm.Name())
		r := in.attempt(ctx, c, vm)
		stats.attempts++
		stats.lastVM = vm.Name()
		in.setRelativeLatency(c, vm, r)
		in.opts.chooser.Report(vm.Name(), chooserReport(r))
		if r.outcome == frame.Answered && r.feedback != nil {
			in.recordLeaf(c.route, !r.feedback.HasChildRequests)
		}
		combined = merge(combined, r, stats.runs > 0)
		if r.outcome != frame.NotRun {
			stats.runs++
		}
		if !in.prepareNextAttempt(ctx, c, stats, r) {
			break
		}
	}
	if combined.outcome == frame.Answered {
		in.durations.add(c.route, in.opts.clock.Since(started))
	}
	return combined
}

// chooserReport converts a result to a report for the chooser. A leaving node is
// reported as down, so that it is avoided for a limited time only: its successor
// on the VM has no other way to announce itself. A leaving backend server is
// reported as leaving, which holds until the list has another incarnation of it.
func chooserReport(r result) route.AttemptResult {
	if r.feedback == nil {
		return route.AttemptResult{Err: r.err()}
	}
	feedback := *r.feedback
	feedback.Leaving = r.response != nil && platform.Leaving(r.response.header)
	if r.feedback.Leaving {
		return route.AttemptResult{Err: frame.NotRunError(frame.ReasonDown, "the node is stopping"), Feedback: &feedback}
	}
	return route.AttemptResult{Err: r.err(), Feedback: &feedback}
}

// setRelativeLatency records the typical latency in r.feedback and sets it there
// relative to the other servers of the route.
func (in *ingress) setRelativeLatency(c *call, vm board.VM, r result) {
	if r.feedback == nil || r.feedback.TypicalLatency == 0 {
		return
	}
	r.feedback.RelativeLatency = in.latencies.recordAndCompare(c.route, vm.Name(), r.feedback.TypicalLatency)
}

// recordLeaf records whether a route is a leaf, which makes no child requests.
func (in *ingress) recordLeaf(route string, leaf bool) {
	if old, known := in.leafRoutes.Get(route); known && old == leaf || !known && in.leafRoutes.Len() >= maxTrackedRoutes {
		return
	}
	in.leafRoutes.Put(route, leaf)
}

// merge combines the results of the earlier attempts and of the next one. Once
// an attempt may have run, a later refusal must not turn the outcome into "not
// run".
func merge(prev, next result, ran bool) result {
	if ran && next.outcome == frame.NotRun {
		return prev
	}
	prev.discard()
	return next
}

// prepareNextAttempt reports whether another node may be asked. It takes a permit
// where one is needed and marks the request as a retry.
func (in *ingress) prepareNextAttempt(ctx context.Context, c *call, stats *requestStats, r result) bool {
	if ctx.Err() != nil || c.upload != nil || in.opts.sent.isClosed() {
		return false
	}
	if r.outcome == frame.NotRun {
		switch r.reason {
		case frame.ReasonExpired, frame.ReasonLate, frame.ReasonBad:
			return false
		case frame.ReasonDown:
			// The backend server itself refused the request, so the attempt counts as
			// load on the server.
			return in.takePermit(c, stats)
		}
		return true
	}
	if !c.idempotent || c.isRetry || !retryable(r) {
		return false
	}
	if stats.runs >= c.maxRuns || !in.takePermit(c, stats) {
		return false
	}
	c.isRetry = true
	return true
}

// takePermit takes a permit to send a request again and reports whether it got one.
func (in *ingress) takePermit(c *call, stats *requestStats) bool {
	stats.retryDenied = !in.opts.budgets.takePermit(in.budgetKeyOf(c), permitPriority(c))
	return !stats.retryDenied
}

// retryable reports whether an attempt at another node may give a better result.
func retryable(r result) bool {
	return r.outcome == frame.Unknown || r.response.status == http.StatusInternalServerError
}

// attempt asks one node to run the request.
func (in *ingress) attempt(ctx context.Context, c *call, vm board.VM) result {
	if vm.Name() == in.localID() {
		return in.opts.localBackend.run(ctx, c, vm.Name())
	}
	if !in.opts.sent.add(c, vm.ControlAddr()) {
		return refused(frame.ReasonLeaving, "the node is stopping")
	}
	defer in.opts.sent.remove(c)
	return in.opts.client.run(ctx, c, vm)
}

// localID returns the id of the local backend server, "" while it is not listed.
func (in *ingress) localID() string {
	if s := in.opts.localBackend.server.Load(); s != nil {
		return s.ID
	}
	return ""
}
