package mesh

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
)

const (
	// exchangeInterval is the time between two exchanges with peers of any zone.
	exchangeInterval = 500 * time.Millisecond
	// catchUpInterval is the time between two exchanges while this node receives no
	// changes. The additional ones are with peers of its own zone, since traffic
	// between zones is expensive.
	catchUpInterval = 100 * time.Millisecond
	// peerRetention is how long a VM stays a peer after its backend server left
	// the list: its node may still run and may know no other node.
	peerRetention = 2 * time.Minute
	// maxPeers bounds the peers that are known from their requests only.
	maxPeers = 4096
	// storeReturnWindow is how long peers are notified that the store is back.
	storeReturnWindow = 10 * time.Second
)

// syncerOptions configures a syncer. All fields are required.
type syncerOptions struct {
	clock clockwork.Clock
	log   *logrus.Logger
	view  *catalog.View
	// selfAddr is this node's control address; port is the control port of all nodes.
	selfAddr string
	port     int
	// zone is this node's availability zone.
	zone string
	// receivesChanges reports whether this node receives changes, from the store or
	// from a reader.
	receivesChanges func() bool
	// outageEnded returns how long ago the store's last outage ended, as far as this node
	// and its readers know, and false if there was none.
	outageEnded func() (ago time.Duration, away bool)
	// requestView sends r to one node and returns the update.
	requestView func(ctx context.Context, addr string, r peer.ViewRequest) (peer.Update, error)
	// randomIntN returns a number in [0, n); nil means rand.IntN.
	randomIntN func(n int) int
}

// syncer exchanges the configuration and the list with other nodes, so that a
// node without access to the store gets them from its peers.
type syncer struct {
	opts syncerOptions

	mu sync.Mutex
	// peers holds the other nodes by control address.
	peers map[string]peerState
}

// peerState is the state of another node, known from the list or from a request.
type peerState struct {
	// zone is empty if the node was never listed.
	zone string
	// listed reports whether the list has a backend server on the node's VM.
	listed   bool
	lastSeen time.Time
}

func newSyncer(opts syncerOptions) *syncer {
	if opts.randomIntN == nil {
		opts.randomIntN = rand.IntN
	}
	return &syncer{opts: opts, peers: make(map[string]peerState)}
}

// updatePeers adds the VMs of the listed servers and drops expired peers.
func (s *syncer) updatePeers(servers []catalog.Server) {
	now := s.opts.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, node := range s.peers {
		node.listed = false
		s.peers[addr] = node
	}
	for _, server := range servers {
		if addr := onPort(server.Addr, s.opts.port); addr != "" && addr != s.opts.selfAddr {
			s.peers[addr] = peerState{zone: server.Zone, listed: true, lastSeen: now}
		}
	}
	for addr, node := range s.peers {
		if now.Sub(node.lastSeen) > peerRetention {
			delete(s.peers, addr)
		}
	}
}

// onPort returns the address with another port, "" if it is malformed.
func onPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// peerCount returns how many other nodes are known.
func (s *syncer) peerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// zonePeers returns the addresses of the other nodes in this node's zone.
func (s *syncer) zonePeers() []string {
	return s.peersWhere(func(p peerState) bool { return p.zone == s.opts.zone })
}

// listedZonePeers returns the addresses of the other nodes in this node's zone
// whose backend servers are listed.
func (s *syncer) listedZonePeers() []string {
	return s.peersWhere(func(p peerState) bool { return p.zone == s.opts.zone && p.listed })
}

// peersWhere returns the addresses of the other nodes for which match returns true.
func (s *syncer) peersWhere(match func(peerState) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for addr, node := range s.peers {
		if match(node) {
			out = append(out, addr)
		}
	}
	return out
}

// randomPeer returns a random node of any zone, false if none is known.
func (s *syncer) randomPeer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.randomAddr(slices.Collect(maps.Keys(s.peers)))
}

// randomZonePeer returns a random other node of this node's zone, or of any zone
// if none is known there; false if no node is known.
func (s *syncer) randomZonePeer() (string, bool) {
	if addr, ok := s.randomAddr(s.zonePeers()); ok {
		return addr, true
	}
	return s.randomPeer()
}

// randomAddr returns one of the addresses. They come from a map: without an order the
// choice would not follow from the random number, and a simulated run would not repeat.
func (s *syncer) randomAddr(addrs []string) (string, bool) {
	if len(addrs) == 0 {
		return "", false
	}
	slices.Sort(addrs)
	return addrs[s.opts.randomIntN(len(addrs))], true
}

