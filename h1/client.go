package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// readBuffer holds the headers of a usual response, in bytes.
	readBuffer = 2 << 10
	// skipped bounds the responses to other requests that are read past.
	skipped = 3
	// skippedBody bounds the body of a response that is read past, in bytes.
	skippedBody = 64 << 10
	// defaultIdle is how long an idle connection is kept where the server names
	// no time.
	defaultIdle = 8 * time.Second
	// idleMargin is kept from the server's idle time, so that a request does not
	// cross the close of the connection.
	idleMargin = time.Second
	// maxIdle is the default of Options.Idle.
	maxIdle = 64
)

// errOther says that the response belongs to another request.
var errOther = errors.New("response to another request")

// Options configures a Client.
type Options struct {
	Clock clockwork.Clock
	// Dial opens a connection; required.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Idle is the largest number of idle connections per server; 64 where it is 0.
	Idle int
	// Echo is the header in which a server returns the id of the request. A
	// response with another id is read past. Empty for servers that don't.
	Echo string
	// Opened is told of each new connection. It may be nil.
	Opened func(addr string)
}

// Request is one request. Its header is written as it is, besides Host and the
// framing.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body, or nil where Stream has it.
	Body []byte
	// Stream is a body that is too large to keep. Length is its length in
	// bytes, negative where it is not known.
	Stream io.Reader
	Length int64
}

// Response is a response whose body may still be on its way. The body must be
// closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, negative where it is not known.
	Length int64
	// Body ends with io.EOF only where the response is complete.
	Body io.ReadCloser
}

// Client sends requests over kept connections. It is safe for concurrent use.
type Client struct {
	o    Options
	pool *pool
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	if o.Idle == 0 {
		o.Idle = maxIdle
	}
	if o.Opened == nil {
		o.Opened = func(string) {}
	}
	return &Client{o: o, pool: &pool{clock: o.Clock, most: o.Idle, idle: make(map[string][]*conn)}}
}

// Sweep closes connections whose idle time is over.
func (c *Client) Sweep() { c.pool.sweep() }

// Close closes the idle connections; those in use are closed after their request.
func (c *Client) Close() { c.pool.close() }

// Do sends a request and returns its response, at the latest when ctx ends,
// which closes the connection. The error is an *Error.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	k, err := c.connect(ctx, addr)
	if err != nil {
		return nil, &Error{addr: addr, what: "connect to", err: err}
	}
	x := &exchange{client: c, conn: k, keep: true}
	x.stop = context.AfterFunc(ctx, func() { _ = k.Close() })
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

func (c *Client) connect(ctx context.Context, addr string) (*conn, error) {
	if k := c.pool.get(addr); k != nil {
		return k, nil
	}
	raw, err := c.o.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.o.Opened(addr)
	return &conn{Conn: raw, addr: addr, br: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// exchange is one request on its connection.
type exchange struct {
	client *Client
	conn   *conn
	stop   func() bool
	// sent says that bytes of the request may have reached the server.
	sent bool
	// keep says that the connection may carry another request.
	keep bool
	// idle is how long the connection may be kept.
	idle time.Duration
	// uploaded is closed when the stream of the request's body was sent; nil
	// where there is none.
	uploaded chan struct{}
}

// fail ends the exchange without a response.
func (x *exchange) fail(ctx context.Context, err error) error {
	x.stop()
	_ = x.conn.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &Error{addr: x.conn.addr, sent: x.sent, what: "exchange with", err: err}
}

// send writes headers and body. A stream goes on in the background.
func (x *exchange) send(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	writeHead(&b, r)
	if r.Stream == nil {
		b.Write(r.Body)
	}
	n, err := x.conn.Write(b.Bytes())
	x.sent = n > 0
	if err != nil || r.Stream == nil {
		return err
	}
	x.uploaded = make(chan struct{})
	go x.upload(r)
	return nil
}

// upload sends the stream. A failure shows in the response, or in its absence.
func (x *exchange) upload(r *Request) {
	var w io.Writer = x.conn
	if r.Length < 0 {
		chunked := newChunked(x.conn)
		w = chunked
		defer func() {
			if chunked.finish() == nil {
				close(x.uploaded)
			}
		}()
	}
	n, err := io.Copy(w, r.Stream)
	if r.Length >= 0 && err == nil && n == r.Length {
		close(x.uploaded)
		return
	}
	if err != nil {
		_ = x.conn.Close()
	}
}

func writeHead(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(b) // a bytes.Buffer takes every write
	switch {
	case r.Stream != nil && r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Stream != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
}

// receive reads the head of the response, past those to other requests.
func (x *exchange) receive(r *Request) (*Response, error) {
	for range skipped {
		resp, err := x.head(r.Method)
		if err != nil {
			return nil, err
		}
		if x.client.o.Echo == "" || resp.Header.Get(x.client.o.Echo) == r.Header.Get(x.client.o.Echo) {
			return x.response(resp), nil
		}
		if err := skip(resp); err != nil {
			return nil, fmt.Errorf("%w: %w", errOther, err)
		}
	}
	return nil, errOther
}

// head reads the head of the next response that is not an interim one.
func (x *exchange) head(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// skip reads a response that belongs to no request of this connection.
func skip(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return io.ErrUnexpectedEOF
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, skippedBody))
	if err == nil && n == skippedBody {
		return io.ErrShortBuffer
	}
	return err
}

func (x *exchange) response(resp *http.Response) *Response {
	x.idle = idleTime(resp.Header)
	if resp.Close || x.idle <= 0 {
		x.keep = false
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &body{exchange: x, in: resp.Body},
	}
}

// idleTime returns how long a connection may stay idle.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// body is the body of a response. Its end decides what becomes of the connection.
type body struct {
	exchange *exchange
	in       io.ReadCloser
	ended    bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if err != nil && !b.ended {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the exchange. A connection whose response was not read to its end
// is closed, which cancels the request.
func (b *body) Close() error {
	if !b.ended {
		b.end(false)
	}
	return nil
}

func (b *body) end(complete bool) {
	b.ended = true
	x := b.exchange
	// Where ctx has ended the connection is closed already.
	alive := x.stop()
	if !complete || !alive || !x.keep || !x.sentAll() || x.conn.br.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.client.pool.put(x.conn, x.idle)
}

// sentAll reports whether the request's body was sent to its end.
func (x *exchange) sentAll() bool {
	if x.uploaded == nil {
		return true
	}
	select {
	case <-x.uploaded:
		return true
	default:
		return false
	}
}
