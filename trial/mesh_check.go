package trial

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"dogwoodhead/standin"
)

const (
	// faultSettleTime is how long the effects of a fault last after its end.
	faultSettleTime = 3 * time.Second
	// meshNewWorkLimit is how long a draining backend server may still receive
	// new work.
	meshNewWorkLimit = 3 * time.Second
	// meshConfigLimit is how long after the store accepted a configuration all nodes
	// that no fault disturbs must act on it.
	meshConfigLimit = 2 * time.Second
	// meshLimitFactor and meshLimitSlack bound the requests to a backend server that
	// limits their rate, in each meshLimitWindow that begins meshLimitSettleTime after
	// it first named the limit.
	meshLimitFactor, meshLimitSlack = 1.5, 5
	meshLimitWindow                 = 4 * time.Second
	meshLimitSettleTime             = 3 * time.Second
	// minServedFraction is the least fraction of requests served after recovery.
	minServedFraction = 0.8
	// maxViolations bounds the violations that are listed.
	maxViolations = 20
)

// arrival is one request received by one backend server.
type arrival struct {
	standin.Arrival
	appID, service string
}

// check returns the violations that callers and backend servers observed.
func (s *meshSoak) check(recoveredAt time.Time) []string {
	var violations []string
	runs := make(map[string]int)
	var arrivals []arrival
	for _, vm := range s.vms {
		for _, app := range vm.allApps {
			for id, n := range app.AllRuns() {
				runs[id] += n
			}
			for _, appArrival := range app.Arrivals() {
				arrivals = append(arrivals, arrival{Arrival: appArrival, appID: app.ID(), service: app.Service()})
			}
		}
	}
	for _, e := range s.events {
		if strings.HasPrefix(e.kind, "broken") {
			violations = append(violations, fmt.Sprintf("vm %d: %s", e.firstVM, e.kind))
		}
	}
	for _, r := range s.records {
		violations = append(violations, s.checkRequest(r, runs[r.id])...)
		violations = append(violations, s.checkUpload(r)...)
	}
	violations = append(violations, s.checkNoRollback()...)
	violations = append(violations, s.checkConfigInForce()...)
	violations = append(violations, s.checkRetryBudget(arrivals)...)
	violations = append(violations, s.checkLimit(arrivals)...)
	violations = append(violations, s.checkDrain(arrivals)...)
	violations = append(violations, s.checkRecovery(recoveredAt)...)
	if len(violations) > maxViolations {
		violations = append(violations[:maxViolations], fmt.Sprintf("and %d more", len(violations)-maxViolations))
	}
	return violations
}

// checkRequest checks that a request got the complete response to it, that an
// unsafe request ran at most once, that a refused one did not run, and that no
// planned stop interrupted it.
func (s *meshSoak) checkRequest(r requestRecord, runs int) []string {
	var violations []string
	if r.err == nil && r.status == http.StatusOK && r.body != standin.AppBody(r.serverStamp, r.id) && r.body != standin.AppEarlyBody(r.serverStamp, r.id, meshEarlyLength) {
		violations = append(violations, fmt.Sprintf("request %s got %.100q from %s", r.id, r.body, r.serverStamp))
	}
	if r.unsafe && runs > 1 {
		violations = append(violations, fmt.Sprintf("request %s ran %d times", r.id, runs))
	}
	if r.unsafe && r.err == nil && runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
		violations = append(violations, fmt.Sprintf("request %s was refused with %d and ran", r.id, r.status))
	}
	if r.err != nil && s.cutByPlannedStop(r) {
		violations = append(violations, fmt.Sprintf("request %s was cut by a planned stop: %v", r.id, r.err))
	}
	return violations
}

// checkUpload checks that a backend server which got a large body to its end got it
// as it was sent.
func (s *meshSoak) checkUpload(r requestRecord) []string {
	if r.uploaded == "" {
		return nil
	}
	var violations []string
	for _, vm := range s.vms {
		for _, app := range vm.allApps {
			if _, _, got := app.LastRequest(r.id); got != "" && got != r.uploaded {
				violations = append(violations, fmt.Sprintf("request %s: %s got another body, %d bytes of %d", r.id, app.ID(), len(got), len(r.uploaded)))
			}
		}
	}
	return violations
}

// cutByPlannedStop reports whether the caller's node was stopped as planned
// while the request was in progress. Only a fault that kills or pauses that
// process excuses it, or a signal that ended the process before it listened: then
// the connection was refused, and no process got the request.
func (s *meshSoak) cutByPlannedStop(r requestRecord) bool {
	stopped := false
	for _, e := range s.events {
		if e.affectsProcess && e.affects(r.vm) && e.start.Before(r.end) && e.end.Add(faultSettleTime).After(r.begin) {
			return false
		}
		if e.stopsNode && e.firstVM == r.vm && e.nodeStarts == r.nodeStarts && !e.start.Before(r.begin) && e.start.Before(r.end) {
			reachedNone := e.node.endedBeforeStart() && errors.Is(r.err, syscall.ECONNREFUSED)
			stopped = stopped || !reachedNone
		}
	}
	return stopped
}

