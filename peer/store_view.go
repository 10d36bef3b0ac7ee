package peer

import (
	"time"

	"dogwoodhead/catalog"
)

// ViewRequest holds the versions of the platform store's data that a node has.
type ViewRequest struct {
	// Version is that of the active configuration, 0 before the first.
	Version uint64 `json:"version"`
	// Rev is the store's revision that the list of backend servers reflects.
	Rev uint64 `json:"rev"`
	// From is the sender's control address.
	From string `json:"from"`
}

// Update holds the store's data that is newer at its sender than at its receiver.
type Update struct {
	// Version and Rev are the sender's, as in ViewRequest.
	Version uint64 `json:"version"`
	Rev     uint64 `json:"rev"`
	// Config is set if the sender's configuration is newer.
	Config *catalog.Document `json:"config,omitempty"`
	// Changes are those from revision BaseRev to Rev. List is set instead if the
	// sender no longer has them.
	BaseRev uint64           `json:"base,omitempty"`
	Changes []catalog.Change `json:"changes,omitempty"`
	List    *catalog.Listing `json:"list,omitempty"`
	// SinceStoreRecovery is the time since the store became reachable again; 0 if
	// that is long ago.
	SinceStoreRecovery time.Duration `json:"returned,omitempty"`
}

// Feed is an unsolicited update, sent by a node that reads the store.
type Feed struct {
	Update
	From string `json:"from"`
	// Age is the time since the store last responded to the sender. Changes of that
	// time may be missing.
	Age time.Duration `json:"age,omitempty"`
}
