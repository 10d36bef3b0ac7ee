package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodhead/standin"
)

// documents tracks what was published.
type documents struct {
	mu sync.Mutex
	// next is the highest revision given out per key; accepted holds those that
	// nodes have to accept.
	next     map[string]uint64
	accepted map[string]map[uint64]bool
	burst    int
	// up is since when the platform answers with current values; zero while it
	// does not.
	up time.Time
	// changed is when something was published last.
	changed time.Time
}

// init reads the revisions that the start of the fleet made.
func (d *documents) init(ctx context.Context, f *Fleet) error {
	stats, err := f.PlatformStats(ctx)
	d.next, d.accepted, d.up = stats.Revisions, make(map[string]map[uint64]bool), time.Now()
	for key, rev := range stats.Revisions {
		d.accepted[key] = map[uint64]bool{rev: true}
	}
	return err
}

// take gives out the next revision of a key.
func (d *documents) take(key string, accepted bool) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next[key]++
	d.accepted[key][d.next[key]] = accepted
	return d.next[key]
}

func (s *soak) setPlatform(ctx context.Context, m standin.Mode) error {
	s.docs.mu.Lock()
	defer s.docs.mu.Unlock()
	s.docs.up = time.Time{}
	if err := s.fleet.SetPlatform(ctx, m); err != nil {
		return err
	}
	if m == standin.ModeUp {
		s.docs.up = time.Now()
	}
	return nil
}

// send publishes one revision. Two that are sent at once may arrive in either
// order; the platform then shows the older one as current.
func (s *soak) send(ctx context.Context, key string, body []byte, accepted bool) error {
	rev := s.docs.take(key, accepted)
	err := s.fleet.Publish(ctx, fmt.Sprintf("%s?revision=%d", key, rev), body)
	s.docs.mu.Lock()
	defer s.docs.mu.Unlock()
	s.docs.changed = time.Now()
	return err
}

// publish lets two publishers change base and overlay at once.
func (s *soak) publish(ctx context.Context, _ fault) error {
	var g errgroup.Group
	for range 2 {
		g.Go(func() error {
			base, err := s.changedBase()
			if err != nil {
				return err
			}
			return s.send(ctx, "base", base, true)
		})
		g.Go(func() error { return s.send(ctx, "overlay/"+s.fleet.plan.Site, s.fleet.plan.overlay, true) })
	}
	return g.Wait()
}

// changedBase returns a base that differs from all before in one number.
func (s *soak) changedBase() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.docs.burst++
	s.fleet.plan.base["burst"] = 50 + s.docs.burst%50
	return s.fleet.plan.Base()
}

// publishBad lets one publisher publish a document that is refused, while
// another one publishes a good one.
func (s *soak) publishBad(ctx context.Context, f fault) error {
	var g errgroup.Group
	g.Go(func() error { return s.send(ctx, "base", []byte(`{"classes": [], "nonsense": true}`), false) })
	g.Go(func() error { return s.send(ctx, "overlay/"+s.fleet.plan.Site, []byte(`{"site": 7`), false) })
	g.Go(func() error {
		base, err := s.changedBase()
		if err != nil {
			return err
		}
		return s.send(ctx, "base", base, true)
	})
	if err := g.Wait(); err != nil {
		return err
	}
	pause(ctx, f.last)
	return s.publish(ctx, f)
}

// publishLeaving marks a VM in the list as leaving or not.
func (s *soak) publishLeaving(ctx context.Context, v *Server, leaving bool) error {
	s.mu.Lock()
	v.VM.Leaving = leaving
	list, err := s.fleet.list()
	// Taken under the same lock, so that a higher revision is a newer list.
	rev := s.docs.take("vms", true)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.fleet.Publish(ctx, fmt.Sprintf("vms?revision=%d", rev), list)
}
