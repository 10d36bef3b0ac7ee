// Package catalog holds the service graph as known to a node: the active
// configuration and the backend servers that the platform lists.
//
// A View only moves forward: a configuration replaces only an older version,
// and a change of a backend server only an older revision. The package does no
// I/O of its own; Follower updates a View through function fields.
package catalog
