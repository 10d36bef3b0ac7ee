// Package peer speaks to other nodes: calls over HTTP and control messages over
// JSON-RPC 2.0.
//
// Contract of the call half: Server says "not run" about an attempt only after
// the attempt's id was recorded, so no copy of it runs later. Client says "not
// run" on its own only where it did not write a byte. Forwarder makes further
// attempts only where retry.Decide and the permits of the span allow it.
package peer
