package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"

	"dogwoodhead/frame"
	"dogwoodhead/h1"
)

// answer is a response, whole or with the rest of its body on its way.
type answer struct {
	status int
	header http.Header
	body   []byte
	// stream is the body where it is too large to keep; nil otherwise. It must
	// be closed. length is its length in bytes, negative where it is not known.
	stream io.ReadCloser
	length int64
	// held is what the body takes of the node's memory for bodies.
	held held
}

// result is what became of one attempt.
type result struct {
	outcome frame.Outcome
	reason  frame.Reason
	detail  string
	// answer is set where outcome is Answered.
	answer *answer
	// feedback is what the node beside the backend server says of itself; nil
	// where it said nothing.
	feedback *frame.Feedback
}

// discard ends an answer that nobody gets. It frees the slot of one whose body
// is still on its way.
func (r result) discard() {
	if r.answer != nil {
		r.answer.close()
	}
}

// close ends an answer: nobody needs its body any more. Only the first call has
// an effect.
func (a *answer) close() {
	if a.stream != nil {
		// The body is not used; how its connection ends does not matter.
		_ = a.stream.Close()
	}
	a.held.release()
}

func refused(reason frame.Reason, detail string) result {
	return result{outcome: frame.NotRun, reason: reason, detail: detail}
}

func lost(reason frame.Reason, detail string) result {
	return result{outcome: frame.Unknown, reason: reason, detail: detail}
}

// err returns the result as an error of package frame, nil for an answer.
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

// failure returns the result of an exchange without a response: not run where no
// byte of the request was sent.
func failure(ctx context.Context, err error) result {
	var failed *h1.Error
	if errors.As(err, &failed) && !failed.Sent() {
		return refused(reasonOf(ctx, frame.ReasonDial), err.Error())
	}
	return lost(reasonOf(ctx, frame.ReasonLost), err.Error())
}

// reasonOf tells why ctx ended.
func reasonOf(ctx context.Context, otherwise frame.Reason) frame.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return frame.ReasonTimeout
	case ctx.Err() != nil:
		return frame.ReasonCancelled
	}
	return otherwise
}
