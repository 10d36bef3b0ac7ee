package main

import "runtime/debug"

const (
	// memoryLimit is the soft limit of the Go heap in bytes. A node may use
	// 128 MB in all; the rest is left for stacks and what the runtime does not count.
	memoryLimit = 112 << 20
	// gcPercent lets the heap grow to five times what is in use before a
	// collection. A node's live heap is a few megabytes, and at the default it
	// would be collected many times a second under load.
	gcPercent = 400
)

// limitMemory sets the collector for a process that does nothing but run a node.
func limitMemory() {
	debug.SetMemoryLimit(memoryLimit)
	debug.SetGCPercent(gcPercent)
}
