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

// wire is one control connection. The JSON-RPC library neither closes a
// connection after a failed read nor bounds a write, so wire does both.
type wire struct {
	conn    net.Conn
	traffic traffic
	// idle bounds the time between two reads; 0 for no bound.
	idle time.Duration
	once sync.Once
	// done is called once, when the connection is closed.
	done func()
}

func (w *wire) Read(p []byte) (int, error) {
	if w.idle > 0 {
		_ = w.conn.SetReadDeadline(time.Now().Add(w.idle))
	}
	n, err := w.conn.Read(p)
	w.traffic.in.Add(n)
	if err != nil {
		_ = w.Close()
	}
	return n, err
}

func (w *wire) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(controlWrite))
	n, err := w.conn.Write(p)
	w.traffic.out.Add(n)
	if err != nil {
		_ = w.Close()
	}
	return n, err
}

// Close closes the connection; only the first call has an effect.
func (w *wire) Close() error {
	var err error
	w.once.Do(func() {
		err = w.conn.Close()
		if w.done != nil {
			w.done()
		}
	})
	return err
}

// framer frames messages by a length of 4 bytes, big endian. The framers of the
// library read messages of any size into memory.
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
	var head [4]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > controlMax {
		return nil, 0, fmt.Errorf("%w: %d bytes", errMessageSize, size)
	}
	// Reads through a limit instead of allocating the announced size, which
	// may never arrive.
	data, err := io.ReadAll(io.LimitReader(r.in, int64(size)))
	if err == nil && len(data) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, 0, err
	}
	msg, err := jsonrpc2.DecodeMessage(data)
	return msg, int64(len(head) + len(data)), err
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
	if len(data) > controlMax {
		return 0, fmt.Errorf("%w: %d bytes", errMessageSize, len(data))
	}
	out := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	n, err := w.out.Write(append(out, data...))
	return int64(n), err
}
