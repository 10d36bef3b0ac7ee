package frame

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// HeaderContext carries the call context from node to node. A backend server
// copies it to its outbound calls, as it would copy a trace header.
const HeaderContext = "Dogwood-Context"

const (
	// MaxDepth is the largest number of hops from the entry that is accepted.
	MaxDepth = 16
	// MaxRank is the least important rank within a class.
	MaxRank = 255
	// maxContextLen bounds the header in bytes, so that a malformed one cannot
	// make a node parse without limit.
	maxContextLen = 512
)

// ID identifies a root call or a span. The zero value means "none".
type ID uint64

// NewID returns an id that is not zero, made of the numbers that next draws.
func NewID(next func() uint64) ID {
	for {
		if id := ID(next()); id != 0 {
			return id
		}
	}
}

// String returns the id as 16 hex digits.
func (id ID) String() string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(id))
	return hex.EncodeToString(raw[:])
}

// ParseID parses the 16 hex digits that String writes.
func ParseID(s string) (ID, error) {
	if len(s) != 16 {
		return 0, fmt.Errorf("id %q: want 16 hex digits", s)
	}
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("id %q: want 16 hex digits", s)
	}
	return ID(v), nil
}

// Revision is a pair of configuration revisions. Both parts only go up.
type Revision struct {
	base    uint64
	overlay uint64
}

// NewRevision returns the pair of a base and an overlay revision.
func NewRevision(base, overlay uint64) Revision { return Revision{base: base, overlay: overlay} }

// Base returns the revision of the base document.
func (r Revision) Base() uint64 { return r.base }

// Overlay returns the revision of the overlay document.
func (r Revision) Overlay() uint64 { return r.overlay }

// Behind reports whether at least one part of r is lower than that of o.
func (r Revision) Behind(o Revision) bool { return r.base < o.base || r.overlay < o.overlay }

// String returns the pair as "base.overlay".
func (r Revision) String() string {
	return strconv.FormatUint(r.base, 10) + "." + strconv.FormatUint(r.overlay, 10)
}

// ParseRevision parses the form that String writes.
func ParseRevision(s string) (Revision, error) {
	b, o, ok := strings.Cut(s, ".")
	if !ok {
		return Revision{}, fmt.Errorf("revision %q: want base.overlay", s)
	}
	base, err := strconv.ParseUint(b, 10, 64)
	if err != nil {
		return Revision{}, fmt.Errorf("revision %q: base is not a number", s)
	}
	overlay, err := strconv.ParseUint(o, 10, 64)
	if err != nil {
		return Revision{}, fmt.Errorf("revision %q: overlay is not a number", s)
	}
	return Revision{base: base, overlay: overlay}, nil
}

// Context describes one call at one hop. It is a value: methods that change a
// field return a copy.
type Context struct {
	call  ID
	span  ID
	class int
	rank  int
	left  time.Duration
	tries int
	depth int
	op    string
	rev   Revision
}

// Fields lists the parts of a Context for NewContext.
type Fields struct {
	// Call is the root id; never zero.
	Call ID
	// Span is the id of the span at the receiver; never zero.
	Span ID
	// Class is the index of the class; 0 is the most important.
	Class int
	// Rank orders calls within a class, 0 to MaxRank; smaller is more important.
	Rank int
	// Left is the time left for the call, counted from when it was sent.
	Left time.Duration
	// Tries is the number of retry permits lent to the call.
	Tries int
	// Depth is the number of hops from the entry, 0 to MaxDepth.
	Depth int
	// Op is the operation key, empty where there is none.
	Op string
	// Rev is the revision pair in force at the sender.
	Rev Revision
}

// NewContext checks the fields and returns the context. The error is a
// *ContextError.
func NewContext(f Fields) (Context, error) {
	c := Context{
		call: f.Call, span: f.Span, class: f.Class, rank: f.Rank, left: f.Left,
		tries: f.Tries, depth: f.Depth, op: f.Op, rev: f.Rev,
	}
	if err := c.check(); err != nil {
		return Context{}, err
	}
	return c, nil
}

// Call returns the root id.
func (c Context) Call() ID { return c.call }

// Span returns the id of the span at the receiver.
func (c Context) Span() ID { return c.span }

// Class returns the index of the class.
func (c Context) Class() int { return c.class }

// Rank returns the rank within the class.
func (c Context) Rank() int { return c.rank }

// Left returns the time left when the context was sent.
func (c Context) Left() time.Duration { return c.left }

// Tries returns the retry permits lent to the call.
func (c Context) Tries() int { return c.tries }

// Depth returns the number of hops from the entry.
func (c Context) Depth() int { return c.depth }

