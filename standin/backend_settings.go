package standin

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

const (
	defaultWork    = 100 * time.Millisecond
	defaultTimeout = 10 * time.Second
	defaultLinger  = 500 * time.Millisecond
	// anyOperation is the key of Work for operations that are not listed.
	anyOperation = "*"
)

// BackendSettings configures one backend server.
type BackendSettings struct {
	// Listen is the ip:port for requests and control.
	Listen string `json:"listen"`
	// Control is a further ip:port for control only, which does not count
	// towards Connections; empty for none.
	Control string `json:"control"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Slots is how many requests are worked on at a time.
	Slots int `json:"slots"`
	// Connections is how many connections are accepted; 0 sets no bound.
	Connections int `json:"connections"`
	// Work is the service time per operation, "*" for the others.
	Work map[string]Duration `json:"work"`
	// Spread is the largest relative deviation of the service time, 0 to 1.
	Spread float64 `json:"spread"`
	// Calls lists the downstream calls per operation as "service/operation".
	// Only the operations named here are served.
	Calls map[string][]string `json:"calls"`
	// Outbound is the ip:port of the node that takes downstream calls.
	Outbound string `json:"outbound"`
	// Direct maps a service to the ip:port of one of its backend servers, for
	// runs without nodes. It is used where Outbound is empty.
	Direct map[string]string `json:"direct"`
	// Retries is how often a failed downstream call is repeated.
	Retries int `json:"retries"`
	// Padding is the number of bytes added to each answer.
	Padding int `json:"padding"`
	// Timeout bounds a request that names no time left.
	Timeout Duration `json:"timeout"`
	// Linger is how long a draining server waits for its node to notice
	// before it stops listening.
	Linger Duration `json:"linger"`
	// Seed makes the spread and the faults repeatable.
	Seed uint64 `json:"seed"`
	// Knobs are the faults at the start.
	Knobs Knobs `json:"knobs"`
}

// ParseBackend reads settings, JSON with comments.
func ParseBackend(src []byte) (BackendSettings, error) {
	s := BackendSettings{}
	std, err := hujson.Standardize(src)
	if err != nil {
		return s, eris.Wrap(err, "read backend settings")
	}
	return s, eris.Wrap(json.Unmarshal(std, &s), "read backend settings")
}

// Declare fills Calls, and Slots and Connections where they are 0, from a base
// document.
func (s *BackendSettings) Declare(d *Document) error {
	service, ok := d.Services[s.Service]
	if !ok {
		return eris.Errorf("service %q is not in the base document", s.Service)
	}
	if s.Slots == 0 {
		s.Slots = service.Slots
	}
	if s.Connections == 0 {
		s.Connections = service.Connections
	}
	s.Calls = make(map[string][]string, len(service.Operations))
	for name, o := range service.Operations {
		s.Calls[name] = o.Calls
	}
	return nil
}

func (s *BackendSettings) workOf(operation string) time.Duration {
	if d, ok := s.Work[operation]; ok {
		return d.D()
	}
	if d, ok := s.Work[anyOperation]; ok {
		return d.D()
	}
	return defaultWork
}

func (s *BackendSettings) fill() {
	if s.Slots <= 0 {
		s.Slots = 1
	}
	if s.Timeout == 0 {
		s.Timeout = Duration(defaultTimeout)
	}
	if s.Linger == 0 {
		s.Linger = Duration(defaultLinger)
	}
}

// Knobs are the faults of a backend server. They can be changed while it runs.
type Knobs struct {
	// Slow multiplies the service time; 0 counts as 1.
	Slow float64 `json:"slow"`
	// Slots is the number of slots that really work; 0 for all of them.
	Slots int `json:"slots"`
	// Cold is how long the server stays cold from now on. Its service time
	// falls linearly from ColdFactor times the usual to the usual.
	Cold       Duration `json:"cold"`
	ColdFactor float64  `json:"coldFactor"`
	// State, Inflight and Reported replace what /health and /load say.
	State    string `json:"state"`
	Inflight *int   `json:"inflight"`
	Reported *int   `json:"reported"`
	// Lag delays what /health and /load say.
	Lag Duration `json:"lag"`
	// Half is the share of answers that are cut short, 0 to 1.
	Half float64 `json:"half"`
	// Down drops every request without an answer.
	Down bool `json:"down"`
}
