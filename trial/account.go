package trial

import (
	"slices"
	"strings"

	"dogwoodhead/standin"
)

// Account joins what the callers saw with what the backend servers did.
type Account struct {
	// External counts the callers' attempts; Extra the runs that nodes added.
	External int
	Extra    int
	// Busy is the time that slots were held for the callers' calls, Wasted the
	// part of it that was spent on attempts which the caller got no whole
	// answer to, in seconds.
	Busy   float64
	Wasted float64
	// Twice lists operations that are not idempotent and ran more than once.
	Twice []string
	// Ran lists calls that were reported as not run but ran.
	Ran []string
}

// AttemptsPerRoot returns the attempts per external call.
func (a Account) AttemptsPerRoot() float64 {
	if a.External == 0 {
		return 0
	}
	return 1 + float64(a.Extra)/float64(a.External)
}

// WastedShare returns the part of the busy slot time that was wasted.
func (a Account) WastedShare() float64 {
	if a.Busy == 0 {
		return 0
	}
	return a.Wasted / a.Busy
}

// rootOf returns the token of the callers' attempt that a backend server's
// token belongs to.
func rootOf(token string) string {
	root, _, _ := strings.Cut(token, ".")
	return root
}

// NewAccount joins recorded calls with the ledgers of all backend servers. A
// token that ran at two servers ran twice. Entries of other calls are ignored.
func NewAccount(d *standin.Document, roots []standin.RootCall, ledgers []standin.LedgerView) Account {
	var a Account
	useful := make(map[string]bool) // by attempt token; false where not answered
	notRun := make(map[string]bool)
	for _, r := range roots {
		a.External += r.Attempts
		for n := 1; n <= r.Attempts; n++ {
			token := standin.AttemptToken(r.Token, r.Keyed, n)
			useful[token] = r.Outcome == standin.OutcomeWhole && (r.Keyed || n == r.Attempts)
			// The attempts of a keyed call share a token, so only all together
			// can be said not to have run.
			notRun[token] = r.Outcome == standin.OutcomeNotRun || !r.Keyed && slices.Contains(r.NotRunAttempts, n)
		}
	}
	type key struct{ target, token string }
	runs := make(map[key]int)
	busy := make(map[key]float64)
	for _, l := range ledgers {
		for _, e := range l.Entries {
			if _, known := useful[rootOf(e.Token)]; !known {
				continue
			}
			k := key{l.Service + "/" + e.Operation, e.Token}
			runs[k] += e.Runs
			busy[k] += e.BusySeconds
		}
	}
	for k, n := range runs {
		a.Extra += n - 1
		a.Busy += busy[k]
		a.Wasted += busy[k]
		if useful[rootOf(k.token)] {
			a.Wasted -= busy[k] / float64(n) // one run was of use
		}
		service, operation, _ := strings.Cut(k.target, "/")
		if n > 1 && !d.Services[service].Operations[operation].Idempotent {
			a.Twice = append(a.Twice, k.target+" "+k.token)
		}
		if notRun[k.token] {
			a.Ran = append(a.Ran, k.target+" "+k.token)
		}
	}
	slices.Sort(a.Twice)
	slices.Sort(a.Ran)
	return a
}
