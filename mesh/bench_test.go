package mesh

import (
	"fmt"
	"net/http"
	"testing"

	"dogwoodhead/standin"
)

// BenchmarkCall measures a request through two nodes. The stand-in of the backend
// server and the caller run in the same process.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	f.add(standin.AppOptions{ID: "i-book", Service: "book", Slots: 10})
	f.applyConfig(1, routeTo("book", "/book/", "safe"))
	i := 0
	for b.Loop() {
		i++
		if r := shop.send(callerRequest{path: "/book/x", id: fmt.Sprint(i)}); r.status != http.StatusOK {
			b.Fatalf("status %d: %v", r.status, r.err)
		}
	}
}
