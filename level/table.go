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
	// defaultProbes is the part of the calls above the level that is admitted,
	// so that answers can report that the level rose.
	defaultProbes = 1.0 / 64
	// maxRows bounds the table; answers of further operations are not recorded.
	maxRows = 4096
	// unused is how long a row without answers is kept.
	unused = 30 * time.Second
)

// Options configures NewTable.
type Options struct {
	// Clock is the source of time.
	Clock clockwork.Clock
	// Probes is the part of the calls above the level, 0 to 1, that Admit lets
	// pass; 0 selects the default of 1/64, a negative value none.
	Probes float64
}

// Table keeps the level of each operation. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	share float64

	mu    sync.RWMutex
	rows  map[frame.Target]*row
	swept time.Time
	// credit is the part of a probe that the calls shed since the last probe
	// have earned, below 1 between calls of Admit.
	credit float64
	probes uint64
	shed   uint64
}

// NewTable returns a table in which every level is open.
func NewTable(o Options) *Table {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Probes == 0 {
		o.Probes = defaultProbes
	}
	return &Table{
		clock: o.Clock, share: min(max(o.Probes, 0), 1),
		rows: make(map[frame.Target]*row), swept: o.Clock.Now(),
	}
}

// Observe records the level in an answer or refusal of an unnamed server.
func (t *Table) Observe(target frame.Target, l frame.Level) { t.ObserveFrom("", target, l) }

// ObserveFrom records the level in an answer or refusal of the named server.
// Naming it keeps one server from outvoting the others of its service.
func (t *Table) ObserveFrom(server string, target frame.Target, l frame.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	r, ok := t.rows[target]
	if !ok {
		if !t.room(now) {
			return
		}
		r = &row{votes: make([]vote, 0, votes)}
		t.rows[target] = r
	}
	r.add(vote{server: server, level: min(l, frame.OpenLevel), at: now})
	if now.Sub(t.swept) >= unused {
		t.sweep(now)
	}
}

// room reports whether another row fits, after dropping unused ones if needed.
func (t *Table) room(now time.Time) bool {
	if len(t.rows) >= maxRows {
		t.sweep(now)
	}
	return len(t.rows) < maxRows
}

func (t *Table) sweep(now time.Time) {
	t.swept = now
	for target, r := range t.rows {
		if now.Sub(r.last()) >= unused {
			delete(t.rows, target)
		}
	}
}

// Path returns the most restrictive level over the targets, aged.
// frame.OpenLevel where none is known.
func (t *Table) Path(targets []frame.Target) frame.Level {
	_, l := t.Strictest(targets)
	return l
}

// Strictest returns the target with the most restrictive level and the level;
// the zero target and frame.OpenLevel where all are open.
func (t *Table) Strictest(targets []frame.Target) (frame.Target, frame.Level) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	var strictest frame.Target
	lowest := frame.OpenLevel
	for _, target := range targets {
		if r, ok := t.rows[target]; ok {
			if l := r.at(now); l < lowest {
				strictest, lowest = target, l
			}
		}
	}
	return strictest, lowest
}

// Admit reports whether a call of the priority passes the levels of the
// targets. A bounded part of the calls just above the level passes as probes:
// those of the class that the level would admit next. Probes of classes below
// it could be served while more important calls are shed.
func (t *Table) Admit(p frame.Level, targets []frame.Target) bool {
	l := t.Path(targets)
	if l.Admits(p) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Class() != (l + 1).Class() {
		t.shed++
		return false
	}
	t.credit += t.share
	if t.credit >= 1 {
		t.credit--
		t.probes++
		return true
	}
	t.shed++
	return false
}

// Row is one operation's level, for status and explain.
type Row struct {
	Target string `json:"target"`
	// Level is the aged level as class.rank.
	Level string `json:"level"`
	// Age is the time since the last answer.
	Age time.Duration `json:"age"`
	// Votes is the number of answers that the level is derived from.
	Votes int `json:"votes"`
}

// View is a snapshot of a table.
type View struct {
	// Rows is sorted by target.
	Rows []Row `json:"rows"`
	// Shed and Probes count the calls above a level since the start.
	Shed   uint64 `json:"shed"`
	Probes uint64 `json:"probes"`
}

// View returns a snapshot.
func (t *Table) View() View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	v := View{Shed: t.shed, Probes: t.probes, Rows: make([]Row, 0, len(t.rows))}
	for target, r := range t.rows {
		v.Rows = append(v.Rows, Row{
			Target: target.String(), Level: r.at(now).String(), Age: now.Sub(r.last()), Votes: len(r.votes),
		})
	}
	slices.SortFunc(v.Rows, func(a, b Row) int { return strings.Compare(a.Target, b.Target) })
	return v
}
