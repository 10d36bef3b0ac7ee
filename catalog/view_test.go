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
	v := NewView(ViewOptions{Clock: clock, Changed: func(servers []Server) {
		ids = nil
		for _, s := range servers {
			ids = append(ids, s.ID)
		}
	}})
	return v, clock, func() []string { return ids }
}

func server(id string, rev uint64) Server {
	return Server{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 1, Rev: rev}
}

// TestConfigForward guards against a configuration that an older one replaces.
func TestConfigForward(t *testing.T) {
	v, _, _ := newTestView()
	require.Zero(t, v.Version())
	require.True(t, v.Offer(NewConfig(Document{Version: 5})))
	require.False(t, v.Offer(NewConfig(Document{Version: 4})))
	require.False(t, v.Offer(NewConfig(Document{Version: 5})))
	require.Equal(t, uint64(5), v.Version())
	require.True(t, v.Offer(NewConfig(Document{Version: 9})))
}

// TestGoneAtOnce guards against requests to a server whose entry was removed
// while the store was well.
func TestGoneAtOnce(t *testing.T) {
	v, _, ids := newTestView()
	v.Replace(Listing{Rev: 10, Servers: []Server{server("a", 3), server("b", 4)}})
	v.Apply([]Event{{Gone: "a", Rev: 11}}, 11)
	require.Equal(t, []string{"b"}, ids())
}

// TestLapse guards against the loss of servers whose entries lapsed while the
// store was away, and against the use of those that did not come back.
func TestLapse(t *testing.T) {
	v, clock, ids := newTestView()
	draining := server("d", 5)
	draining.Draining = true
	v.Replace(Listing{Rev: 10, Servers: []Server{server("a", 3), server("b", 4), draining}})
	v.Returned(0)
	v.Apply([]Event{{Gone: "a", Rev: 11}, {Gone: "b", Rev: 12}, {Gone: "d", Rev: 13}}, 13)
	require.Equal(t, []string{"a", "b"}, ids(), "a draining server has left")
	clock.Advance(lapseGrace / 2)
	v.Apply([]Event{{Server: &Server{ID: "b", Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 1, Rev: 14}, Rev: 14}}, 14)
	clock.Advance(lapseGrace)
	v.Tick()
	require.Equal(t, []string{"b"}, ids())
	require.Len(t, v.Listing().Servers, 1)
}

// TestEarlierIncarnation guards against a late entry of an earlier start under
// the same id.
func TestEarlierIncarnation(t *testing.T) {
	v, _, _ := newTestView()
	now, before := server("a", 5), server("a", 6)
	now.Born, before.Born = 2000, 1000
	v.Apply([]Event{{Server: &now, Rev: 5}}, 5)
	v.Apply([]Event{{Server: &before, Rev: 6}}, 6)
	require.Equal(t, int64(2000), v.Listing().Servers[0].Born)
}

// TestViewModel compares the view with a model under random changes, lists and
// repeated deliveries: it reflects the newest revision and never goes back.
func TestViewModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, _, _ := newTestView()
		type state struct {
			servers map[string]uint64
			rev     uint64
		}
		history := []state{{servers: map[string]uint64{}}}
		newest := func() state { return history[len(history)-1] }
		reached := uint64(0)
		write := func(id string, gone bool) Event {
			next := state{servers: map[string]uint64{}, rev: newest().rev + 1}
			for k, r := range newest().servers {
				next.servers[k] = r
			}
			e := Event{Rev: next.rev}
			if gone {
				delete(next.servers, id)
				e.Gone = id
			} else {
				next.servers[id] = next.rev
				s := server(id, next.rev)
				e.Server = &s
			}
			history = append(history, next)
			return e
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				if reached != newest().rev {
					t.Skip("the view is behind")
				}
				e := write(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), rapid.Bool().Draw(t, "gone"))
				v.Apply([]Event{e}, e.Rev)
				reached = e.Rev
			},
			"missed": func(t *rapid.T) {
				write(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), rapid.Bool().Draw(t, "gone"))
			},
			"list": func(t *rapid.T) {
				at := history[rapid.IntRange(0, len(history)-1).Draw(t, "at")]
				l := Listing{Rev: at.rev}
				for id, rev := range at.servers {
					l.Servers = append(l.Servers, server(id, rev))
				}
				v.Replace(l)
				reached = max(reached, at.rev)
			},
			"": func(t *rapid.T) {
				require.Equal(t, reached, v.Rev())
				got := map[string]uint64{}
				for _, s := range v.Listing().Servers {
					got[s.ID] = s.Rev
				}
				require.Equal(t, history[reached].servers, got)
				// A node that is behind gets there with the changes that are kept.
				from := rapid.IntRange(0, int(reached)).Draw(t, "from")
				changes, ok := v.Since(uint64(from))
				if !ok {
					return
				}
				behind, _, _ := newTestView()
				l := Listing{Rev: uint64(from)}
				for id, rev := range history[from].servers {
					l.Servers = append(l.Servers, server(id, rev))
				}
				behind.Replace(l)
				var events []Event
				for _, c := range changes {
					events = append(events, c.Event())
				}
				behind.Apply(events, v.Rev())
				require.Equal(t, v.Listing(), behind.Listing())
			},
		})
	})
}

// TestAges guards against log lines that call an old view fresh.
func TestAges(t *testing.T) {
	v, clock, _ := newTestView()
	v.Offer(NewConfig(Document{Version: 1}))
	clock.Advance(time.Second)
	v.Replace(Listing{Rev: 1})
	config, list := v.Ages()
	require.Equal(t, time.Second, config)
	require.Zero(t, list)
}
