package trial

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxActivationTime bounds the time until a configuration is active everywhere.
	maxActivationTime = 5 * time.Second
	watchInterval     = 200 * time.Millisecond
	// pollsPerScrape is the number of polls between two readings of metrics.
	pollsPerScrape = 5
	// pollTimeout bounds one poll of a node, which may be paused.
	pollTimeout = 400 * time.Millisecond
	// memoryLimit is the resident memory that a node may use, in bytes.
	memoryLimit = 128 << 20
)

// nodeStatus holds the fields of a node's status that are checked.
type nodeStatus struct {
	Incarnation string `json:"incarnation"`
	Revision    string `json:"revision"`
	Leaving     bool   `json:"leaving"`
	Fresh       bool   `json:"fresh"`
}

// revisionPair holds the active revisions of base and overlay.
type revisionPair struct{ base, overlay uint64 }

func (p revisionPair) String() string { return fmt.Sprintf("%d.%d", p.base, p.overlay) }

// nodeObservation is what was observed of one process of a node.
type nodeObservation struct {
	vm          string
	incarnation string
	pair        revisionPair
	// reachableSince is the time of the first of consecutive polls with a response,
	// zero if the last one had none.
	reachableSince time.Time
	// polls counts the responses; lateReported is set once a violation is recorded.
	polls        int
	lateReported bool
	// The fields below are the largest values read, summed over all series.
	memory            int64
	ingressCalls      float64
	extraAttempts     float64
	invariantFailures float64
}

// watch polls every node until ctx is done.
func (s *soak) watch(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	var want revisionPair
	var since time.Time
	for n := 0; ; n++ {
		var g errgroup.Group
		for _, server := range s.fleet.servers {
			g.Go(func() error {
				s.poll(ctx, server)
				if n%pollsPerScrape == 0 {
					s.scrape(ctx, server)
				}
				return nil
			})
		}
		_ = g.Wait()
		if next := s.expectedPair(ctx); next != want {
			want, since = next, time.Now()
		}
		s.checkActivePairs(want, since)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// statusOf returns a node's status, the zero value if it does not respond.
func (s *soak) statusOf(server *Server) nodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	var status nodeStatus
	if err := getJSON(ctx, "http://"+server.OperatorAddr+"/status", &status); err != nil {
		return nodeStatus{}
	}
	return status
}

func (s *soak) poll(ctx context.Context, server *Server) {
	status := s.statusOf(server)
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	observed := s.live[server.VM.Name]
	if status.Incarnation == "" {
		if observed != nil {
			observed.reachableSince = time.Time{}
		}
		s.mu.Unlock()
		return
	}
	if observed == nil || observed.incarnation != status.Incarnation {
		s.archiveObservation(server)
		observed = &nodeObservation{vm: server.VM.Name, incarnation: status.Incarnation}
		s.live[server.VM.Name] = observed
	}
	if observed.reachableSince.IsZero() {
		observed.reachableSince = time.Now()
	}
	observed.polls++
	before := observed.pair
	_, err := fmt.Sscanf(status.Revision, "%d.%d", &observed.pair.base, &observed.pair.overlay)
	after := observed.pair
	s.mu.Unlock()
	if err != nil {
		s.recordViolation(checkNoRollback, "%s: revision %q", server.VM.Name, status.Revision)
	}
	if after.base < before.base || after.overlay < before.overlay {
		s.recordViolation(checkNoRollback, "%s: went from %s back to %s", status.Incarnation, before, after)
	}
	s.checkAccepted(status.Incarnation, after)
}

// checkAccepted records an active pair with a document that must be rejected.
func (s *soak) checkAccepted(incarnation string, p revisionPair) {
	s.docs.mu.Lock()
	base := p.base == 0 || s.docs.accepted["base"][p.base]
	overlay := p.overlay == 0 || s.docs.accepted["overlay/"+s.fleet.plan.Site][p.overlay]
	s.docs.mu.Unlock()
	if !base || !overlay {
		s.recordViolation(checkActive, "%s: pair %s has a refused document", incarnation, p)
	}
}

// archiveObservation keeps the observation of a process that ended. The caller
// holds s.mu.
func (s *soak) archiveObservation(server *Server) {
	if observed := s.live[server.VM.Name]; observed != nil {
		s.ended = append(s.ended, *observed)
		delete(s.live, server.VM.Name)
	}
}

// expectedPair returns the highest accepted pair that the platform shows or
// that is active at any node.
func (s *soak) expectedPair(ctx context.Context) revisionPair {
	var p revisionPair
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
	for _, observed := range s.live {
		p.base, p.overlay = max(p.base, observed.pair.base), max(p.overlay, observed.pair.overlay)
	}
	return p
}

// checkActivePairs records nodes without the wanted pair although the platform
// and they have been reachable for 5 s.
func (s *soak) checkActivePairs(want revisionPair, since time.Time) {
	s.docs.mu.Lock()
	upSince := s.docs.upSince
	s.docs.mu.Unlock()
	if upSince.IsZero() {
		return
	}
	s.mu.Lock()
	var late []nodeObservation
	for _, observed := range s.live {
		if observed.reachableSince.IsZero() || observed.pair == want || observed.lateReported {
			continue
		}
		latest := since
		for _, t := range []time.Time{upSince, observed.reachableSince} {
			if t.After(latest) {
				latest = t
			}
		}
		if time.Since(latest) > maxActivationTime {
			observed.lateReported = true
			late = append(late, *observed)
		}
	}
	s.mu.Unlock()
	for _, observed := range late {
		s.recordViolation(checkActive, "%s: active pair is %s, want %s for %s", observed.incarnation, observed.pair, want, time.Since(since).Round(time.Millisecond))
	}
}

// scrape reads a node's metrics and memory.
func (s *soak) scrape(ctx context.Context, server *Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	body, err := request(ctx, http.MethodGet, "http://"+server.OperatorAddr+"/metrics", nil)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	observed := s.live[server.VM.Name]
	if observed == nil {
		return
	}
	if memory, err := residentMemory(server.node.PID()); err == nil {
		observed.memory = max(observed.memory, memory)
	}
	observed.ingressCalls = max(observed.ingressCalls, sumMetric(body, "dogwood_entry_total"))
	observed.extraAttempts = max(observed.extraAttempts, sumMetric(body, "dogwood_extra_attempts_total"))
	observed.invariantFailures = max(observed.invariantFailures, sumMetric(body, "dogwood_invariant_broken_total"))
}

func (s *soak) scrapeAll(ctx context.Context) {
	for _, server := range s.fleet.servers {
		s.scrape(ctx, server)
	}
}
