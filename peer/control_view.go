package peer

import (
	"time"

	"dogwoodhead/catalog"
)

// ViewRequest says what a node knows of the platform's store.
type ViewRequest struct {
	// Version is that of the configuration in force, 0 before the first.
	Version uint64 `json:"version"`
	// Rev is the store's revision that the list of backend servers reflects.
	Rev uint64 `json:"rev"`
	// From is the sender's control address.
	From string `json:"from"`
}

// Update is what one node knows better than another.
type Update struct {
	// Version and Rev are those of the sender of the update.
	Version uint64 `json:"version"`
	Rev     uint64 `json:"rev"`
	// Config is set where it is newer.
	Config *catalog.Document `json:"config,omitempty"`
	// Changes lead from the revision Base to Rev. List is set instead where they
	// are not known any more.
	Base    uint64           `json:"base,omitempty"`
	Changes []catalog.Change `json:"changes,omitempty"`
	List    *catalog.Listing `json:"list,omitempty"`
	// Returned is how long ago the store returned after it was away; 0 where that
	// is long ago.
	Returned time.Duration `json:"returned,omitempty"`
}

// Feed is an update that a node which reads the store sends unasked.
type Feed struct {
	Update
	From string `json:"from"`
}
