package policy

import (
	_ "embed"
	"slices"
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/jsonc"
)

// Defaults of fields that a base document leaves out.
const (
	DefaultTries   = 3
	DefaultRatio   = 0.1
	DefaultBurst   = 100
	DefaultBody    = 1 << 20
	DefaultDepth   = 14
	DefaultControl = ControlFull
	DefaultShare   = 0.5
	DefaultSpill   = 0.8
	DefaultTimeout = 2 * time.Second
	// defaultConnections is the number of connections per slot: enough for the
	// calls in progress, those in the queue and those being opened or closed.
	defaultConnections = 4
	// defaultQueue is the number of slots per queue entry. A queue of half the
	// slots adds half a service time to the wait at most.
	defaultQueue = 2
	// maxTimeout bounds how long a call can hold a slot.
	maxTimeout = 10 * time.Minute
)

//go:embed base.schema.json
var baseSource []byte

var baseSchema = jsonc.MustCompile("base.schema.json", baseSource)

// CheckError says why a document is refused and where.
type CheckError = jsonc.CheckError

// Base is an accepted base document. It is immutable.
type Base struct {
	doc    *jsonc.Document
	fields baseFields
	// graph holds the declared operations with their subtrees. All policies
	// merged from this base share them.
	graph map[string]map[string]*Operation
}

type baseFields struct {
	Tries    *int                     `json:"tries"`
	Ratio    *float64                 `json:"ratio"`
	Burst    *int                     `json:"burst"`
	Body     *int64                   `json:"body"`
	Depth    *int                     `json:"depth"`
	Control  *Control                 `json:"control"`
	Classes  []string                 `json:"classes"`
	Zones    []string                 `json:"zones"`
	Services map[string]serviceFields `json:"services"`
}

type serviceFields struct {
	adjustFields
	Operations map[string]operationFields `json:"operations"`
}

// adjustFields are the fields of a service that an overlay may replace.
type adjustFields struct {
	Slots       *int     `json:"slots"`
	Connections *int     `json:"connections"`
	Queue       *int     `json:"queue"`
	Share       *float64 `json:"share"`
	Spill       *float64 `json:"spill"`
}

type operationFields struct {
	Class      string   `json:"class"`
	Idempotent bool     `json:"idempotent"`
	Timeout    *string  `json:"timeout"`
	Calls      []string `json:"calls"`
}

// ParseBase checks a base document. file only appears in messages. The error
// joins a *CheckError for each fault that was found.
func ParseBase(file string, src []byte) (*Base, error) {
	b := &Base{}
	doc, err := jsonc.Parse(file, src, baseSchema, &b.fields)
	if err != nil {
		return nil, err
	}
	b.doc = doc
	g := &graph{
		doc:        doc,
		depth:      orDefault(b.fields.Depth, DefaultDepth),
		operations: make(map[frame.Target]*Operation),
	}
	for name, s := range b.fields.Services {
		g.found = append(g.found, checkSlots(doc, jsonc.Path{"services", name}, s.adjustFields)...)
		g.declare(name, s.Operations, b.fields.Classes)
	}
	g.check()
	if err := jsonc.Join(g.found); err != nil {
		return nil, err
	}
	b.graph = g.byService()
	return b, nil
}

// checkSlots refuses slots that no connection can reach.
func checkSlots(doc *jsonc.Document, at jsonc.Path, f adjustFields) []*CheckError {
	if f.Slots == nil || f.Connections == nil || *f.Slots <= *f.Connections {
		return nil
	}
	return []*CheckError{doc.Errorf(at.With("slots"), "%d slots are more than %d connections", *f.Slots, *f.Connections)}
}

// declaresZone reports whether an overlay may name the zone without a warning.
func (b *Base) declaresZone(name string) bool {
	return len(b.fields.Zones) == 0 || slices.Contains(b.fields.Zones, name)
}

// orDefault returns the value that p points to, or the default.
func orDefault[T any](p *T, otherwise T) T {
	if p == nil {
		return otherwise
	}
	return *p
}
