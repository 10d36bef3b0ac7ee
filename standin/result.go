package standin

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Step is the width of one element of a time series.
const Step = 100 * time.Millisecond

// keepExamples bounds the wrong answers that are described in a result.
const keepExamples = 10

// Outcomes of a call as its caller sees it.
const (
	// OutcomeWhole is a whole answer with status 200.
	OutcomeWhole = "whole"
	// OutcomeNotRun means that every attempt was refused as not run.
	OutcomeNotRun = "notrun"
	// OutcomeUnknown means that an attempt may have run, but none answered.
	OutcomeUnknown = "unknown"
	// OutcomeFailed is a whole answer with another status.
	OutcomeFailed = "failed"
	// OutcomeHungUp means that the caller gave up on purpose.
	OutcomeHungUp = "hungup"
	// OutcomeWrong is an answer that does not belong to the request.
	OutcomeWrong = "wrong"
)

// ClassResult counts the calls of one ClassLoad. Sent is the sum of Whole,
// NotRun, Unknown, Failed, HungUp and Wrong.
type ClassResult struct {
	Name    string `json:"name"`
	Target  string `json:"target"`
	Sent    int    `json:"sent"`
	Whole   int    `json:"whole"`
	NotRun  int    `json:"notRun"`
	Unknown int    `json:"unknown"`
	Failed  int    `json:"failed"`
	HungUp  int    `json:"hungUp"`
	Wrong   int    `json:"wrong"`
	// Partial counts attempts whose answer was cut short.
	Partial int `json:"partial"`
	// Skipped counts arrivals that were not sent, because too many calls were open.
	Skipped int `json:"skipped"`
	// Late is the 99th percentile of how late calls were sent after their
	// arrival time, in milliseconds. Where it is large, the machine had no time
	// for the callers, and the run says little about the nodes.
	Late float64 `json:"late"`
	// Attempts counts attempts, retries included.
	Attempts int `json:"attempts"`
	// Reasons counts attempts without a whole answer, as "outcome:reason".
	Reasons map[string]int `json:"reasons,omitempty"`
	// P50 and P99 are of whole answers, from the first attempt on, in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// Histogram counts whole answers by latency: element i those below
	// 2^i milliseconds and not below 2^(i-1).
	Histogram []int `json:"histogram"`
	// Offered counts calls by the Step in which they were first sent.
	Offered []int `json:"offered"`
	// Answered counts whole answers by the Step in which they came.
	Answered []int `json:"answered"`
}

// Root is the outcome of one call.
type Root struct {
	Token    string `json:"token"`
	Target   string `json:"target"`
	Outcome  string `json:"outcome"`
	Attempts int    `json:"attempts"`
	// Keyed says that the call must run at most once.
	Keyed bool `json:"keyed,omitempty"`
	// Refused lists the numbers of the attempts that were refused as not run.
	Refused []int `json:"refused,omitempty"`
	// Sent and Done are microseconds from the start of the run.
	Sent int64 `json:"sent"`
	Done int64 `json:"done"`
}

// Lost is one attempt that ended because a connection broke: that of the caller
// to its entry or, where Inside is set, one behind the entry.
type Lost struct {
	Token  string `json:"token"`
	Entry  string `json:"entry"`
	Reason string `json:"reason"`
	Inside bool   `json:"inside,omitempty"`
	// Sent and Done are microseconds from the start of the run.
	Sent int64 `json:"sent"`
	Done int64 `json:"done"`
}

// Result is what callers counted.
type Result struct {
	// Start is when the first call could be sent; time series begin there.
	Start   time.Time     `json:"start"`
	Classes []ClassResult `json:"classes"`
	// Examples describes the first wrong answers.
	Examples []string `json:"examples,omitempty"`
	// Roots lists every call, where the scenario records them.
	Roots []Root `json:"roots,omitempty"`
	// Lost lists the attempts that ended with a connection, where the scenario records calls.
	Lost []Lost `json:"lost,omitempty"`
}

// Class returns the counts of a class by name, nil where there is none.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// tally collects the calls of one class.
type tally struct {
	mu       sync.Mutex
	r        ClassResult
	latency  []float64 // milliseconds
	late     []float64 // milliseconds
	roots    []Root
	lost     []Lost
	examples []string
	record   bool
}

func newTally(c ClassLoad, record bool) *tally {
	return &tally{r: ClassResult{Name: c.Name, Target: c.Target, Reasons: make(map[string]int)}, record: record}
}

func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Skipped++
}

// attempt counts one attempt without a whole answer.
func (t *tally) attempt(a attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Attempts++
	if a.outcome == OutcomeWhole {
		return
	}
	t.r.Reasons[a.outcome+":"+a.reason]++
	if a.partial {
		t.r.Partial++
	}
	if a.lost != nil && t.record {
		t.lost = append(t.lost, *a.lost)
	}
	if a.outcome == OutcomeWrong && len(t.examples) < keepExamples {
		t.examples = append(t.examples, a.reason)
	}
}

// done counts one call that was due at a time since the start of the run.
func (t *tally) done(root Root, due time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = append(t.late, float64(root.Sent-due.Microseconds())/1e3)
	t.r.Sent++
	t.r.Offered = bump(t.r.Offered, root.Sent)
	switch root.Outcome {
	case OutcomeWhole:
		t.r.Whole++
		t.r.Answered = bump(t.r.Answered, root.Done)
		t.latency = append(t.latency, float64(root.Done-root.Sent)/1e3)
	case OutcomeNotRun:
		t.r.NotRun++
	case OutcomeFailed:
		t.r.Failed++
	case OutcomeHungUp:
		t.r.HungUp++
	case OutcomeWrong:
		t.r.Wrong++
	default:
		t.r.Unknown++
	}
	if t.record {
		t.roots = append(t.roots, root)
	}
}

// bump adds one to the element of a time series that holds a time in
// microseconds.
func bump(series []int, at int64) []int {
	i := int(at / Step.Microseconds())
	for len(series) <= i {
		series = append(series, 0)
	}
	series[i]++
	return series
}

// result returns the counts; nothing may be added afterwards.
func (t *tally) result() ClassResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.Sort(t.latency)
	slices.Sort(t.late)
	t.r.Late = Quantile(t.late, 0.99)
	t.r.P50, t.r.P99 = Quantile(t.latency, 0.5), Quantile(t.latency, 0.99)
	for _, ms := range t.latency {
		i := 0
		if ms >= 1 {
			i = int(math.Log2(ms)) + 1
		}
		for len(t.r.Histogram) <= i {
			t.r.Histogram = append(t.r.Histogram, 0)
		}
		t.r.Histogram[i]++
	}
	return t.r
}

// Quantile returns the q-quantile of sorted values, 0 where there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, min(i, len(sorted)-1))]
}
