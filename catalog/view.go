package catalog

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// lapseGrace is how long an entry that vanished while the store was away is
// still used after the store's return. Servers that live are listed again
// within about 2 s; one whose entry was removed just after the return must be
// out of use 2 s after that.
const lapseGrace = 1700 * time.Millisecond

// maxChanges bounds the changes that are kept for nodes that are a little behind.
const maxChanges = 256

// record is a backend server with the time at which it stops being used.
type record struct {
	server Server
	// expires is zero for a listed server. For one whose entry lapsed it is
	// when the server counts as gone.
	expires time.Time
}

// ViewOptions configures a View.
type ViewOptions struct {
	Clock clockwork.Clock
	// Changed is called without a lock after each change of the servers. It may
	// be nil.
	Changed func(servers []Server)
	// Configured is called without a lock after each new configuration. It may
	// be nil.
	Configured func(c *Config)
}

// View is the configuration and the backend servers that a node believes in.
// It is safe for concurrent use.
type View struct {
	clock clockwork.Clock
	o     ViewOptions

	// notify orders the calls of Changed and Configured; it is acquired before mu.
	notify sync.Mutex
	mu     sync.RWMutex
	config *Config
	// rev never falls.
	rev     uint64
	servers map[string]record
	// changes are those after the revision base, oldest first.
	changes []Change
	base    uint64
	// configured and listed are when config and servers were last confirmed.
	configured, listed time.Time
	// returned is when the store answered again after it was away; zero before
	// its first absence.
	returned time.Time
}

// NewView returns an empty view.
func NewView(o ViewOptions) *View {
	if o.Changed == nil {
		o.Changed = func([]Server) {}
	}
	if o.Configured == nil {
		o.Configured = func(*Config) {}
	}
	return &View{clock: o.Clock, o: o, servers: make(map[string]record)}
}

// Config returns the configuration in force, nil before the first.
func (v *View) Config() *Config {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config
}

// Version returns the version in force, 0 before the first.
func (v *View) Version() uint64 {
	if c := v.Config(); c != nil {
		return c.Version()
	}
	return 0
}

// Rev returns the store's revision that the list of servers reflects.
func (v *View) Rev() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.rev
}

// Ages returns how long ago configuration and list were confirmed.
func (v *View) Ages() (config, list time.Duration) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := v.clock.Now()
	return now.Sub(v.configured), now.Sub(v.listed)
}

// Offer puts a configuration in force if it is newer, and reports whether it was.
func (v *View) Offer(c *Config) bool {
	v.notify.Lock()
	defer v.notify.Unlock()
	v.mu.Lock()
	newer := v.config == nil || c.Version() > v.config.Version()
	if newer {
		v.config = c
	}
	v.configured = v.clock.Now()
	v.mu.Unlock()
	if newer {
		v.o.Configured(c)
	}
	return newer
}

// Returned records that the store answered again, after it was away, the given
// time ago. Entries that vanish soon afterwards may have lapsed meanwhile.
func (v *View) Returned(ago time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at := v.clock.Now().Add(-ago); at.After(v.returned) {
		v.returned = at
	}
}

// SinceReturn returns how long ago the store returned, and false where it was
// never away.
func (v *View) SinceReturn() (time.Duration, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.clock.Since(v.returned), !v.returned.IsZero()
}

// Since returns the changes after a revision, and false where they are not all
// known any more.
func (v *View) Since(rev uint64) ([]Change, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if rev < v.base {
		return nil, false
	}
	var out []Change
	for _, c := range v.changes {
		if c.Rev > rev {
			out = append(out, c)
		}
	}
	return out, true
}

// Apply takes over changes in the order of their revisions.
func (v *View) Apply(events []Event, rev uint64) {
	for _, e := range events {
		if e.Config != nil {
			v.Offer(e.Config)
		}
	}
	v.change(func(now time.Time) bool {
		changed := false
		for _, e := range events {
			switch {
			case e.Server != nil:
				changed = v.put(*e.Server) || changed
			case e.Gone != "":
				changed = v.vanish(e.Gone, e.Rev, now) || changed
			default:
				continue
			}
			v.remember(Change{Server: e.Server, Gone: e.Gone, Rev: e.Rev})
		}
		v.advance(rev, now)
		return changed
	})
}

// Replace takes over a complete list. An older one has no effect.
func (v *View) Replace(l Listing) {
	v.change(func(now time.Time) bool {
		if l.Rev < v.rev {
			return false
		}
		changed := false
		present := make(map[string]bool, len(l.Servers))
		for _, s := range l.Servers {
			present[s.ID] = true
			changed = v.put(s) || changed
		}
		for id := range v.servers {
			if !present[id] {
				changed = v.vanish(id, l.Rev, now) || changed
			}
		}
		if l.Rev > v.rev {
			v.changes, v.base = nil, l.Rev
		}
		v.advance(l.Rev, now)
		return changed
	})
}

// remember keeps a change for nodes that are behind.
func (v *View) remember(c Change) {
	if c.Rev <= v.rev {
		return
	}
	v.changes = append(v.changes, c)
	if len(v.changes) > maxChanges {
		v.base = v.changes[0].Rev
		v.changes = v.changes[1:]
	}
}

// Tick drops the servers whose lapsed entries did not return.
func (v *View) Tick() {
	v.change(func(now time.Time) bool {
		changed := false
		for id, r := range v.servers {
			if !r.expires.IsZero() && !r.expires.After(now) {
				delete(v.servers, id)
				changed = true
			}
		}
		return changed
	})
}

// Listing returns the servers with a current entry, sorted by id.
func (v *View) Listing() Listing {
	v.mu.RLock()
	defer v.mu.RUnlock()
	l := Listing{Rev: v.rev, Servers: make([]Server, 0, len(v.servers))}
	for _, r := range v.servers {
		if r.expires.IsZero() {
			l.Servers = append(l.Servers, r.server)
		}
	}
	slices.SortFunc(l.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// change runs f under the lock and reports the servers where f changed them.
func (v *View) change(f func(now time.Time) bool) {
	v.notify.Lock()
	defer v.notify.Unlock()
	v.mu.Lock()
	var servers []Server
	changed := f(v.clock.Now())
	if changed {
		for _, id := range slices.Sorted(maps.Keys(v.servers)) {
			servers = append(servers, v.servers[id].server)
		}
	}
	v.mu.Unlock()
	if changed {
		v.o.Changed(servers)
	}
}

func (v *View) advance(rev uint64, now time.Time) {
	v.rev = max(v.rev, rev)
	v.listed = now
}

// put takes over an entry unless a newer one of the same server is known. An
// entry of an earlier incarnation, which was written late, has no effect.
func (v *View) put(s Server) bool {
	old, ok := v.servers[s.ID]
	if ok && (s.Rev < old.server.Rev || s.Born < old.server.Born) {
		return false
	}
	v.servers[s.ID] = record{server: s}
	return !ok || old.server != s || !old.expires.IsZero()
}

// vanish ends the use of a server without an entry: at once, or after the grace
// where the entry may have lapsed while the store was away.
func (v *View) vanish(id string, rev uint64, now time.Time) bool {
	r, ok := v.servers[id]
	if !ok || r.server.Rev > rev || !r.expires.IsZero() {
		return false
	}
	until := v.returned.Add(lapseGrace)
	if v.returned.IsZero() || !now.Before(until) || r.server.Draining {
		delete(v.servers, id)
		return true
	}
	r.expires = until
	v.servers[id] = r
	return false
}
