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
	// counters, durations and others cache the metrics by what their labels are
	// made of, because formatting a full name costs more than a call should pay.
	counters  cache[outcomeKey, metrics.Counter]
	durations cache[durationKey, metrics.Histogram]
	others    cache[string, metrics.Counter]
}

// outcomeKey names one counter of calls.
type outcomeKey struct {
	entry   bool
	target  frame.Target
	class   string
	outcome frame.Outcome
	reason  frame.Reason
}

// durationKey names one histogram of call times.
type durationKey struct {
	metric string
	// label and value are the label that is not class.
	label, value, class string
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{tenants: make(map[string]bool)} }

// Inbound records a call that another node sent to this node's backend server.
func (m *Metrics) Inbound(t frame.Target, class string, o frame.Outcome, r frame.Reason, took time.Duration) {
	m.count(outcomeKey{target: t, class: class, outcome: o, reason: r})
	if o == frame.Answered {
		m.observe(durationKey{metric: "dogwood_inbound_duration_seconds", label: "service", value: t.Service(), class: class}, took)
	}
}

// Entry records a call from outside.
func (m *Metrics) Entry(t frame.Target, caller, class string, o frame.Outcome, r frame.Reason, took time.Duration) {
	m.count(outcomeKey{entry: true, target: t, class: class, outcome: o, reason: r})
	if o != frame.Answered {
		return
	}
	m.observe(durationKey{metric: "dogwood_entry_duration_seconds", label: "service", value: t.Service(), class: class}, took)
	m.observe(durationKey{metric: "dogwood_caller_duration_seconds", label: "caller", value: m.tenant(caller), class: class}, took)
}

// Attempt records an attempt after the first.
func (m *Metrics) Attempt(t frame.Target) {
	m.Count(`dogwood_extra_attempts_total{service="` + t.Service() + `"}`)
}

func (m *Metrics) count(k outcomeKey) {
	m.counters.get(k, func() *metrics.Counter {
		name := "dogwood_inbound_total"
		if k.entry {
			name = "dogwood_entry_total"
		}
		return metrics.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,operation=%q,class=%q,outcome=%q,reason=%q}`,
			name, k.target.Service(), k.target.Operation(), k.class, k.outcome, k.reason))
	}).Inc()
}

func (m *Metrics) observe(k durationKey, took time.Duration) {
	m.durations.get(k, func() *metrics.Histogram {
		return metrics.GetOrCreateHistogram(fmt.Sprintf(`%s{%s=%q,class=%q}`, k.metric, k.label, k.value, k.class))
	}).Update(took.Seconds())
}

// Count adds one to a counter by its full name.
func (m *Metrics) Count(name string) {
	m.others.get(name, func() *metrics.Counter { return metrics.GetOrCreateCounter(name) }).Inc()
}

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

// cache holds metrics that were created once.
type cache[K comparable, V any] struct {
	rows sync.Map
}

// get returns the metric of a key and creates it at the first use.
func (c *cache[K, V]) get(k K, create func() *V) *V {
	if v, ok := c.rows.Load(k); ok {
		return v.(*V)
	}
	v, _ := c.rows.LoadOrStore(k, create())
	return v.(*V)
}
