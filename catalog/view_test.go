package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newTestView() (*View, *clockwork.FakeClock, func() []string) {
	clock := clockwork.NewFakeClock()
	var ids []string
	v := NewView(ViewOptions{Clock: clock, ServersChanged: func(servers []Server) {
		ids = nil
		for _, s := range servers {
			ids = append(ids, s.ID)
		}
	}})
	return v, clock, func() []string { return ids }
}

func newTestServer(id string, rev uint64) Server {
	return Server{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 1, Rev: rev}
}

// Guards against replacing a configuration by an older one.
func TestConfigNotReplacedByOlder(t *testing.T) {
	v, _, _ := newTestView()
	require.Zero(t, v.ConfigVersion())
	require.True(t, v.ApplyConfig(NewConfig(Document{Version: 5})))
	require.False(t, v.ApplyConfig(NewConfig(Document{Version: 4})))
	require.False(t, v.ApplyConfig(NewConfig(Document{Version: 5})))
	require.Equal(t, uint64(5), v.ConfigVersion())
	require.True(t, v.ApplyConfig(NewConfig(Document{Version: 9})))
}

// Guards against requests to a server whose entry was removed while the store was
// available.
func TestRemovedImmediately(t *testing.T) {
	v, _, ids := newTestView()
	v.ReplaceServers(Listing{Rev: 10, Servers: []Server{newTestServer("a", 3), newTestServer("b", 4)}})
	v.ApplyEvents([]Event{{Removed: "a", Rev: 11}}, 11)
	require.Equal(t, []string{"b"}, ids())
}

// Guards against removing servers whose entries expired during a store outage, and
// against using those that did not register again.
func TestExpiryGrace(t *testing.T) {
	v, clock, ids := newTestView()
	draining := newTestServer("d", 5)
	draining.Draining = true
	v.ReplaceServers(Listing{Rev: 10, Servers: []Server{newTestServer("a", 3), newTestServer("b", 4), draining}})
	v.RecordStoreReturn(0)
	v.ApplyEvents([]Event{{Removed: "a", Rev: 11}, {Removed: "b", Rev: 12}, {Removed: "d", Rev: 13}}, 13)
	require.Equal(t, []string{"a", "b"}, ids(), "a draining server gets no grace period")
	clock.Advance(expiryGrace / 2)
	v.ApplyEvents([]Event{{Server: &Server{ID: "b", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 1, Rev: 14}, Rev: 14}}, 14)
	clock.Advance(expiryGrace)
	v.RemoveExpired()
	require.Equal(t, []string{"b"}, ids())
	require.Len(t, v.Listing().Servers, 1)
}

// Guards against applying a late entry of an earlier incarnation with the same id.
func TestEarlierIncarnation(t *testing.T) {
	v, _, _ := newTestView()
	current, earlier := newTestServer("a", 5), newTestServer("a", 6)
	current.StartedMillis, earlier.StartedMillis = 2000, 1000
	v.ApplyEvents([]Event{{Server: &current, Rev: 5}}, 5)
	v.ApplyEvents([]Event{{Server: &earlier, Rev: 6}}, 6)
	require.Equal(t, int64(2000), v.Listing().Servers[0].StartedMillis)
}

// Guards against using a server again that left, because a change before its removal
// is delivered after it.
func TestChangeAfterRemoval(t *testing.T) {
	server := newTestServer("a", 11)
	for _, tc := range []struct {
		name     string
		returned bool
	}{
		{"removed immediately", false},
		{"removal deferred", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, clock, ids := newTestView()
			v.ReplaceServers(Listing{Rev: 10, Servers: []Server{newTestServer("a", 3), newTestServer("b", 4)}})
			if tc.returned {
				v.RecordStoreReturn(0)
			}
			v.ApplyEvents([]Event{{Server: &server, Rev: 11}, {Removed: "a", Rev: 12}}, 12)
			v.ApplyEvents([]Event{{Server: &server, Rev: 11}}, 11)
			clock.Advance(expiryGrace)
			v.RemoveExpired()
			require.Equal(t, []string{"b"}, ids())
		})
	}
}

