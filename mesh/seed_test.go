package mesh

import "flag"

// Fixes the seed of rapid, so that CI results are reproducible. A seed on the
// command line takes precedence.
func init() { _ = flag.Set("rapid.seed", "20261204") }
