package frame

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// strict makes a broken invariant panic. Test binaries set it by being tests.
var strict atomic.Bool

// SetStrict chooses whether a broken invariant panics (true) or only counts.
func SetStrict(on bool) { strict.Store(on) }

// Invariant reports a broken invariant where ok is false: it counts it in the
// metric dogwood_invariant_broken_total, and panics in tests.
func Invariant(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	metrics.GetOrCreateCounter(`dogwood_invariant_broken_total{name="` + name + `"}`).Inc()
	if strict.Load() || testing.Testing() {
		panic(fmt.Sprintf("invariant %s broken: %s", name, fmt.Sprintf(format, args...)))
	}
}
