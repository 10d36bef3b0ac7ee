package trial

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dogwoodhead/standin"
)

// The checks of a soak, numbered as in section 1.1 of the design page.
const (
	checkRetries    = "1 extra attempts <= ratio x root calls + start burst"
	checkComplete   = "3 no wrong or partial answer"
	checkNotRun     = "4 nothing reported as not run ran"
	checkOnce       = "5 nothing ran twice that must run once"
	checkLeaving    = "6 no new work 3 s after leaving"
	checkStop       = "7 planned stops end cleanly"
	checkCut        = "7 no call was cut but by a killed process"
	checkActive     = "8 highest accepted pair in force within 5 s"
	checkNoRollback = "8 no pair went back"
	checkInvariant  = "  invariants hold in the program"
	checkMemory     = "  memory of a node < 128 MB"
	checkServing    = "  every node serves again after the faults"
)

var soakChecks = []string{
	checkRetries, checkComplete, checkNotRun, checkOnce, checkLeaving, checkStop, checkCut,
	checkActive, checkNoRollback, checkInvariant, checkMemory, checkServing,
}

// initialIngressPermits is the initial number of permits in an ingress permit bucket.
const initialIngressPermits = 5

// soakTotals sums the observations of all node processes.
type soakTotals struct {
	processes, polls                               int
	ingressCalls, extraAttempts, invariantFailures float64
	memory                                         int64
}

func (s *soak) totals() soakTotals {
	var t soakTotals
	all := s.ended
	for _, observed := range s.live {
		all = append(all, *observed)
	}
	for _, observed := range all {
		t.processes++
		t.polls += observed.polls
		t.ingressCalls += observed.ingressCalls
		t.extraAttempts += observed.extraAttempts
		t.invariantFailures += observed.invariantFailures
		t.memory = max(t.memory, observed.memory)
		if observed.memory >= memoryLimit {
			s.recordViolation(checkMemory, "%s used %d MB", observed.incarnation, observed.memory>>20)
		}
		if observed.invariantFailures > 0 {
			s.recordViolation(checkInvariant, "%s counted %.0f", observed.incarnation, observed.invariantFailures)
		}
	}
	return t
}

// report prints a line for each check and returns an error if one failed.
func (s *soak) report(res *standin.Result) error {
	printClasses(s.out, res)
	for _, c := range res.Classes {
		fmt.Fprintf(s.out, "%s: %v\n", c.Name, c.Reasons)
	}
	t := s.totals()
	ratio, _ := s.fleet.plan.base["ratio"].(float64)
	if allowed := ratio*t.ingressCalls + initialIngressPermits*float64(t.processes); t.extraAttempts > allowed {
		s.recordViolation(checkRetries, "%.0f extra attempts, allowed %.1f", t.extraAttempts, allowed)
	}
	account := NewAccount(s.fleet.plan.Document, res.RootCalls, s.ledgers)
	wrong, partial := 0, 0
	for _, c := range res.Classes {
		wrong, partial = wrong+c.Wrong, partial+c.Partial
	}
	if wrong+partial > 0 {
		s.recordViolation(checkComplete, "%d wrong, %d partial: %q", wrong, partial, res.Examples)
	}
	for _, v := range account.RanTwice {
		s.recordViolation(checkOnce, "%s", v)
	}
	for _, v := range account.FalseNotRun {
		s.recordViolation(checkNotRun, "%s", v)
	}
	s.checkCuts(res)
	details := s.checkDetails(t, res, account)
	failed := false
	for _, name := range soakChecks {
		result := "ok"
		if n := len(s.violations[name]); n > 0 {
			result, failed = fmt.Sprintf("BROKEN %d", n), true
		}
		fmt.Fprintf(s.out, "%-52s %-10s %s\n", name, result, details[name])
		for _, v := range s.violations[name] {
			fmt.Fprintf(s.out, "    %s\n", v)
		}
	}
	if failed {
		return errCheckFailed
	}
	return nil
}

// checkDetails returns the data that each check is based on.
func (s *soak) checkDetails(t soakTotals, res *standin.Result, account Account) map[string]string {
	attempts, refused, keyed := 0, 0, 0
	for _, r := range res.RootCalls {
		attempts += r.Attempts
		refused += len(r.NotRunAttempts)
		if r.Keyed {
			keyed++
		}
	}
	ledgerCoverage := fmt.Sprintf("%d ledgers; runs between the last reading and a kill are not recorded", len(s.ledgers))
	return map[string]string{
		checkRetries:    fmt.Sprintf("%.0f extra of %.0f root calls at %d processes; %d extra runs", t.extraAttempts, t.ingressCalls, t.processes, account.ExtraRuns),
		checkComplete:   fmt.Sprintf("%d attempts", attempts),
		checkNotRun:     fmt.Sprintf("%d attempts refused, %s", refused, ledgerCoverage),
		checkOnce:       fmt.Sprintf("%d keyed calls, %s", keyed, ledgerCoverage),
		checkLeaving:    fmt.Sprintf("%d leaving servers", s.newWorkChecks),
		checkStop:       fmt.Sprintf("%d nodes during the run, %d nodes and backend servers at its end", len(s.plannedStops), 2*len(s.fleet.servers)),
		checkCut:        fmt.Sprintf("%d calls ended with a connection, %d processes killed", len(res.LostAttempts), len(s.kills)),
		checkActive:     fmt.Sprintf("%d polls", t.polls),
		checkNoRollback: fmt.Sprintf("%d polls of %d processes", t.polls, t.processes),
		checkInvariant:  fmt.Sprintf("%.0f broken at %d processes", t.invariantFailures, t.processes),
		checkServing:    fmt.Sprintf("%d nodes", len(s.fleet.servers)),
		checkMemory:     fmt.Sprintf("largest %d MB", t.memory>>20),
	}
}

// killedConnGrace is how long after a kill a request may still be written to a
// connection of the killed process.
const killedConnGrace = 200 * time.Millisecond

// checkCuts records calls whose connection broke although no process was killed
// at that time: the ingress node or, for a connection behind it, any process. Only
// a planned stop can have caused that. A retry of a keyed call returns the stored
// outcome, so an explained loss explains later ones of the same token.
func (s *soak) checkCuts(res *standin.Result) {
	slices.SortFunc(res.LostAttempts, func(a, b standin.LostAttempt) int { return cmp.Compare(a.SentMicros, b.SentMicros) })
	explainedTokens := make(map[string]bool)
	for _, l := range res.LostAttempts {
		sent := res.Start.Add(time.Duration(l.SentMicros) * time.Microsecond)
		done := res.Start.Add(time.Duration(l.DoneMicros) * time.Microsecond)
		explained := func(k termination) bool {
			return (l.BehindIngress || k.server.CallerAddr == l.IngressAddr) && !done.Before(k.from) && !sent.After(k.to.Add(killedConnGrace))
		}
		if l.BehindIngress && explainedTokens[l.Token] {
			continue
		}
		if slices.ContainsFunc(s.kills, explained) {
			explainedTokens[l.Token] = true
			continue
		}
		i := slices.IndexFunc(s.fleet.servers, func(server *Server) bool { return server.CallerAddr == l.IngressAddr })
		s.recordViolation(checkCut, "%s at %s: %s, inside %t, sent at %s, ended at %s",
			l.Token, s.fleet.servers[i].VM.Name, l.Reason, l.BehindIngress, sent.Sub(s.start).Round(time.Millisecond), done.Sub(s.start).Round(time.Millisecond))
	}
}
