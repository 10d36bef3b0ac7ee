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

// Span is one call that this node's backend server works on. The outbound
// calls that the backend server makes for it find it by the id in the call
// context.
type Span struct {
	// ctx ends when the call is answered, cancelled or past its deadline; the
	// outbound calls of the span end with it.
	ctx     context.Context
	context frame.Context
	op      *policy.Operation
	// deadline is on this node's clock.
	deadline time.Time
	escrow   *retry.PermitPool
	repeats  *retry.OutboundCalls
	ticket   *admit.Ticket
}

// Context returns the context that ends with the span.
func (s *Span) Context() context.Context { return s.ctx }

// Call returns the call context that the span was called with.
func (s *Span) Call() frame.Context { return s.context }

// Operation returns the operation that the span runs.
func (s *Span) Operation() *policy.Operation { return s.op }

// Deadline returns when the span's time is up, on this node's clock.
func (s *Span) Deadline() time.Time { return s.deadline }

// Escrow returns the span's retry permits.
func (s *Span) Escrow() *retry.PermitPool { return s.escrow }

// Repeats returns the table of the span's outbound calls.
func (s *Span) Repeats() *retry.OutboundCalls { return s.repeats }

// Wait marks the span as waiting on a dependency until done is called.
func (s *Span) Wait(dependency string) (done func()) { return s.ticket.BeginWait(dependency) }

// Spans holds the spans in progress, by span id.
type Spans struct {
	rows *board.Table[frame.ID, *Span]
}

// NewSpans returns an empty table.
func NewSpans() *Spans { return &Spans{rows: board.NewTable[frame.ID, *Span]()} }

// Find returns the span in progress that a call context names.
func (s *Spans) Find(c frame.Context) (*Span, bool) {
	span, ok := s.rows.Get(c.SpanID())
	if !ok || span.context.RootID() != c.RootID() {
		return nil, false
	}
	return span, true
}

// Len returns the number of spans in progress.
func (s *Spans) Len() int { return s.rows.Len() }

func (s *Spans) add(span *Span)    { s.rows.Put(span.context.SpanID(), span) }
func (s *Spans) remove(span *Span) { s.rows.Delete(span.context.SpanID()) }
