package policy

import (
	"iter"
	"slices"
	"time"

	"dogwoodhead/frame"
)

// Control switches between the full system and the baselines that it is
// measured against.
type Control string

// Values of Control.
const (
	// ControlFull is the product's behaviour.
	ControlFull Control = "full"
	// ControlNone has no admission control, no shedding and no retries.
	ControlNone Control = "none"
	// ControlFixed has no admission control and up to 3 attempts at every hop.
	ControlFixed Control = "fixed"
	// ControlRatio has no admission control and a retry budget per hop.
	ControlRatio Control = "ratio"
)

// Policy is the merged configuration of one site. It is immutable.
type Policy struct {
	site     string
	tries    int
	ratio    float64
	burst    int
	body     int64
	depth    int
	control  Control
	classes  []string
	services map[string]*Service
	zones    map[string]Zone
}

// Site returns the site of the overlay.
func (p *Policy) Site() string { return p.site }

// Tries returns the retry permits that a root call may carry.
func (p *Policy) Tries() int { return p.tries }

// Ratio returns the retry permits earned per root call.
func (p *Policy) Ratio() float64 { return p.ratio }

// Burst returns the size of the entry bucket in permits.
func (p *Policy) Burst() int { return p.burst }

// Body returns the largest request or answer body in bytes.
func (p *Policy) Body() int64 { return p.body }

// Depth returns the largest declared depth of the graph.
func (p *Policy) Depth() int { return p.depth }

// Control returns the mode.
func (p *Policy) Control() Control { return p.control }

// Classes returns the class names, the most important first.
func (p *Policy) Classes() []string { return slices.Clone(p.classes) }

// ClassName returns the name of a class, "other" for an index that is not declared.
func (p *Policy) ClassName(class int) string {
	if class < 0 || class >= len(p.classes) {
		return "other"
	}
	return p.classes[class]
}

// Class returns the index of a class.
func (p *Policy) Class(name string) (int, bool) {
	i := slices.Index(p.classes, name)
	return i, i >= 0
}

// LowestClass returns the index of the least important class.
func (p *Policy) LowestClass() int { return len(p.classes) - 1 }

// Service returns a service by name.
func (p *Policy) Service(name string) (*Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Services iterates over the services, sorted by name.
func (p *Policy) Services() iter.Seq[*Service] {
	names := make([]string, 0, len(p.services))
	for n := range p.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return func(yield func(*Service) bool) {
		for _, n := range names {
			if !yield(p.services[n]) {
				return
			}
		}
	}
}

// Operation returns a declared operation.
func (p *Policy) Operation(t frame.Target) (*Operation, bool) {
	s, ok := p.services[t.Service()]
	if !ok {
		return nil, false
	}
	return s.Operation(t.Operation())
}

// Zone returns the site's settings for an availability zone; the zero value
// where the overlay has none.
func (p *Policy) Zone(name string) Zone { return p.zones[name] }

// Service is one service of the graph, adjusted by the overlay.
type Service struct {
	name        string
	slots       int
	connections int
	queue       int
	share       float64
	spill       float64
	operations  map[string]*Operation
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Slots returns how many calls one backend server works on at a time.
func (s *Service) Slots() int { return s.slots }

// Connections returns how many connections one backend server accepts.
func (s *Service) Connections() int { return s.connections }

// Queue returns the length of the admission queue.
func (s *Service) Queue() int { return s.queue }

// Share returns the part of the slots that calls waiting on one dependency may hold.
func (s *Service) Share() float64 { return s.share }

// Spill returns the own-zone utilisation above which other zones are used.
func (s *Service) Spill() float64 { return s.spill }

// Operation returns an operation by name.
func (s *Service) Operation(name string) (*Operation, bool) {
	o, ok := s.operations[name]
	return o, ok
}

// Operations iterates over the operations, sorted by name.
func (s *Service) Operations() iter.Seq[*Operation] {
	names := make([]string, 0, len(s.operations))
	for n := range s.operations {
		names = append(names, n)
	}
	slices.Sort(names)
	return func(yield func(*Operation) bool) {
		for _, n := range names {
			if !yield(s.operations[n]) {
				return
			}
		}
	}
}

// Operation is one operation of a service.
type Operation struct {
	target     frame.Target
	class      int
	idempotent bool
	timeout    time.Duration
	calls      []frame.Target
	// subtree holds every operation reachable from this one, itself first,
	// each once. It is computed when the base is accepted.
	subtree []frame.Target
	// dependencies names the services in calls, each once. It is computed with
	// subtree, because every admission asks for it.
	dependencies []string
}

// Target returns the service and operation name.
func (o *Operation) Target() frame.Target { return o.target }

// Class returns the index of the operation's class.
func (o *Operation) Class() int { return o.class }

// Idempotent reports whether running the operation twice does no harm.
func (o *Operation) Idempotent() bool { return o.idempotent }

// Timeout returns how long a call may take at most.
func (o *Operation) Timeout() time.Duration { return o.timeout }

// Calls returns the operations that this one calls directly. The caller must
// not change the slice.
func (o *Operation) Calls() []frame.Target { return o.calls }

// Dependencies returns the services that the operation calls directly, each
// once. The caller must not change the slice.
func (o *Operation) Dependencies() []string { return o.dependencies }

// Subtree returns every operation reachable from this one, itself first. The
// caller must not change the slice.
func (o *Operation) Subtree() []frame.Target { return o.subtree }

// Leaf reports whether the operation calls no other.
func (o *Operation) Leaf() bool { return len(o.calls) == 0 }

// Declares reports whether the operation may call t.
func (o *Operation) Declares(t frame.Target) bool { return slices.Contains(o.calls, t) }

// Zone holds a site's settings for one availability zone.
type Zone struct {
	delay time.Duration
	cost  float64
}

// Delay returns the one-way delay to the site's other zones.
func (z Zone) Delay() time.Duration { return z.delay }

// Cost returns the relative cost of using the zone from another one; 0 counts as 1.
func (z Zone) Cost() float64 { return z.cost }
