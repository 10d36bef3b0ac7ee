package h1

import (
	"io"
	"net/http/httputil"
)

// chunkedWriter writes a body of unknown length in chunked transfer encoding.
type chunkedWriter struct {
	dst    io.Writer
	chunks io.WriteCloser
}

func newChunkedWriter(w io.Writer) *chunkedWriter {
	return &chunkedWriter{dst: w, chunks: httputil.NewChunkedWriter(w)}
}

func (c *chunkedWriter) Write(p []byte) (int, error) { return c.chunks.Write(p) }

// finish writes the last chunk and the empty trailer.
func (c *chunkedWriter) finish() error {
	if err := c.chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.dst, "\r\n")
	return err
}
