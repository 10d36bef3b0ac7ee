package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/catalog"
)

const (
	// discoveryInterval is the time between two stale reads. They cost a tenth of
	// other calls to the store.
	discoveryInterval = 250 * time.Millisecond
	// discoveryTimeout bounds the discovery of a node whose backend server is not
	// in the list. Stale reads may be seconds old.
	discoveryTimeout = time.Second
	// discoveryPeerTimeout bounds the request for the state to one peer of the zone.
	// After a power failure no peer responds.
	discoveryPeerTimeout = 100 * time.Millisecond
)

// discoveryOptions configures a discovery. All fields are required.
type discoveryOptions struct {
	clock clockwork.Clock
	log   *logrus.Logger
	view  *catalog.View
	// backendAddr is the address of the local backend server.
	backendAddr string
	// listStale returns a list of the backend servers that may be seconds old.
	listStale func(ctx context.Context) ([]catalog.Server, error)
	// addPeers adds the nodes beside the servers to the peers.
	addPeers func(servers []catalog.Server)
	// askPeer requests the state from one peer of the zone, if there are any, and
	// waits for it.
	askPeer func(ctx context.Context)
	// peerTimeout bounds askPeer.
	peerTimeout time.Duration
}

// discovery finds the other nodes for a node that has just started. It uses
// stale reads of the store, which are cheap, and only for the addresses: the node
// then gets the current state from its peers, or reads it as one of the readers of
// its zone.
type discovery struct {
	opts discoveryOptions

	mu sync.Mutex
	// finishedAt is zero until the discovery has finished.
	finishedAt time.Time
}

func newDiscovery(opts discoveryOptions) *discovery { return &discovery{opts: opts} }

// run reads the list until it contains the local backend server, so that it is
// recent enough to contain the other nodes too, until a peer has sent the state,
// or for discoveryTimeout.
func (d *discovery) run(ctx context.Context) {
	started := d.opts.clock.Now()
	for ctx.Err() == nil && d.opts.view.Rev() == 0 && d.opts.clock.Since(started) < discoveryTimeout {
		servers, err := d.opts.listStale(ctx)
		if err != nil {
			d.opts.log.WithField("error", err.Error()).Debug("stale read failed")
		}
		d.opts.addPeers(servers)
		d.askPeer(ctx)
		if d.opts.view.Rev() > 0 || slices.ContainsFunc(servers, func(s catalog.Server) bool { return s.Addr == d.opts.backendAddr }) {
			break
		}
		select {
		case <-ctx.Done():
		case <-d.opts.clock.After(discoveryInterval):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finishedAt = d.opts.clock.Now()
}

func (d *discovery) askPeer(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.opts.clock, d.opts.peerTimeout)
	defer cancel()
	d.opts.askPeer(ctx)
}

// sinceFinished returns the time since the discovery finished, and false if it
// has not.
func (d *discovery) sinceFinished() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opts.clock.Since(d.finishedAt), !d.finishedAt.IsZero()
}
