package trial

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// inForceLimit is the time until a configuration is in force everywhere.
	inForceLimit = 5 * time.Second
	watchPoll    = 200 * time.Millisecond
	// scrapeEvery is the number of polls between two readings of metrics.
	scrapeEvery = 5
	// pollLimit bounds one poll of a node, which may be paused.
	pollLimit = 400 * time.Millisecond
	// memoryLimit is what a node may use.
	memoryLimit = 128 << 20
)

// nodeStatus is the part of a node's status that is watched.
type nodeStatus struct {
	Incarnation string `json:"incarnation"`
	Revision    string `json:"revision"`
	Leaving     bool   `json:"leaving"`
	Fresh       bool   `json:"fresh"`
}

// pair is a revision pair in force.
type pair struct{ base, overlay uint64 }

func (p pair) String() string { return fmt.Sprintf("%d.%d", p.base, p.overlay) }

// watched is what was seen of one process of a node.
type watched struct {
	vm          string
	incarnation string
	pair        pair
	// reachable is since when every poll was answered; zero where the last was not.
	reachable time.Time
	// polls counts the answers; late is set once a missed deadline is recorded.
	polls int
	late  bool
	// The rest is from the last reading of the metrics, sums over all series.
	memory int64
	entry  float64
	extra  float64
	broken float64
}

// watch polls every node until ctx ends.
func (s *soak) watch(ctx context.Context) {
	tick := time.NewTicker(watchPoll)
	defer tick.Stop()
	var want pair
	var since time.Time
	for n := 0; ; n++ {
		var g errgroup.Group
		for _, v := range s.fleet.servers {
			g.Go(func() error {
				s.poll(ctx, v)
				if n%scrapeEvery == 0 {
					s.scrape(ctx, v)
				}
				return nil
			})
		}
		_ = g.Wait()
		if next := s.wanted(ctx); next != want {
			want, since = next, time.Now()
		}
		s.checkInForce(want, since)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// statusOf returns a node's status, the zero value where it does not answer.
func (s *soak) statusOf(v *Server) nodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), pollLimit)
	defer cancel()
	var st nodeStatus
	if err := getJSON(ctx, "http://"+v.Operator+"/status", &st); err != nil {
		return nodeStatus{}
	}
	return st
}

func (s *soak) poll(ctx context.Context, v *Server) {
	st := s.statusOf(v)
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	w := s.live[v.VM.Name]
	if st.Incarnation == "" {
		if w != nil {
			w.reachable = time.Time{}
		}
		s.mu.Unlock()
		return
	}
	if w == nil || w.incarnation != st.Incarnation {
		s.retire(v)
		w = &watched{vm: v.VM.Name, incarnation: st.Incarnation}
		s.live[v.VM.Name] = w
	}
	if w.reachable.IsZero() {
		w.reachable = time.Now()
	}
	w.polls++
	before := w.pair
	_, err := fmt.Sscanf(st.Revision, "%d.%d", &w.pair.base, &w.pair.overlay)
	after := w.pair
	s.mu.Unlock()
	if err != nil {
		s.broken(checkForward, "%s: revision %q", v.VM.Name, st.Revision)
	}
	if after.base < before.base || after.overlay < before.overlay {
		s.broken(checkForward, "%s: went from %s back to %s", st.Incarnation, before, after)
	}
	s.checkAccepted(st.Incarnation, after)
}

// checkAccepted finds a pair in force that was to be refused.
func (s *soak) checkAccepted(incarnation string, p pair) {
	s.docs.mu.Lock()
	base := p.base == 0 || s.docs.accepted["base"][p.base]
	overlay := p.overlay == 0 || s.docs.accepted["overlay/"+s.fleet.plan.Site][p.overlay]
	s.docs.mu.Unlock()
	if !base || !overlay {
		s.broken(checkInForce, "%s: pair %s has a refused document", incarnation, p)
	}
}

// retire keeps what was seen of a process that ended; the caller holds the lock.
func (s *soak) retire(v *Server) {
	if w := s.live[v.VM.Name]; w != nil {
		s.past = append(s.past, *w)
		delete(s.live, v.VM.Name)
	}
}

// wanted returns the highest accepted pair that the platform shows or that any
// node has in force.
func (s *soak) wanted(ctx context.Context) pair {
	var p pair
	if stats, err := s.fleet.PlatformStats(ctx); err == nil {
		s.docs.mu.Lock()
		if rev := stats.Revisions["base"]; s.docs.accepted["base"][rev] {
			p.base = rev
		}
		key := "overlay/" + s.fleet.plan.Site
		if rev := stats.Revisions[key]; s.docs.accepted[key][rev] {
			p.overlay = rev
		}
		s.docs.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.live {
		p.base, p.overlay = max(p.base, w.pair.base), max(p.overlay, w.pair.overlay)
	}
	return p
}

// checkInForce finds nodes that lack the wanted pair though the platform and
// they could be reached for 5 s.
func (s *soak) checkInForce(want pair, since time.Time) {
	s.docs.mu.Lock()
	up := s.docs.up
	s.docs.mu.Unlock()
	if up.IsZero() {
		return
	}
	s.mu.Lock()
	var late []watched
	for _, w := range s.live {
		if w.reachable.IsZero() || w.pair == want || w.late {
			continue
		}
		latest := since
		for _, t := range []time.Time{up, w.reachable} {
			if t.After(latest) {
				latest = t
			}
		}
		if time.Since(latest) > inForceLimit {
			w.late = true
			late = append(late, *w)
		}
	}
	s.mu.Unlock()
	for _, w := range late {
		s.broken(checkInForce, "%s has %s in force, want %s since %s", w.incarnation, w.pair, want, time.Since(since).Round(time.Millisecond))
	}
}

// scrape reads a node's metrics and memory.
func (s *soak) scrape(ctx context.Context, v *Server) {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	body, err := request(ctx, http.MethodGet, "http://"+v.Operator+"/metrics", nil)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.live[v.VM.Name]
	if w == nil {
		return
	}
	if memory, err := residentMemory(v.node.PID()); err == nil {
		w.memory = max(w.memory, memory)
	}
	w.entry = max(w.entry, sumMetric(body, "dogwood_entry_total"))
	w.extra = max(w.extra, sumMetric(body, "dogwood_extra_attempts_total"))
	w.broken = max(w.broken, sumMetric(body, "dogwood_invariant_broken_total"))
}

func (s *soak) scrapeAll(ctx context.Context) {
	for _, v := range s.fleet.servers {
		s.scrape(ctx, v)
	}
}
