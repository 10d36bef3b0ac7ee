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

// ReadResponseBody reads a response body of at most limit bytes and charges it to
// the memory lease of the call. The error is a *frame.OutcomeError with Unknown:
// the call ran, but its response is not usable.
func ReadResponseBody(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, frame.UnknownError(frame.ReasonPartial, "answer is longer than allowed")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// Such a body ends with the connection, so a truncated body cannot be
		// distinguished from a complete one.
		return nil, frame.UnknownError(frame.ReasonPartial, "answer without a length")
	}
	if ctx.Err() != nil {
		return nil, frame.UnknownError(frame.ReasonTimeout, "the time was up when the answer began")
	}
	if err := leaseFromContext(ctx).acquire(ctx, bodyReservation(resp.ContentLength, limit)); err != nil {
		return nil, frame.UnknownError(frame.ReasonMemory, "no memory for the answer in time")
	}
	body, err := readLimited(resp.Body, resp.ContentLength, limit)
	switch {
	case err != nil:
		return nil, frame.UnknownError(frame.ReasonPartial, "answer was cut short: "+err.Error())
	case int64(len(body)) > limit:
		return nil, frame.UnknownError(frame.ReasonPartial, "answer is longer than allowed")
	case resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength:
		return nil, frame.UnknownError(frame.ReasonPartial, "answer is shorter than its length")
	}
	return body, nil
}

// ReadRequestBody reads a request body of at most limit bytes and charges it to
// the memory lease of the call. The error is a *frame.OutcomeError with NotRun:
// nothing has been forwarded yet.
func ReadRequestBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, frame.NotRunError(frame.ReasonSize, "request body is longer than allowed")
	}
	if !leaseFromContext(r.Context()).tryAcquire(bodyReservation(r.ContentLength, limit)) {
		return nil, frame.NotRunError(frame.ReasonMemory, "memory budget for bodies is used up")
	}
	body, err := readLimited(r.Body, r.ContentLength, limit)
	leaseFromContext(r.Context()).clearReadDeadline()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, frame.NotRunError(frame.ReasonCancelled, "request body was cut short")
	case err != nil:
		return nil, frame.NotRunError(frame.ReasonCancelled, "read request body: "+err.Error())
	case int64(len(body)) > limit:
		return nil, frame.NotRunError(frame.ReasonSize, "request body is longer than allowed")
	case !RequestRead(r.Context()):
		return nil, frame.NotRunError(frame.ReasonCancelled, "connection was closed to make room for others")
	}
	return body, nil
}

// ReadCall reads the body of a call, up to the limit of the active policy;
// ResolveOperation must have found t there. The error is that of ReadRequestBody.
func ReadCall(b *board.Board, r *http.Request, t frame.Target, step string) (frame.Request, error) {
	body, err := ReadRequestBody(r, b.ActiveConfig().Policy().MaxBodyBytes())
	if err != nil {
		return frame.Request{}, err
	}
	return frame.NewRequest(t, body, step), nil
}

// ResolveOperation returns a declared operation of the active policy. The error
// is a *frame.OutcomeError with NotRun.
func ResolveOperation(b *board.Board, t frame.Target) (*policy.Operation, error) {
	active := b.ActiveConfig()
	if active == nil {
		return nil, frame.NotRunError(frame.ReasonConfig, "no configuration in force yet")
	}
	op, ok := active.Policy().Operation(t)
	if !ok {
		return nil, frame.NotRunError(frame.ReasonService, "unknown operation "+t.String())
	}
	return op, nil
}

// bodyReservation returns the bytes to reserve for a body. A negative length is
// unknown and reserves limit bytes.
func bodyReservation(length, limit int64) int64 {
	if length < 0 {
		return limit
	}
	return length
}

// readLimited reads at most limit+1 bytes, so that the caller can detect a body
// longer than limit.
func readLimited(r io.Reader, length, limit int64) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, 0, max(length, 0)+bytes.MinRead))
	_, err := io.Copy(buf, io.LimitReader(r, limit+1))
	return buf.Bytes(), err
}
