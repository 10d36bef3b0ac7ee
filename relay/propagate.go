package relay

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"dogwoodhead/board"
)

// maxReroutes bounds the pushes per document that a node sends around
// neighbours that do not respond. It covers a failed neighbour with all its
// children and grandchildren; nodes beyond those pull the document.
const maxReroutes = fanout + fanout*fanout

// propagation is the state of sending one document along the tree of its
// revision.
type propagation struct {
	doc          Document
	tree         *Tree
	reroutesLeft atomic.Int32
}

// propagate pushes a document to this node's neighbours in the tree of its
// revision, except to the VM from that sent it. It runs once per accepted
// revision, however the document arrived, so that a document reaches every
// part of a broken tree from any node.
func (r *Relay) propagate(d Document, from string) {
	m := r.opts.Members()
	tree := NewTree(m, d.key, d.rev, r.opts.ReadersPerZone, r.opts.StoresKey)
	p := &propagation{doc: d, tree: tree}
	p.reroutesLeft.Store(maxReroutes)
	for _, name := range tree.Neighbours(r.selfName()) {
		if name != from {
			r.queuePush(p, name, r.selfName())
		}
	}
}

// queuePush queues a push to name, a neighbour of via in the tree. If the push
// fails, this node pushes to the other neighbours of name.
func (r *Relay) queuePush(p *propagation, name, via string) {
	vm, ok := r.lookup(name)
	if !ok {
		return
	}
	r.submit(func(ctx context.Context) {
		if r.opts.Store.Current(p.doc.key).rev != p.doc.rev {
			// A newer revision is propagated along its own tree.
			return
		}
		if err := r.push(ctx, vm, p.doc.key); err == nil {
			return
		}
		for _, next := range p.tree.Neighbours(name) {
			if next != via && p.reroutesLeft.Add(-1) >= 0 {
				r.queuePush(p, next, name)
			}
		}
	})
}

// push sends the active document, first as a delta, then in full if needed.
func (r *Relay) push(ctx context.Context, vm board.VM, key string) error {
	enc, ok := r.opts.Store.Encoded(key, r.opts.Store.previousRev(key), false)
	for full := false; ok; full = true {
		r.counters.pushes.Inc()
		reply, err := r.opts.Push(ctx, vm, PushRequest{From: r.selfName(), Doc: enc})
		if err != nil {
			r.counters.pushFailures.Inc()
			return err
		}
		if reply.Have > enc.Rev {
			r.observe(pullTarget{vm: vm.Name(), revs: revsForKey(key, reply.Have)})
		}
		if !reply.NeedsFull || full {
			return nil
		}
		enc, ok = r.opts.Store.Encoded(key, 0, true)
	}
	return nil
}

// revsForKey returns Revs with the revision of one key set.
func revsForKey(key string, rev uint64) Revs {
	switch key {
	case KeyBase:
		return Revs{Base: rev}
	case KeyVMs:
		return Revs{VMs: rev}
	default:
		return Revs{Overlay: rev}
	}
}

// HandlePush processes a document from another node.
func (r *Relay) HandlePush(_ context.Context, req PushRequest) (PushReply, error) {
	key := req.Doc.Key
	if !slices.Contains(r.opts.Store.Keys(), key) {
		return PushReply{}, nil
	}
	current := r.opts.Store.Current(key)
	if req.Doc.Rev <= current.rev {
		return PushReply{Have: current.rev}, nil
	}
	d, err := Decode(req.Doc, deltaBase(req.Doc, current))
	if errors.Is(err, errMissingBase) {
		return PushReply{NeedsFull: true, Have: current.rev}, nil
	}
	if err != nil {
		return PushReply{}, err
	}
	r.offer(d, req.From)
	return PushReply{Have: r.opts.Store.Current(key).rev}, nil
}

// deltaBase returns the base of enc, the zero Document if enc is not a delta.
func deltaBase(enc EncodedDocument, current Document) Document {
	if enc.BaseRev == 0 {
		return Document{}
	}
	return current
}
