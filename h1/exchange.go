package h1

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// exchange is one request and its response on a connection.
type exchange struct {
	client        *Client
	conn          *persistConn
	stopAfterFunc func() bool
	// sent is set once bytes of the request may have reached the server.
	sent bool
	// idleTimeout is how long the connection may stay idle in the pool.
	idleTimeout time.Duration
	// uploaded is closed when the upload of Request.Stream has ended.
	uploaded chan struct{}

	mu sync.Mutex
	// reusable is whether the connection may carry another request.
	reusable bool
	// partsLeft counts the parts of the exchange that have not ended: the response
	// and, with Request.Stream, the upload.
	partsLeft int
}

// fail closes the connection and returns an *Error with the cause of ctx or err.
func (x *exchange) fail(ctx context.Context, err error) error {
	x.stopAfterFunc()
	_ = x.conn.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &Error{addr: x.conn.addr, sent: x.sent, partial: x.conn.received > 0, reused: x.conn.reused, op: "exchange with", err: err}
}

// send writes headers and body. A stream is sent in the background.
func (x *exchange) send(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	writeHeader(&b, r)
	if r.Stream == nil {
		b.Write(r.Body)
	}
	n, err := x.conn.Write(b.Bytes())
	x.sent = n > 0
	if err != nil {
		return err
	}
	if r.Stream == nil {
		close(x.uploaded)
		return nil
	}
	x.partsLeft++
	go x.upload(r)
	return nil
}

// upload sends the stream. A failure closes the connection, so that the server can
// tell that the body is not complete.
func (x *exchange) upload(r *Request) {
	defer close(x.uploaded)
	x.endPart(x.sendStream(r) == nil)
}

// sendStream sends the stream in the framing that the header announces.
func (x *exchange) sendStream(r *Request) error {
	dst := newStreamWriter(x.conn)
	if r.StreamLength >= 0 {
		n, err := io.Copy(dst, r.Stream)
		if err == nil && n != r.StreamLength {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	w := newChunkedWriter(dst)
	if _, err := io.Copy(w, r.Stream); err != nil {
		return err
	}
	return w.finish()
}

// endPart records that the response or the upload has ended. The connection is closed
// if that part failed, and is reused or closed after the last part.
func (x *exchange) endPart(ok bool) {
	x.mu.Lock()
	x.partsLeft--
	last := x.partsLeft == 0
	x.reusable = x.reusable && ok
	reusable := x.reusable
	x.mu.Unlock()
	if !ok {
		_ = x.conn.Close()
	}
	if !last {
		return
	}
	// If ctx has ended, the connection is already closed.
	ctxActive := x.stopAfterFunc()
	if !ctxActive || !reusable || x.conn.br.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.client.pool.put(x.conn, x.idleTimeout)
}

// preventReuse closes the connection after the exchange.
func (x *exchange) preventReuse() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reusable = false
}

func writeHeader(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(b) // writing to a bytes.Buffer cannot fail
	switch {
	case r.Stream != nil && r.StreamLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Stream != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.StreamLength, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
}

// receive returns the response to r and discards responses to other requests.
func (x *exchange) receive(r *Request) (*Response, error) {
	id := x.client.requestID(r.Header)
	for range maxSkippedResponses {
		resp, err := x.readHeader(r.Method)
		if err != nil {
			return nil, err
		}
		if x.client.requestID(resp.Header) == id {
			return x.acceptResponse(resp, id), nil
		}
		if err := discardResponse(resp); err != nil {
			return nil, fmt.Errorf("%w: %w", errOtherRequest, err)
		}
	}
	return nil, errOtherRequest
}

// readHeader reads the status line and header of the next response, and skips
// interim (1xx) ones.
func (x *exchange) readHeader(method string) (*http.Response, error) {
	head := newHeadScanner()
	buffered, _ := x.conn.br.Peek(x.conn.br.Buffered()) // never reads
	head.scan(buffered)
	x.conn.head = head
	defer func() { x.conn.head = nil }()
	for {
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil {
			return nil, cmp.Or(head.failure(), err)
		}
		if err := head.invalid(); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// discardResponse reads a response to another request to its end. After an error
// the connection is unusable.
//
// The body is not closed: closing one of net/http reads it to its end first.
func discardResponse(resp *http.Response) error {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return io.ErrUnexpectedEOF
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody))
	if err == nil && n == maxSkippedBody {
		return io.ErrShortBuffer
	}
	return err
}

// acceptResponse also sets whether, for how long and for which requests the
// connection can be reused.
func (x *exchange) acceptResponse(resp *http.Response, id string) *Response {
	x.idleTimeout = idleTimeoutOf(resp.Header)
	if limit := x.client.opts.IdleTimeout; limit > 0 {
		x.idleTimeout = min(x.idleTimeout, limit)
	}
	if resp.StatusCode/100 != 2 && id != "" {
		x.conn.failedIDs = append(x.conn.failedIDs, id)
	}
	if resp.Close || x.idleTimeout <= 0 || len(x.conn.failedIDs) > maxFailedIDs {
		x.preventReuse()
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Bodiless: resp.Body == http.NoBody,
		Body: &body{exchange: x, framed: resp.Body}, Uploaded: x.uploaded,
	}
}

// idleTimeoutOf returns how long a connection may stay idle.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
