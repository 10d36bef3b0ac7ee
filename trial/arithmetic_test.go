package trial

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

const second = time.Second

// steps returns a series of segments, each a value and its duration in seconds.
func steps(segments ...[2]int) Series {
	var s Series
	for _, p := range segments {
		for range p[1] * int(second/standin.SeriesStep) {
			s = append(s, p[0])
		}
	}
	return s
}

// Guards against detecting a recovery before goodput stays up, or although it
// never recovers.
func TestRecovery(t *testing.T) {
	before := Span{From: 1 * second, To: 5 * second}
	offered := steps([2]int{20, 30})
	for _, c := range []struct {
		name     string
		answered Series
		want     time.Duration
		ok       bool
	}{
		{"at once", steps([2]int{20, 5}, [2]int{5, 10}, [2]int{20, 15}), 0, true},
		{"after 3 s", steps([2]int{20, 5}, [2]int{5, 13}, [2]int{20, 12}), 3 * second, true},
		{"a short peak is not held", steps([2]int{20, 5}, [2]int{5, 10}, [2]int{20, 1}, [2]int{5, 4}, [2]int{20, 10}), 5 * second, true},
		{"94% is not enough", steps([2]int{100, 5}, [2]int{25, 10}, [2]int{94, 15}), 0, false},
		{"95% is enough", steps([2]int{100, 5}, [2]int{25, 10}, [2]int{95, 15}), 0, true},
		{"late responses to a backlog", steps([2]int{20, 5}, [2]int{5, 10}, [2]int{40, 1}, [2]int{5, 14}), 0, false},
		{"never", steps([2]int{20, 5}, [2]int{5, 25}), 0, false},
		{"back only as the run ends", steps([2]int{20, 5}, [2]int{5, 24}, [2]int{20, 1}), 0, false},
	} {
		offered := offered
		if c.answered[0] == 100 {
			offered = steps([2]int{100, 30})
		}
		got, ok := Recovery(c.answered, offered, before, 15*second, 30*second)
		require.Equal(t, c.ok, ok, c.name)
		require.LessOrEqual(t, got, c.want, c.name)
		// A window of 2 s that begins during a loss reaches 95% at most 0.2 s
		// before the loss ends.
		require.GreaterOrEqual(t, got, c.want-200*time.Millisecond, c.name)
	}
}

var testDocument = &standin.Document{
	Classes: []string{"booking", "lookup", "browse"},
	Services: map[string]standin.DocumentService{
		"shop": {Operations: map[string]standin.DocumentOperation{
			"book": {Class: "booking", Calls: []string{"desk/enter", "desk/row"}},
			"look": {Class: "lookup", Idempotent: true, Calls: []string{"desk/row"}},
		}},
		"desk": {Operations: map[string]standin.DocumentOperation{
			"enter": {Class: "booking"},
			"row":   {Class: "browse", Idempotent: true},
		}},
	},
}

// Guards against a capacity above the offered load, ignoring the slots occupied
// while waiting, and serving classes in the wrong order.
func TestAnswerableRates(t *testing.T) {
	c := Capacity{
		Document: testDocument,
		Slots:    map[string]float64{"shop": 30, "desk": 10},
		SelfTime: func(string) time.Duration { return 100 * time.Millisecond },
	}
	for _, tc := range []struct {
		name                        string
		book, look, row             float64
		wantBook, wantLook, wantRow float64
	}{
		{"all calls are answered below capacity", 10, 20, 30, 10, 20, 30},
		{"the class of lowest priority is cut first", 20, 50, 100, 20, 50, 10},
		{"the middle class is cut next", 20, 200, 100, 20, 60, 0},
		{"the class of highest priority is cut to the capacity", 100, 10, 10, 50, 0, 0},
	} {
		got := c.AnswerableRates([]Demand{{"shop/book", tc.book}, {"shop/look", tc.look}, {"desk/row", tc.row}})
		require.InDeltaSlice(t, []float64{tc.wantBook, tc.wantLook, tc.wantRow}, got, 1e-6, tc.name)
	}
	// A call to shop/look occupies its slot for 200 ms: 2 slots serve 10 per
	// second.
	c.Slots["shop"] = 2
	require.InDeltaSlice(t, []float64{10}, c.AnswerableRates([]Demand{{"shop/look", 50}}), 1e-6)
}

// Guards against missing a second run, a false "not run" or the work of an
// attempt without a response.
func TestAccount(t *testing.T) {
	roots := []standin.RootCall{
		{Token: "a", Target: "shop/look", Outcome: standin.OutcomeComplete, Attempts: 2, NotRunAttempts: []int{1}},
		{Token: "b", Target: "shop/book", Outcome: standin.OutcomeComplete, Attempts: 2, Keyed: true},
		{Token: "c", Target: "shop/look", Outcome: standin.OutcomeNotRun, Attempts: 1},
		{Token: "d", Target: "shop/look", Outcome: standin.OutcomeNotRun, Attempts: 1},
	}
	ledgers := []standin.LedgerView{
		{Service: "shop", Entries: []standin.LedgerEntry{
			{Operation: "look", Token: "a", Runs: 1, BusySeconds: 3},   // reported as not run, then retried
			{Operation: "look", Token: "a~2", Runs: 1, BusySeconds: 2}, // and got this response
			{Operation: "look", Token: "d", Runs: 1, BusySeconds: 1},   // ran though reported as not run
			{Operation: "look", Token: "ready", Runs: 9, BusySeconds: 9},
		}},
		{Service: "desk", Entries: []standin.LedgerEntry{{Operation: "row", Token: "a~2.0", Runs: 2, BusySeconds: 4}, {Operation: "enter", Token: "b.0", Runs: 1, BusySeconds: 1}}},
		{Service: "desk", Entries: []standin.LedgerEntry{{Operation: "enter", Token: "b.0", Runs: 1, BusySeconds: 1}}},
	}
	a := NewAccount(testDocument, roots, ledgers)
	require.Equal(t, Account{
		ExternalAttempts: 6, ExtraRuns: 2, BusySeconds: 12, WastedSeconds: 3 + 1 + 2 + 1,
		RanTwice: []string{"desk/enter b.0"}, FalseNotRun: []string{"shop/look a", "shop/look d"},
	}, a)
	require.InDelta(t, 1+2.0/6, a.AttemptsPerCall(), 1e-9)
	require.InDelta(t, 7.0/12, a.WastedFraction(), 1e-9)
	require.Error(t, a.check(&standin.Result{}))
	require.NoError(t, Account{}.check(&standin.Result{}))
}

// Guards against summing metrics with the same prefix.
func TestUsage(t *testing.T) {
	const text = "# TYPE bytes counter\nbytes{direction=\"in\"} 10\nbytes{direction=\"out\"} 2.5\nbytes_total 100\nbytes 1e3\n"
	require.InDelta(t, 1012.5, sumMetric([]byte(text), "bytes"), 1e-9)
	require.Zero(t, sumMetric([]byte(text), "byte"))
	memory, err := residentMemory(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, memory, int64(1<<20))
}
