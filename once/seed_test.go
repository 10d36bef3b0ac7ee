package once

import "flag"

// Fixes the seed of rapid, so that CI runs are reproducible. A seed on the
// command line overrides it. Runs are long because each failure that the state
// machines guard against takes several restarts and delayed messages.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "2000")
}
