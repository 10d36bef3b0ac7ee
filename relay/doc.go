// Package relay brings configuration documents and the VM list to every node.
//
// Store keeps the highest accepted revision of each document. Relay reads the
// platform on a few nodes of each availability zone, forwards accepted
// documents along a tree that every node computes for itself, and pulls from
// whatever peer shows a higher revision. No agreement between nodes is needed:
// the platform orders the revisions, acceptance depends on the bytes of one
// document only, and a node never goes back.
package relay
