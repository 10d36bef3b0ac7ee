package board

import (
	"iter"
	"slices"
	"strings"
)

// VM is one entry of the platform's VM list. It is immutable.
type VM struct {
	name        string
	zone        string
	region      string
	service     string
	callAddr    string
	controlAddr string
	slots       int
	leaving     bool
}

// VMFields is the encoded form of a VM.
type VMFields struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Region groups zones.
	Region string `json:"region"`
	// Service is the service that the backend server on the VM provides.
	Service string `json:"service"`
	// CallAddr is the node's ip:port for calls from other nodes.
	CallAddr string `json:"call"`
	// ControlAddr is the node's ip:port for JSON-RPC.
	ControlAddr string `json:"control"`
	// Slots is the number of calls that the backend server processes
	// concurrently; 0 if the list does not specify it.
	Slots int `json:"slots,omitempty"`
	// Leaving is set when the platform is about to remove the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// NewVM returns the VM with the given fields.
func NewVM(f VMFields) VM {
	return VM{
		name: f.Name, zone: f.Zone, region: f.Region, service: f.Service,
		callAddr: f.CallAddr, controlAddr: f.ControlAddr, slots: f.Slots, leaving: f.Leaving,
	}
}

// Fields returns the VM in the form for encoding.
func (v VM) Fields() VMFields {
	return VMFields{
		Name: v.name, Zone: v.zone, Region: v.region, Service: v.service,
		CallAddr: v.callAddr, ControlAddr: v.controlAddr, Slots: v.slots, Leaving: v.leaving,
	}
}

// Name returns the unique name.
func (v VM) Name() string { return v.name }

// Zone returns the availability zone.
func (v VM) Zone() string { return v.zone }

// Region returns the region.
func (v VM) Region() string { return v.region }

// Service returns the service of the backend server on the VM.
func (v VM) Service() string { return v.service }

// CallAddr returns the node's ip:port for calls from other nodes.
func (v VM) CallAddr() string { return v.callAddr }

// ControlAddr returns the node's ip:port for JSON-RPC.
func (v VM) ControlAddr() string { return v.controlAddr }

// Slots returns the number of calls that the backend server processes
// concurrently, 0 if the list does not specify it.
func (v VM) Slots() int { return v.slots }

// Leaving reports whether the list marks the VM as leaving.
func (v VM) Leaving() bool { return v.leaving }

// Members is an immutable snapshot of the VM list.
type Members struct {
	rev       uint64
	byName    map[string]VM
	byService map[string][]VM
	names     []string
}

// NewMembers returns a snapshot. Of entries with the same name, all but the first
// are dropped; otherwise the order of vms does not matter.
func NewMembers(rev uint64, vms []VM) *Members {
	m := &Members{rev: rev, byName: make(map[string]VM, len(vms)), byService: make(map[string][]VM)}
	for _, v := range vms {
		if _, dup := m.byName[v.name]; dup {
			continue
		}
		m.byName[v.name] = v
		m.names = append(m.names, v.name)
		m.byService[v.service] = append(m.byService[v.service], v)
	}
	slices.Sort(m.names)
	for _, group := range m.byService {
		slices.SortFunc(group, func(a, b VM) int { return strings.Compare(a.name, b.name) })
	}
	return m
}

// Rev returns the platform's revision of the list.
func (m *Members) Rev() uint64 { return m.rev }

// Len returns the number of VMs.
func (m *Members) Len() int { return len(m.names) }

// Get returns a VM by name.
func (m *Members) Get(name string) (VM, bool) {
	v, ok := m.byName[name]
	return v, ok
}

// ByService returns the VMs of a service, sorted by name. The slice must not be
// modified.
func (m *Members) ByService(name string) []VM { return m.byService[name] }

// All iterates over the VMs, sorted by name.
func (m *Members) All() iter.Seq[VM] {
	return func(yield func(VM) bool) {
		for _, name := range m.names {
			if !yield(m.byName[name]) {
				return
			}
		}
	}
}
