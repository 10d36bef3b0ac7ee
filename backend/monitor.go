package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
)

const (
	// probeInterval is the time between two probes of health and load.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 200 * time.Millisecond
	// drainProbes is how many probes in a row must agree before the node
	// believes that the backend server drains or stopped draining; a single
	// misleading answer changes nothing.
	drainProbes = 2
	// downFor is how long calls are refused after a refused connection.
	downFor = 100 * time.Millisecond
	// maxProbe bounds the body of a probe's answer, in bytes.
	maxProbe = 4 << 10
)

// State is what a backend server says about its health.
type State string

// States of a backend server.
const (
	// StateLive takes calls.
	StateLive State = "live"
	// StateDraining finishes its calls and takes no new ones.
	StateDraining State = "draining"
	// StateCold has just started and is slow at first.
	StateCold State = "cold"
	// StateDown claims not to work. It is only a hint: calls decide.
	StateDown State = "down"
)

// health is the body of GET /health.
type health struct {
	State State `json:"state"`
}

// load is the body of GET /load.
type load struct {
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// MonitorOptions configures a Monitor. All fields are required.
type MonitorOptions struct {
	// Address is the backend server's ip:port.
	Address string
	Clock   clockwork.Clock
	// Cold is called when the backend server has come live after it was not.
	Cold func()
}

// Monitor probes the backend server and combines what it says with what calls
// to it showed.
type Monitor struct {
	o    MonitorOptions
	http *http.Client

	mu sync.Mutex
	// state is the last state that drainProbes probes agreed on.
	state State
	// pending counts probes in a row that said candidate.
	candidate State
	pending   int
	// refused is when a connection was refused last; zero once one succeeded.
	refused time.Time
	// wasDown is set from a refused connection until the next probe succeeds.
	wasDown  bool
	reported frame.Load
}

// NewMonitor returns a monitor of a backend server that is taken for live.
func NewMonitor(o MonitorOptions) *Monitor {
	return &Monitor{o: o, state: StateLive, http: &http.Client{
		Timeout:   probeTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
	}}
}

// Run probes until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	tick := m.o.Clock.NewTicker(probeInterval)
	defer tick.Stop()
	defer m.http.CloseIdleConnections()
	for {
		m.Probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}
	}
}

// Probe reads health and load once.
func (m *Monitor) Probe(ctx context.Context) {
	var h health
	if err := m.get(ctx, "/health", &h); err == nil {
		m.observe(h.State)
	}
	var l load
	if err := m.get(ctx, "/load", &l); err == nil {
		m.mu.Lock()
		m.reported = frame.NewLoad(max(l.Inflight, 0), max(l.Slots, 0))
		m.mu.Unlock()
	}
}

func (m *Monitor) get(ctx context.Context, path string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.o.Address+path, nil)
	if err != nil {
		return fmt.Errorf("build probe %s: %w", path, err)
	}
	resp, err := m.http.Do(r)
	if err != nil {
		return fmt.Errorf("probe %s: %w", path, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProbe)).Decode(v); err != nil {
		return fmt.Errorf("decode probe %s: %w", path, err)
	}
	return nil
}

// observe takes the state of one successful probe.
func (m *Monitor) observe(s State) {
	m.mu.Lock()
	cold := m.wasDown
	m.wasDown = false
	m.refused = time.Time{}
	if s == m.candidate {
		m.pending++
	} else {
		m.candidate, m.pending = s, 1
	}
	if m.pending >= drainProbes && m.state != s {
		cold = cold || s == StateCold
		m.state = s
	}
	m.mu.Unlock()
	if cold {
		m.o.Cold()
	}
}

// Refused records that a call could not open a connection.
func (m *Monitor) Refused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = m.o.Clock.Now()
	m.wasDown = true
}

// Unavailable returns why the backend server takes no new work, or "". A
// reported "down" is not enough: only a refused connection counts.
func (m *Monitor) Unavailable() frame.Reason {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == StateDraining {
		return frame.ReasonDraining
	}
	if !m.refused.IsZero() && m.o.Clock.Since(m.refused) < downFor {
		return frame.ReasonDown
	}
	return ""
}

// State returns the state that the probes agree on.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Reported returns the load that the backend server reported last.
func (m *Monitor) Reported() frame.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reported
}
