// Package frame defines the types that are propagated with a call: context,
// attempt ids, outcomes, typed errors and their header encodings.
//
// The package does no I/O and holds no state. Every other package may import
// it; it imports none of them.
package frame
