package settings

import (
	_ "embed"
	"maps"
	"net/netip"
	"time"

	"dogwoodhead/jsonc"
)

//go:embed mesh.schema.json
var meshSource []byte

var meshSchema = jsonc.MustCompile("mesh.schema.json", meshSource)

// Mesh is an accepted settings file of a node on the users' platform. It is
// immutable.
type Mesh struct {
	fields meshFields
}

type meshFields struct {
	VM      string            `json:"vm"`
	IP      string            `json:"ip"`
	Zone    string            `json:"zone"`
	Region  string            `json:"region"`
	Zones   map[string]string `json:"zones"`
	Service string            `json:"service"`
	Listen  struct {
		Outbound string `json:"outbound"`
		Ready    string `json:"ready"`
		Operator string `json:"operator"`
	} `json:"listen"`
	Ports   []int  `json:"ports"`
	Backend string `json:"backend"`
	Store   string `json:"store"`
	Limits  struct {
		Memory int64   `json:"memory"`
		Cores  float64 `json:"cores"`
	} `json:"limits"`
	Bounds struct {
		Grace float64 `json:"grace"`
		Ratio float64 `json:"ratio"`
		Slack float64 `json:"slack"`
	} `json:"bounds"`
	Log string `json:"log"`
}

// meshPorts is how many ports a node uses between the first and the last.
const meshPorts = 2

// ParseMesh checks a settings file. file only appears in messages. The error
// joins a *CheckError for each fault that was found.
func ParseMesh(file string, src []byte) (*Mesh, error) {
	m := &Mesh{fields: meshFields{Log: DefaultLog}}
	doc, err := jsonc.Parse(file, src, meshSchema, &m.fields)
	if err != nil {
		return nil, err
	}
	var found []*CheckError
	if _, err := netip.ParseAddr(m.fields.IP); err != nil {
		found = append(found, doc.Errorf(jsonc.Path{"ip"}, "address %q: want an IP address", m.fields.IP))
	}
	if first, last := m.fields.Ports[0], m.fields.Ports[1]; last-first+1 < meshPorts {
		found = append(found, doc.Errorf(jsonc.Path{"ports"}, "%d to %d: want at least %d ports", first, last, meshPorts))
	}
	if err := jsonc.Join(found); err != nil {
		return nil, err
	}
	return m, nil
}

// VM returns the name of the VM.
func (m *Mesh) VM() string { return m.fields.VM }

// IP returns the IP address of the VM.
func (m *Mesh) IP() string { return m.fields.IP }

// Zone returns the availability zone.
func (m *Mesh) Zone() string { return m.fields.Zone }

// Region returns the region of the zone.
func (m *Mesh) Region() string { return m.fields.Region }

// Zones returns the region of each availability zone.
func (m *Mesh) Zones() map[string]string { return maps.Clone(m.fields.Zones) }

// Service returns the service of the backend server on the VM.
func (m *Mesh) Service() string { return m.fields.Service }

// Outbound returns the ip:port for requests that begin on the VM.
func (m *Mesh) Outbound() string { return m.fields.Listen.Outbound }

// Ready returns the ip:port for the question whether the node is ready.
func (m *Mesh) Ready() string { return m.fields.Listen.Ready }

// CallPort returns the port at which every node takes requests of other nodes.
func (m *Mesh) CallPort() int { return m.fields.Ports[0] }

// ControlPort returns the port at which every node serves JSON-RPC.
func (m *Mesh) ControlPort() int { return m.fields.Ports[0] + 1 }

// Operator returns the ip:port of the metrics.
func (m *Mesh) Operator() string { return m.fields.Listen.Operator }

// Backend returns the ip:port of the own backend server.
func (m *Mesh) Backend() string { return m.fields.Backend }

// Store returns the ip:port of the platform's store.
func (m *Mesh) Store() string { return m.fields.Store }

// Memory returns the memory that the process may use, in bytes.
func (m *Mesh) Memory() int64 { return m.fields.Limits.Memory << 20 }

// Cores returns the number of cores that the process may use.
func (m *Mesh) Cores() float64 { return m.fields.Limits.Cores }

// Grace returns the time from SIGTERM to SIGKILL.
func (m *Mesh) Grace() time.Duration {
	return time.Duration(m.fields.Bounds.Grace * float64(time.Second))
}

// Ratio returns the repeats that a service may get, as a share of its requests.
func (m *Mesh) Ratio() float64 { return m.fields.Bounds.Ratio }

// Slack returns the repeats that a service may get besides, over the whole graph.
func (m *Mesh) Slack() float64 { return m.fields.Bounds.Slack }

// Log returns the lowest log level: debug, info, warn or error.
func (m *Mesh) Log() string { return m.fields.Log }
