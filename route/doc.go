// Package route chooses the VM that serves a call: the less loaded of two random
// VMs, in the local zone first, in other zones when the local one is busy, and no
// VM that is leaving or has just failed.
//
// It keeps no state of its own: the results of attempts are stored in the board's
// table of peers. Report must be called exactly once for every VM that Pick
// returns.
package route
