package peer

import "dogwoodhead/catalog"

// ViewRequest says what a node knows of the platform's store.
type ViewRequest struct {
	// Version is that of the configuration in force, 0 before the first.
	Version uint64 `json:"version"`
	// Rev is the store's revision that the list of backend servers reflects.
	Rev uint64 `json:"rev"`
	// Lost says that the sender does not reach the store, so that it needs the
	// list from its peers.
	Lost bool `json:"lost,omitempty"`
	// From is the sender's control address.
	From string `json:"from"`
}

// ViewReply holds what the answering node knows better. The fields of the
// sender's ViewRequest stand in it as those of the answering node.
type ViewReply struct {
	Version uint64 `json:"version"`
	Rev     uint64 `json:"rev"`
	// Config is set where it is newer than the sender's.
	Config *catalog.Document `json:"config,omitempty"`
	// List is set where the sender asked for it and it is newer.
	List *catalog.Listing `json:"list,omitempty"`
}
