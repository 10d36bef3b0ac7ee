package relay

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"dogwoodhead/board"
)

// detours bounds the pushes per document and node that go around neighbours
// which do not answer. It covers a failed neighbour with all its children and
// grandchildren; beyond that, pulls on contact do the rest.
const detours = fanout + fanout*fanout

// delivery is the way of one document through the tree of its revision.
type delivery struct {
	doc  Document
	tree *Tree
	left atomic.Int32
}

// spread pushes a document to this node's neighbours in the tree of its
// revision, except to the one that it came from. It happens once per accepted
// revision, however the document arrived, so that a document that entered a
// broken tree anywhere reaches all of it.
func (r *Relay) spread(d Document, from string) {
	m := r.o.Members()
	tree := NewTree(m, d.key, d.rev, r.o.Readers, r.o.Scope)
	dl := &delivery{doc: d, tree: tree}
	dl.left.Store(detours)
	for _, name := range tree.Neighbours(r.self()) {
		if name != from {
			r.forward(dl, name, r.self())
		}
	}
}

// forward queues a push to name, which lies behind came in the tree. Where name
// does not answer, the nodes behind it get the document from here.
func (r *Relay) forward(dl *delivery, name, came string) {
	vm, ok := r.lookup(name)
	if !ok {
		return
	}
	r.submit(func(ctx context.Context) {
		if r.o.Store.Current(dl.doc.key).rev != dl.doc.rev {
			// A newer revision is on its way along its own tree.
			return
		}
		if err := r.push(ctx, vm, dl.doc.key); err == nil {
			return
		}
		for _, next := range dl.tree.Neighbours(name) {
			if next != came && dl.left.Add(-1) >= 0 {
				r.forward(dl, next, name)
			}
		}
	})
}

// push sends the document in force, as a delta at first.
func (r *Relay) push(ctx context.Context, vm board.VM, key string) error {
	parcel, ok := r.o.Store.Parcel(key, r.o.Store.previous(key), false)
	for whole := false; ok; whole = true {
		r.counts.pushes.Inc()
		reply, err := r.o.Push(ctx, vm, PushRequest{From: r.self(), Doc: parcel})
		if err != nil {
			r.counts.pushFailures.Inc()
			return err
		}
		if reply.Have > parcel.Rev {
			r.contact(contact{vm: vm.Name(), revs: revsOf(key, reply.Have)})
		}
		if !reply.Whole || whole {
			return nil
		}
		parcel, ok = r.o.Store.Parcel(key, 0, true)
	}
	return nil
}

// revsOf returns revisions with one part set.
func revsOf(key string, rev uint64) Revs {
	switch key {
	case KeyBase:
		return Revs{Base: rev}
	case KeyVMs:
		return Revs{VMs: rev}
	default:
		return Revs{Overlay: rev}
	}
}

// HandlePush takes a document from another node.
func (r *Relay) HandlePush(_ context.Context, req PushRequest) (PushReply, error) {
	key := req.Doc.Key
	if !slices.Contains(r.o.Store.Keys(), key) {
		return PushReply{}, nil
	}
	current := r.o.Store.Current(key)
	if req.Doc.Rev <= current.rev {
		return PushReply{Have: current.rev}, nil
	}
	d, err := Unpack(req.Doc, against(req.Doc, current))
	if errors.Is(err, errBase) {
		return PushReply{Whole: true, Have: current.rev}, nil
	}
	if err != nil {
		return PushReply{}, err
	}
	r.accept(d, req.From)
	return PushReply{Have: r.o.Store.Current(key).rev}, nil
}

// against returns the base for a parcel: none for a whole document.
func against(p Parcel, current Document) Document {
	if p.Against == 0 {
		return Document{}
	}
	return current
}
