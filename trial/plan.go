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

// Plan describes the deployment that a fleet runs.
type Plan struct {
	// Document is the base document as the stand-ins read it, including the
	// changes by ScaleSlots and SetControl.
	Document *standin.Document
	// Site is the site of the overlay.
	Site string
	// Zones is sorted.
	Zones []string
	// PerZone is the number of backend servers of each service in each zone.
	PerZone int
	// SelfTimes is the self time per operation, keyed by "service/operation".
	SelfTimes map[string]time.Duration
	// SelfTimeJitter is the largest relative deviation of a self time.
	SelfTimeJitter float64
	// Seed seeds the random choices of the backend servers.
	Seed uint64
	// LogLevel is the log level of the nodes.
	LogLevel string

	base       map[string]any
	overlay    []byte
	zoneDelays map[string]time.Duration
}

// overlayFields holds the fields of an overlay that a plan uses.
type overlayFields struct {
	Site  string `json:"site"`
	Zones map[string]struct {
		Delay standin.Duration `json:"delay"`
	} `json:"zones"`
}

// ReadPlan reads the base and overlay files of a deployment.
func ReadPlan(base, overlay string) (*Plan, error) {
	p := &Plan{PerZone: 1, LogLevel: "warn", zoneDelays: make(map[string]time.Duration)}
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
	var fields overlayFields
	if err := json.Unmarshal(std, &fields); err != nil {
		return nil, eris.Wrapf(err, "read %s", overlay)
	}
	p.Site = fields.Site
	p.Zones = slices.Sorted(maps.Keys(fields.Zones))
	for zone, z := range fields.Zones {
		p.zoneDelays[zone] = z.Delay.D()
	}
	return p, nil
}

// ScaleSlots multiplies the slots of every service; the connections stay.
func (p *Plan) ScaleSlots(factor float64) error {
	services, _ := p.base["services"].(map[string]any)
	for name, s := range p.Document.Services {
		s.Slots = max(1, int(math.Round(float64(s.Slots)*factor)))
		p.Document.Services[name] = s
		if fields, ok := services[name].(map[string]any); ok {
			fields["slots"] = s.Slots
		}
	}
	return p.refreshDocument()
}

// SetControl sets the control mode: full or one of the baselines.
func (p *Plan) SetControl(mode string) error {
	p.base["control"] = mode
	return p.refreshDocument()
}

// refreshDocument updates Document from the base that is published.
func (p *Plan) refreshDocument() error {
	src, err := p.BaseJSON()
	if err != nil {
		return err
	}
	p.Document, err = standin.ParseDocument(src)
	return err
}

// BaseJSON returns the base document to publish.
func (p *Plan) BaseJSON() ([]byte, error) {
	src, err := json.MarshalIndent(p.base, "", "  ")
	return src, eris.Wrap(err, "write base document")
}

// Services returns the names of the services, sorted.
func (p *Plan) Services() []string { return slices.Sorted(maps.Keys(p.Document.Services)) }

// ServersPerService returns the number of backend servers of each service.
func (p *Plan) ServersPerService() int { return len(p.Zones) * p.PerZone }

// newServers returns the VMs of the plan without addresses.
func (p *Plan) newServers() []*Server {
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
		ListenAddr: s.BackendAddr, ControlAddr: s.BackendControlAddr, Service: s.VM.Service, OutboundAddr: s.OutboundAddr,
		SelfTimeJitter: p.SelfTimeJitter, Seed: p.Seed + uint64(index), SelfTimes: make(map[string]standin.Duration),
	}
	if err := b.ApplyDocument(p.Document); err != nil {
		return b, err
	}
	for operation := range b.Calls {
		if selfTime, ok := p.SelfTimes[s.VM.Service+"/"+operation]; ok {
			b.SelfTimes[operation] = standin.Duration(selfTime)
		}
	}
	return b, nil
}

// nodeSettings is the settings file of a node.
type nodeSettings struct {
	VM           string            `json:"vm"`
	Zone         string            `json:"zone"`
	Region       string            `json:"region"`
	Site         string            `json:"site"`
	Service      string            `json:"service"`
	Listen       nodeListen        `json:"listen"`
	Backend      string            `json:"backend"`
	Platform     string            `json:"platform"`
	Log          string            `json:"log"`
	DrainDelay   standin.Duration  `json:"linger"`
	DrainTimeout standin.Duration  `json:"drain"`
	Delays       map[string]string `json:"delays"`
}

type nodeListen struct {
	Caller   string `json:"caller"`
	Call     string `json:"call"`
	Control  string `json:"control"`
	Outbound string `json:"outbound"`
	Operator string `json:"operator"`
}

const (
	// nodeDrainDelay is short, because all callers have stopped by then.
	nodeDrainDelay = 200 * time.Millisecond
	// nodeDrainTimeout is how long a stopping node waits for calls in progress.
	nodeDrainTimeout = 10 * time.Second
)

func (p *Plan) nodeSettings(s *Server, platform string) nodeSettings {
	n := nodeSettings{
		VM: s.VM.Name, Zone: s.VM.Zone, Region: s.VM.Region, Site: p.Site, Service: s.VM.Service,
		Listen: nodeListen{
			Caller: s.CallerAddr, Call: s.VM.CallAddr, Control: s.VM.ControlAddr,
			Outbound: s.OutboundAddr, Operator: s.OperatorAddr,
		},
		Backend: s.BackendAddr, Platform: platform, Log: p.LogLevel,
		DrainDelay: standin.Duration(nodeDrainDelay), DrainTimeout: standin.Duration(nodeDrainTimeout),
		Delays: make(map[string]string),
	}
	for _, zone := range p.Zones {
		if zone != s.VM.Zone {
			n.Delays[zone] = p.zoneDelays[s.VM.Zone].String()
		}
	}
	return n
}
