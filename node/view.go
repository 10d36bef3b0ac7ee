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
	gate := n.gate.View()
	status := operator.Status{
		VM: n.settings.VM(), Service: n.settings.Service(), Zone: n.settings.Zone(), Region: n.settings.Region(), Site: n.settings.Site(),
		Incarnation: self.Incarnation().String(), Version: n.version,
		Revision: n.board.Rev().String(), Rejected: n.control.rejectedDocuments(),
		VMCount: n.board.Members().Len(), ListRevision: n.board.Members().Rev(),
		Leaving: n.board.Leaving() || n.board.ListedLeaving(), Fresh: n.board.Fresh(), BackendState: string(n.backendMonitor.State()),
		Gate: operator.Gate{
			Limit: gate.Limit, Inflight: gate.Inflight, Queued: gate.Queued, Level: gate.Level, TypicalSelfTime: gate.TypicalSelfTime.String(),
		},
		Permits: float64(n.permitBucket.Permits()), Peers: n.peerStates(), AdmissionLevels: make(map[string]string),
	}
	active := n.board.ActiveConfig()
	if active == nil {
		return status
	}
	status.ControlMode = string(active.Policy().ControlMode())
	for svc := range active.Policy().Services() {
		for op := range svc.Operations() {
			t := op.Target()
			if l := n.levels.PathLevel([]frame.Target{t}); l != frame.OpenLevel {
				status.AdmissionLevels[t.String()] = l.String()
			}
		}
	}
	return status
}

// peerStates lists the peers with known state, sorted by VM name.
func (n *Node) peerStates() []operator.Peer {
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

// activePolicy returns the active policy for JSON encoding, nil before the first.
func (n *Node) activePolicy() any {
	if active := n.board.ActiveConfig(); active != nil {
		return active.Policy()
	}
	return nil
}

// UnknownCallError reports an operation or class missing from the active policy.
type UnknownCallError struct {
	kind string
	name string
}

func (e *UnknownCallError) Error() string { return fmt.Sprintf("unknown %s %q", e.kind, e.name) }

// Explain returns, step by step, how a call that entered the mesh at this node now
// would be decided. The error is an *UnknownCallError.
func (n *Node) Explain(t frame.Target, className string) (operator.Explanation, error) {
	active := n.board.ActiveConfig()
	if active == nil {
		return operator.Explanation{}, &UnknownCallError{kind: "operation (no configuration in force)", name: t.String()}
	}
	op, ok := active.Policy().Operation(t)
	if !ok {
		return operator.Explanation{}, &UnknownCallError{kind: "operation", name: t.String()}
	}
	class := op.Class()
	if className != "" {
		if class, ok = active.Policy().ClassIndex(className); !ok {
			return operator.Explanation{}, &UnknownCallError{kind: "class", name: className}
		}
	}
	e := operator.Explanation{Target: t.String(), Class: active.Policy().ClassName(class), Decision: "admit"}
	e.Steps = append(e.Steps, n.explainIngress(active, op, class)...)
	e.Steps = append(e.Steps, n.explainRoute(t), n.explainGate(op, class))
	for _, s := range e.Steps {
		if !s.Passed {
			e.Decision = "refuse"
		}
	}
	return e, nil
}

// explainIngress returns the checks that the ingress node makes before it
// forwards a call.
func (n *Node) explainIngress(active *board.ActiveConfig, op *policy.Operation, class int) []operator.Step {
	level := n.levels.PathLevel(op.Reachable())
	// The median rank represents the calls of the class.
	priority := frame.NewLevel(class, frame.MaxRank/2)
	keyDetail := "idempotent, needs no operation key"
	if !op.Idempotent() {
		keyDetail = "not idempotent, needs an operation key from /key/" + op.Target().String()
	}
	return []operator.Step{
		{Check: "view", Passed: n.board.Fresh(), Detail: fmt.Sprintf("revision %s, %d VMs", active.Rev(), n.board.Members().Len())},
		{Check: "key", Passed: true, Detail: keyDetail},
		{
			Check: "level", Passed: level.Admits(priority) || active.Policy().ControlMode() != policy.ControlFull,
			Detail: levelDetail(level),
		},
		{
			Check: "permits", Passed: true,
			Detail: fmt.Sprintf("%d in the entry bucket, at most %d for one call", n.permitBucket.Permits(), active.Policy().MaxPermits()),
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
		case p.AvoidMillis > 0:
			avoided++
		default:
			ready++
		}
	}
	detail := fmt.Sprintf("%d VMs ready, %d avoided, %d leaving; zone %s at %.0f%%, spills above %.0f%%",
		ready, avoided, leaving, v.Zone, 100*v.Utilisation, 100*v.SpillThreshold)
	return operator.Step{Check: "route", Passed: ready+avoided > 0, Detail: detail}
}

// explainGate returns the admission decision at the local backend server. For
// other services the chosen node decides.
func (n *Node) explainGate(op *policy.Operation, class int) operator.Step {
	if op.Target().Service() != n.settings.Service() {
		return operator.Step{Check: "admission", Passed: true, Detail: "decided at the chosen node; ask a node of " + op.Target().Service()}
	}
	reason, detail := n.gate.Explain(admit.Call{
		Priority: frame.NewLevel(class, frame.MaxRank/2), TimeLeft: op.Timeout(), Target: op.Target(), Dependencies: op.Dependencies(),
	})
	return operator.Step{Check: "admission", Passed: reason == "", Detail: detail}
}
