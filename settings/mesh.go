package settings

import (
	_ "embed"
	"maps"
	"net/netip"
	"time"

	"dogwoodhead/jsonc"
)

//go:embed mesh.schema.json
var meshSchemaSource []byte

var meshSchema = jsonc.MustCompile("mesh.schema.json", meshSchemaSource)

// Mesh is a valid settings file of a node on the users' platform. It is
// immutable.
type Mesh struct {
	fields meshFields
}

type meshFields struct {
	VM          string            `json:"vm"`
	IP          string            `json:"ip"`
	Zone        string            `json:"zone"`
	Region      string            `json:"region"`
	ZoneRegions map[string]string `json:"zones"`
	Service     string            `json:"service"`
	Listen      struct {
		Outbound string `json:"outbound"`
		Ready    string `json:"ready"`
		Operator string `json:"operator"`
	} `json:"listen"`
	Ports   []int  `json:"ports"`
	Backend string `json:"backend"`
	Store   string `json:"store"`
	Limits  struct {
		MemoryMB    int64   `json:"memory"`
		Cores       float64 `json:"cores"`
		Descriptors int     `json:"descriptors"`
	} `json:"limits"`
	Bounds struct {
		GraceSeconds float64 `json:"grace"`
		RetryRatio   float64 `json:"ratio"`
		RetrySlack   float64 `json:"slack"`
	} `json:"bounds"`
	LogLevel string `json:"log"`
}

// minPorts is how many ports a node uses of the range in Ports.
const minPorts = 2

// ParseMesh parses and validates a settings file. The file name is only used in
// messages. The error joins one *CheckError for each error in the file.
func ParseMesh(file string, src []byte) (*Mesh, error) {
	m := &Mesh{fields: meshFields{LogLevel: DefaultLogLevel}}
	doc, err := jsonc.Parse(file, src, meshSchema, &m.fields)
	if err != nil {
		return nil, err
	}
	var errs []*CheckError
	if _, err := netip.ParseAddr(m.fields.IP); err != nil {
		errs = append(errs, doc.Errorf(jsonc.Path{"ip"}, "address %q: want an IP address", m.fields.IP))
	}
	if first, last := m.fields.Ports[0], m.fields.Ports[1]; last-first+1 < minPorts {
		errs = append(errs, doc.Errorf(jsonc.Path{"ports"}, "%d to %d: want at least %d ports", first, last, minPorts))
	}
	if err := jsonc.Join(errs); err != nil {
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

// ZoneRegions returns the region of each availability zone.
func (m *Mesh) ZoneRegions() map[string]string { return maps.Clone(m.fields.ZoneRegions) }

// Service returns the service of the backend server on the VM.
func (m *Mesh) Service() string { return m.fields.Service }

// OutboundAddr returns the ip:port for requests that originate on the VM.
func (m *Mesh) OutboundAddr() string { return m.fields.Listen.Outbound }

// ReadyAddr returns the ip:port of the readiness probe.
func (m *Mesh) ReadyAddr() string { return m.fields.Listen.Ready }

// CallPort returns the port on which every node accepts requests of other nodes.
func (m *Mesh) CallPort() int { return m.fields.Ports[0] }

// ControlPort returns the port on which every node serves JSON-RPC.
func (m *Mesh) ControlPort() int { return m.fields.Ports[0] + 1 }

// OperatorAddr returns the ip:port of the metrics.
func (m *Mesh) OperatorAddr() string { return m.fields.Listen.Operator }

// BackendAddr returns the ip:port of the local backend server.
func (m *Mesh) BackendAddr() string { return m.fields.Backend }

// StoreAddr returns the ip:port of the platform's store.
func (m *Mesh) StoreAddr() string { return m.fields.Store }

// MemoryLimit returns the memory that the process may use, in bytes.
func (m *Mesh) MemoryLimit() int64 { return m.fields.Limits.MemoryMB << 20 }

// Cores returns the number of cores that the process may use.
func (m *Mesh) Cores() float64 { return m.fields.Limits.Cores }

// Descriptors returns the descriptors that the process may have open, 0 if the
// settings state none.
func (m *Mesh) Descriptors() int { return m.fields.Limits.Descriptors }

// Grace returns the time from SIGTERM to SIGKILL.
func (m *Mesh) Grace() time.Duration {
	return time.Duration(m.fields.Bounds.GraceSeconds * float64(time.Second))
}

// RetryRatio returns the retries that a service may get per request.
func (m *Mesh) RetryRatio() float64 { return m.fields.Bounds.RetryRatio }

// RetrySlack returns the retries that a service may get in addition to the ratio,
// over the whole call graph.
func (m *Mesh) RetrySlack() float64 { return m.fields.Bounds.RetrySlack }

// LogLevel returns the lowest log level: debug, info, warn or error.
func (m *Mesh) LogLevel() string { return m.fields.LogLevel }
