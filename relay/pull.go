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
	// minPullInterval is the shortest time between two pulls caused by an observed
	// revision. Hundreds of calls a second may carry the same higher revision.
	minPullInterval = 50 * time.Millisecond
	// unproductiveTTL is how long no pull is repeated for revisions that a peer
	// reported but did not return, for example of another site's overlay.
	unproductiveTTL = 10 * time.Second
	// maxUnproductive bounds the number of such peers.
	maxUnproductive = 2048
	// maxPullReplySize bounds the data of one reply in bytes; one document may
	// exceed it.
	maxPullReplySize = 256 << 10
	// maxPullRounds bounds the requests of one pull: one per document and one more
	// for each that has to be sent in full.
	maxPullRounds = 6
)

// pullTarget is a peer that reported higher revisions.
type pullTarget struct {
	vm   string
	revs Revs
	// addr is the peer's control ip:port, "" if the message did not include it.
	addr string
}

// unproductivePull holds the revisions reported by a peer that returned nothing new.
type unproductivePull struct {
	revs Revs
	at   time.Time
}

// ObserveRevisionPair processes the revision pair of a call or a response. The
// node pulls from the peer if that is ahead.
func (r *Relay) ObserveRevisionPair(vm string, rev frame.Revision) {
	r.observe(pullTarget{vm: vm, revs: Revs{Base: rev.Base(), Overlay: rev.Overlay()}})
}

// ObserveRevs is like ObserveRevisionPair for a heartbeat, which also has the
// revision of the VM list.
func (r *Relay) ObserveRevs(vm string, revs Revs) { r.observe(pullTarget{vm: vm, revs: revs}) }

func (r *Relay) observe(target pullTarget) {
	if target.vm == r.selfName() || !r.opts.Store.Revs().Behind(target.revs) {
		return
	}
	now := r.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.unproductive[target.vm]; ok && !last.revs.Behind(target.revs) && now.Sub(last.at) < unproductiveTTL {
		return
	}
	if r.pendingPull == nil || r.pendingPull.revs.Behind(target.revs) {
		r.pendingPull = &target
	}
	r.startPull(now)
}

// startPull starts the pending pull unless another one is running or
// minPullInterval has not passed. The caller holds mu.
func (r *Relay) startPull(now time.Time) {
	if r.pendingPull == nil || r.pulling || now.Before(r.nextPull) {
		return
	}
	target := *r.pendingPull
	r.pendingPull = nil
	vm, ok := r.lookup(target.vm)
	if !ok && target.addr != "" {
		vm, ok = board.NewVM(board.VMFields{Name: target.vm, ControlAddr: target.addr}), true
	}
	if !ok || !r.opts.Store.Revs().Behind(target.revs) {
		return
	}
	r.nextPull = now.Add(minPullInterval)
	r.pulling = r.submit(func(ctx context.Context) { r.runPull(ctx, vm, target.revs) })
}

// runPull pulls from a peer and records the peer if the pull was unproductive.
func (r *Relay) runPull(ctx context.Context, vm board.VM, revs Revs) {
	accepted, _ := r.pullFrom(ctx, vm)
	now := r.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulling = false
	if accepted == 0 && r.opts.Store.Revs().Behind(revs) {
		if len(r.unproductive) >= maxUnproductive {
			clear(r.unproductive)
		}
		r.unproductive[vm.Name()] = unproductivePull{revs: revs, at: now}
	}
	r.startPull(now)
}

// pullFrom requests all documents above this node's revisions from a peer and
// returns how many were accepted.
func (r *Relay) pullFrom(ctx context.Context, vm board.VM) (accepted int, err error) {
	var round pullRound
	for range maxPullRounds {
		r.counters.pulls.Inc()
		req := PullRequest{
			From: r.selfName(), ControlAddr: r.opts.Self.VM().ControlAddr(), Site: r.opts.Self.Site(),
			Have: r.opts.Store.Revs().Max(round.received), Full: round.full,
		}
		reply, err := r.opts.Pull(ctx, vm, req)
		if err != nil {
			r.counters.pullFailures.Inc()
			return accepted, err
		}
		round, err = r.offerReply(reply, round, vm.Name())
		accepted += round.accepted
		if err != nil || !round.again {
			return accepted, err
		}
	}
	return accepted, nil
}

