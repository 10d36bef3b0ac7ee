// Package node builds the components of one node process and runs its life cycle.
//
// Run returns nil after a graceful stop that interrupted no call. The process
// writes no files and no shared state.
package node
