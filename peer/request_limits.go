package peer

import "time"

// RequestLimits are the limits of what the clients of a Listener may send. All are
// above 0.
type RequestLimits struct {
	// HeaderTimeout bounds the reading of a request's head, from its first byte. It
	// also bounds the time to the first byte of a connection's first request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time from a response to the first byte of the next
	// request.
	IdleTimeout time.Duration
	// HeadBytes is the length of the longest head: request line and header.
	HeadBytes int
}

// Limits that apply where none are configured.
const (
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
	DefaultHeadBytes     = 64 << 10
)

// DefaultRequestLimits returns the limits that apply where none are configured.
func DefaultRequestLimits() RequestLimits {
	return RequestLimits{HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout, HeadBytes: DefaultHeadBytes}
}

// HoldLimits bound what all clients of a Listener together make the process hold.
type HoldLimits struct {
	// Conns is the number of open connections, at least 1. A new connection above it
	// takes the place of the one that is closed at the lowest cost, see connSet.
	Conns int
	// HeadMemory is the memory of the heads of the requests in progress, in bytes. Heads
	// that are not complete count, too. A single request is served however large its head
	// is, within RequestLimits.
	HeadMemory int64
}

// DefaultHoldLimits returns the limits of a listener whose process states none.
func DefaultHoldLimits() HoldLimits { return HoldLimits{Conns: 512, HeadMemory: 4 << 20} }

// Estimates of the memory that a request's head takes until the request has ended: its
// bytes are held as they arrived and as they are passed on, and each field is an entry
// of up to three maps.
const (
	headMemoryPerByte  = 2
	headMemoryPerField = 320
)

const (
	// rejectDrainTimeout and rejectDrainBytes bound the reading of further input after a
	// request was rejected before its head was complete. Closing a connection with unread
	// bytes resets it, which can discard the response before the client reads it.
	rejectDrainTimeout = 500 * time.Millisecond
	rejectDrainBytes   = 64 << 10
	// defaultBodyTimeout bounds the reading of a request's body where the handler sets no
	// deadline, for example because it does not read the body.
	defaultBodyTimeout = 5 * time.Second
	// writeTimeout bounds each write to a client. The client reads too slowly, or not at
	// all, if its connection does not take a part of a response within it.
	writeTimeout = 10 * time.Second
	// youngHeadAge is how long a head is expected to take at most. Callers of the users'
	// platform give up a connection that is not served for that long.
	youngHeadAge = time.Second
)

// Sizes of the buffers of the kernel for one connection, in bytes. They are fixed, since
// the kernel would let a connection grow to several megabytes: bytes that follow a
// request which is still running, and responses that are not read, stay there.
const (
	socketBuffer = 128 << 10
	// smallReceiveBuffer is used for the connections above a share of HoldLimits.Conns of
	// one in fullBufferShare.
	smallReceiveBuffer = 16 << 10
	fullBufferShare    = 8
)
