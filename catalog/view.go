package catalog

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// expiryGrace is how long a server stays in use after a store outage during which
// its entry expired. Live servers are listed again within about 2 s; one whose
// entry was removed just after the outage must be out of use 2 s after that.
const expiryGrace = 1700 * time.Millisecond

// maxChanges bounds the changes that are kept for nodes that are slightly behind.
const maxChanges = 256

// serverEntry is a backend server with the time of its removal, if it expired.
type serverEntry struct {
	server Server
	// removeAt is when a server with an expired entry is removed; zero for a
	// listed server.
	removeAt time.Time
}

// ViewOptions configures a View.
type ViewOptions struct {
	Clock clockwork.Clock
	// ServersChanged is called in order after each change of the servers. It may
	// read the View but not modify it, and may be nil.
	ServersChanged func(servers []Server)
	// ConfigChanged is called likewise after each new configuration. It may be nil.
	ConfigChanged func(c *Config)
	// RemovalDeferred is called when a server stays in use for the time left although its
	// entry was removed. It must not access the View, and may be nil.
	RemovalDeferred func(s Server, left time.Duration)
}

// View is the configuration and the backend servers known to a node. It is safe
// for concurrent use.
type View struct {
	clock clockwork.Clock
	opts  ViewOptions

	// notifyMu serializes ServersChanged and ConfigChanged; it is acquired before
	// mu, which guards the fields below it.
	notifyMu sync.Mutex
	mu       sync.RWMutex
	config   *Config
	// rev never decreases.
	rev     uint64
	servers map[string]serverEntry
	// changes are those after revision changesBase, oldest first.
	changes     []Change
	changesBase uint64
	// configConfirmedAt and listConfirmedAt are when config and servers were last
	// confirmed.
	configConfirmedAt, listConfirmedAt time.Time
	// storeReturnedAt is when the store responded again after its last outage;
	// zero before the first outage.
	storeReturnedAt time.Time
}

// NewView returns an empty view.
func NewView(opts ViewOptions) *View {
	if opts.ServersChanged == nil {
		opts.ServersChanged = func([]Server) {}
	}
	if opts.ConfigChanged == nil {
		opts.ConfigChanged = func(*Config) {}
	}
	if opts.RemovalDeferred == nil {
		opts.RemovalDeferred = func(Server, time.Duration) {}
	}
	return &View{clock: opts.Clock, opts: opts, servers: make(map[string]serverEntry)}
}

// Config returns the active configuration, nil before the first.
func (v *View) Config() *Config {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config
}

// ConfigVersion returns the active version, 0 before the first.
func (v *View) ConfigVersion() uint64 {
	if c := v.Config(); c != nil {
		return c.Version()
	}
	return 0
}

// Rev returns the store revision of the server list.
func (v *View) Rev() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.rev
}

// WaitInForce waits until the callbacks for all changes made so far have returned.
// Callbacks must not call it.
func (v *View) WaitInForce() {
	v.notifyMu.Lock()
	defer v.notifyMu.Unlock()
}

// Ages returns how long ago the configuration and the server list were confirmed.
func (v *View) Ages() (config, list time.Duration) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := v.clock.Now()
	return now.Sub(v.configConfirmedAt), now.Sub(v.listConfirmedAt)
}

// ApplyConfig activates a configuration if it is newer, and reports whether it was.
func (v *View) ApplyConfig(c *Config) bool {
	v.notifyMu.Lock()
	defer v.notifyMu.Unlock()
	v.mu.Lock()
	newer := v.config == nil || c.Version() > v.config.Version()
	if newer {
		v.config = c
	}
	v.configConfirmedAt = v.clock.Now()
	v.mu.Unlock()
	if newer {
		v.opts.ConfigChanged(c)
	}
	return newer
}

// RecordStoreReturn records that an outage of the store ended the given time
// ago. Entries that are removed soon afterwards may have expired during it.
func (v *View) RecordStoreReturn(ago time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at := v.clock.Now().Add(-ago); at.After(v.storeReturnedAt) {
		v.storeReturnedAt = at
	}
}

// SinceStoreReturn returns the time since the last outage of the store ended,
// and false if there was none.
func (v *View) SinceStoreReturn() (time.Duration, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.clock.Since(v.storeReturnedAt), !v.storeReturnedAt.IsZero()
}

