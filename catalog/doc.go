// Package catalog holds what a node believes about the graph: the
// configuration in force and the backend servers that the platform lists.
//
// A View only moves forward. A configuration replaces an older version, a
// change of a backend server replaces an older revision. The package does no
// I/O of its own; Follower drives a View through function fields.
package catalog
