package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/policy"
)

// ReadWhole reads a response body of at most limit bytes within the memory
// lease of the call. The error is a *frame.OutcomeError with Unknown: the call
// ran, but what came back is no answer.
func ReadWhole(ctx context.Context, r *http.Response, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, frame.UnknownError(frame.ReasonPartial, "answer is longer than allowed")
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		// The end of such a body is the end of the connection, which a broken
		// connection looks like too.
		return nil, frame.UnknownError(frame.ReasonPartial, "answer without a length")
	}
	if ctx.Err() != nil {
		return nil, frame.UnknownError(frame.ReasonTimeout, "the time was up when the answer began")
	}
	if err := leaseOf(ctx).wait(ctx, sizeOf(r.ContentLength, limit)); err != nil {
		return nil, frame.UnknownError(frame.ReasonMemory, "no memory for the answer in time")
	}
	body, err := readAll(r.Body, r.ContentLength, limit)
	switch {
	case err != nil:
		return nil, frame.UnknownError(frame.ReasonPartial, "answer was cut short: "+err.Error())
	case int64(len(body)) > limit:
		return nil, frame.UnknownError(frame.ReasonPartial, "answer is longer than allowed")
	case r.ContentLength >= 0 && int64(len(body)) != r.ContentLength:
		return nil, frame.UnknownError(frame.ReasonPartial, "answer is shorter than its length")
	}
	return body, nil
}

// ReadRequest reads a request body of at most limit bytes within the memory
// lease of the call. The error is a *frame.OutcomeError with NotRun: nothing
// was passed on yet.
func ReadRequest(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, frame.NotRunError(frame.ReasonSize, "request body is longer than allowed")
	}
	if !leaseOf(r.Context()).try(sizeOf(r.ContentLength, limit)) {
		return nil, frame.NotRunError(frame.ReasonMemory, "memory budget for bodies is used up")
	}
	body, err := readAll(r.Body, r.ContentLength, limit)
	leaseOf(r.Context()).read()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, frame.NotRunError(frame.ReasonCancelled, "request body was cut short")
	case err != nil:
		return nil, frame.NotRunError(frame.ReasonCancelled, "read request body: "+err.Error())
	case int64(len(body)) > limit:
		return nil, frame.NotRunError(frame.ReasonSize, "request body is longer than allowed")
	}
	return body, nil
}

// ReadCall reads the body of a call within the bounds of the policy in force,
// which Resolve found. The error is that of ReadRequest.
func ReadCall(b *board.Board, r *http.Request, t frame.Target, step string) (frame.Request, error) {
	body, err := ReadRequest(r, b.ActiveConfig().Policy().Body())
	if err != nil {
		return frame.Request{}, err
	}
	return frame.NewRequest(t, body, step), nil
}

// Resolve finds a declared operation in the policy in force. The error is a
// *frame.OutcomeError with NotRun.
func Resolve(b *board.Board, t frame.Target) (*policy.Operation, error) {
	f := b.ActiveConfig()
	if f == nil {
		return nil, frame.NotRunError(frame.ReasonConfig, "no configuration in force yet")
	}
	op, ok := f.Policy().Operation(t)
	if !ok {
		return nil, frame.NotRunError(frame.ReasonService, "unknown operation "+t.String())
	}
	return op, nil
}

// sizeOf returns how much memory a body may need; a body of unknown length may
// need the limit.
func sizeOf(length, limit int64) int64 {
	if length < 0 {
		return limit
	}
	return length
}

// readAll reads up to one byte more than limit, so that the caller can tell a
// body of the limit from a longer one.
func readAll(r io.Reader, length, limit int64) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, 0, max(length, 0)+bytes.MinRead))
	_, err := io.Copy(buf, io.LimitReader(r, limit+1))
	return buf.Bytes(), err
}
