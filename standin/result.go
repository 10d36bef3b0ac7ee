package standin

import (
	"math"
	"slices"
	"sync"
	"time"
)

// SeriesStep is the interval that one element of a time series covers.
const SeriesStep = 100 * time.Millisecond

// maxExamples limits the wrong responses that a class adds to a result.
const maxExamples = 10

// Outcomes of a call as observed by its caller.
const (
	// OutcomeComplete is a complete response with status 200.
	OutcomeComplete = "whole"
	// OutcomeNotRun means that every attempt was refused as not run.
	OutcomeNotRun = "notrun"
	// OutcomeUnknown means that an attempt may have run, but none got a response.
	OutcomeUnknown = "unknown"
	// OutcomeFailed is a complete response with another status.
	OutcomeFailed = "failed"
	// OutcomeCancelled means that the caller cancelled the call.
	OutcomeCancelled = "hungup"
	// OutcomeWrong is a response that does not match the request.
	OutcomeWrong = "wrong"
)

// ClassResult counts the calls of one ClassLoad. Sent is the sum of Complete,
// NotRun, Unknown, Failed, Cancelled and Wrong.
type ClassResult struct {
	Name      string `json:"name"`
	Target    string `json:"target"`
	Sent      int    `json:"sent"`
	Complete  int    `json:"whole"`
	NotRun    int    `json:"notRun"`
	Unknown   int    `json:"unknown"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"hungUp"`
	Wrong     int    `json:"wrong"`
	// Partial counts attempts with a truncated response.
	Partial int `json:"partial"`
	// Skipped counts arrivals not sent because MaxOutstanding calls were open.
	Skipped int `json:"skipped"`
	// LateP99 is the 99th percentile of the delay between the arrival time of a
	// call and its first attempt, in milliseconds. If it is large, the callers
	// lacked CPU time and the run does not characterize the nodes.
	LateP99 float64 `json:"late"`
	// Attempts counts attempts, retries included.
	Attempts int `json:"attempts"`
	// Reasons counts attempts without a complete response, by "outcome:reason".
	Reasons map[string]int `json:"reasons,omitempty"`
	// P50 and P99 are latencies of complete calls, retries included, in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// Histogram counts complete responses by latency: element i counts those from
	// 2^(i-1) up to but excluding 2^i milliseconds, element 0 all below 1.
	Histogram []int `json:"histogram"`
	// OfferedPerStep counts calls by the SeriesStep in which they were first sent.
	OfferedPerStep []int `json:"offered"`
	// AnsweredPerStep counts complete responses by the SeriesStep of their arrival.
	AnsweredPerStep []int `json:"answered"`
}

// RootCall is the outcome of one call of a caller.
type RootCall struct {
	Token    string `json:"token"`
	Target   string `json:"target"`
	Outcome  string `json:"outcome"`
	Attempts int    `json:"attempts"`
	// Keyed means that the call must run at most once.
	Keyed bool `json:"keyed,omitempty"`
	// NotRunAttempts lists the numbers of the attempts refused as not run.
	NotRunAttempts []int `json:"refused,omitempty"`
	// SentMicros and DoneMicros are relative to the start of the run.
	SentMicros int64 `json:"sent"`
	DoneMicros int64 `json:"done"`
}

// LostAttempt is an attempt that ended because a connection broke: the one from
// the caller to the ingress or, if BehindIngress is set, one behind it.
type LostAttempt struct {
	Token         string `json:"token"`
	IngressAddr   string `json:"entry"`
	Reason        string `json:"reason"`
	BehindIngress bool   `json:"inside,omitempty"`
	// SentMicros and DoneMicros are relative to the start of the run.
	SentMicros int64 `json:"sent"`
	DoneMicros int64 `json:"done"`
}

// Result holds the counts of a run.
type Result struct {
	// Start is the start of the run and of the time series.
	Start   time.Time     `json:"start"`
	Classes []ClassResult `json:"classes"`
	// Examples describes the first wrong responses of each class.
	Examples []string `json:"examples,omitempty"`
	// RootCalls lists every call if the scenario records calls.
	RootCalls []RootCall `json:"roots,omitempty"`
	// LostAttempts lists attempts whose connection broke, if the scenario records calls.
	LostAttempts []LostAttempt `json:"lost,omitempty"`
}

// Class returns the counts of the class with the given name, or nil.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// tally accumulates the results of one class of calls.
type tally struct {
	mu            sync.Mutex
	counts        ClassResult
	latencies     []float64 // milliseconds
	lateness      []float64 // milliseconds
	rootCalls     []RootCall
	lostAttempts  []LostAttempt
	wrongExamples []string
	recordCalls   bool
}

func newTally(c ClassLoad, recordCalls bool) *tally {
	return &tally{counts: ClassResult{Name: c.Name, Target: c.Target, Reasons: make(map[string]int)}, recordCalls: recordCalls}
}

func (t *tally) countSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Skipped++
}

// countAttempt counts one attempt and, without a complete response, its reason.
func (t *tally) countAttempt(a attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Attempts++
	if a.outcome == OutcomeComplete {
		return
	}
	t.counts.Reasons[a.outcome+":"+a.reason]++
	if a.partial {
		t.counts.Partial++
	}
	if a.lost != nil && t.recordCalls {
		t.lostAttempts = append(t.lostAttempts, *a.lost)
	}
	if a.outcome == OutcomeWrong && len(t.wrongExamples) < maxExamples {
		t.wrongExamples = append(t.wrongExamples, a.reason)
	}
}

// countCall counts one call that was due at a time since the start of the run.
func (t *tally) countCall(rootCall RootCall, due time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateness = append(t.lateness, float64(rootCall.SentMicros-due.Microseconds())/1e3)
	t.counts.Sent++
	t.counts.OfferedPerStep = incrementAt(t.counts.OfferedPerStep, rootCall.SentMicros)
	switch rootCall.Outcome {
	case OutcomeComplete:
		t.counts.Complete++
		t.counts.AnsweredPerStep = incrementAt(t.counts.AnsweredPerStep, rootCall.DoneMicros)
		t.latencies = append(t.latencies, float64(rootCall.DoneMicros-rootCall.SentMicros)/1e3)
	case OutcomeNotRun:
		t.counts.NotRun++
	case OutcomeFailed:
		t.counts.Failed++
	case OutcomeCancelled:
		t.counts.Cancelled++
	case OutcomeWrong:
		t.counts.Wrong++
	default:
		t.counts.Unknown++
	}
	if t.recordCalls {
		t.rootCalls = append(t.rootCalls, rootCall)
	}
}

// incrementAt increments the element of a time series that covers a time in
// microseconds, and returns the extended series.
func incrementAt(series []int, atMicros int64) []int {
	i := int(atMicros / SeriesStep.Microseconds())
	for len(series) <= i {
		series = append(series, 0)
	}
	series[i]++
	return series
}

// finish completes and returns the counts. It must be called once, at the end.
func (t *tally) finish() ClassResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.Sort(t.latencies)
	slices.Sort(t.lateness)
	t.counts.LateP99 = Quantile(t.lateness, 0.99)
	t.counts.P50, t.counts.P99 = Quantile(t.latencies, 0.5), Quantile(t.latencies, 0.99)
	for _, ms := range t.latencies {
		i := 0
		if ms >= 1 {
			i = int(math.Log2(ms)) + 1
		}
		for len(t.counts.Histogram) <= i {
			t.counts.Histogram = append(t.counts.Histogram, 0)
		}
		t.counts.Histogram[i]++
	}
	return t.counts
}

// Quantile returns the q-quantile of sorted values, or 0 if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, min(i, len(sorted)-1))]
}
