package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/frame"
)

func parseTarget(t testing.TB, s string) frame.Target {
	out, err := frame.ParseTarget(s)
	require.NoError(t, err)
	return out
}

func incarnation(n uint64) frame.Incarnation {
	return frame.NewIncarnation("vm-1", rand.New(rand.NewPCG(n, 0)))
}

// Guards against accepting an attempt twice after its sender's window was
// evicted, and against refusing a new attempt that is less than windowBits behind
// and whose sender was registered. There are more senders than windows, and more
// receivers than a sequencer keeps.
func TestWindowAcceptsOnce(t *testing.T) {
	self, others := incarnation(1), []frame.Incarnation{incarnation(20), incarnation(21), incarnation(22)}
	rapid.Check(t, func(t *rapid.T) {
		w := newWindow(self, 2)
		var senders []*Sequencer
		for i := range 4 {
			senders = append(senders, newSequencer(incarnation(uint64(10+i)), 2))
		}
		var sent []frame.Attempt
		accepted := map[frame.Attempt]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"fresh": func(t *rapid.T) {
				s := rapid.SampledFrom(senders).Draw(t, "sender")
				s.RaiseFloor(self, w.RegisterSender(s.self))
				a := s.Next(self)
				require.False(t, accepted[a], "%s was assigned twice", a)
				late := rapid.SampledFrom([]uint64{0, 1, 63, windowBits - 1, windowBits}).Draw(t, "late")
				if late > 0 {
					s.RaiseFloor(self, a.Seq()+late-1)
					last := s.Next(self)
					require.NoError(t, w.Accept(last, false))
					accepted[last] = true
					sent = append(sent, last)
				}
				ok := w.Accept(a, rapid.Bool().Draw(t, "idempotent")) == nil
				require.Equal(t, late < windowBits, ok, "%s %d late", a, late)
				accepted[a] = true
				sent = append(sent, a)
			},
			"old": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent")
				}
				a := rapid.SampledFrom(sent).Draw(t, "attempt")
				if w.Accept(a, rapid.Bool().Draw(t, "idempotent")) == nil {
					require.False(t, accepted[a], "%s was accepted twice", a)
					accepted[a] = true
				}
			},
			"otherReceiver": func(t *rapid.T) {
				s := rapid.SampledFrom(senders).Draw(t, "sender")
				s.Next(rapid.SampledFrom(others).Draw(t, "receiver"))
				s.Next(frame.Incarnation{})
			},
		})
		require.LessOrEqual(t, w.SenderCount(), 4)
	})
}

// Guards against running an attempt in a process other than the one it names, and
// against reporting NotRun for an attempt that a later process may run.
func TestWindowRules(t *testing.T) {
	self, sender := incarnation(1), incarnation(2)
	w := NewWindow(self)
	s := NewSequencer(sender)
	tests := []struct {
		name       string
		give       frame.Attempt
		idempotent bool
		want       frame.Reason
	}{
		{"named", s.Next(self), false, ""},
		{"earlier process", s.Next(incarnation(3)), true, frame.ReasonIncarnation},
		{"unnamed", s.Next(frame.Incarnation{}), false, frame.ReasonIncarnation},
		{"unnamed, idempotent", frame.NewAttempt(sender, frame.Incarnation{}, 1), true, ""},
		{"unnamed, idempotent, again", frame.NewAttempt(sender, frame.Incarnation{}, 1), true, frame.ReasonDuplicate},
		{"named, again", frame.NewAttempt(sender, self, 1), true, frame.ReasonDuplicate},
		{"no number", frame.NewAttempt(sender, self, 0), true, frame.ReasonDuplicate},
	}
	for _, tt := range tests {
		err := w.Accept(tt.give, tt.idempotent)
		o, reason := frame.OutcomeOf(err)
		require.Equal(t, tt.want, reason, tt.name)
		require.NotEqual(t, frame.NotRun, o, tt.name)
	}
	full := frame.NotRunError(frame.ReasonFull, "x")
	require.Equal(t, error(full), w.ResponseError(s.Next(self), full))
	require.Equal(t, error(frame.UnknownError(frame.ReasonFull, "x")), w.ResponseError(s.Next(frame.Incarnation{}), full))
}

