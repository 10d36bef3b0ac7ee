package level

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

const (
	// defaultProbeFraction is the fraction of the calls above the level that is
	// admitted, so that responses can report a higher level.
	defaultProbeFraction = 1.0 / 64
	// maxEntries bounds the table; votes on further operations are dropped.
	maxEntries = 4096
	// entryTTL is how long an entry without new votes is kept.
	entryTTL = 30 * time.Second
)

// Options configures NewTable.
type Options struct {
	// Clock is the source of time.
	Clock clockwork.Clock
	// ProbeFraction is the fraction, 0 to 1, of the calls above the level that
	// Admit admits as probes; 0 selects the default of 1/64, a negative value
	// none.
	ProbeFraction float64
}

// Table holds the level of each operation. It is safe for concurrent use.
type Table struct {
	clock         clockwork.Clock
	probeFraction float64

	mu          sync.RWMutex
	entries     map[frame.Target]*entry
	lastRemoval time.Time
	// probeCredit grows by probeFraction per eligible call; a probe costs 1. It
	// is below 1 between calls of Admit.
	probeCredit float64
	probes      uint64
	shed        uint64
}

// NewTable returns a table in which every level is open.
func NewTable(opts Options) *Table {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.ProbeFraction == 0 {
		opts.ProbeFraction = defaultProbeFraction
	}
	return &Table{
		clock: opts.Clock, probeFraction: min(max(opts.ProbeFraction, 0), 1),
		entries: make(map[frame.Target]*entry), lastRemoval: opts.Clock.Now(),
	}
}

// Observe records the level in a response or refusal of an unnamed server.
func (t *Table) Observe(target frame.Target, l frame.Level) { t.ObserveFrom("", target, l) }

// ObserveFrom records the level in a response or refusal of the named server.
// The name prevents a server from outvoting the others of its service.
func (t *Table) ObserveFrom(server string, target frame.Target, l frame.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e, ok := t.entries[target]
	if !ok {
		if !t.makeRoom(now) {
			return
		}
		e = &entry{votes: make([]vote, 0, maxVotes)}
		t.entries[target] = e
	}
	e.addVote(vote{server: server, level: min(l, frame.OpenLevel), at: now})
	if now.Sub(t.lastRemoval) >= entryTTL {
		t.removeExpired(now)
	}
}

// makeRoom removes expired entries if the table is full and reports whether one
// more entry fits.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.entries) >= maxEntries {
		t.removeExpired(now)
	}
	return len(t.entries) < maxEntries
}

func (t *Table) removeExpired(now time.Time) {
	t.lastRemoval = now
	for target, e := range t.entries {
		if now.Sub(e.updatedAt()) >= entryTTL {
			delete(t.entries, target)
		}
	}
}

// PathLevel returns the most restrictive current level over the targets,
// frame.OpenLevel if none is known.
func (t *Table) PathLevel(targets []frame.Target) frame.Level {
	_, l := t.Strictest(targets)
	return l
}

// Strictest returns the target with the most restrictive current level, and that
// level; the zero target and frame.OpenLevel if all are open.
func (t *Table) Strictest(targets []frame.Target) (frame.Target, frame.Level) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	var strictest frame.Target
	lowest := frame.OpenLevel
	for _, target := range targets {
		if e, ok := t.entries[target]; ok {
			if l := e.at(now); l < lowest {
				strictest, lowest = target, l
			}
		}
	}
	return strictest, lowest
}

// Admit reports whether the levels of the targets admit a call of priority p. A
// fraction of the calls above the level is admitted as probes, only in the class
// that the level would admit next: probes of lower classes could be served while
// calls of higher priority are shed.
func (t *Table) Admit(p frame.Level, targets []frame.Target) bool {
	l := t.PathLevel(targets)
	if l.Admits(p) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Class() != (l + 1).Class() {
		t.shed++
		return false
	}
	t.probeCredit += t.probeFraction
	if t.probeCredit >= 1 {
		t.probeCredit--
		t.probes++
		return true
	}
	t.shed++
	return false
}

// Entry is one operation's level, for the status and explain commands.
type Entry struct {
	Target string `json:"target"`
	// Level is the current level as class.rank.
	Level string `json:"level"`
	// Age is the time since the newest vote.
	Age time.Duration `json:"age"`
	// Votes is the number of votes that the level is derived from.
	Votes int `json:"votes"`
}

// View is a snapshot of a table.
type View struct {
	// Entries is sorted by target.
	Entries []Entry `json:"rows"`
	// Shed and Probes are the numbers of calls above a level that were shed and
	// that were admitted as probes, since the start.
	Shed   uint64 `json:"shed"`
	Probes uint64 `json:"probes"`
}

// View returns a snapshot.
func (t *Table) View() View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	v := View{Shed: t.shed, Probes: t.probes, Entries: make([]Entry, 0, len(t.entries))}
	for target, e := range t.entries {
		v.Entries = append(v.Entries, Entry{
			Target: target.String(), Level: e.at(now).String(), Age: now.Sub(e.updatedAt()), Votes: len(e.votes),
		})
	}
	slices.SortFunc(v.Entries, func(a, b Entry) int { return strings.Compare(a.Target, b.Target) })
	return v
}