// run exchanges state with random peers until ctx is done.
func (s *syncer) run(ctx context.Context) {
	nextAnyZone := s.opts.clock.Now().Add(exchangeInterval)
	for ctx.Err() == nil {
		wait := s.opts.clock.Until(nextAnyZone)
		if !s.opts.receivesChanges() {
			wait = min(wait, catchUpInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.opts.clock.After(wait):
		}
		choose := s.randomZonePeer
		if now := s.opts.clock.Now(); !now.Before(nextAnyZone) {
			choose, nextAnyZone = s.randomPeer, now.Add(exchangeInterval)
		}
		if addr, ok := choose(); ok {
			go s.exchange(ctx, addr)
		}
	}
}

// exchange requests an update from one node and applies what is newer.
func (s *syncer) exchange(ctx context.Context, addr string) {
	update, err := s.opts.requestView(ctx, addr, s.viewRequest())
	if err != nil {
		s.opts.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("peer does not answer")
		return
	}
	s.applyUpdate(update, addr)
}

// viewRequest returns the configuration version and list revision of this node.
func (s *syncer) viewRequest() peer.ViewRequest {
	return peer.ViewRequest{Version: s.opts.view.ConfigVersion(), Rev: s.opts.view.Rev(), From: s.opts.selfAddr}
}

// applyUpdate applies an update. Changes that start at a later revision than this
// node's have no effect.
func (s *syncer) applyUpdate(update peer.Update, from string) {
	if update.Config != nil && s.opts.view.ApplyConfig(catalog.NewConfig(*update.Config)) {
		s.opts.log.WithFields(logrus.Fields{"peer": from, "config": update.Config.Version}).Info("configuration from peer")
	}
	if update.Rev <= s.opts.view.Rev() {
		return
	}
	if update.SinceStoreRecovery > 0 {
		s.recordStoreReturn(update.SinceStoreRecovery)
	}
	switch {
	case update.List != nil:
		s.opts.view.ReplaceServers(*update.List)
	case update.BaseRev > 0 && update.BaseRev <= s.opts.view.Rev():
		events := make([]catalog.Event, 0, len(update.Changes))
		for _, c := range update.Changes {
			events = append(events, c.Event())
		}
		s.opts.view.ApplyEvents(events, update.Rev)
	default:
		return
	}
	if update.List != nil || len(update.Changes) > 0 {
		s.logListFrom(from, update)
	}
}

// logListFrom logs a list from a peer, and when the store returned, from when on entries
// that are removed may have expired.
func (s *syncer) logListFrom(from string, update peer.Update) {
	fields := logrus.Fields{"peer": from, "list": update.Rev, "changes": len(update.Changes)}
	addStoreReturn(fields, s.opts.view)
	s.opts.log.WithFields(fields).Info("list from peer")
}

// recordStoreReturn records that the store returned, by a peer's report some time ago. If
// it was not away for this node and its readers, the peer's own connections had failed; if
// it responded to them before that time, the peer was cut off for longer.
func (s *syncer) recordStoreReturn(reported time.Duration) {
	if ago, away := s.opts.outageEnded(); away {
		s.opts.view.RecordStoreReturn(max(ago, reported))
	}
}

// updateFor returns what is newer at this node than at the requesting one. It
// waits until this node acts on all of that: a peer that learned first that the
// local backend server is back would have its requests refused.
func (s *syncer) updateFor(r peer.ViewRequest) peer.Update {
	defer s.opts.view.WaitInForce()
	update := peer.Update{Rev: s.opts.view.Rev()}
	if update.Rev > r.Rev {
		s.addListChanges(&update, r.Rev)
	}
	// The configuration is read last: the receiver follows the store from the
	// list's revision and would miss a configuration before it.
	update.Version = s.opts.view.ConfigVersion()
	if c := s.opts.view.Config(); c != nil && c.Version() > r.Version {
		d := c.Document()
		update.Config = &d
	}
	return update
}

// versions returns an update that holds this node's versions only.
func (s *syncer) versions() peer.Update {
	return peer.Update{Rev: s.opts.view.Rev(), Version: s.opts.view.ConfigVersion()}
}

// addListChanges adds the changes of the list after a revision to the update, or
// the whole list if they are not known.
func (s *syncer) addListChanges(update *peer.Update, rev uint64) {
	if ago, ok := s.opts.view.SinceStoreReturn(); ok && ago < storeReturnWindow {
		update.SinceStoreRecovery = max(ago, 1)
	}
	if changes, ok := s.opts.view.ChangesSince(rev); ok && rev > 0 {
		update.BaseRev, update.Changes = rev, changes
		return
	}
	l := s.opts.view.Listing()
	update.List, update.Rev = &l, l.Rev
}

// recordRequester records a node that made a request, and reports whether it is a
// peer. A sender whose address cannot be that of a node is none: the retry budget
// would be shared with it, and this node would ask it for updates.
func (s *syncer) recordRequester(addr string) bool {
	now := s.opts.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	node, known := s.peers[addr]
	if !known && (len(s.peers) >= maxPeers || !s.isControlAddr(addr)) {
		s.opts.log.WithField("peer", addr).Warn("sender of a request is not a node")
		return false
	}
	node.lastSeen = now
	s.peers[addr] = node
	return true
}

// isControlAddr reports whether addr can be the control address of another node.
func (s *syncer) isControlAddr(addr string) bool {
	at, err := netip.ParseAddrPort(addr)
	return err == nil && int(at.Port()) == s.opts.port && addr != s.opts.selfAddr
}

// handleView responds to another node, and requests an update if it is ahead.
func (s *syncer) handleView(ctx context.Context, r peer.ViewRequest) (peer.Update, error) {
	known := s.recordRequester(r.From)
	update := s.updateFor(r)
	if known && (r.Version > update.Version || r.Rev > update.Rev) {
		go s.exchange(context.WithoutCancel(ctx), r.From)
	}
	return update, nil
}
