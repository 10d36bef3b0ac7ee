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

// maxReachable limits the operations reachable from one operation. An ingress
// node checks the level of each of them for every call, and without the limit a
// document of the maximum size could need gigabytes for the lists.
const maxReachable = 512

// graph collects the declared operations of one base and validates their calls.
type graph struct {
	doc        *jsonc.Document
	maxDepth   int
	operations map[frame.Target]*Operation
	errors     []*CheckError
}

// operationPath returns the path of an operation or one of its fields in the document.
func operationPath(t frame.Target, more ...string) jsonc.Path {
	return jsonc.Path{"services", t.Service(), "operations", t.Operation()}.With(more...)
}

// addError records an error in the declaration of an operation.
func (g *graph) addError(t frame.Target, field []string, format string, args ...any) {
	g.errors = append(g.errors, g.doc.Errorf(operationPath(t, field...), format, args...))
}

// declare adds the operations of a service without validating their calls to
// others. The schema has validated the form of all names.
func (g *graph) declare(service string, operations map[string]operationFields, classes []string) {
	for name, f := range operations {
		t, err := frame.NewTarget(service, name)
		if err != nil {
			g.errors = append(g.errors, g.doc.Errorf(jsonc.Path{"services", service, "operations", name}, "%s", err))
			continue
		}
		o := &Operation{target: t, idempotent: f.Idempotent, class: slices.Index(classes, f.Class)}
		if o.class < 0 {
			g.addError(t, []string{"class"}, "class %q is not declared: want one of %s", f.Class, strings.Join(classes, ", "))
		}
		o.timeout = DefaultTimeout
		if f.Timeout != nil {
			o.timeout, _ = time.ParseDuration(*f.Timeout)
		}
		if o.timeout <= 0 || o.timeout > maxTimeout {
			g.addError(t, []string{"timeout"}, "timeout %s: want above 0s and at most %s", o.timeout, maxTimeout)
		}
		for i, call := range f.Calls {
			to, err := frame.ParseTarget(call)
			if err != nil {
				g.addError(t, []string{"calls", strconv.Itoa(i)}, "%s", err)
				continue
			}
			o.calls = append(o.calls, to)
		}
		g.operations[t] = o
	}
}

// sortedOperations returns the operations sorted by target, so that the results
// do not depend on the order of map iteration.
func (g *graph) sortedOperations() []*Operation {
	targets := slices.SortedFunc(maps.Keys(g.operations), compareTargets)
	operations := make([]*Operation, len(targets))
	for i, t := range targets {
		operations[i] = g.operations[t]
	}
	return operations
}

func compareTargets(a, b frame.Target) int { return strings.Compare(a.String(), b.String()) }

// checkCalls validates the calls between operations and computes which operations
// each can reach. Undeclared calls or cycles leave that undefined and end the check.
func (g *graph) checkCalls() {
	ops := g.sortedOperations()
	earlierErrors := len(g.errors)
	for _, o := range ops {
		for i, to := range o.calls {
			if g.operations[to] == nil {
				g.addError(o.target, []string{"calls", strconv.Itoa(i)}, "operation %s is not declared", to)
			}
		}
	}
	if len(g.errors) > earlierErrors || g.reportCycles(ops) {
		return
	}
	depths := make(map[frame.Target]int, len(ops))
	for _, o := range ops {
		g.computeDepth(o, depths)
	}
	for _, o := range ops {
		g.checkDepth(o, depths)
		o.reachable = g.reachableFrom(o)
		o.dependencies = servicesOf(o.calls)
		if len(o.reachable) > maxReachable {
			g.addError(o.target, []string{"calls"}, "more than %d operations are reachable from here", maxReachable)
			continue
		}
		g.checkIdempotence(o)
	}
}

// reportCycles adds an error for each call that closes a cycle and reports
// whether there is one.
func (g *graph) reportCycles(ops []*Operation) bool {
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
				g.addError(o.target, []string{"calls", strconv.Itoa(i)}, "cycle in the call graph: %s",
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

// computeDepth returns the number of operations on the longest call chain from o
// and caches it in depths.
func (g *graph) computeDepth(o *Operation, depths map[frame.Target]int) int {
	if d, ok := depths[o.target]; ok {
		return d
	}
	deepest := 0
	for _, to := range o.calls {
		deepest = max(deepest, g.computeDepth(g.operations[to], depths))
	}
	depths[o.target] = deepest + 1
	return deepest + 1
}

// checkDepth reports an operation that is exactly one level over the limit. Its
// callers exceed the limit as a consequence and are not reported.
func (g *graph) checkDepth(o *Operation, depths map[frame.Target]int) {
	if depths[o.target] == g.maxDepth+1 {
		g.addError(o.target, []string{"calls"}, "call graph is %d operations deep from here, at most %d are allowed by depth",
			depths[o.target], g.maxDepth)
	}
}

// reachableFrom returns the operations reachable from o in breadth-first order,
// o itself first. The search stops soon after maxReachable operations.
func (g *graph) reachableFrom(o *Operation) []frame.Target {
	reachable := []frame.Target{o.target}
	seen := map[frame.Target]bool{o.target: true}
	for i := 0; i < len(reachable) && len(reachable) <= maxReachable; i++ {
		for _, to := range g.operations[reachable[i]].calls {
			if !seen[to] {
				seen[to] = true
				reachable = append(reachable, to)
			}
		}
	}
	return reachable
}

func (g *graph) checkIdempotence(o *Operation) {
	if !o.idempotent {
		return
	}
	for _, t := range o.reachable {
		if !g.operations[t].idempotent {
			g.addError(o.target, []string{"idempotent"}, "declared idempotent, but %s downstream is not", t)
			return
		}
	}
}

func (g *graph) operationsByService() map[string]map[string]*Operation {
	services := make(map[string]map[string]*Operation)
	for t, o := range g.operations {
		if services[t.Service()] == nil {
			services[t.Service()] = make(map[string]*Operation)
		}
		services[t.Service()][t.Operation()] = o
	}
	return services
}

// servicesOf returns the distinct services of the calls in order of first use.
func servicesOf(calls []frame.Target) []string {
	var names []string
	for _, t := range calls {
		if !slices.Contains(names, t.Service()) {
			names = append(names, t.Service())
		}
	}
	return names
}
