package trial

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dogwoodhead/standin"
)

// The checks of a soak, by the points of section 1.1 of the design page.
const (
	checkRetries   = "1 extra attempts <= ratio x root calls + start burst"
	checkWhole     = "3 no wrong or partial answer"
	checkNotRun    = "4 nothing reported as not run ran"
	checkOnce      = "5 nothing ran twice that must run once"
	checkLeaving   = "6 no new work 3 s after leaving"
	checkStop      = "7 planned stops end cleanly"
	checkCut       = "7 no call was cut but by a killed process"
	checkInForce   = "8 highest accepted pair in force within 5 s"
	checkForward   = "8 no pair went back"
	checkInvariant = "  invariants hold in the program"
	checkMemory    = "  memory of a node < 128 MB"
	checkServes    = "  every node serves again after the faults"
)

var soakChecks = []string{
	checkRetries, checkWhole, checkNotRun, checkOnce, checkLeaving, checkStop, checkCut,
	checkInForce, checkForward, checkInvariant, checkMemory, checkServes,
}

// soakStart is the number of permits in a node's entry bucket when it starts.
const soakStart = 5

// soakTotals sums what was seen of all processes of nodes.
type soakTotals struct {
	processes, polls     int
	entry, extra, broken float64
	memory               int64
}

func (s *soak) totals() soakTotals {
	var t soakTotals
	all := s.past
	for _, w := range s.live {
		all = append(all, *w)
	}
	for _, w := range all {
		t.processes++
		t.polls += w.polls
		t.entry += w.entry
		t.extra += w.extra
		t.broken += w.broken
		t.memory = max(t.memory, w.memory)
		if w.memory >= memoryLimit {
			s.broken(checkMemory, "%s used %d MB", w.incarnation, w.memory>>20)
		}
		if w.broken > 0 {
			s.broken(checkInvariant, "%s counted %.0f", w.incarnation, w.broken)
		}
	}
	return t
}

// report prints a line for each check and returns an error where one is broken.
func (s *soak) report(res *standin.Result) error {
	printClasses(s.out, res)
	for _, c := range res.Classes {
		fmt.Fprintf(s.out, "%s: %v\n", c.Name, c.Reasons)
	}
	t := s.totals()
	ratio, _ := s.fleet.plan.base["ratio"].(float64)
	if allowed := ratio*t.entry + soakStart*float64(t.processes); t.extra > allowed {
		s.broken(checkRetries, "%.0f extra attempts, allowed %.1f", t.extra, allowed)
	}
	account := NewAccount(s.fleet.plan.Document, res.RootCalls, s.ledgers)
	wrong, partial := 0, 0
	for _, c := range res.Classes {
		wrong, partial = wrong+c.Wrong, partial+c.Partial
	}
	if wrong+partial > 0 {
		s.broken(checkWhole, "%d wrong, %d partial: %q", wrong, partial, res.Examples)
	}
	for _, v := range account.Twice {
		s.broken(checkOnce, "%s", v)
	}
	for _, v := range account.Ran {
		s.broken(checkNotRun, "%s", v)
	}
	s.checkCuts(res)
	counts := s.counts(t, res, account)
	failed := false
	for _, name := range soakChecks {
		verdict := "ok"
		if n := len(s.found[name]); n > 0 {
			verdict, failed = fmt.Sprintf("BROKEN %d", n), true
		}
		fmt.Fprintf(s.out, "%-52s %-10s %s\n", name, verdict, counts[name])
		for _, v := range s.found[name] {
			fmt.Fprintf(s.out, "    %s\n", v)
		}
	}
	if failed {
		return errSoak
	}
	return nil
}

// counts says what each check is based on.
func (s *soak) counts(t soakTotals, res *standin.Result, a Account) map[string]string {
	attempts, refused, keyed := 0, 0, 0
	for _, r := range res.RootCalls {
		attempts += r.Attempts
		refused += len(r.NotRunAttempts)
		if r.Keyed {
			keyed++
		}
	}
	sees := fmt.Sprintf("%d ledgers; what ran between the last reading and a kill is not seen", len(s.ledgers))
	return map[string]string{
		checkRetries:   fmt.Sprintf("%.0f extra of %.0f root calls at %d processes; %d extra runs", t.extra, t.entry, t.processes, a.Extra),
		checkWhole:     fmt.Sprintf("%d attempts", attempts),
		checkNotRun:    fmt.Sprintf("%d attempts refused, %s", refused, sees),
		checkOnce:      fmt.Sprintf("%d keyed calls, %s", keyed, sees),
		checkLeaving:   fmt.Sprintf("%d departures", s.late),
		checkStop:      fmt.Sprintf("%d nodes during the run, %d nodes and backend servers at its end", len(s.stops), 2*len(s.fleet.servers)),
		checkCut:       fmt.Sprintf("%d calls ended with a connection, %d processes killed", len(res.LostAttempts), len(s.kills)),
		checkInForce:   fmt.Sprintf("%d polls", t.polls),
		checkForward:   fmt.Sprintf("%d polls of %d processes", t.polls, t.processes),
		checkInvariant: fmt.Sprintf("%.0f broken at %d processes", t.broken, t.processes),
		checkServes:    fmt.Sprintf("%d nodes", len(s.fleet.servers)),
		checkMemory:    fmt.Sprintf("largest %d MB", t.memory>>20),
	}
}

// lostAfter is how long after a kill a request may still be written to a
// connection that the killed process left.
const lostAfter = 200 * time.Millisecond

// checkCuts finds calls that ended with a connection though no process was
// killed at that time: at their entry or, for a call that was lost behind it,
// anywhere. Only a planned stop can have done that. A caller that repeats a
// keyed call gets the stored outcome, so a loss that is explained explains the
// later ones of the same token.
func (s *soak) checkCuts(res *standin.Result) {
	slices.SortFunc(res.LostAttempts, func(a, b standin.LostAttempt) int { return cmp.Compare(a.SentMicros, b.SentMicros) })
	stored := make(map[string]bool)
	for _, l := range res.LostAttempts {
		sent := res.Start.Add(time.Duration(l.SentMicros) * time.Microsecond)
		done := res.Start.Add(time.Duration(l.DoneMicros) * time.Microsecond)
		explained := func(k ending) bool {
			return (l.BehindIngress || k.server.Caller == l.Ingress) && !done.Before(k.from) && !sent.After(k.to.Add(lostAfter))
		}
		if l.BehindIngress && stored[l.Token] {
			continue
		}
		if slices.ContainsFunc(s.kills, explained) {
			stored[l.Token] = true
			continue
		}
		i := slices.IndexFunc(s.fleet.servers, func(v *Server) bool { return v.Caller == l.Ingress })
		s.broken(checkCut, "%s at %s: %s, inside %t, sent at %s, ended at %s",
			l.Token, s.fleet.servers[i].VM.Name, l.Reason, l.BehindIngress, sent.Sub(s.start).Round(time.Millisecond), done.Sub(s.start).Round(time.Millisecond))
	}
}
