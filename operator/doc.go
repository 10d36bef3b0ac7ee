// Package operator speaks to operators over HTTP: metrics, status, the policy
// in force, and what would happen to a call now and why.
//
// Contract: nothing here changes the node's state.
package operator
