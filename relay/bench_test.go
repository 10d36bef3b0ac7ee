package relay

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"dogwoodhead/board"
)

var benchSizes = []int{100, 500, 1500}

// vmList returns entries in 22 zones and services of six VMs.
func vmList(n int) []board.VM {
	out := make([]board.VM, 0, n)
	for i := range n {
		out = append(out, board.NewVM(board.VMFields{
			Name: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprintf("zone-%02d", i%22), Region: fmt.Sprintf("region-%d", i%7),
			Service: fmt.Sprintf("service-%03d", i/6), CallAddr: fmt.Sprintf("10.%d.%d.1:7001", i/200, i%200),
			ControlAddr: fmt.Sprintf("10.%d.%d.1:7002", i/200, i%200),
		}))
	}
	return out
}

// BenchmarkMembers measures the memory that one snapshot of the VM list holds,
// its strings included.
func BenchmarkMembers(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			const copies = 20
			var before, after runtime.MemStats
			for b.Loop() {
				keep := make([]*board.Members, 0, copies)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range copies {
					keep = append(keep, board.NewMembers(1, vmList(n)))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(keep)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/copies, "resident-B/snapshot")
		})
	}
}

// BenchmarkTree measures the building of one revision's tree.
func BenchmarkTree(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			m := board.NewMembers(1, vmList(n))
			for b.Loop() {
				NewTree(m, KeyBase, 7, defaultReaders, nil)
			}
		})
	}
}

// configText returns about size bytes of a configuration document.
func configText(size int) []byte {
	r := rand.New(rand.NewPCG(20261204, 4))
	text := []byte("{\n  \"services\": {\n")
	for i := 0; len(text) < size; i++ {
		text = fmt.Appendf(text, "    \"service-%03d\": {\"slots\": %d, \"connections\": %d, \"queue\": %d, \"share\": 0.%d,\n"+
			"      \"operations\": {\"read\": {\"class\": \"lookup\", \"idempotent\": true, \"timeout\": \"%dms\"}}},\n",
			i, 10+r.IntN(100), 100+r.IntN(900), 16+r.IntN(100), 1+r.IntN(8), 100+r.IntN(900))
	}
	return append(text, "  }\n}\n"...)
}

// BenchmarkPush measures the data of one push for a change of one line: as a
// delta against the previous revision, and as the whole document.
func BenchmarkPush(b *testing.B) {
	tests := []struct {
		name string
		text []byte
	}{
		{"config-20KB", configText(20_000)},
		{"vms-100", text(100, plain)},
		{"vms-500", text(500, plain)},
		{"vms-1500", text(1500, plain)},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			old := NewDocument(KeyBase, 1, tt.text)
			half := len(tt.text) / 2
			changed := append(append(append([]byte(nil), tt.text[:half]...), "9"...), tt.text[half+1:]...)
			// Two more changes far apart, so that the parts between do not match at once.
			spread := append([]byte(nil), changed...)
			spread[100], spread[len(spread)-100] = '7', '7'
			d := NewDocument(KeyBase, 2, changed)
			var delta, whole Parcel
			for b.Loop() {
				delta = Pack(d, old)
			}
			whole = Pack(d, Document{})
			b.ReportMetric(float64(len(tt.text)), "document-B")
			b.ReportMetric(float64(len(delta.Data)), "delta-B")
			b.ReportMetric(float64(len(Pack(NewDocument(KeyBase, 2, spread), old).Data)), "delta-spread-B")
			b.ReportMetric(float64(len(whole.Data)), "whole-B")
		})
	}
}
