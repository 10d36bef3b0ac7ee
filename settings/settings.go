package settings

import (
	_ "embed"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwoodhead/jsonc"
)

// Defaults of fields that a settings file leaves out.
const (
	// DefaultLog is the lowest level of log lines that are written.
	DefaultLog = "info"
	// DefaultLinger gives callers the time to learn that the node is leaving.
	DefaultLinger = time.Second
	// DefaultDrain covers the longest usual timeout of an operation several times.
	DefaultDrain = 30 * time.Second
	// DefaultMemory is half of the 128 MB that a node may use.
	DefaultMemory = 64 << 20

	maxLinger = time.Minute
	maxDrain  = 10 * time.Minute
	maxDelay  = 10 * time.Second
)

//go:embed settings.schema.json
var schemaSource []byte

var schema = jsonc.MustCompile("settings.schema.json", schemaSource)

// CheckError says why a settings file is refused and where.
type CheckError = jsonc.CheckError

// Settings is an accepted settings file. It is immutable.
type Settings struct {
	fields fields
	linger time.Duration
	drain  time.Duration
	delays map[string]time.Duration
}

type fields struct {
	VM       string            `json:"vm"`
	Zone     string            `json:"zone"`
	Region   string            `json:"region"`
	Site     string            `json:"site"`
	Service  string            `json:"service"`
	Listen   listenFields      `json:"listen"`
	Backend  string            `json:"backend"`
	Platform string            `json:"platform"`
	Seeds    []string          `json:"seeds"`
	Log      string            `json:"log"`
	Linger   string            `json:"linger"`
	Drain    string            `json:"drain"`
	Memory   int64             `json:"memory"`
	Delays   map[string]string `json:"delays"`
}

type listenFields struct {
	Caller   string `json:"caller"`
	Call     string `json:"call"`
	Control  string `json:"control"`
	Outbound string `json:"outbound"`
	Operator string `json:"operator"`
}

// Parse checks a settings file. file only appears in messages. The error joins
// a *CheckError for each fault that was found.
func Parse(file string, src []byte) (*Settings, error) {
	s := &Settings{
		fields: fields{
			Log: DefaultLog, Memory: DefaultMemory,
			Linger: DefaultLinger.String(), Drain: DefaultDrain.String(),
		},
		delays: make(map[string]time.Duration),
	}
	doc, err := jsonc.Parse(file, src, schema, &s.fields)
	if err != nil {
		return nil, err
	}
	c := &checker{doc: doc, seen: make(map[string]string)}
	s.linger = c.duration(jsonc.Path{"linger"}, s.fields.Linger, maxLinger)
	s.drain = c.duration(jsonc.Path{"drain"}, s.fields.Drain, maxDrain)
	for zone, d := range s.fields.Delays {
		s.delays[zone] = c.duration(jsonc.Path{"delays", zone}, d, maxDelay)
	}
	c.loopback(jsonc.Path{"backend"}, s.fields.Backend)
	c.loopback(jsonc.Path{"listen", "outbound"}, s.fields.Listen.Outbound)
	c.distinct("caller", s.fields.Listen.Caller)
	c.distinct("call", s.fields.Listen.Call)
	c.distinct("control", s.fields.Listen.Control)
	c.distinct("outbound", s.fields.Listen.Outbound)
	c.distinct("operator", s.fields.Listen.Operator)
	if err := jsonc.Join(c.found); err != nil {
		return nil, err
	}
	return s, nil
}

// checker collects faults that the schema cannot express.
type checker struct {
	doc   *jsonc.Document
	found []*CheckError
	// seen maps an address to the listener that uses it.
	seen map[string]string
}

func (c *checker) duration(at jsonc.Path, text string, limit time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > limit {
		c.found = append(c.found, c.doc.Errorf(at, "duration %s: want 0s to %s", text, limit))
	}
	return d
}

// loopback refuses other addresses: the interface between node and backend
// server has no protection of its own.
func (c *checker) loopback(at jsonc.Path, address string) {
	if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
		c.found = append(c.found, c.doc.Errorf(at, "address %s: want a loopback address", address))
	}
}

// distinct refuses an address that another listener uses. Port 0 asks the
// system for a free port and may appear several times.
func (c *checker) distinct(listener, address string) {
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
		return
	}
	if other, ok := c.seen[address]; ok {
		at := jsonc.Path{"listen", listener}
		c.found = append(c.found, c.doc.Errorf(at, "address %s is also that of listener %s", address, other))
		return
	}
	c.seen[address] = listener
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

// Caller returns the ip:port for external calls.
func (s *Settings) Caller() string { return s.fields.Listen.Caller }

// Call returns the ip:port for calls from other nodes.
func (s *Settings) Call() string { return s.fields.Listen.Call }

// Control returns the ip:port for JSON-RPC from other nodes.
func (s *Settings) Control() string { return s.fields.Listen.Control }

// Outbound returns the loopback ip:port for outbound calls of the backend server.
func (s *Settings) Outbound() string { return s.fields.Listen.Outbound }

// Operator returns the ip:port of the operator interface.
func (s *Settings) Operator() string { return s.fields.Listen.Operator }

// Backend returns the loopback ip:port of the own backend server.
func (s *Settings) Backend() string { return s.fields.Backend }

// Platform returns the base URL of the configuration service.
func (s *Settings) Platform() string { return s.fields.Platform }

// Seeds returns the control addresses of other nodes that are asked for the
// documents while the platform is down.
func (s *Settings) Seeds() []string { return slices.Clone(s.fields.Seeds) }

// Log returns the lowest log level: debug, info, warn or error.
func (s *Settings) Log() string { return s.fields.Log }

// Linger returns how long a stopping node still answers as entry node.
func (s *Settings) Linger() time.Duration { return s.linger }

// Drain returns the longest wait of a stopping node for calls in progress.
func (s *Settings) Drain() time.Duration { return s.drain }

// Memory returns the budget for buffered bodies in bytes.
func (s *Settings) Memory() int64 { return s.fields.Memory }

// Delays returns the artificial one-way delay of calls to each named zone,
// empty in production.
func (s *Settings) Delays() map[string]time.Duration { return maps.Clone(s.delays) }
