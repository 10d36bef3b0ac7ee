package route

import (
	"time"

	"dogwoodhead/board"
)

// View is what the chooser knows of one service, for status and explain.
type View struct {
	Service string `json:"service"`
	// Zone is the own zone, Utilisation its estimated load divided by its limit
	// over the VMs that are not leaving, 0 where there is none.
	Zone        string  `json:"zone"`
	Utilisation float64 `json:"utilisation"`
	// Spill is the utilisation above which other zones are used.
	Spill float64    `json:"spill"`
	Peers []PeerView `json:"peers"`
}

// PeerView is one VM of the service.
type PeerView struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation,omitempty"`
	// Load is the reported load as used/limit, Age how old the report is in
	// milliseconds; both are empty before the first report.
	Load string `json:"load,omitempty"`
	Age  int64  `json:"age,omitempty"`
	// Utilisation is the estimate that choices use.
	Utilisation float64 `json:"utilisation"`
	Inflight    int     `json:"inflight"`
	Leaving     bool    `json:"leaving"`
	// Avoid is how long the peer is still avoided, in milliseconds.
	Avoid    int64 `json:"avoid"`
	Failures int   `json:"failures"`
}

// View returns what is known of the VMs of a service, sorted by name.
func (c *Chooser) View(service string) View {
	now := c.clock.Now()
	slots := c.slots(service)
	v := View{Service: service, Zone: c.board.Self().VM().Zone(), Spill: c.spill(service), Peers: []PeerView{}}
	var used, limit float64
	for _, vm := range c.board.Members().Service(service) {
		p, _ := c.board.Peers().Get(vm.Name())
		e := newCandidate(&vm, p, now, slots)
		pv := viewPeer(vm, p, e, now)
		if vm.Zone() == v.Zone && !pv.Leaving {
			used += e.used
			limit += e.limit
		}
		v.Peers = append(v.Peers, pv)
	}
	if limit > 0 {
		v.Utilisation = used / limit
	}
	return v
}

func viewPeer(vm board.VM, p board.Peer, e candidate, now time.Time) PeerView {
	v := PeerView{
		VM: vm.Name(), Zone: vm.Zone(), Region: vm.Region(),
		Incarnation: p.Incarnation.String(),
		Utilisation: e.utilisation(),
		Inflight:    p.Inflight,
		Leaving:     vm.Leaving() || p.Leaving,
		Avoid:       max(p.Avoid.Sub(now), 0).Milliseconds(),
		Failures:    p.Failures,
	}
	if !p.Seen.IsZero() {
		v.Load = p.Load.String()
		v.Age = now.Sub(p.Seen).Milliseconds()
	}
	return v
}
