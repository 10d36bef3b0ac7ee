// Package peer implements the protocols between nodes: calls over HTTP and
// control messages over JSON-RPC 2.0 on TCP.
//
// Server returns NotRun for a well-formed attempt at its own service only after
// it has recorded the attempt's id, so that no copy of it runs later. Client
// itself returns NotRun only if it did not write a byte. Forwarder makes another
// attempt only if the retry rules and the permits of the span allow it.
package peer
