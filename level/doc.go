// Package level stores the admission levels reported in responses, so that an
// ingress node can shed a call before any work is done for it.
//
// The level in a response is the most restrictive one in the subtree of the
// called operation. The package does no I/O and starts no goroutines.
package level
