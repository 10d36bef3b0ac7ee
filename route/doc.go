// Package route chooses the VM that serves a call: two random choices by load,
// the own zone first, other zones when the own one is busy, and no VM that
// leaves or has just failed.
//
// It keeps no state of its own: what it learns from attempts is in the board's
// table of peers. Every VM that Pick returns must be reported exactly once.
package route