// ChangesSince returns the changes after a revision, and false if some of them
// are no longer kept.
func (v *View) ChangesSince(rev uint64) ([]Change, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if rev < v.changesBase {
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

// ApplyEvents applies events in the order of their revisions and advances the
// list to rev. The store and several peers deliver the same events, each at its own
// time; those up to the list's revision have no effect.
func (v *View) ApplyEvents(events []Event, rev uint64) {
	for _, e := range events {
		if e.Config != nil {
			v.ApplyConfig(e.Config)
		}
	}
	v.update(func(now time.Time) bool {
		changed := false
		for _, e := range events {
			switch {
			case e.Rev <= v.rev:
				// Applied again, it would undo a later removal of the server.
				continue
			case e.Server != nil:
				changed = v.putServer(*e.Server) || changed
			case e.Removed != "":
				changed = v.removeServer(e.Removed, e.Rev, now) || changed
			default:
				continue
			}
			v.recordChange(Change{Server: e.Server, Removed: e.Removed, Rev: e.Rev})
		}
		v.confirmList(rev, now)
		return changed
	})
}

// ReplaceServers applies a complete list. An older one has no effect.
func (v *View) ReplaceServers(l Listing) {
	v.update(func(now time.Time) bool {
		if l.Rev < v.rev {
			return false
		}
		changed := false
		present := make(map[string]bool, len(l.Servers))
		for _, s := range l.Servers {
			present[s.ID] = true
			changed = v.putServer(s) || changed
		}
		for id := range v.servers {
			if !present[id] {
				changed = v.removeServer(id, l.Rev, now) || changed
			}
		}
		if l.Rev > v.rev {
			v.changes, v.changesBase = nil, l.Rev
		}
		v.confirmList(l.Rev, now)
		return changed
	})
}

// recordChange keeps a change for nodes that are behind.
func (v *View) recordChange(c Change) {
	v.changes = append(v.changes, c)
	if len(v.changes) > maxChanges {
		v.changesBase = v.changes[0].Rev
		v.changes = v.changes[1:]
	}
}

// RemoveExpired removes the servers whose expired entries were not renewed in time.
func (v *View) RemoveExpired() {
	v.update(func(now time.Time) bool {
		changed := false
		for id, entry := range v.servers {
			if !entry.removeAt.IsZero() && !entry.removeAt.After(now) {
				delete(v.servers, id)
				changed = true
			}
		}
		return changed
	})
}

// Listing returns the servers whose entries have not expired, sorted by id.
func (v *View) Listing() Listing {
	v.mu.RLock()
	defer v.mu.RUnlock()
	l := Listing{Rev: v.rev, Servers: make([]Server, 0, len(v.servers))}
	for _, entry := range v.servers {
		if entry.removeAt.IsZero() {
			l.Servers = append(l.Servers, entry.server)
		}
	}
	slices.SortFunc(l.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// update runs f under mu and calls ServersChanged if f reports a change.
func (v *View) update(f func(now time.Time) bool) {
	v.notifyMu.Lock()
	defer v.notifyMu.Unlock()
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
		v.opts.ServersChanged(servers)
	}
}

func (v *View) confirmList(rev uint64, now time.Time) {
	v.rev = max(v.rev, rev)
	v.listConfirmedAt = now
}

// putServer stores an entry unless a newer one of the same server is known, and
// reports a change. A late entry of an earlier incarnation has no effect.
func (v *View) putServer(s Server) bool {
	old, ok := v.servers[s.ID]
	if ok && (s.Rev < old.server.Rev || s.StartedMillis < old.server.StartedMillis) {
		return false
	}
	v.servers[s.ID] = serverEntry{server: s}
	return !ok || old.server != s || !old.removeAt.IsZero()
}

// removeServer removes a server without an entry: immediately, or after
// expiryGrace if the entry may have expired during a store outage. It reports
// whether the server was removed immediately.
func (v *View) removeServer(id string, rev uint64, now time.Time) bool {
	entry, ok := v.servers[id]
	if !ok || entry.server.Rev > rev || !entry.removeAt.IsZero() {
		return false
	}
	removeAt := v.storeReturnedAt.Add(expiryGrace)
	if v.storeReturnedAt.IsZero() || !now.Before(removeAt) || entry.server.Draining {
		delete(v.servers, id)
		return true
	}
	entry.removeAt = removeAt
	v.servers[id] = entry
	v.opts.RemovalDeferred(entry.server, removeAt.Sub(now))
	return false
}
