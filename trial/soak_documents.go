package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodhead/standin"
)

// documents tracks the published revisions. mu guards the fields.
type documents struct {
	mu sync.Mutex
	// lastRevision is the highest revision allocated per key; accepted marks
	// those that nodes have to accept.
	lastRevision map[string]uint64
	accepted     map[string]map[uint64]bool
	burstChanges int // guarded by soak.mu instead
	// upSince is when the platform recovered last; zero while it is down or stale.
	upSince time.Time
}

// init reads the revisions published by the start of the fleet.
func (d *documents) init(ctx context.Context, f *Fleet) error {
	stats, err := f.PlatformStats(ctx)
	d.lastRevision, d.accepted, d.upSince = stats.Revisions, make(map[string]map[uint64]bool), time.Now()
	for key, rev := range stats.Revisions {
		d.accepted[key] = map[uint64]bool{rev: true}
	}
	return err
}

// allocateRevision allocates the next revision of a key.
func (d *documents) allocateRevision(key string, accepted bool) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRevision[key]++
	d.accepted[key][d.lastRevision[key]] = accepted
	return d.lastRevision[key]
}

func (s *soak) setPlatformMode(ctx context.Context, mode standin.Mode) error {
	s.docs.mu.Lock()
	defer s.docs.mu.Unlock()
	s.docs.upSince = time.Time{}
	if err := s.fleet.SetPlatformMode(ctx, mode); err != nil {
		return err
	}
	if mode == standin.ModeUp {
		s.docs.upSince = time.Now()
	}
	return nil
}

// publishRevision publishes one revision. Two that are published at once may
// arrive in either order; the platform then shows the older one as current.
func (s *soak) publishRevision(ctx context.Context, key string, body []byte, accepted bool) error {
	rev := s.docs.allocateRevision(key, accepted)
	err := s.fleet.Publish(ctx, fmt.Sprintf("%s?revision=%d", key, rev), body)
	s.docs.mu.Lock()
	defer s.docs.mu.Unlock()
	return err
}

// publishConcurrently lets two publishers change base and overlay at once.
func (s *soak) publishConcurrently(ctx context.Context, _ fault) error {
	var g errgroup.Group
	for range 2 {
		g.Go(func() error {
			base, err := s.nextBase()
			if err != nil {
				return err
			}
			return s.publishRevision(ctx, "base", base, true)
		})
		g.Go(func() error { return s.publishRevision(ctx, "overlay/"+s.fleet.plan.Site, s.fleet.plan.overlay, true) })
	}
	return g.Wait()
}

// nextBase returns a base that differs from the previous one in one number.
func (s *soak) nextBase() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.docs.burstChanges++
	s.fleet.plan.base["burst"] = 50 + s.docs.burstChanges%50
	return s.fleet.plan.BaseJSON()
}

// publishInvalid lets one publisher publish documents that must be rejected,
// while another one publishes a valid one.
func (s *soak) publishInvalid(ctx context.Context, f fault) error {
	var g errgroup.Group
	g.Go(func() error {
		return s.publishRevision(ctx, "base", []byte(`{"classes": [], "nonsense": true}`), false)
	})
	g.Go(func() error { return s.publishRevision(ctx, "overlay/"+s.fleet.plan.Site, []byte(`{"site": 7`), false) })
	g.Go(func() error {
		base, err := s.nextBase()
		if err != nil {
			return err
		}
		return s.publishRevision(ctx, "base", base, true)
	})
	if err := g.Wait(); err != nil {
		return err
	}
	sleep(ctx, f.duration)
	return s.publishConcurrently(ctx, f)
}

// publishLeaving marks a VM in the list as leaving or not.
func (s *soak) publishLeaving(ctx context.Context, server *Server, leaving bool) error {
	s.mu.Lock()
	server.VM.Leaving = leaving
	list, err := s.fleet.vmList()
	// Allocated under the same lock, so that a higher revision is a newer list.
	rev := s.docs.allocateRevision("vms", true)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.fleet.Publish(ctx, fmt.Sprintf("vms?revision=%d", rev), list)
}
