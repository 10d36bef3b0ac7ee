// Package node wires the parts of one process and runs its life cycle.
//
// Contract: Run returns nil after a graceful stop that cut no call. Nothing
// outlives the process: it writes no file and no shared state.
package node
