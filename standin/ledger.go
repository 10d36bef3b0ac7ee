package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// OperationCounts says what became of the requests for one operation.
type OperationCounts struct {
	// Started counts requests that got a slot.
	Started uint64 `json:"started"`
	// Finished counts those that were answered in full.
	Finished uint64 `json:"finished"`
	// Failed counts those that were answered with an error, because a
	// downstream call had no answer.
	Failed uint64 `json:"failed"`
	// Cancelled counts those that were cancelled while they held a slot.
	Cancelled uint64 `json:"cancelled"`
	// Abandoned counts requests that were cancelled before they got a slot.
	Abandoned uint64 `json:"abandoned"`
	// Busy is the time that slots were held, in seconds.
	Busy float64 `json:"busy"`
	// Work is the part of Busy that is not waiting for downstream calls.
	Work float64 `json:"work"`
}

// Entry says how often one token ran.
type Entry struct {
	Operation string `json:"operation"`
	Token     string `json:"token"`
	// Runs counts the starts, Finished those answered in full.
	Runs     int `json:"runs"`
	Finished int `json:"finished"`
	// Busy is the time that slots were held, in seconds.
	Busy float64 `json:"busy"`
	// Work is the part of Busy that is not waiting for downstream calls.
	Work float64 `json:"work"`
}

// LedgerView is a copy of the ledger of one backend server.
type LedgerView struct {
	Service    string                     `json:"service"`
	Operations map[string]OperationCounts `json:"operations"`
	// Repeated lists the tokens that ran more than once.
	Repeated []Entry `json:"repeated,omitempty"`
	// Entries lists all tokens, where asked for.
	Entries []Entry `json:"entries,omitempty"`
	// DrainStarts counts requests that got a slot after draining began, and
	// DrainLast is when the last of them did, counted from that moment.
	DrainStarts uint64   `json:"drainStarts"`
	DrainLast   Duration `json:"drainLast"`
}

type entryKey struct{ operation, token string }

// ledger records which tokens ran. It outlives no process: a backend server
// that is restarted starts an empty one.
type ledger struct {
	mu      sync.Mutex
	ops     map[string]*OperationCounts
	entries map[entryKey]*Entry
	drained time.Time
	starts  uint64
	last    time.Duration
}

func newLedger() *ledger {
	return &ledger{ops: make(map[string]*OperationCounts), entries: make(map[entryKey]*Entry)}
}

func (l *ledger) op(operation string) *OperationCounts {
	o := l.ops[operation]
	if o == nil {
		o = &OperationCounts{}
		l.ops[operation] = o
	}
	return o
}

func (l *ledger) abandon(operation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.op(operation).Abandoned++
}

func (l *ledger) start(operation, token string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.op(operation).Started++
	key := entryKey{operation, token}
	e := l.entries[key]
	if e == nil {
		e = &Entry{Operation: operation, Token: token}
		l.entries[key] = e
	}
	e.Runs++
	if !l.drained.IsZero() {
		l.starts++
		l.last = now.Sub(l.drained)
	}
}

// ending says how a run ended.
type ending int

const (
	endFinished ending = iota
	endFailed
	endCancelled
)

func (l *ledger) end(operation, token string, how ending, busy, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, e := l.op(operation), l.entries[entryKey{operation, token}]
	o.Busy += busy.Seconds()
	o.Work += work.Seconds()
	e.Busy += busy.Seconds()
	e.Work += work.Seconds()
	switch how {
	case endFinished:
		o.Finished++
		e.Finished++
	case endFailed:
		o.Failed++
	case endCancelled:
		o.Cancelled++
	}
}

func (l *ledger) drain(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained.IsZero() {
		l.drained = now
	}
}

func (l *ledger) view(service string, all bool) LedgerView {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := LedgerView{
		Service: service, Operations: make(map[string]OperationCounts, len(l.ops)),
		DrainStarts: l.starts, DrainLast: Duration(l.last),
	}
	for name, o := range l.ops {
		v.Operations[name] = *o
	}
	for _, e := range l.entries {
		if e.Runs > 1 {
			v.Repeated = append(v.Repeated, *e)
		}
		if all {
			v.Entries = append(v.Entries, *e)
		}
	}
	slices.SortFunc(v.Repeated, func(a, b Entry) int { return cmp.Compare(a.Token, b.Token) })
	return v
}
