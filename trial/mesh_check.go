package trial

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dogwoodhead/standin"
)

const (
	// calm is how long the effects of a fault last beyond its end.
	calm = 3 * time.Second
	// drainLimit is the time after which a backend server that is leaving gets no
	// new work.
	drainLimit = 3 * time.Second
	// servedLimit is the least part of requests that are served once the graph
	// has recovered.
	servedLimit = 0.8
	// maxFound bounds the broken promises that are listed.
	maxFound = 20
)

// arrival is one request at one backend server.
type arrival struct {
	standin.Arrival
	app, service string
}

// check holds what callers and backend servers saw against the promises.
func (s *meshSoak) check(recovered time.Time) []string {
	var found []string
	runs := make(map[string]int)
	var arrivals []arrival
	for _, vm := range s.vms {
		for _, a := range vm.apps {
			for id, n := range a.AllRuns() {
				runs[id] += n
			}
			for _, x := range a.Arrivals() {
				arrivals = append(arrivals, arrival{Arrival: x, app: a.ID(), service: a.Service()})
			}
		}
	}
	for _, e := range s.events {
		if strings.HasPrefix(e.kind, "broken") {
			found = append(found, fmt.Sprintf("vm %d: %s", e.vm, e.kind))
		}
	}
	for _, r := range s.records {
		found = append(found, s.checkRecord(r, runs[r.id])...)
	}
	found = append(found, s.checkForward()...)
	found = append(found, s.checkBudget(arrivals)...)
	found = append(found, s.checkDrain(arrivals)...)
	found = append(found, s.checkRecovery(recovered)...)
	if len(found) > maxFound {
		found = append(found[:maxFound], fmt.Sprintf("and %d more", len(found)-maxFound))
	}
	return found
}

// checkRecord checks the answer to one request: whole, its own, run at most once
// where it must, truthful about not having run, not cut by a planned stop.
func (s *meshSoak) checkRecord(r record, runs int) []string {
	var found []string
	if r.err == nil && r.status == http.StatusOK && r.body != standin.AppBody(r.stamp, r.id) {
		found = append(found, fmt.Sprintf("request %s got %q from %s", r.id, r.body, r.stamp))
	}
	if r.unsafe && runs > 1 {
		found = append(found, fmt.Sprintf("request %s ran %d times", r.id, runs))
	}
	if r.unsafe && r.err == nil && runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
		found = append(found, fmt.Sprintf("request %s was refused with %d and ran", r.id, r.status))
	}
	if r.err != nil && s.cutByStop(r) {
		found = append(found, fmt.Sprintf("request %s was cut by a planned stop: %v", r.id, r.err))
	}
	return found
}

// cutByStop reports whether the caller's node was stopped as planned while the
// request was in progress. Only what ends or pauses that process excuses it.
func (s *meshSoak) cutByStop(r record) bool {
	stopped := false
	for _, e := range s.events {
		if e.ends && e.concerns(r.vm) && e.at.Before(r.end) && e.until.Add(calm).After(r.begin) {
			return false
		}
		if e.kind == "term" && e.vm == r.vm && e.starts == r.starts && !e.at.Before(r.begin) && e.at.Before(r.end) {
			stopped = true
		}
	}
	return stopped
}

// checkForward checks that a process which has served a route of a version never
// answers later that the route does not exist.
func (s *meshSoak) checkForward() []string {
	type key struct{ vm, starts, version int }
	seen := make(map[key]time.Time)
	for _, r := range s.records {
		k := key{r.vm, r.starts, r.version}
		if r.version == 0 || r.err != nil || r.status != http.StatusOK {
			continue
		}
		if at, ok := seen[k]; !ok || r.end.Before(at) {
			seen[k] = r.end
		}
	}
	var found []string
	for _, r := range s.records {
		at, ok := seen[key{r.vm, r.starts, r.version}]
		if ok && r.err == nil && r.status == http.StatusNotFound && r.begin.After(at) {
			found = append(found, fmt.Sprintf("request %s: version %d was in force at vm %d and is not any more", r.id, r.version, r.vm))
		}
	}
	return found
}

// checkBudget checks the repeats of each service in each window.
func (s *meshSoak) checkBudget(arrivals []arrival) []string {
	byService := make(map[string][]arrival)
	for _, a := range arrivals {
		byService[a.service] = append(byService[a.service], a)
	}
	var found []string
	for service, list := range byService {
		slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
		seen := make(map[string]bool)
		repeat := make([]bool, len(list))
		for i, a := range list {
			repeat[i] = seen[a.ID]
			seen[a.ID] = true
		}
		from, first, again := 0, 0, 0
		for i, a := range list {
			if repeat[i] {
				again++
			} else {
				first++
			}
			for a.At.Sub(list[from].At) > meshWindow {
				if repeat[from] {
					again--
				} else {
					first--
				}
				from++
			}
			if float64(again) > meshRatio*float64(first)+meshSlack {
				found = append(found, fmt.Sprintf("service %s: %d repeats of %d requests within %s", service, again, first, meshWindow))
				break
			}
		}
	}
	return found
}

// checkDrain checks that nothing reaches a backend server long after it began to
// drain, where no fault kept the node beside it from learning that.
func (s *meshSoak) checkDrain(arrivals []arrival) []string {
	var found []string
	for _, e := range s.events {
		if e.kind != "drain" {
			continue
		}
		for _, a := range arrivals {
			if a.app == e.app && a.At.After(e.at.Add(drainLimit)) && s.told(e.vm, e.at.Add(-calm), a.At) {
				found = append(found, fmt.Sprintf("request %s reached %s %s after it drained", a.ID, a.app, a.At.Sub(e.at)))
			}
		}
	}
	return found
}

// told reports whether no fault kept a VM's node from what the store says.
func (s *meshSoak) told(vm int, from, to time.Time) bool {
	for _, e := range s.events {
		if (e.store || e.fault && e.concerns(vm)) && e.at.Before(to) && e.until.After(from) {
			return false
		}
	}
	return true
}

// checkRecovery checks that the graph serves again after all nodes were killed.
func (s *meshSoak) checkRecovery(recovered time.Time) []string {
	asked, served := 0, 0
	for _, r := range s.records {
		if r.begin.Before(recovered) {
			continue
		}
		asked++
		if r.err == nil && r.status == http.StatusOK {
			served++
		}
	}
	if asked == 0 || float64(served) < servedLimit*float64(asked) {
		return []string{fmt.Sprintf("%d of %d requests are served after the nodes were killed", served, asked)}
	}
	return nil
}
