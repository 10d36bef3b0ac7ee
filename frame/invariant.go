package frame

import (
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// AssertInvariant does nothing if ok is true. Otherwise it increments the metric
// dogwood_invariant_broken_total, labelled with name, and panics in tests.
func AssertInvariant(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	metrics.GetOrCreateCounter(`dogwood_invariant_broken_total{name="` + name + `"}`).Inc()
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s broken: %s", name, fmt.Sprintf(format, args...)))
	}
}
