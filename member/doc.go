// Package member tracks the other nodes: the platform's VM list and the states
// that peers report in hello, heartbeat and leave messages. It also detects
// that the process was paused, and notifies other nodes when this one leaves.
//
// The VM list may lag for a long time, so a peer's own report of its
// incarnation and of leaving takes precedence over the list.
package member
