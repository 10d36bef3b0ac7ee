package operator

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"dogwoodhead/frame"
)

const (
	// initialLogLine is the initial size of the buffer of a line of a log, and
	// maxLogLine its bound, in bytes.
	initialLogLine = 4 << 10
	maxLogLine     = 1 << 20
	// childSeparator separates the id of a request from what a backend server adds
	// for a request of its own.
	childSeparator = "."
	// traceIndent is the indent of what belongs to a request.
	traceIndent = "  "
)

// Messages of the log lines about one request of a node on the users' platform,
// which a Trace reads.
const (
	// MsgRequest is logged where a request began, once it has ended.
	MsgRequest = "request"
	// MsgRun is logged beside the backend server, once an attempt has ended.
	MsgRun = "run"
	// MsgReject is logged for a request that is not routed.
	MsgReject = "reject"
)

// traceLine is a log line of a node on the users' platform about one request.
// Durations are in milliseconds, as in the log.
type traceLine struct {
	Time      time.Time `json:"time"`
	Msg       string    `json:"msg"`
	Request   string    `json:"request"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Host      string    `json:"host"`
	Target    string    `json:"target"`
	Instance  string    `json:"instance"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason"`
	Detail    string    `json:"detail"`
	Load      string    `json:"load"`
	Status    int       `json:"status"`
	Offers    int       `json:"offers"`
	Runs      int       `json:"runs"`
	Denied    bool      `json:"denied"`
	Repeat    bool      `json:"repeat"`
	Took      int64     `json:"took"`
	Left      int64     `json:"left"`
	Config    uint64    `json:"config"`
	ConfigAge int64     `json:"configAge"`
	List      uint64    `json:"list"`
	ListAge   int64     `json:"listAge"`
}

// begin returns when what the line reports began, by the clock of its node.
func (l traceLine) begin() time.Time { return l.Time.Add(-time.Duration(l.Took) * time.Millisecond) }

// Trace is the path of one request through the nodes, collected from their logs.
// The ids of the requests that it caused begin with its own.
type Trace struct {
	root string
	// requests holds the root request and all that it caused, by id.
	requests map[string]*tracedRequest
}

// tracedRequest is one request of a Trace.
type tracedRequest struct {
	id string
	// end is the line of the node where the request began, nil if it is missing.
	end *traceLine
	// runs are the lines of the nodes beside the backend servers.
	runs     []traceLine
	children []*tracedRequest
}

// NewTrace returns an empty trace of the request that caused the one with the id.
func NewTrace(id string) *Trace {
	root, _, _ := strings.Cut(id, childSeparator)
	return &Trace{root: root, requests: make(map[string]*tracedRequest)}
}

// Read adds the lines of a log. Text before the JSON object of a line and lines
// without one are ignored.
func (t *Trace) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, initialLogLine), maxLogLine)
	key := []byte(`"request":"` + t.root)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, key) {
			continue
		}
		var line traceLine
		if err := json.Unmarshal(text[start:], &line); err != nil {
			// Not a line of ours, or cut off by the end of its process.
			continue
		}
		t.add(line)
	}
	return scanner.Err()
}

func (t *Trace) add(line traceLine) {
	if line.Request != t.root && !strings.HasPrefix(line.Request, t.root+childSeparator) {
		return
	}
	r := t.find(line.Request)
	switch line.Msg {
	case MsgRequest, MsgReject:
		r.end = &line
	case MsgRun:
		r.runs = append(r.runs, line)
	}
}

// find returns the request with an id and adds it, below its parent, if needed.
func (t *Trace) find(id string) *tracedRequest {
	if r, ok := t.requests[id]; ok {
		return r
	}
	r := &tracedRequest{id: id}
	t.requests[id] = r
	if i := strings.LastIndex(id, childSeparator); i >= 0 {
		parent := t.find(id[:i])
		parent.children = append(parent.children, r)
	}
	return r
}

// Len returns the number of requests in the trace.
func (t *Trace) Len() int { return len(t.requests) }

// Write writes the trace as an indented tree: each request, the attempts at
// backend servers in the order in which they were made, and the requests that it
// caused.
func (t *Trace) Write(w io.Writer) error {
	root, ok := t.requests[t.root]
	if !ok {
		_, err := fmt.Fprintf(w, "no line about request %s\n", t.root)
		return err
	}
	return root.write(w, "")
}

func (r *tracedRequest) write(w io.Writer, indent string) error {
	if _, err := fmt.Fprintf(w, "%s%s %s\n", indent, r.id, r.end.describeRequest()); err != nil {
		return err
	}
	indent += traceIndent
	r.sort()
	for _, run := range r.runs {
		if _, err := fmt.Fprintf(w, "%s%s\n", indent, run.describeRun()); err != nil {
			return err
		}
	}
	for _, child := range r.children {
		if err := child.write(w, indent); err != nil {
			return err
		}
	}
	return nil
}

// sort orders the runs by the time that was left, because each is logged at
// another node, whose clock may differ. All children are logged at one node.
func (r *tracedRequest) sort() {
	slices.SortStableFunc(r.runs, func(a, b traceLine) int {
		return cmp.Or(cmp.Compare(b.Left+b.Took, a.Left+a.Took), a.Time.Compare(b.Time))
	})
	slices.SortStableFunc(r.children, func(a, b *tracedRequest) int {
		if a.end == nil || b.end == nil {
			return cmp.Compare(a.id, b.id)
		}
		return a.end.begin().Compare(b.end.begin())
	})
}

func (l *traceLine) describeRequest() string {
	switch {
	case l == nil:
		return "has no line of the node where it began: dropped, or the process ended first"
	case l.Msg == MsgReject:
		return fmt.Sprintf("to %s%s rejected with %d after %d ms; config r%d", l.Host, l.Target, l.Status, l.Took, l.Config)
	}
	text := fmt.Sprintf("%s at %s: %s after %d ms, %d offers, %d runs", l.Route, l.Service, l.result(), l.Took, l.Offers, l.Runs)
	if l.Denied {
		text += ", no permit for a retry"
	}
	if l.Repeat {
		text += ", repeated"
	}
	return text + fmt.Sprintf("; config r%d (%d ms old), list %d (%d ms old)", l.Config, l.ConfigAge, l.List, l.ListAge)
}

func (l *traceLine) describeRun() string {
	name := "ran"
	if l.Outcome == frame.NotRun.String() {
		name = "refused"
	}
	return fmt.Sprintf("%s at %s: %s after %d ms, load %s, %d ms left", name, l.Instance, l.result(), l.Took, l.Load, l.Left)
}

// result returns outcome, reason, detail and status, as far as they are set.
func (l *traceLine) result() string {
	parts := []string{l.Outcome}
	if l.Reason != "" {
		parts = append(parts, l.Reason)
	}
	if l.Detail != "" {
		parts = append(parts, fmt.Sprintf("(%s)", l.Detail))
	}
	if l.Status != 0 {
		parts = append(parts, fmt.Sprintf("status %d", l.Status))
	}
	return strings.Join(parts, " ")
}
