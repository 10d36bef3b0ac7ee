package peer

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"dogwoodhead/h1"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn returns a context that carries the connection of a request, for
// Disconnected. A Listener does it for each request.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Disconnected reports whether the client of a request has closed its connection.
// net/http cancels the context of such a request only some time after the handler
// has started: a process that was paused finds the request and the close of its
// connection together, and would pass on the request.
func Disconnected(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
	}
	sc, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	n, err := h1.Peek(sc)
	if errors.Is(err, errors.ErrUnsupported) {
		return false
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno == unix.ECONNRESET
	}
	return err != nil || n == 0
}
