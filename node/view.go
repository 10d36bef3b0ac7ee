package node

import (
	"fmt"
	"slices"
	"strings"

	"dogwoodhead/admit"
	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/operator"
	"dogwoodhead/policy"
)

// Status returns the node's state for operators.
func (n *Node) Status() operator.Status {
	self := n.board.Self()
	g := n.gate.View()
	s := operator.Status{
		VM: n.set.VM(), Service: n.set.Service(), Zone: n.set.Zone(), Region: n.set.Region(), Site: n.set.Site(),
		Incarnation: self.Incarnation().String(), Version: n.version,
		Revision: n.board.Rev().String(), Rejected: n.control.rejected(),
		VMs: n.board.Members().Len(), ListRevision: n.board.Members().Rev(),
		Leaving: n.board.Leaving() || n.board.ListedLeaving(), Fresh: n.board.Fresh(), Backend: string(n.monitor.State()),
		Gate: operator.Gate{
			Limit: g.Limit, Inflight: g.Inflight, Queued: g.Queued, Level: g.Level, Typical: g.TypicalSelfTime.String(),
		},
		Permits: float64(n.bucket.Permits()), Peers: n.peers(), Levels: make(map[string]string),
	}
	f := n.board.ActiveConfig()
	if f == nil {
		return s
	}
	s.Control = string(f.Policy().Control())
	for svc := range f.Policy().Services() {
		for op := range svc.Operations() {
			t := op.Target()
			if l := n.levels.PathLevel([]frame.Target{t}); l != frame.OpenLevel {
				s.Levels[t.String()] = l.String()
			}
		}
	}
	return s
}

// peers lists the nodes that this one knows something of, by name.
func (n *Node) peers() []operator.Peer {
	now := n.clock.Now()
	members := n.board.Members()
	list := []operator.Peer{}
	n.board.Peers().Range(func(name string, p board.Peer) bool {
		vm, _ := members.Get(name)
		list = append(list, operator.Peer{
			VM: name, Service: vm.Service(), Zone: vm.Zone(), Load: p.Load.String(), Inflight: p.Inflight,
			Leaving: p.Leaving || vm.Leaving(), Avoided: now.Before(p.AvoidUntil), Revision: p.Rev.String(),
		})
		return true
	})
	slices.SortFunc(list, func(a, b operator.Peer) int { return strings.Compare(a.VM, b.VM) })
	return list
}

// policy returns the policy in force for encoding, nil before the first.
func (n *Node) policy() any {
	if f := n.board.ActiveConfig(); f != nil {
		return f.Policy()
	}
	return nil
}

// UnknownCallError reports a call that the policy in force does not declare.
type UnknownCallError struct {
	what string
	name string
}

func (e *UnknownCallError) Error() string { return fmt.Sprintf("unknown %s %q", e.what, e.name) }

// Explain tells what would happen to a call that entered at this node now. The
// error is an *UnknownCallError.
func (n *Node) Explain(t frame.Target, class string) (operator.Explanation, error) {
	f := n.board.ActiveConfig()
	if f == nil {
		return operator.Explanation{}, &UnknownCallError{what: "operation (no configuration in force)", name: t.String()}
	}
	op, ok := f.Policy().Operation(t)
	if !ok {
		return operator.Explanation{}, &UnknownCallError{what: "operation", name: t.String()}
	}
	index := op.Class()
	if class != "" {
		if index, ok = f.Policy().Class(class); !ok {
			return operator.Explanation{}, &UnknownCallError{what: "class", name: class}
		}
	}
	e := operator.Explanation{Target: t.String(), Class: f.Policy().ClassName(index), Verdict: "admit"}
	e.Steps = append(e.Steps, n.explainEntry(f, op, index)...)
	e.Steps = append(e.Steps, n.explainRoute(t), n.explainGate(op, index))
	for _, s := range e.Steps {
		if !s.Pass {
			e.Verdict = "refuse"
		}
	}
	return e, nil
}

// explainEntry covers what the entry node checks before it sends a call on.
func (n *Node) explainEntry(f *board.ActiveConfig, op *policy.Operation, class int) []operator.Step {
	level := n.levels.PathLevel(op.Subtree())
	// The median rank stands for the calls of the class.
	priority := frame.NewLevel(class, frame.MaxRank/2)
	key := "idempotent, needs no operation key"
	if !op.Idempotent() {
		key = "not idempotent, needs an operation key from /key/" + op.Target().String()
	}
	return []operator.Step{
		{Check: "view", Pass: n.board.Fresh(), Detail: fmt.Sprintf("revision %s, %d VMs", f.Rev(), n.board.Members().Len())},
		{Check: "key", Pass: true, Detail: key},
		{
			Check: "level", Pass: level.Admits(priority) || f.Policy().Control() != policy.ControlFull,
			Detail: levelDetail(level),
		},
		{
			Check: "permits", Pass: true,
			Detail: fmt.Sprintf("%d in the entry bucket, at most %d for one call", n.bucket.Permits(), f.Policy().Tries()),
		},
	}
}

func levelDetail(l frame.Level) string {
	if l == frame.OpenLevel {
		return "no service on the path sheds calls"
	}
	return fmt.Sprintf("a service on the path sheds calls above class.rank %s; ranks are 0 to %d", l, frame.MaxRank)
}

func (n *Node) explainRoute(t frame.Target) operator.Step {
	v := n.chooser.View(t.Service())
	var ready, leaving, avoided int
	for _, p := range v.Peers {
		switch {
		case p.Leaving:
			leaving++
		case p.Avoid > 0:
			avoided++
		default:
			ready++
		}
	}
	detail := fmt.Sprintf("%d VMs ready, %d avoided, %d leaving; zone %s at %.0f%%, spills above %.0f%%",
		ready, avoided, leaving, v.Zone, 100*v.Utilisation, 100*v.Spill)
	return operator.Step{Check: "route", Pass: ready+avoided > 0, Detail: detail}
}

// explainGate covers the admission at this node's own backend server; for other
// services that decision is made at the chosen node.
func (n *Node) explainGate(op *policy.Operation, class int) operator.Step {
	if op.Target().Service() != n.set.Service() {
		return operator.Step{Check: "admission", Pass: true, Detail: "decided at the chosen node; ask a node of " + op.Target().Service()}
	}
	reason, detail := n.gate.Explain(admit.Call{
		Priority: frame.NewLevel(class, frame.MaxRank/2), Left: op.Timeout(), Target: op.Target(), Dependencies: op.Dependencies(),
	})
	return operator.Step{Check: "admission", Pass: reason == "", Detail: detail}
}
