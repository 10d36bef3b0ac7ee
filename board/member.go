package board

import (
	"iter"
	"slices"
	"strings"
)

// VM is one entry of the platform's list.
type VM struct {
	name    string
	zone    string
	region  string
	service string
	call    string
	control string
	slots   int
	leaving bool
}

// VMFields lists the parts of a VM for NewVM.
type VMFields struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Region groups zones.
	Region string `json:"region"`
	// Service is what the backend server on the VM serves.
	Service string `json:"service"`
	// Call is the node's ip:port for calls from other nodes.
	Call string `json:"call"`
	// Control is the node's ip:port for JSON-RPC.
	Control string `json:"control"`
	// Slots is how many calls the backend server works on at a time; 0 where the
	// list does not say.
	Slots int `json:"slots,omitempty"`
	// Leaving says that the platform is about to take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}

// NewVM returns the entry.
func NewVM(f VMFields) VM {
	return VM{
		name: f.Name, zone: f.Zone, region: f.Region, service: f.Service,
		call: f.Call, control: f.Control, slots: f.Slots, leaving: f.Leaving,
	}
}

// Fields returns the parts of the entry, for encoding.
func (v VM) Fields() VMFields {
	return VMFields{
		Name: v.name, Zone: v.zone, Region: v.region, Service: v.service,
		Call: v.call, Control: v.control, Slots: v.slots, Leaving: v.leaving,
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

// Call returns the ip:port for calls.
func (v VM) Call() string { return v.call }

// Control returns the ip:port for JSON-RPC.
func (v VM) Control() string { return v.control }

// Slots returns how many calls the backend server works on at a time, 0 where
// the list does not say.
func (v VM) Slots() int { return v.slots }

// Leaving reports whether the list says that the VM is leaving.
func (v VM) Leaving() bool { return v.leaving }

// Members is an immutable snapshot of the VM list.
type Members struct {
	rev       uint64
	byName    map[string]VM
	byService map[string][]VM
	names     []string
}

// NewMembers returns a snapshot. Entries with a name that is already present
// are dropped; the order of the input does not matter otherwise.
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
	for _, s := range m.byService {
		slices.SortFunc(s, func(a, b VM) int { return strings.Compare(a.name, b.name) })
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

// Service returns the VMs of a service, sorted by name. The caller must not
// change the slice.
func (m *Members) Service(name string) []VM { return m.byService[name] }

// All iterates over the VMs, sorted by name.
func (m *Members) All() iter.Seq[VM] {
	return func(yield func(VM) bool) {
		for _, n := range m.names {
			if !yield(m.byName[n]) {
				return
			}
		}
	}
}
