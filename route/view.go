package route

import (
	"time"

	"dogwoodhead/board"
)

// View is a snapshot of the routing state of a service, for status and explain.
type View struct {
	Service string `json:"service"`
	// Zone is the local zone, Utilisation its estimated load divided by its limit,
	// both summed over the VMs that are not leaving; 0 if there are none.
	Zone        string  `json:"zone"`
	Utilisation float64 `json:"utilisation"`
	// SpillThreshold is the utilisation above which other zones are used.
	SpillThreshold float64    `json:"spill"`
	Peers          []PeerView `json:"peers"`
}

// PeerView is the routing state of one VM of the service.
type PeerView struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation,omitempty"`
	// Load is the reported load as used/limit, AgeMillis the age of the report;
	// both are omitted before the first report.
	Load      string `json:"load,omitempty"`
	AgeMillis int64  `json:"age,omitempty"`
	// Utilisation is the estimated load divided by the limit, not scaled by health.
	Utilisation float64 `json:"utilisation"`
	Inflight    int     `json:"inflight"`
	Leaving     bool    `json:"leaving"`
	// AvoidMillis is the remaining time of the avoidance.
	AvoidMillis         int64 `json:"avoid"`
	ConsecutiveFailures int   `json:"failures"`
}

// View returns the routing state of a service, with VMs sorted by name.
func (c *Chooser) View(service string) View {
	now := c.clock.Now()
	defaultLimit := c.defaultLimit(service)
	v := View{Service: service, Zone: c.board.Self().VM().Zone(), SpillThreshold: c.spillThreshold(service), Peers: []PeerView{}}
	var used, limit float64
	for _, vm := range c.board.Members().ByService(service) {
		p, _ := c.board.Peers().Get(vm.Name())
		estimate := newCandidate(&vm, p, now, defaultLimit)
		peer := newPeerView(vm, p, estimate, now)
		if vm.Zone() == v.Zone && !peer.Leaving {
			used += estimate.used
			limit += estimate.limit
		}
		v.Peers = append(v.Peers, peer)
	}
	if limit > 0 {
		v.Utilisation = used / limit
	}
	return v
}

func newPeerView(vm board.VM, p board.Peer, estimate candidate, now time.Time) PeerView {
	v := PeerView{
		VM: vm.Name(), Zone: vm.Zone(), Region: vm.Region(),
		Incarnation:         p.Incarnation.String(),
		Utilisation:         estimate.utilisation(),
		Inflight:            p.Inflight,
		Leaving:             vm.Leaving() || p.Leaving,
		AvoidMillis:         max(p.AvoidUntil.Sub(now), 0).Milliseconds(),
		ConsecutiveFailures: p.ConsecutiveFailures,
	}
	if !p.LastResponse.IsZero() {
		v.Load = p.Load.String()
		v.AgeMillis = now.Sub(p.LastResponse).Milliseconds()
	}
	return v
}
