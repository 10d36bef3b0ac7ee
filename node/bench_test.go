package node

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// chainBase declares a chain of services a -> b -> c -> d.
const chainBase = `{
	"classes": ["lookup"],
	"services": {
		"a": {"slots": 2000, "queue": 10, "operations": {"get": {"class": "lookup", "idempotent": true, "timeout": "30s", "calls": ["b/get"]}}},
		"b": {"slots": 2000, "queue": 10, "operations": {"get": {"class": "lookup", "idempotent": true, "timeout": "30s", "calls": ["c/get"]}}},
		"c": {"slots": 2000, "queue": 10, "operations": {"get": {"class": "lookup", "idempotent": true, "timeout": "30s", "calls": ["d/get"]}}},
		"d": {"slots": 2000, "queue": 10, "operations": {"get": {"class": "lookup", "idempotent": true, "timeout": "30s", "calls": []}}}
	}
}`

// BenchmarkCall measures one call through an ingress node at several depths. All
// nodes, backend servers and the caller share the process, so the CPU time of a
// hop is the difference between two depths minus that of "direct".
func BenchmarkCall(b *testing.B) {
	f := startFleet(b, chainBase, 1, "a", "b", "c", "d")
	run := func(name, address, path string) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			start := processorTime()
			for b.Loop() {
				benchmarkPost(b, f, address, path)
			}
			b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
	for depth, target := range []string{"d", "c", "b", "a"} {
		run(fmt.Sprintf("depth=%d", depth+1), f.servers[0].callerAddr, "/call/"+target+"/get")
	}
	run("direct", f.servers[3].node.settings.BackendAddr(), "/get")
}

// BenchmarkInflight measures the memory per waiting call. The ingress node, the
// serving node, the backend server and the caller share the process.
func BenchmarkInflight(b *testing.B) {
	for _, calls := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			f := startFleet(b, chainBase, 3*time.Second, "d")
			for b.Loop() {
				before := memoryInUse()
				var wg sync.WaitGroup
				for range calls {
					wg.Go(func() { benchmarkPost(b, f, f.servers[0].callerAddr, "/call/d/get") })
				}
				for f.servers[0].node.gate.Load().Used() < calls {
					time.Sleep(5 * time.Millisecond)
				}
				b.ReportMetric(float64(memoryInUse()-before)/float64(calls), "B/call")
				wg.Wait()
			}
		})
	}
}

// memoryInUse returns the heap and stack memory in use after a GC, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// processorTime returns the user and system CPU time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkPost(b *testing.B, f *testFleet, address, path string) {
	resp, err := f.client.Post("http://"+address+path, "application/json", strings.NewReader(`{"token":"t"}`))
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Error(resp.Status)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}
