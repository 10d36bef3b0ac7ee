package policy

import (
	"encoding/json"
	"slices"
)

// effective is the JSON form of a policy. Without site and zones it is a base
// document with every default set explicitly.
type effective struct {
	Site     string                      `json:"site,omitempty"`
	Tries    int                         `json:"tries"`
	Ratio    float64                     `json:"ratio"`
	Burst    int                         `json:"burst"`
	Body     int64                       `json:"body"`
	Depth    int                         `json:"depth"`
	Control  ControlMode                 `json:"control"`
	Classes  []string                    `json:"classes"`
	Services map[string]effectiveService `json:"services"`
	Zones    map[string]effectiveZone    `json:"zones,omitempty"`
}

type effectiveService struct {
	Slots       int                           `json:"slots"`
	Connections int                           `json:"connections"`
	Queue       int                           `json:"queue"`
	Share       float64                       `json:"share"`
	Spill       float64                       `json:"spill"`
	Operations  map[string]effectiveOperation `json:"operations"`
}

type effectiveOperation struct {
	Class      string   `json:"class"`
	Idempotent bool     `json:"idempotent"`
	Timeout    string   `json:"timeout"`
	Calls      []string `json:"calls"`
}

type effectiveZone struct {
	Delay string  `json:"delay"`
	Cost  float64 `json:"cost"`
}

// MarshalJSON returns the effective policy. Equal policies give equal bytes:
// names are sorted, and calls are in the order of the base document.
func (p *Policy) MarshalJSON() ([]byte, error) {
	e := effective{
		Site: p.site, Tries: p.maxPermits, Ratio: p.permitRatio, Burst: p.permitBurst,
		Body: p.maxBodyBytes, Depth: p.maxDepth, Control: p.controlMode,
		Classes:  slices.Clone(p.classes),
		Services: make(map[string]effectiveService, len(p.services)),
		Zones:    make(map[string]effectiveZone, len(p.zones)),
	}
	for name, s := range p.services {
		e.Services[name] = p.effectiveService(s)
	}
	for name, z := range p.zones {
		e.Zones[name] = effectiveZone{Delay: z.delay.String(), Cost: z.cost}
	}
	return json.Marshal(e)
}

func (p *Policy) effectiveService(s *Service) effectiveService {
	e := effectiveService{
		Slots: s.slots, Connections: s.maxConnections, Queue: s.queueCapacity,
		Share: s.dependencyShare, Spill: s.spillThreshold,
		Operations: make(map[string]effectiveOperation, len(s.operations)),
	}
	for name, o := range s.operations {
		calls := make([]string, len(o.calls))
		for i, c := range o.calls {
			calls[i] = c.String()
		}
		e.Operations[name] = effectiveOperation{
			Class: p.ClassName(o.class), Idempotent: o.idempotent,
			Timeout: o.timeout.String(), Calls: calls,
		}
	}
	return e
}
