package h1

import (
	"io"
	"net/http/httputil"
)

// chunked writes a body of unknown length.
type chunked struct {
	out io.Writer
	in  io.WriteCloser
}

func newChunked(w io.Writer) *chunked { return &chunked{out: w, in: httputil.NewChunkedWriter(w)} }

func (c *chunked) Write(p []byte) (int, error) { return c.in.Write(p) }

// finish writes the last chunk and the empty trailer.
func (c *chunked) finish() error {
	if err := c.in.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.out, "\r\n")
	return err
}
