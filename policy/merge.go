package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dogwoodhead/jsonc"
)

// Warning names an entry of an overlay that has no effect or only a part of it.
type Warning struct {
	jsonc.Position
	path   string
	reason string
}

// Path returns the JSON pointer of the entry.
func (w Warning) Path() string { return w.path }

// Reason returns the cause in words.
func (w Warning) Reason() string { return w.reason }

// String returns "file:line:column: path: reason".
func (w Warning) String() string {
	return fmt.Sprintf("%s: %s: %s", w.Position, w.path, w.reason)
}

// Merge returns the policy of a site; o may be nil. It is total: any accepted
// base and overlay give a valid policy. The result and the warnings, which are
// in the order of the source, depend on the two documents alone.
func Merge(b *Base, o *Overlay) (*Policy, []Warning) {
	if o == nil {
		o = &Overlay{}
	}
	m := &merger{base: b, overlay: o}
	p := &Policy{
		site:     o.fields.Site,
		tries:    orDefault(first(o.fields.Tries, b.fields.Tries), DefaultTries),
		ratio:    orDefault(first(o.fields.Ratio, b.fields.Ratio), DefaultRatio),
		burst:    orDefault(first(o.fields.Burst, b.fields.Burst), DefaultBurst),
		body:     orDefault(b.fields.Body, DefaultBody),
		depth:    orDefault(b.fields.Depth, DefaultDepth),
		control:  orDefault(b.fields.Control, DefaultControl),
		classes:  slices.Clone(b.fields.Classes),
		services: make(map[string]*Service, len(b.fields.Services)),
		zones:    maps.Clone(o.zones),
	}
	for name, f := range b.fields.Services {
		p.services[name] = m.service(name, f.adjustFields, o.fields.Services[name])
	}
	m.unknown()
	slices.SortFunc(m.warnings, func(x, y Warning) int {
		return cmp.Or(cmp.Compare(x.Line(), y.Line()), cmp.Compare(x.Column(), y.Column()), cmp.Compare(x.reason, y.reason))
	})
	return p, m.warnings
}

// first returns the first pointer that is set, nil where none is.
func first[T any](ps ...*T) *T { return cmp.Or(ps...) }

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

// service merges one service. A base and an overlay that are valid on their own
// can together have more slots than connections; the slots are then cut,
// because the backend server cannot take more calls than connections.
func (m *merger) service(name string, b, o adjustFields) *Service {
	slots := *first(o.Slots, b.Slots)
	connections := orDefault(first(o.Connections, b.Connections), defaultConnections*slots)
	if slots > connections {
		m.warn(jsonc.Path{"services", name}, "%d slots are cut to %d, the number of connections", slots, connections)
		slots = connections
	}
	return &Service{
		name:        name,
		slots:       slots,
		connections: connections,
		queue:       orDefault(first(o.Queue, b.Queue), max(slots/defaultQueue, 1)),
		share:       orDefault(first(o.Share, b.Share), DefaultShare),
		spill:       orDefault(first(o.Spill, b.Spill), DefaultSpill),
		operations:  m.base.graph[name],
	}
}

// unknown warns of entries for services and zones that the base does not declare.
func (m *merger) unknown() {
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
