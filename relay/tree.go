package relay

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/board"
)

const (
	// fanout is the largest number of children of a node in the tree. More
	// children increase the pushes per node; fewer make the tree deeper.
	fanout = 4
	// zoneRootFanout is the largest number of children that the root of a zone has
	// in its own zone, and of child zones; together they make up fanout.
	zoneRootFanout = fanout / 2
	// defaultReadersPerZone is the number of readers per availability zone; two of
	// them may fail at the same time.
	defaultReadersPerZone = 3
)

// hashedName is the name of a VM with its hash value.
type hashedName struct {
	name string
	hash uint64
}

// rendezvousOrder sorts VMs by the hash of a seed and their name (rendezvous
// hashing): adding or removing a VM does not change the order of the others.
func rendezvousOrder(names []string, seed string) []hashedName {
	ordered := make([]hashedName, 0, len(names))
	for _, n := range names {
		ordered = append(ordered, hashedName{name: n, hash: xxhash.Sum64String(seed + n)})
	}
	slices.SortFunc(ordered, func(a, b hashedName) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	return ordered
}

// zoneVMs holds the names of the VMs of one zone that keep documents of a key.
type zoneVMs struct {
	// all is sorted; notLeaving omits the VMs that are leaving.
	all, notLeaving []string
}

// vmsByZone groups the VMs that keep documents of the key by zone.
func vmsByZone(m *board.Members, key string, storesKey func(string, board.VM) bool) map[string]*zoneVMs {
	zones := make(map[string]*zoneVMs)
	for v := range m.All() {
		if storesKey != nil && !storesKey(key, v) {
			continue
		}
		z, ok := zones[v.Zone()]
		if !ok {
			z = &zoneVMs{}
			zones[v.Zone()] = z
		}
		z.all = append(z.all, v.Name())
		if !v.Leaving() {
			z.notLeaving = append(z.notLeaving, v.Name())
		}
	}
	return zones
}

// readers returns the names of the VMs of one zone that watch a key: the first
// count in rendezvous order among those that are not leaving.
func (z *zoneVMs) readers(key string, count int) []string {
	if z == nil {
		return nil
	}
	ordered := rendezvousOrder(z.notLeaving, "reader/"+key+"/")
	names := make([]string, 0, count)
	for _, r := range ordered[:min(count, len(ordered))] {
		names = append(names, r.name)
	}
	return names
}

// Tree is the distribution tree of one revision. All nodes with the same VM
// list build the same one. One edge leads into each zone but the first: the root
// of a zone has the roots of at most two other zones as children. Readers come
// first within their zone, because they get the document from the platform.
type Tree struct {
	parent   map[string]string
	children map[string][]string
}

// NewTree builds the tree of a revision of a key. StoresKey reports which VMs
// keep documents of the key; nil means all.
func NewTree(m *board.Members, key string, rev uint64, readersPerZone int, storesKey func(string, board.VM) bool) *Tree {
	t := &Tree{parent: make(map[string]string, m.Len()), children: make(map[string][]string)}
	seed := key + "/" + strconv.FormatUint(rev, 10) + "/"
	zones := vmsByZone(m, key, storesKey)
	zoneNames := make([]string, 0, len(zones))
	for z := range zones {
		zoneNames = append(zoneNames, z)
	}
	slices.SortFunc(zoneNames, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(seed+a), xxhash.Sum64String(seed+b)), cmp.Compare(a, b))
	})
	zoneRoots := make([]string, 0, len(zoneNames))
	for i, zone := range zoneNames {
		order := zoneOrder(zones[zone], key, seed, readersPerZone)
		zoneRoots = append(zoneRoots, order[0])
		if i > 0 {
			t.link(zoneRoots[(i-1)/zoneRootFanout], order[0])
		}
		for p := 1; p < len(order); p++ {
			t.link(order[parentIndex(p)], order[p])
		}
	}
	return t
}

// zoneOrder returns the names of a zone's VMs in rendezvous order of the
// revision's seed, readers first.
func zoneOrder(z *zoneVMs, key, seed string, readerCount int) []string {
	readers := z.readers(key, readerCount)
	order := make([]string, 0, len(z.all))
	rest := make([]string, 0, len(z.all))
	for _, r := range rendezvousOrder(z.all, seed) {
		if slices.Contains(readers, r.name) {
			order = append(order, r.name)
		} else {
			rest = append(rest, r.name)
		}
	}
	return append(order, rest...)
}

// parentIndex returns the index of the parent of index p > 0 in the order of a
// zone: the root has up to zoneRootFanout children, the others up to fanout.
func parentIndex(position int) int {
	if position <= zoneRootFanout {
		return 0
	}
	return (position-zoneRootFanout-1)/fanout + 1
}

func (t *Tree) link(parent, child string) {
	t.parent[child] = parent
	t.children[parent] = append(t.children[parent], child)
}

// Neighbours returns the names of the children and the parent of a VM.
func (t *Tree) Neighbours(name string) []string {
	neighbours := slices.Clone(t.children[name])
	if p, ok := t.parent[name]; ok {
		neighbours = append(neighbours, p)
	}
	return neighbours
}
