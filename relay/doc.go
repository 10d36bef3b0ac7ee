// Package relay distributes configuration documents and the VM list to all nodes.
//
// Store keeps the highest accepted revision of each document. Relay reads the
// platform on a few nodes of each availability zone, forwards accepted
// documents along a tree that every node computes locally, and pulls from
// any peer that reports a higher revision. Nodes need no consensus protocol:
// the platform orders the revisions, acceptance depends on the bytes of one
// document only, and the accepted revision of a node never decreases.
package relay