// Guards against a View that does not reflect the newest revision or returns to an
// older one, under random changes, lists and repeated deliveries.
func TestViewModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, _, _ := newTestView()
		type state struct {
			servers map[string]uint64
			rev     uint64
		}
		history := []state{{servers: map[string]uint64{}}}
		// events[i] leads from history[i] to history[i+1].
		var events []Event
		newest := func() state { return history[len(history)-1] }
		appliedRev := uint64(0)
		writeEntry := func(id string, removed bool) Event {
			next := state{servers: map[string]uint64{}, rev: newest().rev + 1}
			for k, r := range newest().servers {
				next.servers[k] = r
			}
			e := Event{Rev: next.rev}
			if removed {
				delete(next.servers, id)
				e.Removed = id
			} else {
				next.servers[id] = next.rev
				s := newTestServer(id, next.rev)
				e.Server = &s
			}
			history = append(history, next)
			events = append(events, e)
			return e
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				if appliedRev != newest().rev {
					t.Skip("the view is behind")
				}
				e := writeEntry(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), rapid.Bool().Draw(t, "removed"))
				v.ApplyEvents([]Event{e}, e.Rev)
				appliedRev = e.Rev
			},
			"missed": func(t *rapid.T) {
				writeEntry(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), rapid.Bool().Draw(t, "removed"))
			},
			// A reader and its peers deliver the same changes, each at its own time.
			"events": func(t *rapid.T) {
				from := rapid.IntRange(0, int(appliedRev)).Draw(t, "from")
				to := rapid.IntRange(from, len(events)).Draw(t, "to")
				v.ApplyEvents(events[from:to], uint64(to))
				appliedRev = max(appliedRev, uint64(to))
			},
			"list": func(t *rapid.T) {
				at := history[rapid.IntRange(0, len(history)-1).Draw(t, "at")]
				l := Listing{Rev: at.rev}
				for id, rev := range at.servers {
					l.Servers = append(l.Servers, newTestServer(id, rev))
				}
				v.ReplaceServers(l)
				appliedRev = max(appliedRev, at.rev)
			},
			"": func(t *rapid.T) {
				require.Equal(t, appliedRev, v.Rev())
				got := map[string]uint64{}
				for _, s := range v.Listing().Servers {
					got[s.ID] = s.Rev
				}
				require.Equal(t, history[appliedRev].servers, got)
				// A View that is behind catches up with the recorded changes.
				from := rapid.IntRange(0, int(appliedRev)).Draw(t, "from")
				changes, ok := v.ChangesSince(uint64(from))
				if !ok {
					return
				}
				behind, _, _ := newTestView()
				l := Listing{Rev: uint64(from)}
				for id, rev := range history[from].servers {
					l.Servers = append(l.Servers, newTestServer(id, rev))
				}
				behind.ReplaceServers(l)
				var missed []Event
				for _, c := range changes {
					missed = append(missed, c.Event())
				}
				behind.ApplyEvents(missed, v.Rev())
				require.Equal(t, v.Listing(), behind.Listing())
			},
		})
	})
}

// Guards against log lines that report outdated state as recent.
func TestAges(t *testing.T) {
	v, clock, _ := newTestView()
	v.ApplyConfig(NewConfig(Document{Version: 1}))
	clock.Advance(time.Second)
	v.ReplaceServers(Listing{Rev: 1})
	config, list := v.Ages()
	require.Equal(t, time.Second, config)
	require.Zero(t, list)
}

// Guards against a server that was replaced at its address being used until its
// entry expires, and against its successor being taken for the older one.
func TestSplitReplaced(t *testing.T) {
	old, successor, other := newTestServer("old", 3), newTestServer("new", 9), newTestServer("other", 5)
	old.Addr, successor.Addr, other.Addr = "10.0.0.1:80", "10.0.0.1:80", "10.0.0.2:80"
	// The clock of the VM was set back between the two.
	old.StartedMillis, successor.StartedMillis = 2000, 1000
	current, replaced := SplitReplaced([]Server{other, old, successor})
	require.Equal(t, []Server{other, successor}, current)
	require.Equal(t, []Server{old}, replaced)
}
