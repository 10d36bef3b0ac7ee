// Package member keeps this node's view of the others: the platform's VM list
// and what peers say about themselves in hello, beat and leave messages. It
// also notices that the process was paused, and that it is about to leave.
//
// The VM list may lag for a long time. So a peer's own word about its
// incarnation and its leaving counts more than the list.
package member
