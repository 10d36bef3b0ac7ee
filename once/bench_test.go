package once

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

func BenchmarkWindowAccept(b *testing.B) {
	self := incarnation(1)
	w, s := NewWindow(self), NewSequencer(incarnation(2))
	b.ReportAllocs()
	for b.Loop() {
		if err := w.Accept(s.Next(self), false); err != nil {
			b.Fatal(err)
		}
	}
}

// Includes Issue. The clock removes each key once it is 64 keys old.
func BenchmarkKeysIssueBegin(b *testing.B) {
	clock := clockwork.NewFakeClock()
	k := NewKeys(KeyOptions{Self: incarnation(1), Clock: clock, Retention: time.Millisecond})
	book := target(b, "bookings/book")
	b.ReportAllocs()
	for b.Loop() {
		clock.Advance(time.Millisecond)
		key, _ := k.Issue(book, 64*time.Millisecond)
		c, _, err := k.Begin(context.Background(), key, book, 1)
		if err != nil {
			b.Fatal(err)
		}
		c.Answer(frame.Answer{})
	}
}

// Reports the memory of one sender's window and of one answered key without
// its answer's body.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	book := target(b, "bookings/book")
	for b.Loop() {
		w := NewWindow(incarnation(1))
		before := heap()
		for i := range maxSenders {
			w.Introduce(incarnation(uint64(i + 2)))
		}
		b.ReportMetric((heap()-before)/maxSenders, "B/sender")
		const keys = 1 << 14
		k := NewKeys(KeyOptions{Self: incarnation(1)})
		before = heap()
		for range keys {
			key, _ := k.Issue(book, time.Minute)
			c, _, _ := k.Begin(context.Background(), key, book, 1)
			c.Answer(frame.Answer{})
		}
		b.ReportMetric((heap()-before)/keys, "B/key")
		runtime.KeepAlive(w)
		runtime.KeepAlive(k)
	}
}
