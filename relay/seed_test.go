package relay

import "flag"

// Fixes the seed of rapid, so that CI gives the same result every time. A seed
// on the command line takes precedence.
func init() { _ = flag.Set("rapid.seed", "20261204") }
