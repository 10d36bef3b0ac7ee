package member

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/relay"
)

// State is what a node says about itself in hello, beat and leave and in the
// answers to them.
type State struct {
	// From is the process that speaks.
	From frame.Incarnation
	// Revs are the revisions in force at the node.
	Revs relay.Revs
	// Load is the load of its backend server.
	Load frame.Load
	// Leaving says that the node takes no new work.
	Leaving bool
	// Wait is how long the sender of a heartbeat should wait before the next one.
	// It is set in answers of nodes with many callers, in whole seconds.
	Wait time.Duration
	// Service, Zone and Control are set in hello only, because a node without a
	// current VM list cannot look them up. Control is an ip:port.
	Service string
	Zone    string
	Control string
	// Floor is set in answers to hello and beat: the sequence above which the
	// answering node accepts attempts of the asking process.
	Floor uint64
}

// stateWire is the JSON form. Names are short because beats are the largest
// part of the control traffic.
type stateWire struct {
	From    string `json:"from"`
	Rev     string `json:"rev"`
	VMs     uint64 `json:"vms"`
	Load    string `json:"load"`
	Leaving bool   `json:"leaving,omitempty"`
	Wait    int    `json:"wait,omitempty"`
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Control string `json:"control,omitempty"`
	Floor   uint64 `json:"floor,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (s State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateWire{
		From: s.From.String(), Rev: s.Revs.Pair().String(), VMs: s.Revs.VMs, Load: s.Load.String(),
		Leaving: s.Leaving, Wait: int(s.Wait / time.Second), Service: s.Service, Zone: s.Zone, Control: s.Control, Floor: s.Floor,
	})
}

// UnmarshalJSON implements json.Unmarshaler and checks every field.
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
	if _, err := netip.ParseAddrPort(w.Control); w.Control != "" && err != nil {
		return fmt.Errorf("state: control %q: want ip:port", w.Control)
	}
	wait := time.Duration(min(max(w.Wait, 0), int(maxBeatInterval/time.Second))) * time.Second
	*s = State{
		From: from, Revs: relay.Revs{Base: rev.Base(), Overlay: rev.Overlay(), VMs: w.VMs}, Load: load,
		Leaving: w.Leaving, Wait: wait, Service: w.Service, Zone: w.Zone, Control: w.Control, Floor: w.Floor,
	}
	return nil
}
