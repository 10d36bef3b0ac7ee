package h1

import (
	"errors"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// streamWriter writes the body of a request to a connection whose response may be read
// meanwhile. It records the error with which the connection breaks: the kernel reports
// it once, and a read after that finds the end of the stream. A response that ends with
// its connection would then appear complete.
type streamWriter struct {
	conn *persistConn
	// raw is nil if the connection has no file descriptor.
	raw syscall.RawConn
}

func newStreamWriter(c *persistConn) *streamWriter {
	w := &streamWriter{conn: c}
	if sc, ok := c.Conn.(syscall.Conn); ok {
		// Fails only on a closed connection, whose writes fail too.
		w.raw, _ = sc.SyscallConn()
	}
	return w
}

// Write implements io.Writer.
func (w *streamWriter) Write(p []byte) (int, error) {
	if w.raw == nil {
		return w.conn.Write(p)
	}
	written := 0
	for written < len(p) {
		var n int
		var writeErr error
		err := w.raw.Write(func(fd uintptr) bool {
			n, writeErr = w.conn.tryWrite(int(fd), p[written:])
			return !errors.Is(writeErr, unix.EAGAIN)
		})
		if err == nil {
			err = os.NewSyscallError("write", writeErr)
		}
		if err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// tryWrite writes what the kernel takes without waiting, or returns unix.EAGAIN.
//
// A read that follows the report of an error waits for its record, because the lock is
// held during the system call that gets the report.
func (c *persistConn) tryWrite(fd int, p []byte) (int, error) {
	c.breakMu.Lock()
	defer c.breakMu.Unlock()
	for {
		n, err := unix.Write(fd, p)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err == nil, errors.Is(err, unix.EAGAIN):
			return n, err
		case !errors.Is(err, unix.EPIPE):
			// With EPIPE, the end of the stream arrived before the connection broke.
			c.breakErr = err
		}
		return 0, err
	}
}

// breakError returns the error with which the connection broke if a write got its
// report, else nil.
func (c *persistConn) breakError() error {
	c.breakMu.Lock()
	defer c.breakMu.Unlock()
	return os.NewSyscallError("write", c.breakErr)
}
