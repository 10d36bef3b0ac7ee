package relay

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"dogwoodhead/board"
)

var vmCounts = []int{100, 500, 1500}

// newVMs returns n VMs in 22 zones, with six VMs per service.
func newVMs(n int) []board.VM {
	vms := make([]board.VM, 0, n)
	for i := range n {
		vms = append(vms, board.NewVM(board.VMFields{
			Name: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprintf("zone-%02d", i%22), Region: fmt.Sprintf("region-%d", i%7),
			Service: fmt.Sprintf("service-%03d", i/6), CallAddr: fmt.Sprintf("10.%d.%d.1:7001", i/200, i%200),
			ControlAddr: fmt.Sprintf("10.%d.%d.1:7002", i/200, i%200),
		}))
	}
	return vms
}

// BenchmarkMembers measures the memory of one snapshot of the VM list, including
// its strings.
func BenchmarkMembers(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			const copies = 20
			var before, after runtime.MemStats
			for b.Loop() {
				snapshots := make([]*board.Members, 0, copies)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range copies {
					snapshots = append(snapshots, board.NewMembers(1, newVMs(n)))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(snapshots)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/copies, "resident-B/snapshot")
		})
	}
}

// BenchmarkTree measures building the tree of one revision.
func BenchmarkTree(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			m := board.NewMembers(1, newVMs(n))
			for b.Loop() {
				NewTree(m, KeyBase, 7, defaultReadersPerZone, nil)
			}
		})
	}
}

// configText returns a configuration document of about size bytes.
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

// BenchmarkPush measures the size of one push for a change of one line: as a
// delta to the previous revision, and as the full document.
func BenchmarkPush(b *testing.B) {
	tests := []struct {
		name string
		text []byte
	}{
		{"config-20KB", configText(20_000)},
		{"vms-100", vmListText(100, noMark)},
		{"vms-500", vmListText(500, noMark)},
		{"vms-1500", vmListText(1500, noMark)},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			old := NewDocument(KeyBase, 1, tt.text)
			half := len(tt.text) / 2
			changed := append(append(append([]byte(nil), tt.text[:half]...), "9"...), tt.text[half+1:]...)
			// Two more changes far apart, so that the common prefix and suffix are short.
			scattered := append([]byte(nil), changed...)
			scattered[100], scattered[len(scattered)-100] = '7', '7'
			d := NewDocument(KeyBase, 2, changed)
			var delta, full EncodedDocument
			for b.Loop() {
				delta = Encode(d, old)
			}
			full = Encode(d, Document{})
			b.ReportMetric(float64(len(tt.text)), "document-B")
			b.ReportMetric(float64(len(delta.Data)), "delta-B")
			b.ReportMetric(float64(len(Encode(NewDocument(KeyBase, 2, scattered), old).Data)), "delta-spread-B")
			b.ReportMetric(float64(len(full.Data)), "whole-B")
		})
	}
}
