package peer

import (
	"context"
	"time"

	"dogwoodhead/admit"
	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/policy"
	"dogwoodhead/retry"
)

// Span is a call in progress at this node's backend server. The outbound calls
// that the backend server makes for it are matched to it by the span id in their
// call context.
type Span struct {
	// ctx ends when the call is answered, cancelled or past its deadline, and ends
	// the span's outbound calls.
	ctx       context.Context
	context   frame.Context
	operation *policy.Operation
	// deadline is on this node's clock.
	deadline      time.Time
	permitPool    *retry.PermitPool
	outboundCalls *retry.OutboundCalls
	ticket        *admit.Ticket
}

// Context returns the context.Context that ends with the span.
func (s *Span) Context() context.Context { return s.ctx }

// CallContext returns the call context that the span was called with.
func (s *Span) CallContext() frame.Context { return s.context }

// Operation returns the operation that the span runs.
func (s *Span) Operation() *policy.Operation { return s.operation }

// Deadline returns the span's deadline, on this node's clock.
func (s *Span) Deadline() time.Time { return s.deadline }

// PermitPool returns the span's retry permits.
func (s *Span) PermitPool() *retry.PermitPool { return s.permitPool }

// OutboundCalls returns the record of the span's outbound calls.
func (s *Span) OutboundCalls() *retry.OutboundCalls { return s.outboundCalls }

// BeginWait marks the span as waiting for a dependency until done is called.
func (s *Span) BeginWait(dependency string) (done func()) { return s.ticket.BeginWait(dependency) }

// Spans holds the spans in progress, by span id.
type Spans struct {
	byID *board.Table[frame.ID, *Span]
}

// NewSpans returns an empty table.
func NewSpans() *Spans { return &Spans{byID: board.NewTable[frame.ID, *Span]()} }

// Find returns the span in progress with the ids of a call context.
func (s *Spans) Find(c frame.Context) (*Span, bool) {
	span, ok := s.byID.Get(c.SpanID())
	if !ok || span.context.RootID() != c.RootID() {
		return nil, false
	}
	return span, true
}

// Len returns the number of spans in progress.
func (s *Spans) Len() int { return s.byID.Len() }

func (s *Spans) add(span *Span)    { s.byID.Put(span.context.SpanID(), span) }
func (s *Spans) remove(span *Span) { s.byID.Delete(span.context.SpanID()) }
