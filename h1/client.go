package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// readBufferSize fits the headers of a typical response, in bytes.
	readBufferSize = 2 << 10
	// maxHeadBytes limits the status line and header of a response, together with
	// the interim (1xx) responses before it, up to one read buffer more.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of the same: each takes many times its length in
	// memory.
	maxHeadLines = 1024
	// maxBodyBytes limits the body of a response. It is the largest body that the
	// users' platform allows.
	maxBodyBytes = 64 << 20
	// maxSkippedResponses limits the discarded responses to other requests.
	maxSkippedResponses = 3
	// maxSkippedBody limits the body of a discarded response, in bytes.
	maxSkippedBody = 64 << 10
	// defaultIdleTimeout applies if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that no request
	// is sent while the server closes the connection.
	idleMargin = time.Second
	// defaultMaxIdle is the default of Options.MaxIdlePerServer.
	defaultMaxIdle = 64
)

var (
	// errOtherRequest reports a response that belongs to another request.
	errOtherRequest = errors.New("response to another request")
	// errHeadTooLarge reports a response whose head exceeds maxHeadBytes or maxHeadLines.
	errHeadTooLarge = errors.New("head of the response is too large")
	// errBodyTooLarge reports a response whose body exceeds maxBodyBytes.
	errBodyTooLarge = errors.New("body of the response is too large")
)

// Options configures a Client.
type Options struct {
	Clock clockwork.Clock
	// Dial opens a connection; required.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxIdlePerServer limits the idle connections to each address; 0 means 64.
	MaxIdlePerServer int
	// MaxIdle limits the idle connections to all addresses together; 0 means no limit.
	// The one that has been idle for the longest time is closed first.
	MaxIdle int
	// IdleTimeout limits how long a connection stays idle; 0 means as long as the server
	// keeps it open.
	IdleTimeout time.Duration
	// RequestIDHeader is the header in which a server returns the request's id,
	// empty if it does not. A response with another id is discarded.
	RequestIDHeader string
	// ConnOpened is called for each new connection. It may be nil.
	ConnOpened func(addr string)
}

// Request is one request. Its header is sent unchanged; Host and the framing are
// added.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the complete body, or nil if Stream is set.
	Body []byte
	// Stream is a body that is too large to buffer. StreamLength is its length
	// in bytes, negative if unknown.
	Stream       io.Reader
	StreamLength int64
}

// Response is a response whose body may still be arriving. The body must be
// closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, negative if unknown.
	Length int64
	// Bodiless reports that no body follows, whatever Length says: that of a response
	// to HEAD, or with status 304, is the length of a body which is not sent.
	Bodiless bool
	// Body returns io.EOF only if the response is complete.
	Body io.ReadCloser
	// Uploaded is closed once Request.Stream was sent, or can't be. A server may
	// respond before that and read on: the rest is sent until the context of Do is
	// done, unless the response's body is closed before its end.
	Uploaded <-chan struct{}
}

// Client sends requests over persistent connections. Safe for concurrent use.
type Client struct {
	opts Options
	pool *pool
}

// NewClient returns a client without connections.
func NewClient(opts Options) *Client {
	if opts.MaxIdlePerServer == 0 {
		opts.MaxIdlePerServer = defaultMaxIdle
	}
	if opts.ConnOpened == nil {
		opts.ConnOpened = func(string) {}
	}
	return &Client{opts: opts, pool: &pool{clock: opts.Clock, maxIdlePerServer: opts.MaxIdlePerServer, maxIdle: opts.MaxIdle, idle: make(map[string][]*persistConn)}}
}

// Sweep closes connections whose idle timeout has expired.
func (c *Client) Sweep() { c.pool.sweep() }

// Close closes the idle connections. Those in use are closed after their request.
func (c *Client) Close() { c.pool.close() }

// Do sends a request and returns its response. When ctx is done, the connection is
// closed, and Do or a read of the body fails. The error of Do is an *Error.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	select {
	case <-ctx.Done():
		// On an idle connection, sending would race with the close after ctx ended.
		return nil, &Error{addr: addr, op: "connect to", err: context.Cause(ctx)}
	default:
	}
	conn, err := c.connect(ctx, addr, c.requestID(r.Header))
	if err != nil {
		return nil, &Error{addr: addr, op: "connect to", err: err}
	}
	conn.received = 0
	x := &exchange{client: c, conn: conn, reusable: true, partsLeft: 1, uploaded: make(chan struct{})}
	x.stopAfterFunc = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := x.send(r); err != nil {
		return nil, x.fail(ctx, err)
	}
	resp, err := x.receive(r)
	if err != nil {
		x.sent = true
		return nil, x.fail(ctx, err)
	}
	return resp, nil
}

// requestID returns the request id in a header, "" if the server returns none.
func (c *Client) requestID(h http.Header) string {
	if c.opts.RequestIDHeader == "" {
		return ""
	}
	return h.Get(c.opts.RequestIDHeader)
}

// connect returns a connection on which the request with the id has not failed.
func (c *Client) connect(ctx context.Context, addr, id string) (*persistConn, error) {
	if conn := c.pool.popOpen(addr, id); conn != nil {
		return conn, nil
	}
	raw, err := c.opts.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.opts.ConnOpened(addr)
	return newPersistConn(raw, addr), nil
}
