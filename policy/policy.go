package policy

import (
	"iter"
	"slices"
	"time"

	"dogwoodhead/frame"
)

// ControlMode selects full overload control or one of the baselines that it is
// compared with in measurements.
type ControlMode string

// Values of ControlMode.
const (
	// ControlFull enables all overload control.
	ControlFull ControlMode = "full"
	// ControlNone has no admission control, no shedding and no retries.
	ControlNone ControlMode = "none"
	// ControlFixed has no admission control and up to 3 attempts per hop.
	ControlFixed ControlMode = "fixed"
	// ControlRatio has no admission control and a retry budget per hop.
	ControlRatio ControlMode = "ratio"
)

// Policy is the merged configuration of one site. It is immutable.
type Policy struct {
	site         string
	maxPermits   int
	permitRatio  float64
	permitBurst  int
	maxBodyBytes int64
	maxDepth     int
	controlMode  ControlMode
	classes      []string
	services     map[string]*Service
	zones        map[string]Zone
}

// Site returns the site of the overlay.
func (p *Policy) Site() string { return p.site }

// MaxPermits returns how many retry permits a root call may carry.
func (p *Policy) MaxPermits() int { return p.maxPermits }

// PermitRatio returns how many retry permits a root call earns.
func (p *Policy) PermitRatio() float64 { return p.permitRatio }

// PermitBurst returns the capacity of an ingress node's permit bucket.
func (p *Policy) PermitBurst() int { return p.permitBurst }

// MaxBodyBytes returns the size limit of request and response bodies.
func (p *Policy) MaxBodyBytes() int64 { return p.maxBodyBytes }

// MaxDepth returns the depth limit of the call graph, in operations.
func (p *Policy) MaxDepth() int { return p.maxDepth }

// ControlMode returns the mode of overload control.
func (p *Policy) ControlMode() ControlMode { return p.controlMode }

// Classes returns the class names, the highest priority first.
func (p *Policy) Classes() []string { return slices.Clone(p.classes) }

// ClassName returns the name of a class, or "other" for an undeclared index.
func (p *Policy) ClassName(class int) string {
	if class < 0 || class >= len(p.classes) {
		return "other"
	}
	return p.classes[class]
}

// ClassIndex returns the index of a class and whether it is declared.
func (p *Policy) ClassIndex(name string) (int, bool) {
	i := slices.Index(p.classes, name)
	return i, i >= 0
}

// LowestClass returns the index of the lowest-priority class.
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

// Zone returns the site's settings for an availability zone, the zero value if
// the overlay has none.
func (p *Policy) Zone(name string) Zone { return p.zones[name] }

// Service is one service of the call graph, with the overlay's values applied.
type Service struct {
	name            string
	slots           int
	maxConnections  int
	queueCapacity   int
	dependencyShare float64
	spillThreshold  float64
	operations      map[string]*Operation
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Slots returns how many calls one backend server processes concurrently.
func (s *Service) Slots() int { return s.slots }

// MaxConnections returns how many connections one backend server accepts.
func (s *Service) MaxConnections() int { return s.maxConnections }

// QueueCapacity returns the configured length of the admission queue.
func (s *Service) QueueCapacity() int { return s.queueCapacity }

// DependencyShare returns the fraction of the slots that calls waiting on one
// dependency may occupy.
func (s *Service) DependencyShare() float64 { return s.dependencyShare }

// SpillThreshold returns the local zone's utilisation above which other zones are
// used too.
func (s *Service) SpillThreshold() float64 { return s.spillThreshold }

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
	// reachable holds every operation reachable from this one, itself first,
	// each once. It is computed when the base is parsed.
	reachable []frame.Target
	// dependencies names the services in calls, each once. It is precomputed,
	// because every admission needs it.
	dependencies []string
}

// Target returns the service and operation name.
func (o *Operation) Target() frame.Target { return o.target }

// Class returns the index of the operation's class.
func (o *Operation) Class() int { return o.class }

// Idempotent reports whether the operation can safely run twice.
func (o *Operation) Idempotent() bool { return o.idempotent }

// Timeout returns the maximum duration of a call.
func (o *Operation) Timeout() time.Duration { return o.timeout }

// Calls returns the operations that this one calls directly. The slice must not
// be modified.
func (o *Operation) Calls() []frame.Target { return o.calls }

// Dependencies returns the services that the operation calls directly, each
// once. The slice must not be modified.
func (o *Operation) Dependencies() []string { return o.dependencies }

// Reachable returns every operation reachable from this one, itself first. The
// slice must not be modified.
func (o *Operation) Reachable() []frame.Target { return o.reachable }

// IsLeaf reports whether the operation calls no others.
func (o *Operation) IsLeaf() bool { return len(o.calls) == 0 }

// DeclaresCall reports whether the operation is declared to call t.
func (o *Operation) DeclaresCall(t frame.Target) bool { return slices.Contains(o.calls, t) }

// Zone holds a site's settings for one availability zone.
type Zone struct {
	delay time.Duration
	cost  float64
}

// Delay returns the one-way delay to the site's other zones.
func (z Zone) Delay() time.Duration { return z.delay }

// Cost returns the relative cost of using the zone from another one; 0 means 1.
func (z Zone) Cost() float64 { return z.cost }
