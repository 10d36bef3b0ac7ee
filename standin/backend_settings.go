package standin

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

const (
	defaultSelfTime   = 100 * time.Millisecond
	defaultTimeout    = 10 * time.Second
	defaultDrainDelay = 500 * time.Millisecond
	// anyOperation is the key of SelfTimes for operations that are not listed.
	anyOperation = "*"
)

// BackendSettings configures one backend server.
type BackendSettings struct {
	// ListenAddr is the ip:port for requests and control endpoints.
	ListenAddr string `json:"listen"`
	// ControlAddr is an additional ip:port for control endpoints only, whose
	// connections do not count toward Connections; empty for none.
	ControlAddr string `json:"control"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Slots limits concurrent requests.
	Slots int `json:"slots"`
	// Connections limits open connections; 0 means no limit.
	Connections int `json:"connections"`
	// SelfTimes is the mean self time per operation, "*" for the others.
	SelfTimes map[string]Duration `json:"work"`
	// SelfTimeJitter is the largest relative deviation of a self time, 0 to 1.
	SelfTimeJitter float64 `json:"spread"`
	// Calls lists the downstream calls per operation as "service/operation".
	// Only operations with an entry are served.
	Calls map[string][]string `json:"calls"`
	// OutboundAddr is the ip:port of the node for downstream calls.
	OutboundAddr string `json:"outbound"`
	// DirectAddrs maps a service to the ip:port of one of its backend servers,
	// for runs without nodes. It is used if OutboundAddr is empty.
	DirectAddrs map[string]string `json:"direct"`
	// MaxRetries limits the retries of a failed downstream call.
	MaxRetries int `json:"retries"`
	// PaddingBytes is the padding added to each response.
	PaddingBytes int `json:"padding"`
	// Timeout limits a request without a timeout header.
	Timeout Duration `json:"timeout"`
	// DrainDelay is how long a draining server keeps listening, so that its
	// node can detect the drain.
	DrainDelay Duration `json:"linger"`
	// Seed makes the jitter and the faults reproducible.
	Seed uint64 `json:"seed"`
	// Faults are the initial faults.
	Faults BackendFaults `json:"knobs"`
}

// ParseBackendSettings parses settings, JSON with comments.
func ParseBackendSettings(src []byte) (BackendSettings, error) {
	s := BackendSettings{}
	std, err := hujson.Standardize(src)
	if err != nil {
		return s, eris.Wrap(err, "read backend settings")
	}
	return s, eris.Wrap(json.Unmarshal(std, &s), "read backend settings")
}

// ApplyDocument sets Calls, and Slots and Connections if they are 0, from a
// base document. It fails if the document does not declare the service.
func (s *BackendSettings) ApplyDocument(d *Document) error {
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

func (s *BackendSettings) meanSelfTime(operation string) time.Duration {
	if d, ok := s.SelfTimes[operation]; ok {
		return d.D()
	}
	if d, ok := s.SelfTimes[anyOperation]; ok {
		return d.D()
	}
	return defaultSelfTime
}

func (s *BackendSettings) setDefaults() {
	if s.Slots <= 0 {
		s.Slots = 1
	}
	if s.Timeout == 0 {
		s.Timeout = Duration(defaultTimeout)
	}
	if s.DrainDelay == 0 {
		s.DrainDelay = Duration(defaultDrainDelay)
	}
}

// BackendFaults are the faults of a backend server. They may change at run time.
type BackendFaults struct {
	// SlowFactor multiplies the self times; 0 means 1.
	SlowFactor float64 `json:"slow"`
	// Slots is the actual number of slots; 0 means that of the settings.
	Slots int `json:"slots"`
	// WarmUp is how long the server warms up from now on. Its self times fall
	// linearly from WarmUpFactor times the normal ones to the normal ones.
	WarmUp       Duration `json:"cold"`
	WarmUpFactor float64  `json:"coldFactor"`
	// ReportedState, ReportedInflight and ReportedSlots override /health and /load.
	ReportedState    string `json:"state"`
	ReportedInflight *int   `json:"inflight"`
	ReportedSlots    *int   `json:"reported"`
	// ReportLag delays the values of /health and /load.
	ReportLag Duration `json:"lag"`
	// TruncatedFraction is the fraction of truncated responses, 0 to 1.
	TruncatedFraction float64 `json:"half"`
	// RawResponse are the bytes sent in place of each response; empty for none.
	RawResponse string `json:"raw"`
	// Down closes the connection of every request without a response.
	Down bool `json:"down"`
}
