package trial

import (
	"slices"
	"strings"

	"dogwoodhead/standin"
)

// Account combines what the callers observed with what the backend servers ran.
type Account struct {
	// ExternalAttempts counts the callers' attempts; ExtraRuns runs added by nodes.
	ExternalAttempts int
	ExtraRuns        int
	// BusySeconds is the slot time of the callers' calls, WastedSeconds the slot
	// time of attempts for which the caller got no complete response.
	BusySeconds   float64
	WastedSeconds float64
	// RanTwice lists non-idempotent operations that ran more than once.
	RanTwice []string
	// FalseNotRun lists calls that were reported as not run but ran.
	FalseNotRun []string
}

// AttemptsPerCall returns the attempts per external call.
func (a Account) AttemptsPerCall() float64 {
	if a.ExternalAttempts == 0 {
		return 0
	}
	return 1 + float64(a.ExtraRuns)/float64(a.ExternalAttempts)
}

// WastedFraction returns the fraction of the busy slot time that was wasted.
func (a Account) WastedFraction() float64 {
	if a.BusySeconds == 0 {
		return 0
	}
	return a.WastedSeconds / a.BusySeconds
}

// rootToken returns the token of the callers' attempt to which a token belongs.
func rootToken(token string) string {
	root, _, _ := strings.Cut(token, ".")
	return root
}

// NewAccount combines recorded calls with the ledgers of all backend servers. A
// token that ran at two servers ran twice. Entries of other calls are ignored.
func NewAccount(d *standin.Document, roots []standin.RootCall, ledgers []standin.LedgerView) Account {
	var a Account
	useful := make(map[string]bool) // by attempt token; false if not answered
	notRun := make(map[string]bool)
	for _, r := range roots {
		a.ExternalAttempts += r.Attempts
		for n := 1; n <= r.Attempts; n++ {
			token := standin.AttemptToken(r.Token, r.Keyed, n)
			useful[token] = r.Outcome == standin.OutcomeComplete && (r.Keyed || n == r.Attempts)
			// The attempts of a keyed call share a token, so only all of them
			// together can be reported as not run.
			notRun[token] = r.Outcome == standin.OutcomeNotRun || !r.Keyed && slices.Contains(r.NotRunAttempts, n)
		}
	}
	type key struct{ target, token string }
	runs := make(map[key]int)
	busy := make(map[key]float64)
	for _, l := range ledgers {
		for _, e := range l.Entries {
			if _, known := useful[rootToken(e.Token)]; !known {
				continue
			}
			k := key{l.Service + "/" + e.Operation, e.Token}
			runs[k] += e.Runs
			busy[k] += e.BusySeconds
		}
	}
	for k, n := range runs {
		a.ExtraRuns += n - 1
		a.BusySeconds += busy[k]
		a.WastedSeconds += busy[k]
		if useful[rootToken(k.token)] {
			a.WastedSeconds -= busy[k] / float64(n) // one run was useful
		}
		service, operation, _ := strings.Cut(k.target, "/")
		if n > 1 && !d.Services[service].Operations[operation].Idempotent {
			a.RanTwice = append(a.RanTwice, k.target+" "+k.token)
		}
		if notRun[k.token] {
			a.FalseNotRun = append(a.FalseNotRun, k.target+" "+k.token)
		}
	}
	slices.Sort(a.RanTwice)
	slices.Sort(a.FalseNotRun)
	return a
}
