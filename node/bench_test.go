package node

import (
	"net/http"
	"strings"
	"testing"
)

// chainBase declares a chain of services a -> b -> c -> d.
const chainBase = `{
	"classes": ["lookup"],
	"services": {
		"a": {"slots": 500, "operations": {"get": {"class": "lookup", "idempotent": true, "calls": ["b/get"]}}},
		"b": {"slots": 500, "operations": {"get": {"class": "lookup", "idempotent": true, "calls": ["c/get"]}}},
		"c": {"slots": 500, "operations": {"get": {"class": "lookup", "idempotent": true, "calls": ["d/get"]}}},
		"d": {"slots": 500, "operations": {"get": {"class": "lookup", "idempotent": true, "calls": []}}}
	}
}`

// BenchmarkCall measures one call through an entry node at several depths; the
// difference between two depths is the cost of a hop, backend server included.
func BenchmarkCall(b *testing.B) {
	f := startFleet(b, chainBase, 1, "a", "b", "c", "d")
	for depth, target := range []string{"d", "c", "b", "a"} {
		b.Run("depth="+string(rune('1'+depth)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchmarkPost(b, f, f.servers[0].caller, "/call/"+target+"/get")
			}
		})
	}
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			benchmarkPost(b, f, f.servers[3].node.set.Backend(), "/get")
		}
	})
}

func benchmarkPost(b *testing.B, f *testFleet, address, path string) {
	resp, err := f.client.Post("http://"+address+path, "application/json", strings.NewReader(`{"token":"t"}`))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
	buf := make([]byte, 4096)
	for {
		if _, err := resp.Body.Read(buf); err != nil {
			return
		}
	}
}
