package trial

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"dogwoodhead/board"
	"dogwoodhead/standin"
)

// Plan says what a fleet consists of.
type Plan struct {
	// Document is the base document as the stand-ins read it, after Change.
	Document *standin.Document
	// Site is the site of the overlay.
	Site string
	// Zones is sorted.
	Zones []string
	// PerZone is the number of backend servers of each service in each zone.
	PerZone int
	// Inline runs the backend servers in this process.
	Inline bool
	// Work is the service time per operation, as "service/operation".
	Work map[string]time.Duration
	// Spread is the largest relative deviation of the service time.
	Spread float64
	// Seed makes the backend servers repeatable.
	Seed uint64
	// Log is the log level of the nodes.
	Log string

	base    map[string]any
	overlay []byte
	delays  map[string]time.Duration
}

// overlayFields is the part of an overlay that the trial uses.
type overlayFields struct {
	Site  string `json:"site"`
	Zones map[string]struct {
		Delay standin.Duration `json:"delay"`
	} `json:"zones"`
}

// ReadPlan reads the base and overlay files of a deployment.
func ReadPlan(base, overlay string) (*Plan, error) {
	p := &Plan{PerZone: 1, Log: "warn", delays: make(map[string]time.Duration)}
	src, err := os.ReadFile(base)
	if err != nil {
		return nil, eris.Wrap(err, "read base document")
	}
	if src, err = hujson.Standardize(src); err != nil {
		return nil, eris.Wrapf(err, "read %s", base)
	}
	if err := json.Unmarshal(src, &p.base); err != nil {
		return nil, eris.Wrapf(err, "read %s", base)
	}
	if p.Document, err = standin.ParseDocument(src); err != nil {
		return nil, err
	}
	if p.overlay, err = os.ReadFile(overlay); err != nil {
		return nil, eris.Wrap(err, "read overlay")
	}
	std, err := hujson.Standardize(slices.Clone(p.overlay))
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", overlay)
	}
	var o overlayFields
	if err := json.Unmarshal(std, &o); err != nil {
		return nil, eris.Wrapf(err, "read %s", overlay)
	}
	p.Site = o.Site
	p.Zones = slices.Sorted(maps.Keys(o.Zones))
	for zone, z := range o.Zones {
		p.delays[zone] = z.Delay.D()
	}
	return p, nil
}

// Scale multiplies the slots of every service; the connections stay.
func (p *Plan) Scale(by float64) error {
	services, _ := p.base["services"].(map[string]any)
	for name, s := range p.Document.Services {
		s.Slots = max(1, int(math.Round(float64(s.Slots)*by)))
		p.Document.Services[name] = s
		if fields, ok := services[name].(map[string]any); ok {
			fields["slots"] = s.Slots
		}
	}
	return p.reread()
}

// Control sets the mode: full or one of the baselines.
func (p *Plan) Control(mode string) error {
	p.base["control"] = mode
	return p.reread()
}

// reread brings Document up to date with the base that is published.
func (p *Plan) reread() error {
	src, err := p.Base()
	if err != nil {
		return err
	}
	p.Document, err = standin.ParseDocument(src)
	return err
}

// Base returns the base document to publish.
func (p *Plan) Base() ([]byte, error) {
	src, err := json.MarshalIndent(p.base, "", "  ")
	return src, eris.Wrap(err, "write base document")
}

// Services returns the names of the services, sorted.
func (p *Plan) Services() []string { return slices.Sorted(maps.Keys(p.Document.Services)) }

// Servers returns the number of backend servers of each service.
func (p *Plan) Servers() int { return len(p.Zones) * p.PerZone }

// servers lists the VMs of the plan without addresses.
func (p *Plan) servers() []*Server {
	var servers []*Server
	for _, zone := range p.Zones {
		for _, service := range p.Services() {
			for i := range p.PerZone {
				servers = append(servers, &Server{VM: board.VMFields{
					Name: fmt.Sprintf("%s-%s-%d", service, zone, i+1),
					Zone: zone, Region: p.Site, Service: service,
				}})
			}
		}
	}
	return servers
}

// backendSettings returns the settings of a server's backend server.
func (p *Plan) backendSettings(s *Server, index int) (standin.BackendSettings, error) {
	b := standin.BackendSettings{
		Listen: s.Backend, Control: s.BackendControl, Service: s.VM.Service, Outbound: s.Outbound,
		WorkJitter: p.Spread, Seed: p.Seed + uint64(index), Work: make(map[string]standin.Duration),
	}
	if err := b.ApplyDocument(p.Document); err != nil {
		return b, err
	}
	for operation := range b.Calls {
		if w, ok := p.Work[s.VM.Service+"/"+operation]; ok {
			b.Work[operation] = standin.Duration(w)
		}
	}
	return b, nil
}

// nodeSettings is the settings file of a node.
type nodeSettings struct {
	VM       string            `json:"vm"`
	Zone     string            `json:"zone"`
	Region   string            `json:"region"`
	Site     string            `json:"site"`
	Service  string            `json:"service"`
	Listen   nodeListen        `json:"listen"`
	Backend  string            `json:"backend"`
	Platform string            `json:"platform"`
	Log      string            `json:"log"`
	Linger   standin.Duration  `json:"linger"`
	Drain    standin.Duration  `json:"drain"`
	Delays   map[string]string `json:"delays"`
}

type nodeListen struct {
	Caller   string `json:"caller"`
	Call     string `json:"call"`
	Control  string `json:"control"`
	Outbound string `json:"outbound"`
	Operator string `json:"operator"`
}

const (
	// nodeLinger is short, because all callers have stopped before.
	nodeLinger = 200 * time.Millisecond
	// nodeDrain is the longest wait of a stopping node for open calls.
	nodeDrain = 10 * time.Second
)

func (p *Plan) nodeSettings(s *Server, platform string) nodeSettings {
	n := nodeSettings{
		VM: s.VM.Name, Zone: s.VM.Zone, Region: s.VM.Region, Site: p.Site, Service: s.VM.Service,
		Listen: nodeListen{
			Caller: s.Caller, Call: s.VM.CallAddr, Control: s.VM.ControlAddr,
			Outbound: s.Outbound, Operator: s.Operator,
		},
		Backend: s.Backend, Platform: platform, Log: p.Log,
		Linger: standin.Duration(nodeLinger), Drain: standin.Duration(nodeDrain),
		Delays: make(map[string]string),
	}
	for _, zone := range p.Zones {
		if zone != s.VM.Zone {
			n.Delays[zone] = p.delays[s.VM.Zone].String()
		}
	}
	return n
}
