package catalog

import "time"

// Server is one incarnation of a backend server as the platform lists it.
type Server struct {
	// ID names the incarnation; the same id may return with a later Born.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is the backend server's ip:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests it works on at a time; at least 1.
	Slots int `json:"slots"`
	// Draining servers take no new work.
	Draining bool `json:"draining,omitempty"`
	// Cold is how long the server stays slow, from when the entry was written.
	Cold time.Duration `json:"cold,omitempty"`
	// Born is when the server started, Unix time in milliseconds; 0 where it is
	// not known.
	Born int64 `json:"born,omitempty"`
	// Rev is the store's revision of the entry.
	Rev uint64 `json:"rev"`
}

// Event is one change of the store.
type Event struct {
	// Config is set for a change of the configuration.
	Config *Config
	// Server is set for a changed or new backend server.
	Server *Server
	// Gone is the id of a backend server that has no usable entry any more.
	Gone string
	// Rev is the store's revision of the change.
	Rev uint64
}

// Change is one change of the list of backend servers, as nodes pass it on.
type Change struct {
	// Server is set for a changed or new entry, Gone for one that vanished.
	Server *Server `json:"server,omitempty"`
	Gone   string  `json:"gone,omitempty"`
	Rev    uint64  `json:"rev"`
}

// Event returns the change as an event.
func (c Change) Event() Event { return Event{Server: c.Server, Gone: c.Gone, Rev: c.Rev} }

// Listing is the complete list of backend servers at a revision.
type Listing struct {
	Servers []Server `json:"servers"`
	// Rev is the revision of the store at which the list holds.
	Rev uint64 `json:"rev"`
}
