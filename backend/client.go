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
	"dogwoodhead/h1"
	"dogwoodhead/peer"
)

const (
	// dialTimeout bounds opening a loopback connection.
	dialTimeout = 250 * time.Millisecond
	// maxIdleConns is above the number of slots of any backend server, so that
	// connections are reused and not opened per call.
	maxIdleConns = 1024
)

// ClientOptions configures a Client. All fields are required.
type ClientOptions struct {
	// Addr is the backend server's ip:port.
	Addr  string
	Clock clockwork.Clock
	// MaxBody returns the maximum size of a response body, in bytes.
	MaxBody func() int64
	// ConnectFailed is called when no connection could be opened.
	ConnectFailed func()
}

// Client sends calls to the backend server.
type Client struct {
	opts ClientOptions
	http h1.Transport
	// send is built once and used for every call.
	send endpoint.Endpoint
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	c := &Client{opts: opts, http: h1.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	})}
	c.send = kithttp.NewExplicitClient(c.encode, c.decode, kithttp.SetClient(c.http)).Endpoint()
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// backendCall is one call to the backend server.
type backendCall struct {
	context  frame.Context
	request  frame.Request
	timeLeft time.Duration
}

// Run sends one call to the backend server and returns its complete response. The
// error is a *frame.OutcomeError.
func (c *Client) Run(ctx context.Context, span *peer.Span, request frame.Request) (frame.Answer, error) {
	timeLeft := max(span.Deadline().Sub(c.opts.Clock.Now()), 0)
	call := backendCall{context: span.CallContext().WithTimeLeft(timeLeft), request: request, timeLeft: timeLeft}
	response, err := c.send(ctx, call)
	if err != nil {
		return frame.Answer{}, c.outcomeError(ctx, err)
	}
	return response.(frame.Answer), nil
}

// encode builds the request. It is never sent twice, as a POST without GetBody.
func (c *Client) encode(ctx context.Context, v any) (*http.Request, error) {
	call := v.(backendCall)
	url := "http://" + c.opts.Addr + "/" + call.request.Target().Operation()
	body := struct{ io.Reader }{bytes.NewReader(call.request.Body())}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, fmt.Errorf("build call of %s: %w", call.request.Target(), err)
	}
	req.ContentLength = int64(len(call.request.Body()))
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set(frame.HeaderContext, call.context.Encode())
	req.Header.Set(frame.HeaderTimeout, call.timeLeft.String())
	return req, nil
}

func (c *Client) decode(ctx context.Context, resp *http.Response) (any, error) {
	defer resp.Body.Close()
	body, err := peer.ReadResponseBody(ctx, resp, c.opts.MaxBody())
	if err != nil {
		return nil, err
	}
	return frame.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body), nil
}

func (c *Client) outcomeError(ctx context.Context, err error) error {
	var outcomeErr *frame.OutcomeError
	if errors.As(err, &outcomeErr) {
		return outcomeErr
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		c.opts.ConnectFailed()
		return frame.NotRunError(frame.ReasonDown, "connect to the backend server: "+opErr.Err.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return frame.UnknownError(frame.ReasonTimeout, "no answer from the backend server")
	}
	if ctx.Err() != nil {
		return frame.UnknownError(frame.ReasonCancelled, "while the backend server worked")
	}
	return frame.UnknownError(frame.ReasonLost, "connection to the backend server broke: "+err.Error())
}
