package h1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport that rejects responses whose head is not valid, as
// Client does. Calls use it through Do: an http.Client would copy the headers of each
// request to support redirects and cookies, which calls never use.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that also limits the head of a response as Client
// does. The default of net/http, 10 MB, would let a few faulty servers fill the memory.
// t must not be used otherwise.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.MaxResponseHeaderBytes = maxHeadBytes
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &scannedConn{Conn: c}, nil
	}
	return Transport{Transport: t}
}

// RoundTrip sends one request. The error is a *HeadError if the response is not valid.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// head is that of the connection tried last, nil before the first.
	var head *headScanner
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// The connection is idle, so that what it reads next is the head of the response.
		head = newHeadScanner()
		if c, ok := info.Conn.(*scannedConn); ok {
			c.head.Store(head)
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if head == nil || head.invalid() == nil {
		return resp, err
	}
	if err == nil {
		_ = resp.Body.Close() // the response is not used
	}
	return nil, head.invalid()
}

// Do sends one request, as RoundTrip does.
func (t Transport) Do(r *http.Request) (*http.Response, error) { return t.RoundTrip(r) }

// scannedConn is a connection of a Transport, which scans the heads of responses. It is
// closed as soon as one is not valid: after a response without a body, net/http would keep
// it for other requests before RoundTrip has returned.
type scannedConn struct {
	net.Conn
	// head scans the head of the latest request's response, nil before the first.
	head atomic.Pointer[headScanner]
}

func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	head := c.head.Load()
	if head == nil {
		return n, err
	}
	head.scan(p[:n])
	if head.invalid() != nil {
		_ = c.Close() // what was read is still parsed, and not used
	}
	return n, err
}
