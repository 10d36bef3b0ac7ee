package member

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/relay"
)

// State is what a node reports about itself in hello, heartbeat and leave
// messages and in the responses to them.
type State struct {
	// From is the process that reports the state.
	From frame.Incarnation
	// Revs are the active revisions of the node.
	Revs relay.Revs
	// Load is the load of its backend server.
	Load frame.Load
	// Leaving is set if the node accepts no new work.
	Leaving bool
	// MinHeartbeatInterval is how long the sender of a heartbeat should wait
	// before the next one. It is set in responses of nodes with many callers, in
	// whole seconds.
	MinHeartbeatInterval time.Duration
	// Service, Zone and ControlAddr are set in hello only, because a node without a
	// current VM list cannot look them up. ControlAddr is an ip:port.
	Service     string
	Zone        string
	ControlAddr string
	// SequenceFloor is set in responses to hello and heartbeat: the sequence
	// above which the responding node accepts attempts of the sender.
	SequenceFloor uint64
}

// stateWire is the JSON form. Names are short because heartbeats are the
// largest part of the control traffic.
type stateWire struct {
	From          string `json:"from"`
	Rev           string `json:"rev"`
	VMs           uint64 `json:"vms"`
	Load          string `json:"load"`
	Leaving       bool   `json:"leaving,omitempty"`
	WaitSeconds   int    `json:"wait,omitempty"`
	Service       string `json:"service,omitempty"`
	Zone          string `json:"zone,omitempty"`
	ControlAddr   string `json:"control,omitempty"`
	SequenceFloor uint64 `json:"floor,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (s State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateWire{
		From: s.From.String(), Rev: s.Revs.Pair().String(), VMs: s.Revs.VMs, Load: s.Load.String(),
		Leaving: s.Leaving, WaitSeconds: int(s.MinHeartbeatInterval / time.Second), Service: s.Service, Zone: s.Zone, ControlAddr: s.ControlAddr, SequenceFloor: s.SequenceFloor,
	})
}

// UnmarshalJSON implements json.Unmarshaler and validates every field.
func (s *State) UnmarshalJSON(src []byte) error {
	var w stateWire
	if err := json.Unmarshal(src, &w); err != nil {
		return err
	}
	from, err := frame.ParseIncarnation(w.From)
	if err != nil {
		return err
	}
	if !from.Known() || !frame.ValidName(from.VM()) {
		return fmt.Errorf("state: from %q: want vm:process", w.From)
	}
	rev, err := frame.ParseRevision(w.Rev)
	if err != nil {
		return err
	}
	load, err := frame.ParseLoad(w.Load)
	if err != nil {
		return err
	}
	for _, name := range []string{w.Service, w.Zone} {
		if name != "" && !frame.ValidName(name) {
			return fmt.Errorf("state: name %q is not valid", name)
		}
	}
	if _, err := netip.ParseAddrPort(w.ControlAddr); w.ControlAddr != "" && err != nil {
		return fmt.Errorf("state: control %q: want ip:port", w.ControlAddr)
	}
	minInterval := time.Duration(min(max(w.WaitSeconds, 0), int(maxHeartbeatInterval/time.Second))) * time.Second
	*s = State{
		From: from, Revs: relay.Revs{Base: rev.Base(), Overlay: rev.Overlay(), VMs: w.VMs}, Load: load,
		Leaving: w.Leaving, MinHeartbeatInterval: minInterval, Service: w.Service, Zone: w.Zone, ControlAddr: w.ControlAddr, SequenceFloor: w.SequenceFloor,
	}
	return nil
}
