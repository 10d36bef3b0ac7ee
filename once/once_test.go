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

func target(t testing.TB, s string) frame.Target {
	out, err := frame.ParseTarget(s)
	require.NoError(t, err)
	return out
}

func incarnation(n uint64) frame.Incarnation {
	return frame.NewIncarnation("vm-1", rand.New(rand.NewPCG(n, 0)))
}

// Guards against an attempt that is accepted twice after its sender's window
// was dropped, and against a fresh attempt that is refused although its sender
// was introduced and it is at most windowBits late. Senders outnumber windows,
// and receivers outnumber the counts of a sender.
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
				s.Raise(self, w.Introduce(s.self))
				a := s.Next(self)
				require.False(t, accepted[a], "%s was given out twice", a)
				late := rapid.SampledFrom([]uint64{0, 1, 63, windowBits - 1, windowBits}).Draw(t, "late")
				if late > 0 {
					s.Raise(self, a.Seq()+late-1)
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
		require.LessOrEqual(t, w.Senders(), 4)
	})
}

// Guards against an attempt that runs in a process that it does not name, and
// against a refusal as not run that a later process cannot honour.
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
	full := frame.Refuse(frame.ReasonFull, "x")
	require.Equal(t, error(full), w.Report(s.Next(self), full))
	require.Equal(t, error(frame.Lose(frame.ReasonFull, "x")), w.Report(s.Next(frame.Incarnation{}), full))
}

// Guards against dropping the window of a sender that is alive, which would
// turn its next attempts into unknown outcomes.
func TestWindowDropsIdleSender(t *testing.T) {
	self := incarnation(1)
	w := newWindow(self, 2)
	alive, idle := NewSequencer(incarnation(2)), NewSequencer(incarnation(3))
	require.NoError(t, w.Accept(alive.Next(self), false))
	require.NoError(t, w.Accept(idle.Next(self), false))
	for i := range uint64(5) {
		s := NewSequencer(incarnation(10 + i))
		s.Raise(self, w.Introduce(s.self)+1000)
		require.NoError(t, w.Accept(s.Next(self), false))
		require.NoError(t, w.Accept(alive.Next(self), false))
	}
	require.Error(t, w.Accept(frame.NewAttempt(idle.self, self, 1), false))
	idle.Raise(self, w.Introduce(idle.self))
	require.NoError(t, w.Accept(idle.Next(self), false))
}

// Guards against a key that runs another call than the one it was issued for
// and first used with, that runs when expired, or that is refused as not run
// when nothing is known any more.
func TestKeysBinding(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	self := incarnation(1)
	k := NewKeys(KeyOptions{Self: self, Clock: clock, Retention: time.Minute})
	book, pay := target(t, "bookings/book"), target(t, "bookings/pay")
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
	c.Answer(frame.NewAnswer(200, "", []byte("first")))
	forged := used[:strings.LastIndex(used, "/")+1] + strings.Repeat("0", 2*macLen)
	other := NewKeys(KeyOptions{Self: incarnation(2), Clock: clock})
	foreign, err := other.Issue(book, time.Minute)
	require.NoError(t, err)
	check := func(name, key string, t2 frame.Target, digest uint64, outcome frame.Outcome, reason frame.Reason) {
		c, a, err := k.Begin(ctx, key, t2, digest)
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

// Guards against a key table or its stored answers growing without bound, and
// against room made by forgetting a key.
func TestKeysBounds(t *testing.T) {
	ctx := context.Background()
	k := NewKeys(KeyOptions{Self: incarnation(1), Clock: clockwork.NewFakeClock(), MaxKeys: 3, MaxBytes: 10})
	book := target(t, "bookings/book")
	var keys []string
	for range 5 {
		key, err := k.Issue(book, time.Minute)
		require.NoError(t, err)
		keys = append(keys, key)
	}
	for _, key := range keys[:3] {
		c, _, err := k.Begin(ctx, key, book, 1)
		require.NoError(t, err)
		c.Answer(frame.NewAnswer(200, "", []byte("12345")))
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
	require.Equal(t, error(frame.Refuse(frame.ReasonTable, "the table of operation keys is full")), err)
}

// Guards against two calls with one key that both run, a joined call that does
// not get the first one's result, and a joined call that outlives its caller.
func TestKeysJoin(t *testing.T) {
	k := NewKeys(KeyOptions{Self: incarnation(1), Clock: clockwork.NewFakeClock()})
	book := target(t, "bookings/book")
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
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err = k.Begin(gone, key, book, 1)
	require.ErrorContains(t, err, "unknown: cancelled")
	c.Answer(frame.NewAnswer(200, "", []byte("once")))
	require.Panics(t, func() { c.Void(frame.Refuse(frame.ReasonFull, "")) })
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

// Models the alternative to issued keys, a key chosen by the caller and placed
// on a server by hash, and guards against issued keys that share its fault: two
// entry nodes whose VM lists differ place the same key on two servers.
func TestIssuedAgainstHashedKeys(t *testing.T) {
	hashed := func(key string, vms []string) (best string) {
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
	book := target(t, "bookings/book")
	const keys = 1000
	twiceHashed, twiceIssued := 0, 0
	for i := range keys {
		chosen := fmt.Sprint("caller-key-", i)
		if hashed(chosen, fresh) != hashed(chosen, stale) {
			twiceHashed++ // the two servers share no state, so both run it
		}
		key, err := owners[fresh[i%len(fresh)]].Issue(book, time.Minute)
		require.NoError(t, err)
		for call := range 2 { // through two entry nodes, whose lists are not asked
			owner, err := Owner(key)
			require.NoError(t, err)
			if c, _, _ := owners[owner.VM()].Begin(context.Background(), key, book, 1); c != nil {
				twiceIssued += call
				c.Answer(frame.Answer{})
			}
		}
	}
	t.Logf("operations that ran on two servers, of %d: hashed placement %d, issued by the owner %d", keys, twiceHashed, twiceIssued)
	require.Zero(t, twiceIssued)
	require.Positive(t, twiceHashed)
}
