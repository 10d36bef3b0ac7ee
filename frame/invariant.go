package frame

import (
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// Invariant reports a broken invariant where ok is false: it counts it in the
// metric dogwood_invariant_broken_total, and panics in tests.
func Invariant(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	metrics.GetOrCreateCounter(`dogwood_invariant_broken_total{name="` + name + `"}`).Inc()
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s broken: %s", name, fmt.Sprintf(format, args...)))
	}
}
