package relay

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/board"
)

const (
	// fanout is the largest number of children in the tree. More children make
	// a node send the same document many times; fewer make the tree deeper.
	fanout = 4
	// headFanout is how many children the first node of a zone has in its own
	// zone, and how many zones hang below a zone; together they make up fanout.
	headFanout = fanout / 2
	// defaultReaders per availability zone watch the platform, so that two of
	// them may fail at once.
	defaultReaders = 3
)

// ranked is the name of a VM with its hash value.
type ranked struct {
	name string
	hash uint64
}

// rank sorts VMs by the hash of their name with a seed, which is rendezvous
// hashing: adding or removing a VM moves no other one.
func rank(names []string, seed string) []ranked {
	out := make([]ranked, 0, len(names))
	for _, n := range names {
		out = append(out, ranked{name: n, hash: xxhash.Sum64String(seed + n)})
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	return out
}

// group holds the names of the VMs of one zone that keep documents of a key.
type group struct {
	// all is sorted; staying lacks the VMs that are leaving.
	all, staying []string
}

// byZone groups the VMs that keep documents of the key.
func byZone(m *board.Members, key string, scope func(string, board.VM) bool) map[string]*group {
	zones := make(map[string]*group)
	for v := range m.All() {
		if scope != nil && !scope(key, v) {
			continue
		}
		g, ok := zones[v.Zone()]
		if !ok {
			g = &group{}
			zones[v.Zone()] = g
		}
		g.all = append(g.all, v.Name())
		if !v.Leaving() {
			g.staying = append(g.staying, v.Name())
		}
	}
	return zones
}

// readers returns the names of the VMs of one zone that watch a key: the count
// highest by rendezvous hashing among those that are not leaving.
func (g *group) readers(key string, count int) []string {
	if g == nil {
		return nil
	}
	first := rank(g.staying, "reader/"+key+"/")
	names := make([]string, 0, count)
	for _, r := range first[:min(count, len(first))] {
		names = append(names, r.name)
	}
	return names
}

// Tree is the distribution tree of one revision. All nodes with the same VM
// list build the same one. A zone is entered once: the first node of a zone has
// the first nodes of at most two other zones below it. Readers come first
// within their zone, because they have the document from the platform.
type Tree struct {
	parent   map[string]string
	children map[string][]string
}

// NewTree builds the tree of a revision of a key. Scope says which VMs keep
// documents of the key; nil stands for all.
func NewTree(m *board.Members, key string, rev uint64, readers int, scope func(string, board.VM) bool) *Tree {
	t := &Tree{parent: make(map[string]string, m.Len()), children: make(map[string][]string)}
	seed := key + "/" + strconv.FormatUint(rev, 10) + "/"
	zones := byZone(m, key, scope)
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, z)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(seed+a), xxhash.Sum64String(seed+b)), cmp.Compare(a, b))
	})
	heads := make([]string, 0, len(names))
	for i, z := range names {
		order := zoneOrder(zones[z], key, seed, readers)
		heads = append(heads, order[0])
		if i > 0 {
			t.link(heads[(i-1)/headFanout], order[0])
		}
		for p := 1; p < len(order); p++ {
			t.link(order[parentOf(p)], order[p])
		}
	}
	return t
}

// zoneOrder returns the names of a zone's VMs in the order of the revision,
// readers first.
func zoneOrder(g *group, key, seed string, readers int) []string {
	first := g.readers(key, readers)
	order := make([]string, 0, len(g.all))
	rest := make([]string, 0, len(g.all))
	for _, r := range rank(g.all, seed) {
		if slices.Contains(first, r.name) {
			order = append(order, r.name)
		} else {
			rest = append(rest, r.name)
		}
	}
	return append(order, rest...)
}

// parentOf returns the position of the parent of position p > 0 in a zone: the
// first node has headFanout children, the others fanout.
func parentOf(p int) int {
	if p <= headFanout {
		return 0
	}
	return (p-headFanout-1)/fanout + 1
}

func (t *Tree) link(parent, child string) {
	t.parent[child] = parent
	t.children[parent] = append(t.children[parent], child)
}

// Neighbours returns the parent and the children of a VM.
func (t *Tree) Neighbours(name string) []string {
	out := slices.Clone(t.children[name])
	if p, ok := t.parent[name]; ok {
		out = append(out, p)
	}
	return out
}
