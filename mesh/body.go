package mesh

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"dogwoodhead/frame"
	"dogwoodhead/h1"
)

const (
	// maxBufferedBody is the largest body of a response, or of a request without
	// a length, in bytes that is buffered. A larger body is streamed.
	maxBufferedBody = 64 << 10
	// maxBufferedRequest is the largest body of a request with a length that is
	// buffered. A streamed request can't be sent again after a refusal, and one
	// from a slow caller occupies a slot of the backend server meanwhile.
	maxBufferedRequest = 512 << 10
	// bodyMemoryDivisor divides the process's memory to give the limit for all
	// buffered request and response bodies. Beyond it, bodies of any size are
	// streamed.
	bodyMemoryDivisor = 8
)

var (
	// errBodyTooLarge reports that a body exceeds the configured limit.
	errBodyTooLarge = errors.New("body is too large")
	// errBodyLength reports that a body is longer than announced.
	errBodyLength = errors.New("body is longer than its length")
)

// readBody buffers a body that is small enough before the request's deadline, or sets
// c.upload. limit is in bytes; 0 means none. The error is errBodyTooLarge for a larger
// body.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limit int64, memory *semaphore.Weighted) error {
	if r.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(w)
	// Setting a deadline fails only on a closed connection, which the read reports.
	_ = conn.SetReadDeadline(c.deadline)
	if limit > 0 && r.ContentLength > limit {
		return errBodyTooLarge
	}
	in := io.Reader(r.Body)
	if limit > 0 {
		in = &limitedReader{in: r.Body, remaining: limit}
	}
	body, rest, err := c.reservation.read(in, r.ContentLength, maxBufferedRequest, memory)
	if err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.body = body
	if rest != nil {
		c.upload, c.uploadLength = newUpload(w, rest, r.Body), r.ContentLength
	}
	return nil
}

// bodyReservation is the memory that one body reserves of a node's body memory.
type bodyReservation struct {
	pool *semaphore.Weighted
	// bytes is 0 if nothing is reserved.
	bytes int64
}

// read buffers a body if it is small enough and memory is free. Otherwise rest
// streams the complete body. length is in bytes, negative if unknown; maxLength
// applies if it is known.
func (r *bodyReservation) read(in io.Reader, length, maxLength int64, memory *semaphore.Weighted) (body []byte, rest io.Reader, err error) {
	if length < 0 {
		return r.readUnknownLength(in, memory)
	}
	if length > maxLength || !r.acquire(memory, length) {
		return nil, in, nil
	}
	body = make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, nil, err
	}
	// The end of the body must be read: a response's connection is reused after it.
	if n, err := io.ReadFull(in, make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return nil, nil, errors.Join(errBodyLength, err)
	}
	return body, nil, nil
}

// readUnknownLength is read for a body of at most maxBufferedBody bytes.
func (r *bodyReservation) readUnknownLength(in io.Reader, memory *semaphore.Weighted) (body []byte, rest io.Reader, err error) {
	if !r.acquire(memory, maxBufferedBody) {
		return nil, in, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(in, maxBufferedBody+1))
	if err != nil {
		return nil, nil, err
	}
	if len(buffered) > maxBufferedBody {
		return nil, io.MultiReader(bytes.NewReader(buffered), in), nil
	}
	r.shrink(len(buffered))
	return buffered, nil, nil
}

// acquire reserves memory for a body and reports whether it may be buffered.
func (r *bodyReservation) acquire(memory *semaphore.Weighted, length int64) bool {
	if !memory.TryAcquire(length) {
		return false
	}
	r.pool, r.bytes = memory, length
	return true
}

// shrink reduces the reservation to length bytes.
func (r *bodyReservation) shrink(length int) {
	if rest := r.bytes - int64(length); rest > 0 {
		r.pool.Release(rest)
		r.bytes -= rest
	}
}

// release frees the reservation; only the first call has an effect.
func (r *bodyReservation) release() {
	if r.bytes > 0 {
		r.pool.Release(r.bytes)
		r.bytes = 0
	}
}

// limitedReader fails with errBodyTooLarge after more than remaining bytes.
type limitedReader struct {
	in        io.Reader
	remaining int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.in.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// readResponse returns the result for a response, with a small body buffered.
func readResponse(resp *h1.Response, memory *semaphore.Weighted) result {
	out := &response{status: resp.Status, header: resp.Header, length: resp.Length, uploaded: resp.Uploaded}
	if resp.Bodiless {
		// Reading to the end lets the connection be reused.
		_ = drainBody(resp.Body)
		return result{outcome: frame.Answered, response: out}
	}
	body, rest, err := out.reservation.read(resp.Body, resp.Length, maxBufferedBody, memory)
	if rest != nil {
		out.stream = &prefixedBody{Reader: rest, Closer: resp.Body}
		return result{outcome: frame.Answered, response: out}
	}
	_ = resp.Body.Close()
	if err != nil {
		out.reservation.release()
		return unknownOutcome(frame.ReasonPartial, err.Error())
	}
	out.body, out.length = body, int64(len(body))
	return result{outcome: frame.Answered, response: out}
}

// prefixedBody is a body whose first bytes may be buffered already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// drainBody reads a short body to its end, so that its connection can be reused.
func drainBody(body io.ReadCloser) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, maxBufferedBody))
	return errors.Join(err, body.Close())
}
