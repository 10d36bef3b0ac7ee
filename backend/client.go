package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/jonboulle/clockwork"

	"dogwoodhead/frame"
	"dogwoodhead/peer"
)

const (
	// dialTimeout bounds the opening of a loopback connection.
	dialTimeout = 250 * time.Millisecond
	// idleConns is how many idle connections are kept: more than the slots of
	// any backend server, so that a connection is opened once and not per call.
	idleConns = 1024
)

// ClientOptions configures a Client. All fields are required.
type ClientOptions struct {
	// Address is the backend server's ip:port.
	Address string
	Clock   clockwork.Clock
	// Body returns the largest answer body accepted, in bytes.
	Body func() int64
	// Refused is called when no connection could be opened.
	Refused func()
}

// Client passes calls to the backend server.
type Client struct {
	o    ClientOptions
	http peer.Transport
	// send is built once, because it is the same for every call.
	send endpoint.Endpoint
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	c := &Client{o: o, http: peer.Transport{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}}
	c.send = kithttp.NewExplicitClient(c.encode, c.decode, kithttp.SetClient(c.http)).Endpoint()
	return c
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// job is one call on its way to the backend server.
type job struct {
	context frame.Context
	request frame.Request
	left    time.Duration
}

// Run passes one call on and returns the whole answer. The error is a
// *frame.OutcomeError.
func (c *Client) Run(ctx context.Context, s *peer.Span, r frame.Request) (frame.Answer, error) {
	left := max(s.Deadline().Sub(c.o.Clock.Now()), 0)
	j := job{context: s.CallContext().WithTimeLeft(left), request: r, left: left}
	got, err := c.send(ctx, j)
	if err != nil {
		return frame.Answer{}, c.classify(ctx, err)
	}
	return got.(frame.Answer), nil
}

// encode builds the request. It is never sent twice: POST without GetBody.
func (c *Client) encode(ctx context.Context, v any) (*http.Request, error) {
	j := v.(job)
	url := "http://" + c.o.Address + "/" + j.request.Target().Operation()
	body := struct{ io.Reader }{bytes.NewReader(j.request.Body())}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, fmt.Errorf("build call of %s: %w", j.request.Target(), err)
	}
	r.ContentLength = int64(len(j.request.Body()))
	if r.ContentLength == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(frame.HeaderContext, j.context.Encode())
	r.Header.Set(frame.HeaderTimeout, j.left.String())
	return r, nil
}

func (c *Client) decode(ctx context.Context, r *http.Response) (any, error) {
	defer r.Body.Close()
	body, err := peer.ReadResponseBody(ctx, r, c.o.Body())
	if err != nil {
		return nil, err
	}
	return frame.NewAnswer(r.StatusCode, r.Header.Get("Content-Type"), body), nil
}

func (c *Client) classify(ctx context.Context, err error) error {
	var oe *frame.OutcomeError
	if errors.As(err, &oe) {
		return oe
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.o.Refused()
		return frame.NotRunError(frame.ReasonDown, "connect to the backend server: "+op.Err.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return frame.UnknownError(frame.ReasonTimeout, "no answer from the backend server")
	}
	if ctx.Err() != nil {
		return frame.UnknownError(frame.ReasonCancelled, "while the backend server worked")
	}
	return frame.UnknownError(frame.ReasonLost, "connection to the backend server broke: "+err.Error())
}
