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
	"dogwoodhead/h1"
)

const (
	// probeInterval is the interval between probes of health and load.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 200 * time.Millisecond
	// requiredProbes is the number of consecutive probes that must report a new
	// state, such as draining or no longer draining, before it is adopted, so
	// that a single wrong response has no effect.
	requiredProbes = 2
	// downPeriod is how long calls are refused after a failed connection attempt.
	downPeriod = 100 * time.Millisecond
	// maxProbeBody bounds the body of a probe's response, in bytes.
	maxProbeBody = 4 << 10
)

// State is the health that a backend server reports.
type State string

// States of a backend server.
const (
	// StateLive accepts calls.
	StateLive State = "live"
	// StateDraining finishes its calls and accepts no new ones.
	StateDraining State = "draining"
	// StateCold has just started and is still warming up.
	StateCold State = "cold"
	// StateDown reports a failure; only a hint, see Monitor.UnavailableReason.
	StateDown State = "down"
)

// healthReport is the response body of GET /health.
type healthReport struct {
	State State `json:"state"`
}

// loadReport is the response body of GET /load.
type loadReport struct {
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// MonitorOptions configures a Monitor. All fields are required.
type MonitorOptions struct {
	// Addr is the backend server's ip:port.
	Addr  string
	Clock clockwork.Clock
	// ColdStarted is called when the backend server becomes live after it was not.
	ColdStarted func()
}

// Monitor probes the backend server and combines the reported state with the
// failed connection attempts of calls.
type Monitor struct {
	opts MonitorOptions
	http *http.Client

	mu sync.Mutex
	// state is the last state that requiredProbes consecutive probes reported.
	state State
	// candidateProbes counts the consecutive probes that reported candidate.
	candidate       State
	candidateProbes int
	// connectFailedAt is when a call last failed to connect; zero after a successful probe.
	connectFailedAt time.Time
	// wasDown is set by a failed connection attempt and cleared by a successful probe.
	wasDown      bool
	reportedLoad frame.Load
}

// NewMonitor returns a monitor that assumes the backend server to be live.
func NewMonitor(opts MonitorOptions) *Monitor {
	return &Monitor{opts: opts, state: StateLive, http: &http.Client{
		Timeout:   probeTimeout,
		Transport: h1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}),
	}}
}

// Run probes until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	tick := m.opts.Clock.NewTicker(probeInterval)
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

// Probe requests health and load once.
func (m *Monitor) Probe(ctx context.Context) {
	var h healthReport
	if err := m.getJSON(ctx, "/health", &h); err == nil {
		m.recordState(h.State)
	}
	var l loadReport
	if err := m.getJSON(ctx, "/load", &l); err == nil {
		m.mu.Lock()
		m.reportedLoad = frame.NewLoad(max(l.Inflight, 0), max(l.Slots, 0))
		m.mu.Unlock()
	}
}

func (m *Monitor) getJSON(ctx context.Context, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.opts.Addr+path, nil)
	if err != nil {
		return fmt.Errorf("build probe %s: %w", path, err)
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return fmt.Errorf("probe %s: %w", path, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProbeBody)).Decode(v); err != nil {
		return fmt.Errorf("decode probe %s: %w", path, err)
	}
	return nil
}

// recordState records the state that a successful probe reported.
func (m *Monitor) recordState(state State) {
	m.mu.Lock()
	coldStart := m.wasDown
	m.wasDown = false
	m.connectFailedAt = time.Time{}
	if state == m.candidate {
		m.candidateProbes++
	} else {
		m.candidate, m.candidateProbes = state, 1
	}
	if m.candidateProbes >= requiredProbes && m.state != state {
		coldStart = coldStart || state == StateCold
		m.state = state
	}
	m.mu.Unlock()
	if coldStart {
		m.opts.ColdStarted()
	}
}

// RecordConnectFailure records that a call could not open a connection.
func (m *Monitor) RecordConnectFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connectFailedAt = m.opts.Clock.Now()
	m.wasDown = true
}

// UnavailableReason returns why the backend server gets no new work, "" if it
// may. A reported "down" is ignored: only a failed connection attempt counts.
func (m *Monitor) UnavailableReason() frame.Reason {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == StateDraining {
		return frame.ReasonDraining
	}
	if !m.connectFailedAt.IsZero() && m.opts.Clock.Since(m.connectFailedAt) < downPeriod {
		return frame.ReasonDown
	}
	return ""
}

// State returns the state of the backend server according to the probes.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// ReportedLoad returns the last load that the backend server reported.
func (m *Monitor) ReportedLoad() frame.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportedLoad
}
