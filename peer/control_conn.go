package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/exp/jsonrpc2"
)

// traffic counts the bytes of control connections, without TCP and IP headers.
type traffic struct {
	in, out *metrics.Counter
}

func newTraffic(set *metrics.Set) traffic {
	return traffic{
		in:  set.GetOrCreateCounter(`dogwood_control_bytes_total{direction="in"}`),
		out: set.GetOrCreateCounter(`dogwood_control_bytes_total{direction="out"}`),
	}
}

// controlConn is one control connection. jsonrpc2 neither closes a connection
// after a failed read nor bounds a write, so controlConn does both.
type controlConn struct {
	conn    net.Conn
	traffic traffic
	// idleTimeout bounds each read; 0 for no bound.
	idleTimeout time.Duration
	closeOnce   sync.Once
	// onClose is called once, when the connection is closed.
	onClose func()
}

func (c *controlConn) Read(p []byte) (int, error) {
	if c.idleTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout))
	}
	n, err := c.conn.Read(p)
	c.traffic.in.Add(n)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

func (c *controlConn) Write(p []byte) (int, error) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(controlWriteTimeout))
	n, err := c.conn.Write(p)
	c.traffic.out.Add(n)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// Close closes the connection; only the first call has an effect.
func (c *controlConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.conn.Close()
		if c.onClose != nil {
			c.onClose()
		}
	})
	return err
}

// framer prefixes each message with its length in 4 bytes, big endian. The framers
// of jsonrpc2 read messages of any size into memory.
type framer struct{}

func (framer) Reader(r io.Reader) jsonrpc2.Reader {
	return &frameReader{in: bufio.NewReader(r), stream: r}
}

func (framer) Writer(w io.Writer) jsonrpc2.Writer { return &frameWriter{out: w} }

type frameReader struct {
	in     *bufio.Reader
	stream io.Reader
}

// Read returns the next message. The connection is closed after an error,
// because the position in the stream is lost.
func (r *frameReader) Read(ctx context.Context) (jsonrpc2.Message, int64, error) {
	msg, n, err := r.read(ctx)
	if err != nil {
		if c, ok := r.stream.(io.Closer); ok {
			_ = c.Close()
		}
	}
	return msg, n, err
}

func (r *frameReader) read(ctx context.Context) (jsonrpc2.Message, int64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	var header [4]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > maxControlMessage {
		return nil, 0, fmt.Errorf("%w: %d bytes", errMessageSize, size)
	}
	// Does not allocate the announced size up front, because the message may never
	// arrive.
	data, err := io.ReadAll(io.LimitReader(r.in, int64(size)))
	if err == nil && len(data) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, 0, err
	}
	msg, err := jsonrpc2.DecodeMessage(data)
	return msg, int64(len(header) + len(data)), err
}

type frameWriter struct{ out io.Writer }

func (w *frameWriter) Write(ctx context.Context, msg jsonrpc2.Message) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	data, err := jsonrpc2.EncodeMessage(msg)
	if err != nil {
		return 0, fmt.Errorf("encode control message: %w", err)
	}
	if len(data) > maxControlMessage {
		return 0, fmt.Errorf("%w: %d bytes", errMessageSize, len(data))
	}
	out := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	n, err := w.out.Write(append(out, data...))
	return int64(n), err
}
