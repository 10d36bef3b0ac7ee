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
	if !c.held.take(memory, r.ContentLength) {
		c.stream, c.length = in, r.ContentLength
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(in, keptBody+1))
	if err != nil {
		return err
	}
	if len(kept) <= keptBody {
		c.body = kept
		c.held.shrink(len(kept))
		return nil
	}
	c.stream, c.length = io.MultiReader(bytes.NewReader(kept), in), r.ContentLength
	return nil
}

// held is what one body takes of a node's memory for bodies.
type held struct {
	memory *semaphore.Weighted
	// bytes is 0 where nothing is held.
	bytes int64
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
	if !a.held.take(memory, resp.Length) {
		a.stream = resp.Body
		return result{outcome: frame.Answered, answer: a}
	}
	kept, err := io.ReadAll(io.LimitReader(resp.Body, keptBody+1))
	if err != nil {
		_ = resp.Body.Close()
		a.held.release()
		return lost(frame.ReasonPartial, err.Error())
	}
	if len(kept) > keptBody {
		a.stream = &prefixed{Reader: io.MultiReader(bytes.NewReader(kept), resp.Body), Closer: resp.Body}
		return result{outcome: frame.Answered, answer: a}
	}
	_ = resp.Body.Close()
	a.held.shrink(len(kept))
	a.body, a.length = kept, int64(len(kept))
	return result{outcome: frame.Answered, answer: a}
}

// prefixed is a body of which a part was read already.
type prefixed struct {
	io.Reader
	io.Closer
}

// drain reads a short body to its end, so that its connection is kept.
func drain(body io.ReadCloser) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, keptBody))
	return errors.Join(err, body.Close())
}
