package catalog

import "flag"

// Fixes the seed of rapid, so that CI runs are reproducible. A seed on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