// Guards against evicting the window of an active sender, whose next attempts
// would then be refused with unknown outcome.
func TestWindowEvictsIdleSender(t *testing.T) {
	self := incarnation(1)
	w := newWindow(self, 2)
	active, idle := NewSequencer(incarnation(2)), NewSequencer(incarnation(3))
	require.NoError(t, w.Accept(active.Next(self), false))
	require.NoError(t, w.Accept(idle.Next(self), false))
	for i := range uint64(5) {
		s := NewSequencer(incarnation(10 + i))
		s.RaiseFloor(self, w.RegisterSender(s.self)+1000)
		require.NoError(t, w.Accept(s.Next(self), false))
		require.NoError(t, w.Accept(active.Next(self), false))
	}
	require.Error(t, w.Accept(frame.NewAttempt(idle.self, self, 1), false))
	idle.RaiseFloor(self, w.RegisterSender(idle.self))
	require.NoError(t, w.Accept(idle.Next(self), false))
}

// Guards against a key that runs a call with a target or body that it is not bound
// to, that runs after its expiry, or that is reported as NotRun after its entry was
// removed.
func TestKeysBinding(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	self := incarnation(1)
	k := NewKeys(KeyOptions{Self: self, Clock: clock, Retention: time.Minute})
	book, pay := parseTarget(t, "bookings/book"), parseTarget(t, "bookings/pay")
	issue := func() string {
		key, err := k.Issue(book, time.Minute)
		require.NoError(t, err)
		return key
	}
	used, unused := issue(), issue()
	owner, err := Owner(used)
	require.NoError(t, err)
	require.Equal(t, self, owner)
	c, _, err := k.Begin(ctx, used, book, 1)
	require.NoError(t, err)
	c.SettleAnswered(frame.NewAnswer(200, "", []byte("first")))
	forged := used[:strings.LastIndex(used, "/")+1] + strings.Repeat("0", 2*macLen)
	other := NewKeys(KeyOptions{Self: incarnation(2), Clock: clock})
	foreign, err := other.Issue(book, time.Minute)
	require.NoError(t, err)
	check := func(name, key string, target frame.Target, digest uint64, outcome frame.Outcome, reason frame.Reason) {
		c, a, err := k.Begin(ctx, key, target, digest)
		require.Nil(t, c, name)
		o, r := frame.OutcomeOf(err)
		require.Equal(t, []any{outcome, reason, outcome == frame.Answered}, []any{o, r, string(a.Body()) == "first"}, name)
	}
	check("again", used, book, 1, frame.Answered, "")
	check("other target", used, pay, 1, frame.NotRun, frame.ReasonKey)
	check("other body", used, book, 2, frame.NotRun, frame.ReasonKey)
	check("forged", forged, book, 1, frame.NotRun, frame.ReasonKey)
	check("malformed", "x/y", book, 1, frame.NotRun, frame.ReasonKey)
	check("other owner", foreign, book, 1, frame.Unknown, frame.ReasonOwner)
	check("still the first", used, book, 1, frame.Answered, "")
	clock.Advance(time.Minute)
	check("expired, used", used, book, 1, frame.Answered, "")
	check("expired, unused", unused, book, 1, frame.NotRun, frame.ReasonVoid)
	clock.Advance(time.Minute)
	check("after retention, used", used, book, 1, frame.Unknown, frame.ReasonKey)
	check("after retention, unused", unused, book, 1, frame.Unknown, frame.ReasonKey)
	require.Zero(t, k.Len())
	require.Zero(t, k.Bytes())
	_, err = k.Issue(book, 2*DefaultMaxTTL)
	require.Error(t, err)
}

