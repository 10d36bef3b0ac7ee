// Package once makes a call run at most once: replay windows refuse attempts
// that were seen before, and operation keys join or refuse calls that repeat
// an operation.
//
// Memory is bounded everywhere. What is dropped leaves one number behind, a
// floor, below which everything counts as seen: an attempt or a key whose
// record was dropped is refused and never runs again.
package once
