// Package frame holds the types that travel with a call through the graph: the
// call context, attempt ids, outcomes, typed errors and their header encodings.
//
// The package does no I/O and holds no state. Every other package may import
// it; it imports none of them.
package frame
