package operator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodhead/frame"
)

// maxCallerLabels limits the callers with a separate histogram and maxTargetLabels the
// targets with separate counters, which bounds a node's memory: other nodes name both. The
// rest share the label "other".
const (
	maxCallerLabels = 100
	maxTargetLabels = 1024
)

// Metrics counts calls and measures their times.
type Metrics struct {
	mu sync.Mutex
	// callers holds at most maxCallerLabels names, targets at most maxTargetLabels. They
	// are guarded by mu.
	callers map[string]bool
	targets map[frame.Target]bool
	// counters, durations and named cache the metrics by their label values,
	// because formatting a full name is too expensive for every call.
	counters  metricCache[outcomeKey, metrics.Counter]
	durations metricCache[durationKey, metrics.Histogram]
	named     metricCache[string, metrics.Counter]
}

// outcomeKey identifies a counter of calls.
type outcomeKey struct {
	ingress bool
	target  frame.Target
	class   string
	outcome frame.Outcome
	reason  frame.Reason
}

// durationKey identifies a histogram of call durations.
type durationKey struct {
	metric string
	// label and value are the name and value of the label besides class.
	label, value, class string
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics {
	return &Metrics{callers: make(map[string]bool), targets: make(map[frame.Target]bool)}
}

// ObserveInbound records a call from another node to the local backend server.
func (m *Metrics) ObserveInbound(target frame.Target, class string, outcome frame.Outcome, reason frame.Reason, elapsed time.Duration) {
	m.countOutcome(outcomeKey{target: target, class: class, outcome: outcome, reason: reason})
	if outcome == frame.Answered {
		m.observeDuration(durationKey{metric: "dogwood_inbound_duration_seconds", label: "service", value: target.Service(), class: class}, elapsed)
	}
}

// ObserveIngress records a call that entered the mesh at this node.
func (m *Metrics) ObserveIngress(target frame.Target, caller, class string, outcome frame.Outcome, reason frame.Reason, elapsed time.Duration) {
	m.countOutcome(outcomeKey{ingress: true, target: target, class: class, outcome: outcome, reason: reason})
	if outcome != frame.Answered {
		return
	}
	m.observeDuration(durationKey{metric: "dogwood_entry_duration_seconds", label: "service", value: target.Service(), class: class}, elapsed)
	m.observeDuration(durationKey{metric: "dogwood_caller_duration_seconds", label: "caller", value: m.callerLabel(caller), class: class}, elapsed)
}

// CountExtraAttempt counts an attempt after the first.
func (m *Metrics) CountExtraAttempt(target frame.Target) {
	m.Count(`dogwood_extra_attempts_total{service="` + target.Service() + `"}`)
}

func (m *Metrics) countOutcome(k outcomeKey) {
	if !m.counters.has(k) && !m.addTarget(k.target) {
		k.target = frame.Target{}
	}
	m.counters.get(k, func() *metrics.Counter {
		name := "dogwood_inbound_total"
		if k.ingress {
			name = "dogwood_entry_total"
		}
		return metrics.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,operation=%q,class=%q,outcome=%q,reason=%q}`,
			name, labelOr(k.target.Service()), labelOr(k.target.Operation()), k.class, k.outcome, k.reason))
	}).Inc()
}

// labelOr returns the label of a name, "other" for that of the zero target.
func labelOr(name string) string {
	if name == "" {
		return "other"
	}
	return name
}

// addTarget reports whether a target has counters of its own, and registers a new one.
func (m *Metrics) addTarget(t frame.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.targets[t] && len(m.targets) >= maxTargetLabels {
		return false
	}
	m.targets[t] = true
	return true
}

func (m *Metrics) observeDuration(k durationKey, elapsed time.Duration) {
	m.durations.get(k, func() *metrics.Histogram {
		return metrics.GetOrCreateHistogram(fmt.Sprintf(`%s{%s=%q,class=%q}`, k.metric, k.label, k.value, k.class))
	}).Update(elapsed.Seconds())
}

// Count adds one to the counter with the given full name.
func (m *Metrics) Count(name string) {
	m.named.get(name, func() *metrics.Counter { return metrics.GetOrCreateCounter(name) }).Inc()
}

// callerLabel returns the label of a caller and registers a new one.
func (m *Metrics) callerLabel(caller string) string {
	if caller == "" {
		return "none"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callers[caller] {
		return sanitizeLabel(caller)
	}
	if len(m.callers) >= maxCallerLabels {
		return "other"
	}
	m.callers[caller] = true
	return sanitizeLabel(caller)
}

// sanitizeLabel replaces the characters that would break the exposition format.
func sanitizeLabel(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '"' || r == '\\' || r < ' ' {
			return '_'
		}
		return r
	}, s)
}

// metricCache holds metrics by key.
type metricCache[K comparable, V any] struct {
	entries sync.Map
}

// has reports whether the metric of a key exists.
func (c *metricCache[K, V]) has(k K) bool {
	_, ok := c.entries.Load(k)
	return ok
}

// get returns the metric of a key and creates it on first use.
func (c *metricCache[K, V]) get(k K, create func() *V) *V {
	if v, ok := c.entries.Load(k); ok {
		return v.(*V)
	}
	v, _ := c.entries.LoadOrStore(k, create())
	return v.(*V)
}
