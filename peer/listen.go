package peer

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on a TCP address with buffers of the kernel of a fixed size, which
// accepted connections inherit.
func Listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{Control: setSocketBuffers}).Listen(context.Background(), "tcp", addr)
}

// setSocketBuffers is the net.ListenConfig.Control hook that sets the buffers.
func setSocketBuffers(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer),
		)
	})
	return errors.Join(err, sockErr)
}
