// Package mesh implements a node on the users' platform. The node routes the
// requests that originate on its VM to nodes beside eligible backend servers,
// and admits the requests of other nodes to its local backend server.
//
// Only the node beside a backend server sends requests to it. That node alone
// decides what runs there: it keeps the server within its slots, stops new work
// as soon as the server leaves, and reports "not run" only for requests that
// did not run. A request that must not run twice is sent to another node only
// after such a report.
package mesh