// checkNoRollback checks that a process which has served a route of a version
// never reports later that the route does not exist.
func (s *meshSoak) checkNoRollback() []string {
	type key struct{ vm, nodeStarts, configVersion int }
	firstServed := make(map[key]time.Time)
	for _, r := range s.records {
		k := key{r.vm, r.nodeStarts, r.configVersion}
		if r.configVersion == 0 || r.err != nil || r.status != http.StatusOK {
			continue
		}
		if served, ok := firstServed[k]; !ok || r.end.Before(served) {
			firstServed[k] = r.end
		}
	}
	var violations []string
	for _, r := range s.records {
		served, ok := firstServed[key{r.vm, r.nodeStarts, r.configVersion}]
		if ok && r.err == nil && r.status == http.StatusNotFound && r.begin.After(served) {
			violations = append(violations, fmt.Sprintf("request %s: version %d was active at vm %d and no longer is", r.id, r.configVersion, r.vm))
		}
	}
	return violations
}

// checkConfigInForce checks that a node serves the route of each version from
// meshConfigLimit after the store accepted it, unless a fault of the store or of the
// node's VM has lasted into the time before the request.
func (s *meshSoak) checkConfigInForce() []string {
	var violations []string
	for _, r := range s.records {
		if r.configVersion == 0 || r.err != nil || r.status != http.StatusNotFound {
			continue
		}
		age := r.begin.Sub(s.configStored[r.configVersion])
		disturbed := s.overlaps(r.begin.Add(-faultSettleTime), r.begin, func(e event) bool {
			return e.blocksStore || (e.unplanned || e.stopsNode) && e.affects(r.vm)
		})
		if age > meshConfigLimit && !disturbed {
			violations = append(violations, fmt.Sprintf("request %s: version %d is not active at vm %d after %s", r.id, r.configVersion, r.vm, age))
		}
	}
	return violations
}

// overlaps reports whether an event that matches overlapped with a time span.
func (s *meshSoak) overlaps(from, to time.Time, match func(event) bool) bool {
	return slices.ContainsFunc(s.events, func(e event) bool {
		return match(e) && e.start.Before(to) && e.end.After(from)
	})
}

// checkLimit checks the requests to each backend server that named a rate limit.
func (s *meshSoak) checkLimit(arrivals []arrival) []string {
	allowed := int(meshLimitFactor*meshServerLimit*meshLimitWindow.Seconds()) + meshLimitSlack
	var violations []string
	for _, p := range s.limits {
		var times []time.Time
		for _, a := range arrivals {
			if a.appID == p.appID && a.At.After(p.from.Add(meshLimitSettleTime)) && a.At.Before(p.to) {
				times = append(times, a.At)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for i, at := range times {
			if i >= allowed && at.Sub(times[i-allowed]) < meshLimitWindow {
				violations = append(violations, fmt.Sprintf("%s got over %d requests within %s, limit %d a second", p.appID, allowed, meshLimitWindow, meshServerLimit))
				break
			}
		}
	}
	return violations
}

// checkRetryBudget checks the retries to each service in each window.
func (s *meshSoak) checkRetryBudget(arrivals []arrival) []string {
	byService := make(map[string][]arrival)
	for _, a := range arrivals {
		byService[a.service] = append(byService[a.service], a)
	}
	var violations []string
	for service, serviceArrivals := range byService {
		slices.SortFunc(serviceArrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
		seen := make(map[string]bool)
		isRetry := make([]bool, len(serviceArrivals))
		for i, a := range serviceArrivals {
			isRetry[i] = seen[a.ID]
			seen[a.ID] = true
		}
		windowStart, firstAttempts, retries := 0, 0, 0
		for i, a := range serviceArrivals {
			if isRetry[i] {
				retries++
			} else {
				firstAttempts++
			}
			for a.At.Sub(serviceArrivals[windowStart].At) > meshRetryWindow {
				if isRetry[windowStart] {
					retries--
				} else {
					firstAttempts--
				}
				windowStart++
			}
			if float64(retries) > meshRetryRatio*float64(firstAttempts)+meshRetrySlack {
				violations = append(violations, fmt.Sprintf("service %s: %d retries of %d requests within %s", service, retries, firstAttempts, meshRetryWindow))
				break
			}
		}
	}
	return violations
}

// checkDrain checks that no request reaches a backend server later than
// meshNewWorkLimit after it began to drain or to announce in its responses that it
// leaves, unless a fault kept its node from observing or remembering that.
func (s *meshSoak) checkDrain(arrivals []arrival) []string {
	excuses := map[string]func(vm int, e event) bool{
		"drain": func(vm int, e event) bool { return e.blocksStore || e.unplanned && e.affects(vm) },
		"leave": func(vm int, e event) bool { return (e.unplanned || e.stopsNode) && e.affects(vm) },
	}
	var violations []string
	for _, leaving := range s.events {
		excuse := excuses[leaving.kind]
		if excuse == nil {
			continue
		}
		for _, a := range arrivals {
			if a.appID != leaving.appID || !a.At.After(leaving.start.Add(meshNewWorkLimit)) {
				continue
			}
			excused := s.overlaps(leaving.start.Add(-faultSettleTime), a.At, func(e event) bool { return excuse(leaving.firstVM, e) })
			if !excused {
				violations = append(violations, fmt.Sprintf("request %s reached %s %s after it began to %s", a.ID, a.appID, a.At.Sub(leaving.start), leaving.kind))
			}
		}
	}
	return violations
}

// checkRecovery checks that requests are served again after the kill-all.
func (s *meshSoak) checkRecovery(recoveredAt time.Time) []string {
	sent, served := 0, 0
	for _, r := range s.records {
		if r.begin.Before(recoveredAt) {
			continue
		}
		sent++
		if r.err == nil && r.status == http.StatusOK {
			served++
		}
	}
	if sent == 0 || float64(served) < minServedFraction*float64(sent) {
		return []string{fmt.Sprintf("only %d of %d requests were served after the nodes were killed", served, sent)}
	}
	return nil
}
