package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dogwoodhead/jsonc"
)

// Warning describes an overlay entry that has no effect or is only partly applied.
type Warning struct {
	jsonc.Position
	path   string
	reason string
}

// Path returns the JSON pointer of the entry.
func (w Warning) Path() string { return w.path }

// Reason returns the cause as text.
func (w Warning) Reason() string { return w.reason }

// String returns "file:line:column: path: reason".
func (w Warning) String() string {
	return fmt.Sprintf("%s: %s: %s", w.Position, w.path, w.reason)
}

// Merge returns the policy of a site; o may be nil. Any valid base and overlay
// give a valid policy. The policy and the warnings, which are in source order,
// depend only on the two documents.
func Merge(b *Base, o *Overlay) (*Policy, []Warning) {
	if o == nil {
		o = &Overlay{}
	}
	m := &merger{base: b, overlay: o}
	p := &Policy{
		site:         o.fields.Site,
		maxPermits:   orDefault(firstSet(o.fields.Tries, b.fields.Tries), DefaultMaxPermits),
		permitRatio:  orDefault(firstSet(o.fields.Ratio, b.fields.Ratio), DefaultPermitRatio),
		permitBurst:  orDefault(firstSet(o.fields.Burst, b.fields.Burst), DefaultPermitBurst),
		maxBodyBytes: orDefault(b.fields.Body, DefaultMaxBodyBytes),
		maxDepth:     orDefault(b.fields.Depth, DefaultMaxDepth),
		controlMode:  orDefault(b.fields.Control, DefaultControlMode),
		classes:      slices.Clone(b.fields.Classes),
		services:     make(map[string]*Service, len(b.fields.Services)),
		zones:        maps.Clone(o.zones),
	}
	for name, f := range b.fields.Services {
		p.services[name] = m.service(name, f.overridableFields, o.fields.Services[name])
	}
	m.warnUndeclared()
	slices.SortFunc(m.warnings, func(x, y Warning) int {
		return cmp.Or(cmp.Compare(x.Line(), y.Line()), cmp.Compare(x.Column(), y.Column()), cmp.Compare(x.reason, y.reason))
	})
	return p, m.warnings
}

// firstSet returns the first non-nil pointer, or nil if there is none.
func firstSet[T any](ps ...*T) *T { return cmp.Or(ps...) }

type merger struct {
	base     *Base
	overlay  *Overlay
	warnings []Warning
}

func (m *merger) warn(at jsonc.Path, format string, args ...any) {
	m.warnings = append(m.warnings, Warning{
		Position: m.overlay.doc.Position(at),
		path:     at.String(),
		reason:   fmt.Sprintf(format, args...),
	})
}

// service merges one service. A valid base and a valid overlay can together have
// more slots than connections. The slots are then reduced, because the backend
// server cannot accept more calls than connections.
func (m *merger) service(name string, b, o overridableFields) *Service {
	slots := *firstSet(o.Slots, b.Slots)
	connections := orDefault(firstSet(o.Connections, b.Connections), connectionsPerSlot*slots)
	if slots > connections {
		m.warn(jsonc.Path{"services", name}, "%d slots are cut to %d, the number of connections", slots, connections)
		slots = connections
	}
	return &Service{
		name:            name,
		slots:           slots,
		maxConnections:  connections,
		queueCapacity:   orDefault(firstSet(o.Queue, b.Queue), max(slots/slotsPerQueueEntry, 1)),
		dependencyShare: orDefault(firstSet(o.Share, b.Share), DefaultDependencyShare),
		spillThreshold:  orDefault(firstSet(o.Spill, b.Spill), DefaultSpillThreshold),
		operations:      m.base.operations[name],
	}
}

// warnUndeclared warns about services and zones that the base does not declare.
func (m *merger) warnUndeclared() {
	for name := range m.overlay.fields.Services {
		if _, ok := m.base.fields.Services[name]; !ok {
			m.warn(jsonc.Path{"services", name}, "service %s is not declared by the base: the entry has no effect", name)
		}
	}
	for name := range m.overlay.fields.Zones {
		if !m.base.declaresZone(name) {
			m.warn(jsonc.Path{"zones", name}, "zone %s is not declared by the base", name)
		}
	}
}
