package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
)

const (
	// informedInterval and uninformedInterval are the times between two exchanges
	// with peers, while this node receives changes and while it does not.
	informedInterval   = 500 * time.Millisecond
	uninformedInterval = 100 * time.Millisecond
	// peerRetention is how long a VM stays a peer after its backend server left
	// the list: its node may still run and may know no other node.
	peerRetention = 2 * time.Minute
	// storeReturnWindow is how long peers are notified that the store is back.
	storeReturnWindow = 10 * time.Second
)

// syncOptions configures a syncer. All fields are required.
type syncOptions struct {
	clock clockwork.Clock
	log   *logrus.Logger
	view  *catalog.View
	// self is this node's control address; port is the control port of all nodes.
	self string
	port int
	// zone is this node's availability zone.
	zone string
	// informed reports whether this node receives changes, from the store or from
	// a reader.
	informed func() bool
	// requestView sends r to one node and returns the update.
	requestView func(ctx context.Context, addr string, r peer.ViewRequest) (peer.Update, error)
	// randomIntN returns a number in [0, n); nil means rand.IntN.
	randomIntN func(n int) int
}

// syncer exchanges the configuration and the list with other nodes, so that a
// node without access to the store gets them from its peers.
type syncer struct {
	opts syncOptions

	mu sync.Mutex
	// peers maps the control address of each other node to what is known of it.
	peers map[string]peerNode
}

// peerNode is another node, listed or met in an exchange.
type peerNode struct {
	// zone is empty if the node was never listed.
	zone string
	seen time.Time
}

func newSyncer(o syncOptions) *syncer {
	if o.randomIntN == nil {
		o.randomIntN = rand.IntN
	}
	return &syncer{opts: o, peers: make(map[string]peerNode)}
}

// updatePeers adds the VMs of the listed servers and drops expired peers.
func (s *syncer) updatePeers(servers []catalog.Server) {
	now := s.opts.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range servers {
		if addr := onPort(server.Addr, s.opts.port); addr != "" && addr != s.opts.self {
			s.peers[addr] = peerNode{zone: server.Zone, seen: now}
		}
	}
	for addr, node := range s.peers {
		if now.Sub(node.seen) > peerRetention {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for addr, node := range s.peers {
		if node.zone == s.opts.zone {
			out = append(out, addr)
		}
	}
	return out
}

func (s *syncer) randomPeer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 {
		return "", false
	}
	n := s.opts.randomIntN(len(s.peers))
	for addr := range s.peers {
		if n == 0 {
			return addr, true
		}
		n--
	}
	return "", false
}

// run exchanges with random peers until ctx ends.
func (s *syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := informedInterval
		if !s.opts.informed() {
			wait = uninformedInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-s.opts.clock.After(wait):
		}
		if addr, ok := s.randomPeer(); ok {
			go s.exchange(ctx, addr)
		}
	}
}

// exchange requests an update from one node and applies what is newer.
func (s *syncer) exchange(ctx context.Context, addr string) {
	u, err := s.opts.requestView(ctx, addr, s.viewRequest())
	if err != nil {
		s.opts.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("peer does not answer")
		return
	}
	s.applyUpdate(u, addr)
}

// viewRequest returns the configuration version and list revision of this node.
func (s *syncer) viewRequest() peer.ViewRequest {
	return peer.ViewRequest{Version: s.opts.view.ConfigVersion(), Rev: s.opts.view.Rev(), From: s.opts.self}
}

// applyUpdate applies an update. Changes that start at a later revision than this
// node's have no effect.
func (s *syncer) applyUpdate(u peer.Update, from string) {
	if u.Config != nil && s.opts.view.ApplyConfig(catalog.NewConfig(*u.Config)) {
		s.opts.log.WithFields(logrus.Fields{"peer": from, "config": u.Config.Version}).Info("configuration from peer")
	}
	if u.Rev <= s.opts.view.Rev() {
		return
	}
	if u.SinceStoreRecovery > 0 {
		s.opts.view.RecordStoreReturn(u.SinceStoreRecovery)
	}
	switch {
	case u.List != nil:
		s.opts.view.ReplaceServers(*u.List)
	case u.BaseRev > 0 && u.BaseRev <= s.opts.view.Rev():
		events := make([]catalog.Event, 0, len(u.Changes))
		for _, c := range u.Changes {
			events = append(events, c.Event())
		}
		s.opts.view.ApplyEvents(events, u.Rev)
	default:
		return
	}
	if u.List != nil || len(u.Changes) > 0 {
		s.opts.log.WithFields(logrus.Fields{"peer": from, "list": u.Rev, "changes": len(u.Changes)}).Info("list from peer")
	}
}

// updateFor returns what is newer at this node than at the requesting one.
func (s *syncer) updateFor(r peer.ViewRequest) peer.Update {
	u := peer.Update{Version: s.opts.view.ConfigVersion(), Rev: s.opts.view.Rev()}
	if c := s.opts.view.Config(); c != nil && c.Version() > r.Version {
		d := c.Document()
		u.Config = &d
	}
	if u.Rev <= r.Rev {
		return u
	}
	if ago, ok := s.opts.view.SinceStoreReturn(); ok && ago < storeReturnWindow {
		u.SinceStoreRecovery = max(ago, 1)
	}
	changes, ok := s.opts.view.ChangesSince(r.Rev)
	if ok && r.Rev > 0 {
		u.BaseRev, u.Changes = r.Rev, changes
		return u
	}
	l := s.opts.view.Listing()
	u.List, u.Rev = &l, l.Rev
	return u
}

// handleView responds to another node, and requests an update if it is ahead.
func (s *syncer) handleView(ctx context.Context, r peer.ViewRequest) (peer.Update, error) {
	s.mu.Lock()
	node := s.peers[r.From]
	node.seen = s.opts.clock.Now()
	s.peers[r.From] = node
	s.mu.Unlock()
	u := s.updateFor(r)
	if r.Version > u.Version || r.Rev > u.Rev {
		go s.exchange(context.WithoutCancel(ctx), r.From)
	}
	return u, nil
}
