// Package operator serves operators: the log and, over HTTP, metrics, status, the
// active policy, and an explanation of how a call would be handled now.
//
// Nothing in it changes the state of the node.
package operator
