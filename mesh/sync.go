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
	// calmInterval and lostInterval are the times between two exchanges with
	// peers, while this node is told of changes and while it is not.
	calmInterval = 500 * time.Millisecond
	lostInterval = 100 * time.Millisecond
	// remembered is how long the address of a VM is asked after its backend
	// server left the list: the node beside it may still run, and may know no one.
	remembered = 2 * time.Minute
	// recentReturn is how long the return of the store is passed on.
	recentReturn = 10 * time.Second
)

// syncOptions configures a syncer. All fields are required.
type syncOptions struct {
	clock clockwork.Clock
	log   *logrus.Logger
	view  *catalog.View
	// self is this node's control address, port that of all nodes.
	self string
	port int
	// zone is the own zone.
	zone string
	// informed reports whether this node is told of changes, by the store or by a
	// node that reads it.
	informed func() bool
	// ask makes one exchange.
	ask func(ctx context.Context, addr string, r peer.ViewRequest) (peer.Update, error)
	// pick returns a number in [0, n).
	pick func(n int) int
}

// syncer exchanges configuration and list with other nodes, so that a node that
// the store turns away learns them from the others.
type syncer struct {
	o syncOptions

	mu sync.Mutex
	// known maps a control address to what is known of the node.
	known map[string]knownNode
}

// knownNode is a node that was heard of.
type knownNode struct {
	// zone is empty where the list never named it.
	zone string
	at   time.Time
}

func newSyncer(o syncOptions) *syncer {
	if o.pick == nil {
		o.pick = rand.IntN
	}
	return &syncer{o: o, known: make(map[string]knownNode)}
}

// learn remembers the VMs of the listed backend servers.
func (s *syncer) learn(servers []catalog.Server) {
	now := s.o.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range servers {
		if addr := onPort(server.Address, s.o.port); addr != "" && addr != s.o.self {
			s.known[addr] = knownNode{zone: server.Zone, at: now}
		}
	}
	for addr, k := range s.known {
		if now.Sub(k.at) > remembered {
			delete(s.known, addr)
		}
	}
}

// onPort returns another address on the VM of an address, "" where it has none.
func onPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// nodes returns how many other nodes are known.
func (s *syncer) nodes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.known)
}

// neighbours returns the other nodes of the own zone.
func (s *syncer) neighbours() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for addr, k := range s.known {
		if k.zone == s.o.zone {
			out = append(out, addr)
		}
	}
	return out
}

func (s *syncer) choose() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.known) == 0 {
		return "", false
	}
	n := s.o.pick(len(s.known))
	for addr := range s.known {
		if n == 0 {
			return addr, true
		}
		n--
	}
	return "", false
}

// run exchanges until ctx ends.
func (s *syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := calmInterval
		if !s.o.informed() {
			wait = lostInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-s.o.clock.After(wait):
		}
		if addr, ok := s.choose(); ok {
			go s.exchange(ctx, addr)
		}
	}
}

// exchange asks one node and takes over what it knows better.
func (s *syncer) exchange(ctx context.Context, addr string) {
	u, err := s.o.ask(ctx, addr, s.state())
	if err != nil {
		s.o.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("peer does not answer")
		return
	}
	s.take(u, addr)
}

// state says what this node knows.
func (s *syncer) state() peer.ViewRequest {
	return peer.ViewRequest{Version: s.o.view.Version(), Rev: s.o.view.Rev(), From: s.o.self}
}

// take takes over an update. One that starts at a later revision has no effect.
func (s *syncer) take(u peer.Update, from string) {
	if u.Config != nil && s.o.view.Offer(catalog.NewConfig(*u.Config)) {
		s.o.log.WithFields(logrus.Fields{"peer": from, "config": u.Config.Version}).Info("configuration from peer")
	}
	if u.Rev <= s.o.view.Rev() {
		return
	}
	if u.SinceStoreRecovery > 0 {
		s.o.view.Returned(u.SinceStoreRecovery)
	}
	switch {
	case u.List != nil:
		s.o.view.Replace(*u.List)
	case u.BaseRev > 0 && u.BaseRev <= s.o.view.Rev():
		events := make([]catalog.Event, 0, len(u.Changes))
		for _, c := range u.Changes {
			events = append(events, c.Event())
		}
		s.o.view.Apply(events, u.Rev)
	default:
		return
	}
	if u.List != nil || len(u.Changes) > 0 {
		s.o.log.WithFields(logrus.Fields{"peer": from, "list": u.Rev, "changes": len(u.Changes)}).Info("list from peer")
	}
}

// update returns what this node knows better than another.
func (s *syncer) update(r peer.ViewRequest) peer.Update {
	u := peer.Update{Version: s.o.view.Version(), Rev: s.o.view.Rev()}
	if c := s.o.view.Config(); c != nil && c.Version() > r.Version {
		d := c.Document()
		u.Config = &d
	}
	if u.Rev <= r.Rev {
		return u
	}
	if ago, ok := s.o.view.SinceReturn(); ok && ago < recentReturn {
		u.SinceStoreRecovery = max(ago, 1)
	}
	changes, ok := s.o.view.Since(r.Rev)
	if ok && r.Rev > 0 {
		u.BaseRev, u.Changes = r.Rev, changes
		return u
	}
	l := s.o.view.Listing()
	u.List, u.Rev = &l, l.Rev
	return u
}

// handle answers another node, and asks it in turn where it knows more.
func (s *syncer) handle(ctx context.Context, r peer.ViewRequest) (peer.Update, error) {
	s.mu.Lock()
	k := s.known[r.From]
	k.at = s.o.clock.Now()
	s.known[r.From] = k
	s.mu.Unlock()
	u := s.update(r)
	if r.Version > u.Version || r.Rev > u.Rev {
		go s.exchange(context.WithoutCancel(ctx), r.From)
	}
	return u, nil
}
