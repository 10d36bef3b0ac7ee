package route

import "flag"

// Fixes the seed of rapid to make test runs reproducible. A seed on the command
// line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