// Op returns the operation key or "".
func (c Context) Op() string { return c.op }

// Rev returns the sender's revision pair.
func (c Context) Rev() Revision { return c.rev }

// Priority returns the call's position in the shedding order.
func (c Context) Priority() Level { return NewLevel(c.class, c.rank) }

// Valid reports whether the context was built by NewContext or ParseContext.
func (c Context) Valid() bool { return c.call != 0 }

// Child returns the context of a call that this span makes: same root, class
// and rank, one hop deeper, without the operation key.
func (c Context) Child(span ID, left time.Duration, tries int, rev Revision) (Context, error) {
	return NewContext(Fields{
		Call: c.call, Span: span, Class: c.class, Rank: c.rank,
		Left: left, Tries: tries, Depth: c.depth + 1, Rev: rev,
	})
}

// WithLeft returns a copy with the time left replaced.
func (c Context) WithLeft(left time.Duration) Context {
	c.left = left
	return c
}

// Encode returns the header value.
func (c Context) Encode() string {
	var b strings.Builder
	b.Grow(128)
	b.WriteString("call=" + c.call.String())
	b.WriteString(";span=" + c.span.String())
	b.WriteString(";class=" + strconv.Itoa(c.class))
	b.WriteString(";rank=" + strconv.Itoa(c.rank))
	b.WriteString(";left=" + strconv.FormatInt(c.left.Milliseconds(), 10))
	b.WriteString(";tries=" + strconv.Itoa(c.tries))
	b.WriteString(";depth=" + strconv.Itoa(c.depth))
	if c.op != "" {
		b.WriteString(";op=" + c.op)
	}
	b.WriteString(";rev=" + c.rev.String())
	return b.String()
}

// ParseContext parses a header value. The error is a *ContextError.
func ParseContext(s string) (Context, error) {
	if len(s) > maxContextLen {
		return Context{}, &ContextError{field: "context", reason: fmt.Sprintf("longer than %d bytes", maxContextLen)}
	}
	var c Context
	seen := make(map[string]bool, 9)
	for part := range strings.SplitSeq(s, ";") {
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return Context{}, &ContextError{field: part, reason: "want key=value"}
		}
		if seen[key] {
			return Context{}, &ContextError{field: key, reason: "given twice"}
		}
		seen[key] = true
		if err := c.set(key, value); err != nil {
			return Context{}, err
		}
	}
	for _, key := range []string{"call", "span", "class", "rank", "left", "tries", "depth", "rev"} {
		if !seen[key] {
			return Context{}, &ContextError{field: key, reason: "missing"}
		}
	}
	if err := c.check(); err != nil {
		return Context{}, err
	}
	return c, nil
}

func (c *Context) set(key, value string) error {
	var err error
	switch key {
	case "call":
		c.call, err = ParseID(value)
	case "span":
		c.span, err = ParseID(value)
	case "class":
		c.class, err = strconv.Atoi(value)
	case "rank":
		c.rank, err = strconv.Atoi(value)
	case "left":
		var ms int64
		ms, err = strconv.ParseInt(value, 10, 64)
		c.left = time.Duration(ms) * time.Millisecond
	case "tries":
		c.tries, err = strconv.Atoi(value)
	case "depth":
		c.depth, err = strconv.Atoi(value)
	case "op":
		c.op = value
	case "rev":
		c.rev, err = ParseRevision(value)
	default:
		return &ContextError{field: key, reason: "unknown field"}
	}
	if err != nil {
		return &ContextError{field: key, reason: "malformed value " + strconv.Quote(value)}
	}
	return nil
}

// check enforces the ranges that the doc comments of Fields state.
func (c Context) check() error {
	const maxLeft = time.Hour
	switch {
	case c.call == 0:
		return &ContextError{field: "call", reason: "zero"}
	case c.span == 0:
		return &ContextError{field: "span", reason: "zero"}
	case c.class < 0 || c.class > MaxClass:
		return &ContextError{field: "class", reason: "out of range"}
	case c.rank < 0 || c.rank > MaxRank:
		return &ContextError{field: "rank", reason: "out of range"}
	case c.left < 0 || c.left > maxLeft:
		return &ContextError{field: "left", reason: "out of range"}
	case c.tries < 0 || c.tries > MaxTries:
		return &ContextError{field: "tries", reason: "out of range"}
	case c.depth < 0 || c.depth > MaxDepth:
		return &ContextError{field: "depth", reason: "out of range"}
	case strings.ContainsAny(c.op, ";\r\n "):
		return &ContextError{field: "op", reason: "contains a separator"}
	}
	return nil
}
