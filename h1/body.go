package h1

import (
	"errors"
	"io"
)

// body is the body of a response. Its end ends the exchange, unless the body of the
// request is still being sent.
type body struct {
	exchange *exchange
	framed   io.ReadCloser
	ended    bool
	// length is the number of bytes read, at most maxBodyBytes.
	length int64
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.framed.Read(p)
	b.length += int64(n)
	if b.length > maxBodyBytes {
		n, err = 0, errBodyTooLarge
	}
	if err != nil && !b.ended {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the exchange. If the response was not read to its end, the
// connection is closed, which cancels the request.
func (b *body) Close() error {
	if !b.ended {
		b.end(false)
	}
	return nil
}

func (b *body) end(complete bool) {
	b.ended = true
	b.exchange.endPart(complete)
}
