package standin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreMode is how the store responds.
type StoreMode string

// Modes of the store.
const (
	// StoreUp serves all requests.
	StoreUp StoreMode = "up"
	// StoreBusy responds with 503.
	StoreBusy StoreMode = "busy"
	// StoreReset closes connections without a response.
	StoreReset StoreMode = "reset"
	// StoreSilent never responds.
	StoreSilent StoreMode = "silent"
)

// rangePageSize is the maximum number of items in one page.
const rangePageSize = 50

// Store is a stand-in for the store of the users' platform, whose keys
// operators and backend servers write, and nodes read and watch.
type Store struct {
	mu  sync.Mutex
	rev uint64
	// items holds the current value of each key.
	items map[string]storeItem
	// events holds the history after revision compactedRev.
	events       []storeEvent
	compactedRev uint64
	// changed is closed and replaced at each change of keys, mode or refusedIPs.
	changed chan struct{}
	mode    StoreMode
	// refusedIPs holds the client IP addresses that are refused.
	refusedIPs map[string]bool
	requests   int
	// headerTimeout and idleTimeout are limits in the next configuration.
	headerTimeout, idleTimeout time.Duration
}

type storeItem struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rev     uint64 `json:"revision"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

type storeEvent struct {
	storeItem
	Deleted bool `json:"deleted,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: make(map[string]storeItem), changed: make(chan struct{}), mode: StoreUp, refusedIPs: make(map[string]bool),
		headerTimeout: 3 * time.Second, idleTimeout: 15 * time.Second,
	}
}

// SetTimeouts sets how long callers may take to send the header of a request
// and between two requests. It applies to later calls of PutConfig.
func (s *Store) SetTimeouts(headerTimeout, idleTimeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headerTimeout, s.idleTimeout = headerTimeout, idleTimeout
}

func (s *Store) configLimits() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]int64{
		"max-header-bytes": 16384, "max-body-bytes": 1 << 20,
		"header-timeout-ms": s.headerTimeout.Milliseconds(), "idle-timeout-ms": s.idleTimeout.Milliseconds(),
	}
}

// Put writes a key and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	item := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.events = append(s.events, storeEvent{storeItem: item})
	s.notifyWatches()
	return s.rev
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, storeEvent{storeItem: storeItem{Key: key, Rev: s.rev}, Deleted: true})
	s.notifyWatches()
}

// Compact drops the history and ends the watches that need it.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.events, s.compactedRev = nil, s.rev
	s.notifyWatches()
}

// SetMode changes how the store responds.
func (s *Store) SetMode(m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyWatches()
}

// SetRefused sets whether clients with an IP address are refused.
func (s *Store) SetRefused(ip string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedIPs[ip] = refused
	s.notifyWatches()
}

// Requests returns the number of requests; a watch counts again each time it
// is woken.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// notifyWatches wakes the waiting watches; the caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the requests of nodes.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dogwoodhead/kv-key", s.serveKey)
	mux.HandleFunc("GET /dogwoodhead/kv-range", s.serveRange)
	mux.HandleFunc("GET /dogwoodhead/kv-watch", s.serveWatch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.respondByMode(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// respondByMode counts a request and reports whether it responded with a fault.
func (s *Store) respondByMode(w http.ResponseWriter, r *http.Request) bool {
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	s.requests++
	mode := s.mode
	if s.refusedIPs[ip] {
		mode = StoreBusy
	}
	s.mu.Unlock()
	switch mode {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case StoreReset:
		panic(http.ErrAbortHandler)
	case StoreSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.FormValue("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		storeItem
		AsOf uint64 `json:"as-of"`
	}{item, rev})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > rangePageSize
	items := []storeItem{}
	for _, k := range keys[:min(len(keys), rangePageSize)] {
		items = append(items, s.items[k])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": s.rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, rev, changed, ok := s.eventsSince(r.FormValue("prefix"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		case <-r.Context().Done():
			return
		case <-changed:
			if s.respondByMode(w, r) {
				return
			}
		}
	}
}

// eventsSince returns the changes after a revision, or !ok if it was compacted.
func (s *Store) eventsSince(prefix string, after uint64) (events []storeEvent, rev uint64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRev {
		return nil, 0, nil, false
	}
	events = []storeEvent{}
	for _, event := range s.events {
		if event.Rev > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.rev, s.changed, true
}

// StoreRoute is one route of a configuration.
type StoreRoute struct {
	Name, Host, Prefix, Kind, Service string
	Timeout, LatencyGoal              time.Duration
	Priority, MaxAttempts             int
	// Split maps services to weights; if it is set, Service is empty.
	Split map[string]int
}

// PutConfig writes a configuration with the given routes and their services.
func (s *Store) PutConfig(version int, routes []StoreRoute) {
	routeRows := make([][]any, 0, len(routes))
	services := map[string]bool{}
	for _, r := range routes {
		var service, split any
		if len(r.Split) == 0 {
			service = r.Service
			services[r.Service] = true
		} else {
			var weights []map[string]any
			for name, weight := range r.Split {
				weights = append(weights, map[string]any{"service": name, "weight": weight})
				services[name] = true
			}
			split = weights
		}
		routeRows = append(routeRows, []any{
			r.Name, r.Host, r.Prefix, r.Kind, r.Timeout.Milliseconds(), r.LatencyGoal.Milliseconds(),
			r.Priority, service, max(r.MaxAttempts, 1), split,
		})
	}
	var serviceRows [][]any
	for name := range services {
		serviceRows = append(serviceRows, []any{name, "/health", 100})
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{
				"name", "host", "prefix", "kind", "timeout-ms", "latency-goal-ms",
				"priority", "service", "max-attempts", "weighted-services",
			},
			"rows": routeRows,
		},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-conns"}, "rows": serviceRows},
		"limits":   s.configLimits(),
	})
	if err != nil {
		panic(err) // the values above always encode
	}
	s.Put("op/config", body)
}
