package once

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

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

// The clock removes the keys of one batch while the next one is issued.
func BenchmarkKeysBegin(b *testing.B) {
	const batch = 1 << 12
	clock := clockwork.NewFakeClock()
	k := NewKeys(KeyOptions{Self: incarnation(1), Clock: clock, MaxKeys: batch, Retention: time.Millisecond})
	book := target(b, "bookings/book")
	var keys []string
	b.ReportAllocs()
	for b.Loop() {
		if len(keys) == 0 {
			b.StopTimer()
			clock.Advance(time.Minute)
			for range batch {
				key, err := k.Issue(book, time.Second)
				require.NoError(b, err)
				keys = append(keys, key)
			}
			b.StartTimer()
		}
		c, _, err := k.Begin(context.Background(), keys[0], book, 1)
		keys = keys[1:]
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
