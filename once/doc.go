// Package once ensures that a call runs at most once: replay windows refuse
// duplicate attempts, and calls with the same operation key are deduplicated.
//
// All tables are bounded. When records are evicted, a floor remains: attempts and
// keys numbered up to it that have no record are refused and never run again.
package once
