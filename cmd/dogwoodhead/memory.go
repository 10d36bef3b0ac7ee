package main

import "runtime/debug"

const (
	// memoryLimit is the soft memory limit of the Go runtime in bytes. A node
	// may use 128 MB in total; the rest is left for memory that the runtime does not count.
	memoryLimit = 112 << 20
	// gcPercent lets the heap grow to five times the live heap before a
	// collection. The live heap of a node is a few megabytes; with the default,
	// the GC would run many times a second under load.
	gcPercent = 400
)

// limitMemory configures the garbage collector of a process that only runs a
// node.
func limitMemory() {
	debug.SetMemoryLimit(memoryLimit)
	debug.SetGCPercent(gcPercent)
}
