package h1

import "fmt"

// Error reports a request without a complete response.
type Error struct {
	addr string
	sent bool
	// partial is set if bytes arrived that are not a complete head.
	partial bool
	// reused is set if the connection had carried another request before.
	reused bool
	op     string
	err    error
}

// Addr returns the server's ip:port.
func (e *Error) Addr() string { return e.addr }

// Sent reports whether bytes of the request may have reached the server.
func (e *Error) Sent() bool { return e.sent }

// Partial reports whether the server sent bytes that are no complete response.
func (e *Error) Partial() bool { return e.partial }

// Reused reports whether the connection had carried another request before. The
// failure may then be that of the connection alone.
func (e *Error) Reused() bool { return e.reused }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.op, e.addr, e.err) }
