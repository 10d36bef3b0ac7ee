// Package level keeps the admission levels that a node learns from answers, so
// that the entry node sheds a call before any work is done for it.
//
// The level in an answer is the most restrictive one of the whole subtree below
// the operation that answers. The package does no I/O and starts no goroutine.
package level
