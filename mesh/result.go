package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"

	"dogwoodhead/frame"
	"dogwoodhead/h1"
)

// response is an HTTP response with a buffered or streamed body.
type response struct {
	status int
	header http.Header
	body   []byte
	// stream is the body if it is not buffered, else nil. It must be closed.
	// length is the length of the body in bytes, negative if unknown.
	stream io.ReadCloser
	length int64
	// uploaded is closed once the body of the request was sent, or can't be.
	uploaded <-chan struct{}
	// reservation is the memory reserved for the buffered body.
	reservation bodyReservation
}

// result is the result of one attempt.
type result struct {
	outcome frame.Outcome
	reason  frame.Reason
	detail  string
	// response is set if outcome is Answered.
	response *response
	// feedback is the state that the node beside the backend server reported; nil
	// if there is none.
	feedback *frame.Feedback
}

// discard closes an unused response, which releases the slot of a streamed body.
func (r result) discard() {
	if r.response != nil {
		r.response.close()
	}
}

// close closes the body and frees its memory. Only the first call has an effect.
func (r *response) close() {
	if r.stream != nil {
		// The body is not used, so an error in closing it does not matter.
		_ = r.stream.Close()
	}
	r.reservation.release()
}

func refused(reason frame.Reason, detail string) result {
	return result{outcome: frame.NotRun, reason: reason, detail: detail}
}

func unknownOutcome(reason frame.Reason, detail string) result {
	return result{outcome: frame.Unknown, reason: reason, detail: detail}
}

// err returns the result as a *frame.OutcomeError, nil for Answered.
func (r result) err() error {
	switch r.outcome {
	case frame.Answered:
		return nil
	case frame.NotRun:
		return frame.NotRunError(r.reason, r.detail)
	default:
		return frame.UnknownError(r.reason, r.detail)
	}
}

// failedExchange returns the result of an exchange that failed with err: NotRun if
// no byte of the request was sent, else Unknown.
func failedExchange(ctx context.Context, err error) result {
	var h1Err *h1.Error
	if errors.As(err, &h1Err) && !h1Err.Sent() {
		return refused(contextReason(ctx, frame.ReasonDial), err.Error())
	}
	reason := contextReason(ctx, frame.ReasonLost)
	if h1Err != nil && h1Err.Partial() && reason == frame.ReasonTimeout {
		// The server failed: it sent something, but no response before the deadline.
		reason = frame.ReasonPartial
	}
	return unknownOutcome(reason, err.Error())
}

// contextReason returns the reason for which ctx ended, fallback if it has not.
func contextReason(ctx context.Context, fallback frame.Reason) frame.Reason {
	switch {
	case errors.Is(context.Cause(ctx), errStopped):
		return frame.ReasonLeaving
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return frame.ReasonTimeout
	case ctx.Err() != nil:
		return frame.ReasonCancelled
	}
	return fallback
}
