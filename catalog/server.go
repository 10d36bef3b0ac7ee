package catalog

import "time"

// Server is one incarnation of a backend server, as listed by the platform.
type Server struct {
	// ID identifies the incarnation; it may be reused with a later StartedMillis.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Addr is the backend server's ip:port.
	Addr string `json:"address"`
	Zone string `json:"zone"`
	// Slots is the number of requests that it runs concurrently; at least 1.
	Slots int `json:"slots"`
	// Draining servers accept no new requests.
	Draining bool `json:"draining,omitempty"`
	// WarmUp is how long the server stays slow, counted from when the entry was
	// written.
	WarmUp time.Duration `json:"cold,omitempty"`
	// StartedMillis is when the server started, in Unix milliseconds; 0 if unknown.
	StartedMillis int64 `json:"born,omitempty"`
	// Rev is the store revision of the entry.
	Rev uint64 `json:"rev"`
}

// Event is one change of the store.
type Event struct {
	// Config is set for a change of the configuration.
	Config *Config
	// Server is set for a changed or new backend server.
	Server *Server
	// Removed is the id of a backend server that no longer has a usable entry.
	Removed string
	// Rev is the store revision of the change.
	Rev uint64
}

// Change is one change of the server list, in the form that nodes exchange.
type Change struct {
	// Server is set for a changed or new entry, Removed for a removed one.
	Server  *Server `json:"server,omitempty"`
	Removed string  `json:"gone,omitempty"`
	Rev     uint64  `json:"rev"`
}

// Event returns the change as an Event.
func (c Change) Event() Event { return Event{Server: c.Server, Removed: c.Removed, Rev: c.Rev} }

// Listing is the complete list of backend servers at a store revision.
type Listing struct {
	Servers []Server `json:"servers"`
	// Rev is the store revision of the list.
	Rev uint64 `json:"rev"`
}

// SplitReplaced separates the servers that were replaced: of several servers at
// one address, only the one whose entry was written last can be alive. The entries
// of the others have not expired yet.
func SplitReplaced(servers []Server) (current, replaced []Server) {
	newest := make(map[string]uint64, len(servers))
	for _, s := range servers {
		newest[s.Addr] = max(newest[s.Addr], s.Rev)
	}
	for _, s := range servers {
		if s.Rev == newest[s.Addr] {
			current = append(current, s)
		} else {
			replaced = append(replaced, s)
		}
	}
	return current, replaced
}
