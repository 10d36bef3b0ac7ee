package policy

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwoodhead/frame"
	"dogwoodhead/jsonc"
)

// maxSubtree bounds the operations reachable from one. An entry node looks at
// the level of each of them for every call, and a document at the size limit
// could otherwise ask for gigabytes of subtrees.
const maxSubtree = 512

// graph collects the declared operations of one base and checks their calls.
type graph struct {
	doc        *jsonc.Document
	depth      int
	operations map[frame.Target]*Operation
	found      []*CheckError
}

// path returns where an operation, or a field of it, is in the document.
func path(t frame.Target, more ...string) jsonc.Path {
	return jsonc.Path{"services", t.Service(), "operations", t.Operation()}.With(more...)
}

// refuse records a fault of an operation.
func (g *graph) refuse(t frame.Target, field []string, format string, args ...any) {
	g.found = append(g.found, g.doc.Errorf(path(t, field...), format, args...))
}

// declare adds the operations of a service without looking at others. The
// schema has checked the form of all names.
func (g *graph) declare(service string, operations map[string]operationFields, classes []string) {
	for name, f := range operations {
		t, err := frame.NewTarget(service, name)
		if err != nil {
			g.found = append(g.found, g.doc.Errorf(jsonc.Path{"services", service, "operations", name}, "%s", err))
			continue
		}
		o := &Operation{target: t, idempotent: f.Idempotent, class: slices.Index(classes, f.Class)}
		if o.class < 0 {
			g.refuse(t, []string{"class"}, "class %q is not declared: want one of %s", f.Class, strings.Join(classes, ", "))
		}
		o.timeout = DefaultTimeout
		if f.Timeout != nil {
			o.timeout, _ = time.ParseDuration(*f.Timeout)
		}
		if o.timeout <= 0 || o.timeout > maxTimeout {
			g.refuse(t, []string{"timeout"}, "timeout %s: want above 0s and at most %s", o.timeout, maxTimeout)
		}
		for i, call := range f.Calls {
			to, err := frame.ParseTarget(call)
			if err != nil {
				g.refuse(t, []string{"calls", strconv.Itoa(i)}, "%s", err)
				continue
			}
			o.calls = append(o.calls, to)
		}
		g.operations[t] = o
	}
}

// sorted returns the operations in a fixed order, so that messages and
// subtrees do not depend on the order of map iteration.
func (g *graph) sorted() []*Operation {
	ts := slices.SortedFunc(maps.Keys(g.operations), compareTargets)
	os := make([]*Operation, len(ts))
	for i, t := range ts {
		os[i] = g.operations[t]
	}
	return os
}

func compareTargets(a, b frame.Target) int { return strings.Compare(a.String(), b.String()) }

// check checks the calls between operations and computes the subtrees. A graph
// with undeclared calls or cycles has no subtrees, so the later checks are left out.
func (g *graph) check() {
	ops := g.sorted()
	before := len(g.found)
	for _, o := range ops {
		for i, to := range o.calls {
			if g.operations[to] == nil {
				g.refuse(o.target, []string{"calls", strconv.Itoa(i)}, "operation %s is not declared", to)
			}
		}
	}
	if len(g.found) > before || g.cycles(ops) {
		return
	}
	depths := make(map[frame.Target]int, len(ops))
	for _, o := range ops {
		g.measure(o, depths)
	}
	for _, o := range ops {
		g.checkDepth(o, depths)
		o.subtree = g.reach(o)
		o.dependencies = dependencies(o.calls)
		if len(o.subtree) > maxSubtree {
			g.refuse(o.target, []string{"calls"}, "more than %d operations are reachable from here", maxSubtree)
			continue
		}
		g.checkIdempotence(o)
	}
}

// cycles refuses each call that closes a cycle and reports whether there is one.
func (g *graph) cycles(ops []*Operation) bool {
	const open, done = 1, 2
	state := make(map[frame.Target]int, len(ops))
	var chain []string
	found := false
	var visit func(o *Operation)
	visit = func(o *Operation) {
		state[o.target] = open
		chain = append(chain, o.target.String())
		for i, to := range o.calls {
			switch state[to] {
			case open:
				found = true
				from := slices.Index(chain, to.String())
				g.refuse(o.target, []string{"calls", strconv.Itoa(i)}, "cycle in the call graph: %s",
					strings.Join(append(slices.Clone(chain[from:]), to.String()), " > "))
			case done:
			default:
				visit(g.operations[to])
			}
		}
		chain = chain[:len(chain)-1]
		state[o.target] = done
	}
	for _, o := range ops {
		if state[o.target] == 0 {
			visit(o)
		}
	}
	return found
}

// measure returns the number of operations on the longest chain from o.
func (g *graph) measure(o *Operation, depths map[frame.Target]int) int {
	if d, ok := depths[o.target]; ok {
		return d
	}
	deepest := 0
	for _, to := range o.calls {
		deepest = max(deepest, g.measure(g.operations[to], depths))
	}
	depths[o.target] = deepest + 1
	return deepest + 1
}

// checkDepth refuses the operation that is one too deep; those above it are
// consequences.
func (g *graph) checkDepth(o *Operation, depths map[frame.Target]int) {
	if depths[o.target] == g.depth+1 {
		g.refuse(o.target, []string{"calls"}, "call graph is %d operations deep from here, at most %d are allowed by depth",
			depths[o.target], g.depth)
	}
}

// reach returns the operations reachable from o, itself first, the others in
// the order of a breadth-first walk, which ends soon after maxSubtree.
func (g *graph) reach(o *Operation) []frame.Target {
	subtree := []frame.Target{o.target}
	seen := map[frame.Target]bool{o.target: true}
	for i := 0; i < len(subtree) && len(subtree) <= maxSubtree; i++ {
		for _, to := range g.operations[subtree[i]].calls {
			if !seen[to] {
				seen[to] = true
				subtree = append(subtree, to)
			}
		}
	}
	return subtree
}

func (g *graph) checkIdempotence(o *Operation) {
	if !o.idempotent {
		return
	}
	for _, t := range o.subtree {
		if !g.operations[t].idempotent {
			g.refuse(o.target, []string{"idempotent"}, "declared idempotent, but %s downstream is not", t)
			return
		}
	}
}

func (g *graph) byService() map[string]map[string]*Operation {
	services := make(map[string]map[string]*Operation)
	for t, o := range g.operations {
		if services[t.Service()] == nil {
			services[t.Service()] = make(map[string]*Operation)
		}
		services[t.Service()][t.Operation()] = o
	}
	return services
}

// dependencies returns the services of the calls, each once, in their order.
func dependencies(calls []frame.Target) []string {
	var names []string
	for _, t := range calls {
		if !slices.Contains(names, t.Service()) {
			names = append(names, t.Service())
		}
	}
	return names
}
