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
	// peers, while the store answers and while it does not.
	calmInterval = time.Second
	lostInterval = 100 * time.Millisecond
	// remembered is how long the address of a VM is asked after its backend
	// server left the list: the node beside it may still run, and may know no one.
	remembered = 2 * time.Minute
)

// syncOptions configures a syncer. All fields are required.
type syncOptions struct {
	clock clockwork.Clock
	log   *logrus.Logger
	view  *catalog.View
	// self is this node's control address, port that of all nodes.
	self string
	port int
	// up reports whether the store answers this node.
	up func() bool
	// ask makes one exchange.
	ask func(ctx context.Context, addr string, r peer.ViewRequest) (peer.ViewReply, error)
	// pick returns a number in [0, n).
	pick func(n int) int
}

// syncer exchanges configuration and list with other nodes, so that a node that
// the store turns away learns them from the others.
type syncer struct {
	o syncOptions

	mu sync.Mutex
	// known maps a control address to when it was last known to be a node's.
	known map[string]time.Time
}

func newSyncer(o syncOptions) *syncer {
	if o.pick == nil {
		o.pick = rand.IntN
	}
	return &syncer{o: o, known: make(map[string]time.Time)}
}

// learn remembers the VMs of the listed backend servers.
func (s *syncer) learn(servers []catalog.Server) {
	now := s.o.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range servers {
		if addr := onPort(server.Address, s.o.port); addr != "" && addr != s.o.self {
			s.known[addr] = now
		}
	}
	for addr, at := range s.known {
		if now.Sub(at) > remembered {
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
		if !s.o.up() {
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
	reply, err := s.o.ask(ctx, addr, s.request())
	if err != nil {
		s.o.log.WithFields(logrus.Fields{"peer": addr, "error": err.Error()}).Debug("peer does not answer")
		return
	}
	if reply.Config != nil && s.o.view.Offer(catalog.NewConfig(*reply.Config)) {
		s.o.log.WithFields(logrus.Fields{"peer": addr, "config": reply.Config.Version}).Info("configuration from peer")
	}
	if reply.List != nil {
		s.o.log.WithFields(logrus.Fields{"peer": addr, "list": reply.List.Rev, "servers": len(reply.List.Servers)}).Info("list from peer")
		s.o.view.Replace(*reply.List)
	}
}

func (s *syncer) request() peer.ViewRequest {
	return peer.ViewRequest{Version: s.o.view.Version(), Rev: s.o.view.Rev(), Lost: !s.o.up(), From: s.o.self}
}

// handle answers another node. A sender that knows more is asked in turn, where
// this node can't learn it from the store.
func (s *syncer) handle(ctx context.Context, r peer.ViewRequest) (peer.ViewReply, error) {
	s.mu.Lock()
	s.known[r.From] = s.o.clock.Now()
	s.mu.Unlock()
	reply := peer.ViewReply{Version: s.o.view.Version(), Rev: s.o.view.Rev()}
	if c := s.o.view.Config(); c != nil && c.Version() > r.Version {
		d := c.Document()
		reply.Config = &d
	}
	if r.Lost && reply.Rev > r.Rev {
		l := s.o.view.Listing()
		reply.List = &l
	}
	if !s.o.up() && (r.Version > reply.Version || r.Rev > reply.Rev) {
		go s.exchange(context.WithoutCancel(ctx), r.From)
	}
	return reply, nil
}
