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

// Includes Issue. Each key is removed about 64 iterations after its issue.
func BenchmarkKeysIssueBegin(b *testing.B) {
	clock := clockwork.NewFakeClock()
	k := NewKeys(KeyOptions{Self: incarnation(1), Clock: clock, Retention: time.Millisecond})
	book := parseTarget(b, "bookings/book")
	b.ReportAllocs()
	for b.Loop() {
		clock.Advance(time.Millisecond)
		key, _ := k.Issue(book, 64*time.Millisecond)
		c, _, err := k.Begin(context.Background(), key, book, 1)
		if err != nil {
			b.Fatal(err)
		}
		c.SettleAnswered(frame.Answer{})
	}
}

// Reports the memory of one sender's window, and of one answered key without the
// body of its answer.
func BenchmarkMemory(b *testing.B) {
	heapBytes := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	book := parseTarget(b, "bookings/book")
	for b.Loop() {
		w := NewWindow(incarnation(1))
		before := heapBytes()
		for i := range maxSenders {
			w.RegisterSender(incarnation(uint64(i + 2)))
		}
		b.ReportMetric((heapBytes()-before)/maxSenders, "B/sender")
		const keys = 1 << 14
		k := NewKeys(KeyOptions{Self: incarnation(1)})
		before = heapBytes()
		for range keys {
			key, _ := k.Issue(book, time.Minute)
			c, _, _ := k.Begin(context.Background(), key, book, 1)
			c.SettleAnswered(frame.Answer{})
		}
		b.ReportMetric((heapBytes()-before)/keys, "B/key")
		runtime.KeepAlive(w)
		runtime.KeepAlive(k)
	}
}
