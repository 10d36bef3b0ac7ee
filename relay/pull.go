package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dogwoodhead/board"
	"dogwoodhead/frame"
)

const (
	// pullGap is the shortest time between two pulls on contact. Hundreds of
	// calls a second may show the same higher revision.
	pullGap = 50 * time.Millisecond
	// barrenTime is how long a peer is not asked again for revisions that it
	// showed and did not give, for example those of another site's overlay.
	barrenTime = 10 * time.Second
	// maxBarren bounds the table of such peers.
	maxBarren = 2048
	// pullSize bounds the data of one reply in bytes; one document may exceed it.
	pullSize = 256 << 10
	// pullRounds bounds the requests of one pull: one per document and one more
	// for each that has to be sent whole.
	pullRounds = 6
)

// contact is a peer that showed higher revisions.
type contact struct {
	vm   string
	revs Revs
	// addr is the peer's control address where the message had it.
	addr string
}

// fruitless is what a peer showed when a pull from it brought nothing.
type fruitless struct {
	revs Revs
	at   time.Time
}

// Contact takes the revision pair of a call or an answer. The node pulls from
// the peer where that is ahead.
func (r *Relay) Contact(vm string, rev frame.Revision) {
	r.contact(contact{vm: vm, revs: Revs{Base: rev.Base(), Overlay: rev.Overlay()}})
}

// ContactRevs is Contact for a heartbeat, which also has the revision of the VM
// list.
func (r *Relay) ContactRevs(vm string, revs Revs) { r.contact(contact{vm: vm, revs: revs}) }

func (r *Relay) contact(c contact) {
	if c.vm == r.self() || !r.o.Store.Revs().Behind(c.revs) {
		return
	}
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.barren[c.vm]; ok && !f.revs.Behind(c.revs) && now.Sub(f.at) < barrenTime {
		return
	}
	if r.want == nil || r.want.revs.Behind(c.revs) {
		r.want = &c
	}
	r.startPull(now)
}

// startPull starts the wanted pull unless one runs or the last one was just now.
func (r *Relay) startPull(now time.Time) {
	if r.want == nil || r.pulling || now.Before(r.nextPull) {
		return
	}
	c := *r.want
	r.want = nil
	vm, ok := r.lookup(c.vm)
	if !ok && c.addr != "" {
		vm, ok = board.NewVM(board.VMFields{Name: c.vm, ControlAddr: c.addr}), true
	}
	if !ok || !r.o.Store.Revs().Behind(c.revs) {
		return
	}
	r.nextPull = now.Add(pullGap)
	r.pulling = r.submit(func(ctx context.Context) { r.pullTask(ctx, vm, c.revs) })
}

// pullTask pulls and remembers a peer that gave nothing.
func (r *Relay) pullTask(ctx context.Context, vm board.VM, revs Revs) {
	accepted, _ := r.pullFrom(ctx, vm)
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulling = false
	if accepted == 0 && r.o.Store.Revs().Behind(revs) {
		if len(r.barren) >= maxBarren {
			clear(r.barren)
		}
		r.barren[vm.Name()] = fruitless{revs: revs, at: now}
	}
	r.startPull(now)
}

// pullFrom asks a peer for everything above this node's revisions and returns
// how many documents were accepted.
func (r *Relay) pullFrom(ctx context.Context, vm board.VM) (accepted int, err error) {
	whole := false
	for range pullRounds {
		r.counts.pulls.Inc()
		req := PullRequest{From: r.self(), Control: r.o.Self.VM().ControlAddr(), Site: r.o.Self.Site(), Have: r.o.Store.Revs(), Whole: whole}
		reply, err := r.o.Pull(ctx, vm, req)
		if err != nil {
			r.counts.pullFailures.Inc()
			return accepted, err
		}
		again := reply.More
		gained := 0
		for _, p := range reply.Docs {
			d, err := Unpack(p, against(p, r.o.Store.Current(p.Key)))
			if errors.Is(err, errBase) && !whole {
				whole, again = true, true
				continue
			}
			if err != nil {
				return accepted, err
			}
			if r.accept(d, vm.Name()) == Accepted {
				gained++
			}
		}
		accepted += gained
		if !again || gained == 0 && !whole {
			return accepted, nil
		}
	}
	return accepted, nil
}

// HandlePull answers with the documents that the sender lacks, and pulls in
// turn where the sender is ahead.
func (r *Relay) HandlePull(_ context.Context, req PullRequest) (PullReply, error) {
	if _, err := netip.ParseAddrPort(req.Control); err != nil || !frame.ValidName(req.From) {
		return PullReply{}, fmt.Errorf("pull: sender %q at %q: want a VM name and ip:port", req.From, req.Control)
	}
	have := req.Have
	sameSite := req.Site == r.o.Self.Site()
	if !sameSite {
		have.Overlay = 0
	}
	r.contact(contact{vm: req.From, revs: have, addr: req.Control})
	wants := []struct {
		key  string
		have uint64
		keep bool
	}{{KeyBase, have.Base, true}, {r.o.Store.overlay, have.Overlay, sameSite}, {KeyVMs, have.VMs, true}}
	var reply PullReply
	size := 0
	for _, w := range wants {
		if !w.keep {
			continue
		}
		p, ok := r.o.Store.Parcel(w.key, w.have, req.Whole)
		if !ok {
			continue
		}
		if size > 0 && size+len(p.Data) > pullSize {
			reply.More = true
			continue
		}
		size += len(p.Data)
		reply.Docs = append(reply.Docs, p)
	}
	return reply, nil
}

// tickProbe compares revisions with a random peer. It finds the nodes that no
// tree reaches, for example because VM lists differ.
func (r *Relay) tickProbe(now time.Time) {
	if now.Before(r.nextProbe) {
		return
	}
	r.nextProbe = now.Add(r.around(probeInterval))
	vm, ok := r.pickPeer()
	if !ok {
		r.nextProbe = now.Add(r.around(seedInterval))
		vm, ok = r.pickSeed()
	}
	if ok {
		r.submit(func(ctx context.Context) { r.probe(ctx, vm) })
	}
}

// probe pulls from a peer. Where it does not answer, another one is due soon.
func (r *Relay) probe(ctx context.Context, vm board.VM) {
	if _, err := r.pullFrom(ctx, vm); err == nil {
		return
	}
	soon := r.o.Clock.Now().Add(probeRetry)
	r.mu.Lock()
	defer r.mu.Unlock()
	if soon.Before(r.nextProbe) {
		r.nextProbe = soon
	}
}

// pickSeed returns a random seed; its name and zone are not known.
func (r *Relay) pickSeed() (board.VM, bool) {
	if len(r.o.Seeds) == 0 {
		return board.VM{}, false
	}
	return board.NewVM(board.VMFields{ControlAddr: r.o.Seeds[r.rand.IntN(len(r.o.Seeds))]}), true
}

// pickPeer returns a random VM, in turn of the own zone and of the others.
func (r *Relay) pickPeer() (board.VM, bool) {
	r.choose()
	r.far = !r.far
	from := r.near
	if r.far && len(r.others) > 0 || len(r.near) == 0 {
		from = r.others
	}
	if len(from) == 0 {
		return board.VM{}, false
	}
	return r.o.Members().Get(from[r.rand.IntN(len(from))])
}
