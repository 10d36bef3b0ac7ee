package operator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodhead/frame"
)

// maxTenants bounds the callers that get a histogram of their own, so that
// callers cannot make a node's memory grow; the rest share the label "other".
const maxTenants = 100

// Metrics counts calls and measures their times.
type Metrics struct {
	mu sync.Mutex
	// tenants holds at most maxTenants names.
	tenants map[string]bool
	// inbound and entries cache the metrics by label, because formatting the
	// full name costs more than a call should pay.
	inbound sync.Map
	entries sync.Map
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{tenants: make(map[string]bool)} }

// Inbound records a call that another node sent to this node's backend server.
func (m *Metrics) Inbound(t frame.Target, class string, o frame.Outcome, r frame.Reason, took time.Duration) {
	labels := fmt.Sprintf(`{service=%q,operation=%q,class=%q,outcome=%q,reason=%q}`, t.Service(), t.Operation(), class, o, r)
	counter(&m.inbound, "dogwood_inbound_total"+labels).Inc()
	if o == frame.Answered {
		histogram(&m.inbound, fmt.Sprintf(`dogwood_inbound_duration_seconds{service=%q,class=%q}`, t.Service(), class)).Update(took.Seconds())
	}
}

// Entry records a call from outside.
func (m *Metrics) Entry(t frame.Target, caller, class string, o frame.Outcome, r frame.Reason, took time.Duration) {
	labels := fmt.Sprintf(`{service=%q,class=%q,outcome=%q,reason=%q}`, t.Service(), class, o, r)
	counter(&m.entries, "dogwood_entry_total"+labels).Inc()
	if o != frame.Answered {
		return
	}
	histogram(&m.entries, fmt.Sprintf(`dogwood_entry_duration_seconds{service=%q,class=%q}`, t.Service(), class)).Update(took.Seconds())
	histogram(&m.entries, fmt.Sprintf(`dogwood_caller_duration_seconds{caller=%q}`, m.tenant(caller))).Update(took.Seconds())
}

// Attempt records an attempt after the first.
func (m *Metrics) Attempt(t frame.Target) {
	counter(&m.entries, fmt.Sprintf(`dogwood_extra_attempts_total{service=%q}`, t.Service())).Inc()
}

// Count adds one to a counter without labels.
func (m *Metrics) Count(name string) { counter(&m.entries, name).Inc() }

// tenant returns the label of a caller.
func (m *Metrics) tenant(caller string) string {
	if caller == "" {
		return "none"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tenants[caller] {
		return clean(caller)
	}
	if len(m.tenants) >= maxTenants {
		return "other"
	}
	m.tenants[caller] = true
	return clean(caller)
}

// clean keeps a caller's name from breaking the exposition format.
func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '"' || r == '\\' || r < ' ' {
			return '_'
		}
		return r
	}, s)
}

func counter(cache *sync.Map, name string) *metrics.Counter {
	if c, ok := cache.Load(name); ok {
		return c.(*metrics.Counter)
	}
	c := metrics.GetOrCreateCounter(name)
	cache.Store(name, c)
	return c
}

func histogram(cache *sync.Map, name string) *metrics.Histogram {
	if h, ok := cache.Load(name); ok {
		return h.(*metrics.Histogram)
	}
	h := metrics.GetOrCreateHistogram(name)
	cache.Store(name, h)
	return h
}
