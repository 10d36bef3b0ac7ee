package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// OperationCounts counts the requests for one operation.
type OperationCounts struct {
	// Started counts requests that got a slot.
	Started uint64 `json:"started"`
	// Finished counts requests that ran to the end without an error.
	Finished uint64 `json:"finished"`
	// Failed counts requests that failed because a downstream call failed.
	Failed uint64 `json:"failed"`
	// Cancelled counts requests cancelled while they held a slot.
	Cancelled uint64 `json:"cancelled"`
	// Abandoned counts requests cancelled before they got a slot.
	Abandoned uint64 `json:"abandoned"`
	// BusySeconds is the total time that slots were held.
	BusySeconds float64 `json:"busy"`
	// SelfSeconds is BusySeconds without the wait for downstream calls.
	SelfSeconds float64 `json:"work"`
}

// LedgerEntry counts the runs of an operation with one token.
type LedgerEntry struct {
	Operation string `json:"operation"`
	Token     string `json:"token"`
	// Runs counts starts, Finished those that ran to the end without an error.
	Runs     int `json:"runs"`
	Finished int `json:"finished"`
	// BusySeconds is the total time that slots were held.
	BusySeconds float64 `json:"busy"`
	// SelfSeconds is BusySeconds without the wait for downstream calls.
	SelfSeconds float64 `json:"work"`
}

// LedgerView is a snapshot of the ledger of one backend server.
type LedgerView struct {
	Service    string                     `json:"service"`
	Operations map[string]OperationCounts `json:"operations"`
	// Repeated lists the tokens that ran more than once.
	Repeated []LedgerEntry `json:"repeated,omitempty"`
	// Entries lists all tokens, if requested.
	Entries []LedgerEntry `json:"entries,omitempty"`
	// StartsAfterDrain counts requests that got a slot after draining began;
	// LastStartAfterDrain is the time of the last one, relative to that moment.
	StartsAfterDrain    uint64   `json:"drainStarts"`
	LastStartAfterDrain Duration `json:"drainLast"`
}

type entryKey struct{ operation, token string }

// ledger records which tokens ran. It is kept in memory only: a restarted
// backend server begins with an empty one.
type ledger struct {
	mu                  sync.Mutex
	operations          map[string]*OperationCounts
	entries             map[entryKey]*LedgerEntry
	drainedAt           time.Time
	startsAfterDrain    uint64
	lastStartAfterDrain time.Duration
}

func newLedger() *ledger {
	return &ledger{operations: make(map[string]*OperationCounts), entries: make(map[entryKey]*LedgerEntry)}
}

// countsOf returns or creates an operation's counts; the caller holds the lock.
func (l *ledger) countsOf(operation string) *OperationCounts {
	o := l.operations[operation]
	if o == nil {
		o = &OperationCounts{}
		l.operations[operation] = o
	}
	return o
}

func (l *ledger) recordAbandoned(operation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countsOf(operation).Abandoned++
}

func (l *ledger) recordStart(operation, token string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countsOf(operation).Started++
	key := entryKey{operation, token}
	e := l.entries[key]
	if e == nil {
		e = &LedgerEntry{Operation: operation, Token: token}
		l.entries[key] = e
	}
	e.Runs++
	if !l.drainedAt.IsZero() {
		l.startsAfterDrain++
		l.lastStartAfterDrain = now.Sub(l.drainedAt)
	}
}

// runEnd is how a run ended.
type runEnd int

const (
	endFinished runEnd = iota
	endFailed
	endCancelled
)

func (l *ledger) recordEnd(operation, token string, end runEnd, busy, selfTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, e := l.countsOf(operation), l.entries[entryKey{operation, token}]
	o.BusySeconds += busy.Seconds()
	o.SelfSeconds += selfTime.Seconds()
	e.BusySeconds += busy.Seconds()
	e.SelfSeconds += selfTime.Seconds()
	switch end {
	case endFinished:
		o.Finished++
		e.Finished++
	case endFailed:
		o.Failed++
	case endCancelled:
		o.Cancelled++
	}
}

func (l *ledger) recordDrain(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drainedAt.IsZero() {
		l.drainedAt = now
	}
}

func (l *ledger) snapshot(service string, withTokens bool) LedgerView {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := LedgerView{
		Service: service, Operations: make(map[string]OperationCounts, len(l.operations)),
		StartsAfterDrain: l.startsAfterDrain, LastStartAfterDrain: Duration(l.lastStartAfterDrain),
	}
	for name, o := range l.operations {
		v.Operations[name] = *o
	}
	for _, e := range l.entries {
		if e.Runs > 1 {
			v.Repeated = append(v.Repeated, *e)
		}
		if withTokens {
			v.Entries = append(v.Entries, *e)
		}
	}
	slices.SortFunc(v.Repeated, func(a, b LedgerEntry) int { return cmp.Compare(a.Token, b.Token) })
	return v
}
