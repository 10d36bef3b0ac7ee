package h1

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek looks for a byte of a connection without consuming it and without waiting.
// n is 0 without an error if the other side has closed the connection. The error
// is unix.EAGAIN if the connection is open and has no unread bytes.
//
// Peek may be called during a Read: unlike RawConn.Read, Control does not wait
// for it.
func Peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
