package source

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dogwoodhead/h1"
)

const (
	// MaxValueBytes is the platform's size limit for a value.
	MaxValueBytes = 1 << 20
	// HeaderRevision is the response header with the revision of a value.
	HeaderRevision = "Revision"
	// readTimeout bounds a read. The service responds in milliseconds, so a
	// slower one counts as unavailable.
	readTimeout = 3 * time.Second
	// watchGrace is added to the wait of a watch to give the request's timeout.
	watchGrace = time.Second
	// dialTimeout bounds opening a connection.
	dialTimeout = time.Second
	// idleTimeout is longer than the wait of a watch, so that a reader keeps
	// its connection.
	idleTimeout = 90 * time.Second
	// maxConns bounds the connections of one node, which watches three keys and
	// sometimes polls.
	maxConns = 8
	// maxRetryAfter bounds the retry delay that a throttled response sets.
	maxRetryAfter = time.Minute
)

// Value is one revision of a document.
type Value struct {
	key  string
	rev  uint64
	data []byte
}

// NewValue returns a value. data must not be modified afterwards.
func NewValue(key string, rev uint64, data []byte) Value {
	return Value{key: key, rev: rev, data: data}
}

// Key returns the key.
func (v Value) Key() string { return v.key }

// Rev returns the revision, at least 1.
func (v Value) Rev() uint64 { return v.rev }

// Bytes returns the document, which must not be modified.
func (v Value) Bytes() []byte { return v.data }

// Options configures a Client.
type Options struct {
	// Addr is the ip:port of the service.
	Addr string
	// Dial opens a TCP connection; that of a net.Dialer if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client reads and watches keys. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client with a separate transport.
func NewClient(opts Options) *Client {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := h1.NewTransport(&http.Transport{
		DialContext:         opts.Dial,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	return &Client{base: "http://" + opts.Addr, http: &http.Client{Transport: transport}}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns the current value of a key. Errors are *NotFoundError,
// *ThrottledError, *UnavailableError and *InvalidError.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.get(ctx, key, "/v1/value/"+escape(key))
}

// Watch returns the value of a key as soon as its revision is above afterRev, or
// ErrUnchanged after the wait. Other errors are those of Read.
func (c *Client) Watch(ctx context.Context, key string, afterRev uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(afterRev, 10)}, "wait": {wait.String()}}
	v, err := c.get(ctx, key, "/v1/watch/"+escape(key)+"?"+query.Encode())
	if err == nil && v.rev <= afterRev {
		// A stale replica may return an old revision. Without this error the
		// caller would watch again immediately, in a tight loop.
		return Value{}, &InvalidError{key: key, reason: fmt.Sprintf("watch after %d returned revision %d", afterRev, v.rev)}
	}
	return v, err
}

func (c *Client) get(ctx context.Context, key, path string) (Value, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return Value{}, &UnavailableError{key: key, cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, &UnavailableError{key: key, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return readValue(key, resp)
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	case http.StatusNotFound:
		return Value{}, &NotFoundError{key: key}
	case http.StatusTooManyRequests:
		return Value{}, &ThrottledError{key: key, retryAfter: retryAfter(resp.Header)}
	default:
		return Value{}, &UnavailableError{key: key, status: resp.StatusCode}
	}
}

func readValue(key string, resp *http.Response) (Value, error) {
	header := resp.Header.Get(HeaderRevision)
	rev, err := strconv.ParseUint(header, 10, 64)
	if err != nil || rev == 0 {
		return Value{}, &InvalidError{key: key, reason: fmt.Sprintf("revision %q is not a positive number", header)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Value{}, &UnavailableError{key: key, cause: err}
	}
	if len(data) > MaxValueBytes {
		return Value{}, &InvalidError{key: key, reason: fmt.Sprintf("value is larger than %d bytes", MaxValueBytes)}
	}
	return NewValue(key, rev, data), nil
}

// retryAfter parses a Retry-After header in whole seconds; 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

func escape(key string) string {
	segments := strings.Split(key, "/")
	for i := range segments {
		segments[i] = url.PathEscape(segments[i])
	}
	return strings.Join(segments, "/")
}
