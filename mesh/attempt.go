package mesh

import (
	"context"
	"net/http"
	"slices"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/route"
)

// route offers the request to nodes until one has run it, or none may any more.
func (e *entry) route(ctx context.Context, c *call, t *trip) result {
	e.o.budgets.request(e.budget(c), c.repeat)
	var tried []string
	sofar := refused(frame.ReasonDown, "no backend server of "+c.service+" is listed")
	for len(tried) < maxOffers {
		vm, err := e.o.chooser.Pick(c.service, tried)
		if err != nil {
			break
		}
		if slices.Contains(tried, vm.Name()) && sofar.reason != frame.ReasonDown {
			e.o.chooser.Report(vm.Name(), route.Report{Err: frame.Refuse(frame.ReasonCancelled, "not asked again")})
			break
		}
		tried = append(tried, vm.Name())
		r := e.offer(ctx, c, vm)
		t.offers++
		t.last = vm.Name()
		e.compare(c, vm, r)
		e.o.chooser.Report(vm.Name(), reportOf(r))
		if r.outcome == frame.Answered && r.feedback != nil {
			e.learnLeaf(c.route, !r.feedback.Deep)
		}
		sofar = merge(sofar, r, t.runs > 0)
		if r.outcome != frame.NotRun {
			t.runs++
		}
		if !e.again(ctx, c, t, r) {
			break
		}
	}
	return sofar
}

// reportOf returns what the chooser is told. A node that is leaving is avoided
// for a time and not for good: its successor on the VM has no other way to say
// that it is there.
func reportOf(r result) route.Report {
	if r.feedback == nil || !r.feedback.Leaving {
		return route.Report{Err: r.err(), Feedback: r.feedback}
	}
	heard := *r.feedback
	heard.Leaving = false
	return route.Report{Err: frame.Refuse(frame.ReasonDown, "the node is stopping"), Feedback: &heard}
}

// compare sets how slow a backend server is beside the others of its service.
func (e *entry) compare(c *call, vm board.VM, r result) {
	if r.feedback == nil || r.feedback.Typical == 0 {
		return
	}
	r.feedback.Slow = e.paces.compare(c.route, vm.Name(), r.feedback.Typical)
}

// learnLeaf records whether the requests of a route make others.
func (e *entry) learnLeaf(route string, leaf bool) {
	if old, known := e.leaves.Get(route); known && old == leaf || !known && e.leaves.Len() >= maxRoutes {
		return
	}
	e.leaves.Put(route, leaf)
}

// merge returns what is known after another attempt. Once an attempt may have
// run, a later refusal does not make the request one that did not run.
func merge(before, now result, ran bool) result {
	if ran && now.outcome == frame.NotRun {
		return before
	}
	before.discard()
	return now
}

// again decides whether another node is asked.
func (e *entry) again(ctx context.Context, c *call, t *trip, r result) bool {
	if ctx.Err() != nil || c.stream != nil {
		return false
	}
	if r.outcome == frame.NotRun {
		switch r.reason {
		case frame.ReasonExpired, frame.ReasonLate, frame.ReasonBad:
			return false
		case frame.ReasonDown:
			// The backend server itself turned the request away, which counts as one
			// that it got.
			return e.permit(c, t)
		}
		return true
	}
	if !c.idempotent || c.repeat || !failed(r) {
		return false
	}
	if t.runs >= c.attempts || !e.permit(c, t) {
		return false
	}
	c.repeat = true
	return true
}

// permit asks for a permit to send a request once more.
func (e *entry) permit(c *call, t *trip) bool {
	t.denied = !e.o.budgets.take(e.budget(c), urgency(c))
	return !t.denied
}

// failed reports whether a result may become a better one elsewhere.
func failed(r result) bool {
	return r.outcome == frame.Unknown || r.answer.status == http.StatusInternalServerError
}

// offer asks one node to run the request.
func (e *entry) offer(ctx context.Context, c *call, vm board.VM) result {
	if vm.Name() == e.own() {
		return e.o.seat.run(ctx, c, vm.Name())
	}
	return e.o.client.run(ctx, c, vm)
}

// own returns the id of the backend server on this VM, "" while it is not listed.
func (e *entry) own() string {
	if s := e.o.seat.server.Load(); s != nil {
		return s.ID
	}
	return ""
}