// Guards against unbounded growth of the key table and its stored answers, and
// against evicting a key to make room for another.
func TestKeysBounds(t *testing.T) {
	ctx := context.Background()
	k := NewKeys(KeyOptions{Self: incarnation(1), Clock: clockwork.NewFakeClock(), MaxKeys: 3, MaxBytes: 10})
	book := parseTarget(t, "bookings/book")
	var keys []string
	for range 5 {
		key, err := k.Issue(book, time.Minute)
		require.NoError(t, err)
		keys = append(keys, key)
	}
	for _, key := range keys[:3] {
		c, _, err := k.Begin(ctx, key, book, 1)
		require.NoError(t, err)
		c.SettleAnswered(frame.NewAnswer(200, "", []byte("12345")))
	}
	reasons := ""
	for _, key := range append(keys, keys[3]) {
		c, _, err := k.Begin(ctx, key, book, 1)
		require.Nil(t, c)
		o, reason := frame.OutcomeOf(err)
		reasons += fmt.Sprint(o, ":", reason, " ")
	}
	require.Equal(t, "unknown:memory answered: answered: notrun:table notrun:table notrun:void ", reasons)
	require.Equal(t, 10, k.Bytes())
	_, err := k.Issue(book, time.Minute)
	require.Equal(t, error(frame.NotRunError(frame.ReasonTable, "the table of operation keys is full")), err)
}

// Guards against running two calls with the same key, and against a waiting call
// that does not get the result of the first or ignores its context.
func TestKeysJoin(t *testing.T) {
	k := NewKeys(KeyOptions{Self: incarnation(1), Clock: clockwork.NewFakeClock()})
	book := parseTarget(t, "bookings/book")
	key, err := k.Issue(book, time.Minute)
	require.NoError(t, err)
	var wg sync.WaitGroup
	claims, answers := make(chan *Claim, 50), make(chan string, 50)
	for range 50 {
		wg.Go(func() {
			c, a, _ := k.Begin(context.Background(), key, book, 1)
			if c != nil {
				claims <- c
				return
			}
			answers <- string(a.Body())
		})
	}
	c := <-claims
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err = k.Begin(cancelled, key, book, 1)
	require.ErrorContains(t, err, "unknown: cancelled")
	c.SettleAnswered(frame.NewAnswer(200, "", []byte("once")))
	require.Panics(t, func() { c.SettleNotRun(frame.NotRunError(frame.ReasonFull, "")) })
	c.Close()
	wg.Wait()
	require.Empty(t, claims)
	close(answers)
	n := 0
	for a := range answers {
		require.Equal(t, "once", a)
		n++
	}
	require.Equal(t, 49, n)
}

// Compares issued keys with the alternative, keys chosen by the caller and placed
// on a server by hash, and guards against issued keys sharing its fault: two
// ingress nodes with different VM lists place the same key on two servers.
func TestIssuedAgainstHashedKeys(t *testing.T) {
	placeByHash := func(key string, vms []string) (best string) {
		var top uint64
		for _, vm := range vms {
			if h := xxhash.Sum64String(vm + "/" + key); h >= top {
				best, top = vm, h
			}
		}
		return best
	}
	fresh := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	stale := fresh[:3] // vm-4 has just been added
	owners := map[string]*Keys{}
	for i, vm := range fresh {
		self := frame.NewIncarnation(vm, rand.New(rand.NewPCG(7, uint64(i))))
		owners[vm] = NewKeys(KeyOptions{Self: self, Clock: clockwork.NewFakeClock()})
	}
	book := parseTarget(t, "bookings/book")
	const keys = 1000
	twiceHashed, twiceIssued := 0, 0
	for i := range keys {
		callerKey := fmt.Sprint("caller-key-", i)
		if placeByHash(callerKey, fresh) != placeByHash(callerKey, stale) {
			twiceHashed++ // the two servers share no state, so both run it
		}
		key, err := owners[fresh[i%len(fresh)]].Issue(book, time.Minute)
		require.NoError(t, err)
		for call := range 2 { // through two ingress nodes, which need no VM list
			owner, err := Owner(key)
			require.NoError(t, err)
			if c, _, _ := owners[owner.VM()].Begin(context.Background(), key, book, 1); c != nil {
				twiceIssued += call
				c.SettleAnswered(frame.Answer{})
			}
		}
	}
	t.Logf("operations that ran on two servers, of %d: hashed placement %d, issued by the owner %d", keys, twiceHashed, twiceIssued)
	require.Zero(t, twiceIssued)
	require.Positive(t, twiceHashed)
}
