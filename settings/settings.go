package settings

import (
	_ "embed"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwoodhead/jsonc"
)

// Defaults of omitted fields.
const (
	// DefaultLogLevel is the lowest level of log lines that are written.
	DefaultLogLevel = "info"
	// DefaultDrainDelay lets callers observe that the node is leaving.
	DefaultDrainDelay = time.Second
	// DefaultDrainTimeout is several times the longest usual operation timeout.
	DefaultDrainTimeout = 30 * time.Second
	// DefaultBodyMemory is half of the 128 MB that a node may use.
	DefaultBodyMemory = 64 << 20

	maxDrainDelay   = time.Minute
	maxDrainTimeout = 10 * time.Minute
	maxZoneDelay    = 10 * time.Second
)

//go:embed settings.schema.json
var schemaSource []byte

var schema = jsonc.MustCompile("settings.schema.json", schemaSource)

// CheckError is an error in a settings file, with its position.
type CheckError = jsonc.CheckError

// Settings is a valid settings file. It is immutable.
type Settings struct {
	fields       fields
	drainDelay   time.Duration
	drainTimeout time.Duration
	zoneDelays   map[string]time.Duration
}

type fields struct {
	VM           string            `json:"vm"`
	Zone         string            `json:"zone"`
	Region       string            `json:"region"`
	Site         string            `json:"site"`
	Service      string            `json:"service"`
	Listen       listenFields      `json:"listen"`
	Backend      string            `json:"backend"`
	Platform     string            `json:"platform"`
	Seeds        []string          `json:"seeds"`
	LogLevel     string            `json:"log"`
	DrainDelay   string            `json:"linger"`
	DrainTimeout string            `json:"drain"`
	BodyMemory   int64             `json:"memory"`
	ZoneDelays   map[string]string `json:"delays"`
}

type listenFields struct {
	Caller   string `json:"caller"`
	Call     string `json:"call"`
	Control  string `json:"control"`
	Outbound string `json:"outbound"`
	Operator string `json:"operator"`
}

// Parse parses and validates a settings file. The file name is only used in
// messages. The error joins one *CheckError for each error in the file.
func Parse(file string, src []byte) (*Settings, error) {
	s := &Settings{
		fields: fields{
			LogLevel: DefaultLogLevel, BodyMemory: DefaultBodyMemory,
			DrainDelay: DefaultDrainDelay.String(), DrainTimeout: DefaultDrainTimeout.String(),
		},
		zoneDelays: make(map[string]time.Duration),
	}
	doc, err := jsonc.Parse(file, src, schema, &s.fields)
	if err != nil {
		return nil, err
	}
	c := &checker{doc: doc, listenerByAddr: make(map[string]string)}
	s.drainDelay = c.parseDuration(jsonc.Path{"linger"}, s.fields.DrainDelay, maxDrainDelay)
	s.drainTimeout = c.parseDuration(jsonc.Path{"drain"}, s.fields.DrainTimeout, maxDrainTimeout)
	for zone, d := range s.fields.ZoneDelays {
		s.zoneDelays[zone] = c.parseDuration(jsonc.Path{"delays", zone}, d, maxZoneDelay)
	}
	c.checkLoopback(jsonc.Path{"backend"}, s.fields.Backend)
	c.checkLoopback(jsonc.Path{"listen", "outbound"}, s.fields.Listen.Outbound)
	c.checkDistinct("caller", s.fields.Listen.Caller)
	c.checkDistinct("call", s.fields.Listen.Call)
	c.checkDistinct("control", s.fields.Listen.Control)
	c.checkDistinct("outbound", s.fields.Listen.Outbound)
	c.checkDistinct("operator", s.fields.Listen.Operator)
	if err := jsonc.Join(c.errs); err != nil {
		return nil, err
	}
	return s, nil
}

// checker collects errors that the schema cannot express.
type checker struct {
	doc  *jsonc.Document
	errs []*CheckError
	// listenerByAddr maps an address to the listener that uses it.
	listenerByAddr map[string]string
}

func (c *checker) parseDuration(path jsonc.Path, text string, limit time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > limit {
		c.errs = append(c.errs, c.doc.Errorf(path, "duration %s: want 0s to %s", text, limit))
	}
	return d
}

// checkLoopback rejects an address that is not loopback, because the interface
// between node and backend server is not protected.
func (c *checker) checkLoopback(path jsonc.Path, addr string) {
	if a, err := netip.ParseAddrPort(addr); err != nil || !a.Addr().IsLoopback() {
		c.errs = append(c.errs, c.doc.Errorf(path, "address %s: want a loopback address", addr))
	}
}

// checkDistinct rejects an address that another listener uses. Port 0 selects a
// free port and may appear several times.
func (c *checker) checkDistinct(listener, addr string) {
	if a, err := netip.ParseAddrPort(addr); err != nil || a.Port() == 0 {
		return
	}
	if other, ok := c.listenerByAddr[addr]; ok {
		path := jsonc.Path{"listen", listener}
		c.errs = append(c.errs, c.doc.Errorf(path, "address %s is also that of listener %s", addr, other))
		return
	}
	c.listenerByAddr[addr] = listener
}

// VM returns the name of the VM, as in the platform's list.
func (s *Settings) VM() string { return s.fields.VM }

// Zone returns the availability zone.
func (s *Settings) Zone() string { return s.fields.Zone }

// Region returns the region of the zone.
func (s *Settings) Region() string { return s.fields.Region }

// Site returns the site whose overlay applies.
func (s *Settings) Site() string { return s.fields.Site }

// Service returns the service of the backend server on the VM.
func (s *Settings) Service() string { return s.fields.Service }

// CallerAddr returns the ip:port for external calls.
func (s *Settings) CallerAddr() string { return s.fields.Listen.Caller }

// CallAddr returns the ip:port for calls from other nodes.
func (s *Settings) CallAddr() string { return s.fields.Listen.Call }

// ControlAddr returns the ip:port for JSON-RPC from other nodes.
func (s *Settings) ControlAddr() string { return s.fields.Listen.Control }

// OutboundAddr returns the loopback ip:port for calls by the backend server.
func (s *Settings) OutboundAddr() string { return s.fields.Listen.Outbound }

// OperatorAddr returns the ip:port of the operator interface.
func (s *Settings) OperatorAddr() string { return s.fields.Listen.Operator }

// BackendAddr returns the loopback ip:port of the local backend server.
func (s *Settings) BackendAddr() string { return s.fields.Backend }

// PlatformURL returns the base URL of the configuration service.
func (s *Settings) PlatformURL() string { return s.fields.Platform }

// Seeds returns the control addresses of other nodes from which the documents
// are read while the platform is down.
func (s *Settings) Seeds() []string { return slices.Clone(s.fields.Seeds) }

// LogLevel returns the lowest log level: debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.fields.LogLevel }

// DrainDelay returns how long a stopping node still serves as an ingress node.
func (s *Settings) DrainDelay() time.Duration { return s.drainDelay }

// DrainTimeout returns how long a stopping node waits for calls in progress.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// BodyMemory returns the budget for buffered bodies in bytes.
func (s *Settings) BodyMemory() int64 { return s.fields.BodyMemory }

// ZoneDelays returns the artificial one-way delay of calls to each named zone,
// empty in production.
func (s *Settings) ZoneDelays() map[string]time.Duration { return maps.Clone(s.zoneDelays) }
