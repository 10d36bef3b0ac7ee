package policy

import (
	_ "embed"
	"slices"
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/jsonc"
)

// Defaults of fields that a base document omits.
const (
	DefaultMaxPermits      = 3
	DefaultPermitRatio     = 0.1
	DefaultPermitBurst     = 100
	DefaultMaxBodyBytes    = 1 << 20
	DefaultMaxDepth        = 14
	DefaultControlMode     = ControlFull
	DefaultDependencyShare = 0.5
	DefaultSpillThreshold  = 0.8
	DefaultTimeout         = 2 * time.Second
	// connectionsPerSlot covers the calls in progress, the queued calls and the
	// connections being opened or closed.
	connectionsPerSlot = 4
	// slotsPerQueueEntry makes the queue half as long as the number of slots, which
	// adds at most half a service time to the wait.
	slotsPerQueueEntry = 2
	// maxTimeout limits how long a call can occupy a slot.
	maxTimeout = 10 * time.Minute
)

//go:embed base.schema.json
var baseSchemaSource []byte

var baseSchema = jsonc.MustCompile("base.schema.json", baseSchemaSource)

// CheckError is an error in a document, with its position.
type CheckError = jsonc.CheckError

// Base is a valid base document. It is immutable.
type Base struct {
	doc    *jsonc.Document
	fields baseFields
	// operations holds the declared operations by service and operation name. All
	// policies merged from this base share them.
	operations map[string]map[string]*Operation
}

type baseFields struct {
	Tries    *int                     `json:"tries"`
	Ratio    *float64                 `json:"ratio"`
	Burst    *int                     `json:"burst"`
	Body     *int64                   `json:"body"`
	Depth    *int                     `json:"depth"`
	Control  *ControlMode             `json:"control"`
	Classes  []string                 `json:"classes"`
	Zones    []string                 `json:"zones"`
	Services map[string]serviceFields `json:"services"`
}

type serviceFields struct {
	overridableFields
	Operations map[string]operationFields `json:"operations"`
}

// overridableFields are the fields of a service that an overlay may override.
type overridableFields struct {
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

// ParseBase parses and validates a base document. The file name is only used in
// messages. The error joins one *CheckError for each error in the document.
func ParseBase(file string, src []byte) (*Base, error) {
	b := &Base{}
	doc, err := jsonc.Parse(file, src, baseSchema, &b.fields)
	if err != nil {
		return nil, err
	}
	b.doc = doc
	g := &graph{
		doc:        doc,
		maxDepth:   orDefault(b.fields.Depth, DefaultMaxDepth),
		operations: make(map[frame.Target]*Operation),
	}
	for name, s := range b.fields.Services {
		g.errors = append(g.errors, checkSlotLimit(doc, jsonc.Path{"services", name}, s.overridableFields)...)
		g.declare(name, s.Operations, b.fields.Classes)
	}
	g.checkCalls()
	if err := jsonc.Join(g.errors); err != nil {
		return nil, err
	}
	b.operations = g.operationsByService()
	return b, nil
}

// checkSlotLimit reports more slots than connections, which could never all be used.
func checkSlotLimit(doc *jsonc.Document, at jsonc.Path, f overridableFields) []*CheckError {
	if f.Slots == nil || f.Connections == nil || *f.Slots <= *f.Connections {
		return nil
	}
	return []*CheckError{doc.Errorf(at.With("slots"), "%d slots are more than %d connections", *f.Slots, *f.Connections)}
}

// declaresZone reports whether the base declares a zone or has no list of zones.
func (b *Base) declaresZone(name string) bool {
	return len(b.fields.Zones) == 0 || slices.Contains(b.fields.Zones, name)
}

// orDefault returns the value that p points to, or the default.
func orDefault[T any](p *T, defaultValue T) T {
	if p == nil {
		return defaultValue
	}
	return *p
}
