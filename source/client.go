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
)

const (
	// MaxValue is the platform's limit for a value in bytes.
	MaxValue = 1 << 20
	// HeaderRevision carries the revision of a value.
	HeaderRevision = "Revision"
	// readTimeout bounds a read. The service responds in milliseconds, so a
	// slower one counts as unavailable.
	readTimeout = 3 * time.Second
	// watchGrace is what a watch may take beyond its wait.
	watchGrace = 3 * time.Second
	// dialTimeout bounds opening a connection.
	dialTimeout = time.Second
	// idleTimeout is longer than the wait of a watch, so that a reader keeps
	// its connection.
	idleTimeout = 90 * time.Second
	// maxConns bounds the connections of one node; it watches three keys and
	// polls now and then.
	maxConns = 8
	// maxRetryAfter bounds what a throttled client is told to wait.
	maxRetryAfter = time.Minute
)

// Value is one revision of a document.
type Value struct {
	key   string
	rev   uint64
	bytes []byte
}

// NewValue returns a value. The bytes must not be changed afterwards.
func NewValue(key string, rev uint64, src []byte) Value {
	return Value{key: key, rev: rev, bytes: src}
}

// Key returns the key.
func (v Value) Key() string { return v.key }

// Rev returns the revision, from 1.
func (v Value) Rev() uint64 { return v.rev }

// Bytes returns the document; the reader must not change it.
func (v Value) Bytes() []byte { return v.bytes }

// Options configures a Client.
type Options struct {
	// Addr is the ip:port of the service.
	Addr string
}

// Client reads and watches keys. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
}

// NewClient returns a client with a transport of its own.
func NewClient(o Options) *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + o.Addr, http: &http.Client{Transport: t}, transport: t}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the current value of a key. Errors are *NotFoundError,
// *ThrottledError, *UnavailableError and *InvalidError.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.get(ctx, key, "/v1/value/"+escape(key))
}

// Watch returns the value of a key as soon as its revision is above after, or
// ErrUnchanged after the wait. Other errors are those of Read.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	v, err := c.get(ctx, key, "/v1/watch/"+escape(key)+"?"+query.Encode())
	if err == nil && v.rev <= after {
		// A stale replica may answer so; without the error the caller would
		// watch again at once, in a tight loop.
		return Value{}, &InvalidError{key: key, reason: fmt.Sprintf("watch after %d returned revision %d", after, v.rev)}
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
		return Value{}, &ThrottledError{key: key, after: retryAfter(resp.Header)}
	default:
		return Value{}, &UnavailableError{key: key, status: resp.StatusCode}
	}
}

func readValue(key string, resp *http.Response) (Value, error) {
	text := resp.Header.Get(HeaderRevision)
	rev, err := strconv.ParseUint(text, 10, 64)
	if err != nil || rev == 0 {
		return Value{}, &InvalidError{key: key, reason: fmt.Sprintf("revision %q is not a positive number", text)}
	}
	src, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	if err != nil {
		return Value{}, &UnavailableError{key: key, cause: err}
	}
	if len(src) > MaxValue {
		return Value{}, &InvalidError{key: key, reason: fmt.Sprintf("value is larger than %d bytes", MaxValue)}
	}
	return NewValue(key, rev, src), nil
}

// retryAfter reads the header in its form of whole seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

func escape(key string) string {
	parts := strings.Split(key, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}
