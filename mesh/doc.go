// Package mesh is a node on the users' platform: it takes the requests that
// begin on its VM, sends each to the node beside a backend server that may run
// it, and admits the requests of other nodes to its own backend server.
//
// Only the node beside a backend server sends it requests. So that node alone
// decides what runs there: it keeps the server within its slots, stops new work
// at once when the server leaves, and its word that a request did not run is
// true. A request that may not run twice is sent to another node only after
// such a word.
package mesh
