// Package once ensures that a call runs at most once: replay windows refuse
// duplicate attempts, and calls with the same operation key are deduplicated.
//
// All tables are bounded. When records are evicted, a floor remains, a number up
// to which everything counts as seen: an attempt or a key without a record is
// refused up to the floor and never runs again.
package once
