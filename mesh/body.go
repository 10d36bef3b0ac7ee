package mesh

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"golang.org/x/sync/semaphore"

	"dogwoodhead/frame"
	"dogwoodhead/h1"
)

const (
	// keptBody is the largest body in bytes that is read whole before it is sent
	// on. A request with a larger one can't be sent again, and a response with a
	// larger one is passed on while it arrives.
	keptBody = 64 << 10
	// keptPart is the part of the process's memory, as a divisor, that the bodies
	// of all requests and responses may take. Beyond it they are passed on while
	// they arrive, whatever their size.
	keptPart = 8
)

// errTooLarge says that a body exceeds the configured limit.
var errTooLarge = errors.New("body is too large")

// readBody reads a body that is small enough to keep, or leaves it as a stream.
func (c *call) readBody(r *http.Request, limit int64, memory *semaphore.Weighted) error {
	if r.ContentLength == 0 {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return errTooLarge
	}
	in := io.Reader(r.Body)
	if limit > 0 {
		in = &limited{in: r.Body, left: limit}
	}
	body, rest, err := c.held.read(in, r.ContentLength, memory)
	if err != nil {
		return err
	}
	c.body, c.stream = body, rest
	if rest != nil {
		c.length = r.ContentLength
	}
	return nil
}

// held is what one body takes of a node's memory for bodies.
type held struct {
	memory *semaphore.Weighted
	// bytes is 0 where nothing is held.
	bytes int64
}

// read reads a body that may be kept, whose length in bytes is negative where
// it is not known. Another one is returned as rest, with nothing missing.
func (h *held) read(in io.Reader, length int64, memory *semaphore.Weighted) (body []byte, rest io.Reader, err error) {
	if !h.take(memory, length) {
		return nil, in, nil
	}
	kept, err := io.ReadAll(io.LimitReader(in, keptBody+1))
	if err != nil {
		return nil, nil, err
	}
	if len(kept) > keptBody {
		return nil, io.MultiReader(bytes.NewReader(kept), in), nil
	}
	h.shrink(len(kept))
	return kept, nil, nil
}

// take holds memory for a body of a length in bytes, negative where it is not
// known. It reports whether the body may be kept.
func (h *held) take(memory *semaphore.Weighted, length int64) bool {
	if length < 0 {
		length = keptBody
	}
	if length > keptBody || !memory.TryAcquire(length) {
		return false
	}
	h.memory, h.bytes = memory, length
	return true
}

// shrink gives back what the body turned out not to need.
func (h *held) shrink(length int) {
	if rest := h.bytes - int64(length); rest > 0 {
		h.memory.Release(rest)
		h.bytes -= rest
	}
}

// release gives back what is held; only the first call has an effect.
func (h *held) release() {
	if h.bytes > 0 {
		h.memory.Release(h.bytes)
		h.bytes = 0
	}
}

// limited fails once more than left bytes were read.
type limited struct {
	in   io.Reader
	left int64
}

func (l *limited) Read(p []byte) (int, error) {
	n, err := l.in.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}

// receive reads the body of a response, whole where it is small.
func receive(resp *h1.Response, memory *semaphore.Weighted) result {
	a := &answer{status: resp.Status, header: resp.Header, length: resp.Length}
	body, rest, err := a.held.read(resp.Body, resp.Length, memory)
	if rest != nil {
		a.stream = &prefixed{Reader: rest, Closer: resp.Body}
		return result{outcome: frame.Answered, answer: a}
	}
	_ = resp.Body.Close()
	if err != nil {
		a.held.release()
		return lost(frame.ReasonPartial, err.Error())
	}
	a.body, a.length = body, int64(len(body))
	return result{outcome: frame.Answered, answer: a}
}

// prefixed is a body of which a part may have been read already.
type prefixed struct {
	io.Reader
	io.Closer
}

// drain reads a short body to its end, so that its connection is kept.
func drain(body io.ReadCloser) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, keptBody))
	return errors.Join(err, body.Close())
}
