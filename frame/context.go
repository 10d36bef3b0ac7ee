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
// copies it to its outbound calls, like a trace header.
const HeaderContext = "Dogwood-Context"

const (
	// MaxDepth is the largest accepted number of hops from the ingress.
	MaxDepth = 16
	// MaxRank is the rank of lowest priority within a class.
	MaxRank = 255
	// maxContextLen is the largest header in bytes; it bounds the cost of parsing
	// a malformed one.
	maxContextLen = 512
)

// ID identifies a root request or a span. The zero value means "none".
type ID uint64

// NewID returns the first id drawn from random that is not zero.
func NewID(random func() uint64) ID {
	for {
		if id := ID(random()); id != 0 {
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

// Revision is a pair of configuration revisions. Neither part ever decreases.
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

// Behind reports whether the base or overlay of r is lower than that of other.
func (r Revision) Behind(other Revision) bool {
	return r.base < other.base || r.overlay < other.overlay
}

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

// Context describes one call at one hop. It is immutable: methods that change a
// field return a copy.
type Context struct {
	rootID       ID
	spanID       ID
	class        int
	rank         int
	timeLeft     time.Duration
	permits      int
	depth        int
	operationKey string
	rev          Revision
}

// Fields are the arguments of NewContext.
type Fields struct {
	// RootID is the id of the root request; never zero.
	RootID ID
	// SpanID is the id of the span at the receiver; never zero.
	SpanID ID
	// Class is the index of the class, 0 to MaxClass; 0 has the highest priority.
	Class int
	// Rank orders calls within a class, 0 to MaxRank; 0 has the highest priority.
	Rank int
	// TimeLeft is the time from sending the call to its deadline, 0 to 1 hour.
	TimeLeft time.Duration
	// Permits is the number of retry permits granted to the call, 0 to MaxPermits.
	Permits int
	// Depth is the number of hops from the ingress, 0 to MaxDepth.
	Depth int
	// OperationKey is the operation key, empty if there is none.
	OperationKey string
	// Rev is the revision pair of the sender's active configuration.
	Rev Revision
}

// NewContext returns a context with the given fields, or a *ContextError if one
// is out of range.
func NewContext(f Fields) (Context, error) {
	c := Context{
		rootID: f.RootID, spanID: f.SpanID, class: f.Class, rank: f.Rank, timeLeft: f.TimeLeft,
		permits: f.Permits, depth: f.Depth, operationKey: f.OperationKey, rev: f.Rev,
	}
	if err := c.validate(); err != nil {
		return Context{}, err
	}
	return c, nil
}

// RootID returns the id of the root request.
func (c Context) RootID() ID { return c.rootID }

// SpanID returns the id of the span at the receiver.
func (c Context) SpanID() ID { return c.spanID }

// Class returns the index of the class.
func (c Context) Class() int { return c.class }

// Rank returns the rank within the class.
func (c Context) Rank() int { return c.rank }

// TimeLeft returns the time left when the call was sent.
func (c Context) TimeLeft() time.Duration { return c.timeLeft }

// Permits returns the number of retry permits granted to the call.
func (c Context) Permits() int { return c.permits }

// Depth returns the number of hops from the ingress.
func (c Context) Depth() int { return c.depth }

// OperationKey returns the operation key or "".
func (c Context) OperationKey() string { return c.operationKey }

// Rev returns the sender's revision pair.
func (c Context) Rev() Revision { return c.rev }

// Priority returns the class and rank as a Level; greater values are shed first.
func (c Context) Priority() Level { return NewLevel(c.class, c.rank) }

// Valid reports whether the context was built by NewContext or ParseContext.
func (c Context) Valid() bool { return c.rootID != 0 }

// Child returns the context of a child request of this span: same root, class
// and rank, one hop deeper, without the operation key.
func (c Context) Child(spanID ID, timeLeft time.Duration, permits int, rev Revision) (Context, error) {
	return NewContext(Fields{
		RootID: c.rootID, SpanID: spanID, Class: c.class, Rank: c.rank,
		TimeLeft: timeLeft, Permits: permits, Depth: c.depth + 1, Rev: rev,
	})
}

// WithTimeLeft returns a copy with the given time left.
func (c Context) WithTimeLeft(timeLeft time.Duration) Context {
	c.timeLeft = timeLeft
	return c
}

// Encode returns the value of HeaderContext, with the time left in whole ms.
func (c Context) Encode() string {
	var b strings.Builder
	b.Grow(128)
	b.WriteString("call=" + c.rootID.String())
	b.WriteString(";span=" + c.spanID.String())
	b.WriteString(";class=" + strconv.Itoa(c.class))
	b.WriteString(";rank=" + strconv.Itoa(c.rank))
	b.WriteString(";left=" + strconv.FormatInt(c.timeLeft.Milliseconds(), 10))
	b.WriteString(";tries=" + strconv.Itoa(c.permits))
	b.WriteString(";depth=" + strconv.Itoa(c.depth))
	if c.operationKey != "" {
		b.WriteString(";op=" + c.operationKey)
	}
	b.WriteString(";rev=" + c.rev.String())
	return b.String()
}

// ParseContext parses the form that Encode writes. The error is a *ContextError.
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
		if err := c.setField(key, value); err != nil {
			return Context{}, err
		}
	}
	for _, key := range []string{"call", "span", "class", "rank", "left", "tries", "depth", "rev"} {
		if !seen[key] {
			return Context{}, &ContextError{field: key, reason: "missing"}
		}
	}
	if err := c.validate(); err != nil {
		return Context{}, err
	}
	return c, nil
}

func (c *Context) setField(key, value string) error {
	var err error
	switch key {
	case "call":
		c.rootID, err = ParseID(value)
	case "span":
		c.spanID, err = ParseID(value)
	case "class":
		c.class, err = strconv.Atoi(value)
	case "rank":
		c.rank, err = strconv.Atoi(value)
	case "left":
		var ms int64
		// 32 bits are far above the largest value and can't overflow a Duration.
		ms, err = strconv.ParseInt(value, 10, 32)
		c.timeLeft = time.Duration(ms) * time.Millisecond
	case "tries":
		c.permits, err = strconv.Atoi(value)
	case "depth":
		c.depth, err = strconv.Atoi(value)
	case "op":
		c.operationKey = value
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

// validate checks the ranges documented in Fields.
func (c Context) validate() error {
	const maxTimeLeft = time.Hour
	switch {
	case c.rootID == 0:
		return &ContextError{field: "call", reason: "zero"}
	case c.spanID == 0:
		return &ContextError{field: "span", reason: "zero"}
	case c.class < 0 || c.class > MaxClass:
		return &ContextError{field: "class", reason: "out of range"}
	case c.rank < 0 || c.rank > MaxRank:
		return &ContextError{field: "rank", reason: "out of range"}
	case c.timeLeft < 0 || c.timeLeft > maxTimeLeft:
		return &ContextError{field: "left", reason: "out of range"}
	case c.permits < 0 || c.permits > MaxPermits:
		return &ContextError{field: "tries", reason: "out of range"}
	case c.depth < 0 || c.depth > MaxDepth:
		return &ContextError{field: "depth", reason: "out of range"}
	case strings.ContainsAny(c.operationKey, ";\r\n "):
		return &ContextError{field: "op", reason: "contains a separator"}
	}
	return nil
}