// pullRound is the state of a pull after one of its rounds.
type pullRound struct {
	// received holds the highest revisions that the peer has sent, accepted or not.
	// Requests start after them: a document that was rejected must not be sent again
	// in place of those after it.
	received Revs
	// full is set once a delta did not apply.
	full bool
	// accepted is the number of documents that the round's reply added.
	accepted int
	// again is set if the peer has documents that it did not send.
	again bool
}

// offerReply offers the documents of a reply to the store.
func (r *Relay) offerReply(reply PullReply, last pullRound, from string) (pullRound, error) {
	round := pullRound{received: last.received, full: last.full, again: reply.More && len(reply.Docs) > 0}
	for _, enc := range reply.Docs {
		d, err := Decode(enc, deltaBase(enc, r.opts.Store.Current(enc.Key)))
		if errors.Is(err, errMissingBase) && !last.full {
			round.full, round.again = true, true
			continue
		}
		if err != nil {
			return round, err
		}
		round.received = round.received.with(enc.Key, enc.Rev)
		if r.offer(d, from) == Accepted {
			round.accepted++
		}
	}
	return round, nil
}

// HandlePull returns the documents that the sender lacks, and pulls from the
// sender if that is ahead.
func (r *Relay) HandlePull(_ context.Context, req PullRequest) (PullReply, error) {
	if _, err := netip.ParseAddrPort(req.ControlAddr); err != nil || !frame.ValidName(req.From) {
		return PullReply{}, fmt.Errorf("pull: sender %q at %q: want a VM name and ip:port", req.From, req.ControlAddr)
	}
	have := req.Have
	sameSite := req.Site == r.opts.Self.Site()
	if !sameSite {
		have.Overlay = 0
	}
	r.observe(pullTarget{vm: req.From, revs: have, addr: req.ControlAddr})
	candidates := []struct {
		key     string
		have    uint64
		include bool
	}{{KeyBase, have.Base, true}, {r.opts.Store.overlayKey, have.Overlay, sameSite}, {KeyVMs, have.VMs, true}}
	var reply PullReply
	size := 0
	for _, c := range candidates {
		if !c.include {
			continue
		}
		enc, ok := r.opts.Store.Encoded(c.key, c.have, req.Full)
		if !ok {
			continue
		}
		if size > 0 && size+len(enc.Data) > maxPullReplySize {
			reply.More = true
			continue
		}
		size += len(enc.Data)
		reply.Docs = append(reply.Docs, enc)
	}
	return reply, nil
}

// tickAntiEntropy starts a pull from a random peer if that is due. It brings the
// documents to nodes that no tree reaches, for example because VM lists differ.
func (r *Relay) tickAntiEntropy(now time.Time) {
	if now.Before(r.nextAntiEntropy) {
		return
	}
	r.nextAntiEntropy = now.Add(r.withJitter(antiEntropyInterval))
	vm, ok := r.nextRandomPeer()
	if !ok {
		r.nextAntiEntropy = now.Add(r.withJitter(seedPullInterval))
		vm, ok = r.randomSeed()
	}
	if ok {
		r.submit(func(ctx context.Context) { r.runAntiEntropy(ctx, vm) })
	}
}

// runAntiEntropy pulls from a peer. If that fails, the next pull is due after
// antiEntropyRetry.
func (r *Relay) runAntiEntropy(ctx context.Context, vm board.VM) {
	if _, err := r.pullFrom(ctx, vm); err == nil {
		return
	}
	retryAt := r.opts.Clock.Now().Add(antiEntropyRetry)
	r.mu.Lock()
	defer r.mu.Unlock()
	if retryAt.Before(r.nextAntiEntropy) {
		r.nextAntiEntropy = retryAt
	}
}

// randomSeed returns a random seed without name and zone, which are unknown.
func (r *Relay) randomSeed() (board.VM, bool) {
	if len(r.opts.Seeds) == 0 {
		return board.VM{}, false
	}
	return board.NewVM(board.VMFields{ControlAddr: r.opts.Seeds[r.rand.IntN(len(r.opts.Seeds))]}), true
}

// nextRandomPeer returns a random VM, alternately of the local zone and of a
// remote one. The caller holds mu.
func (r *Relay) nextRandomPeer() (board.VM, bool) {
	r.updateMembers()
	r.remoteTurn = !r.remoteTurn
	candidates := r.localPeers
	if r.remoteTurn && len(r.remotePeers) > 0 || len(r.localPeers) == 0 {
		candidates = r.remotePeers
	}
	if len(candidates) == 0 {
		return board.VM{}, false
	}
	return r.opts.Members().Get(candidates[r.rand.IntN(len(candidates))])
}
