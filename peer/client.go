package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/jonboulle/clockwork"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/h1"
)

const (
	// dialTimeout bounds the dial of a peer.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnsPerPeer bounds the idle connections kept open to one peer.
	maxIdleConnsPerPeer = 128
	// idleConnTimeout is how long an idle connection is kept open.
	idleConnTimeout = 60 * time.Second
)

// Attempt is one attempt of a call at a VM.
type Attempt struct {
	vm      board.VM
	id      frame.Attempt
	context frame.Context
	request frame.Request
}

// NewAttempt returns an attempt of request r at vm.
func NewAttempt(vm board.VM, id frame.Attempt, c frame.Context, r frame.Request) Attempt {
	return Attempt{vm: vm, id: id, context: c, request: r}
}

// Reply is a peer's response to an attempt.
type Reply struct {
	// answer is set only if the outcome in feedback is Answered.
	answer   frame.Answer
	feedback frame.Feedback
}

// Answer returns the answer; it is valid only if the outcome is Answered.
func (r Reply) Answer() frame.Answer { return r.answer }

// Feedback returns the outcome and the state that the peer reported.
func (r Reply) Feedback() frame.Feedback { return r.feedback }

// ClientOptions configures a Client.
type ClientOptions struct {
	// Clock is used for the emulated delays.
	Clock clockwork.Clock
	// MaxBody returns the limit of a response body in bytes.
	MaxBody func() int64
	// Delay returns the emulated one-way delay to a zone; zero in production.
	Delay func(zone string) time.Duration
	// Dial opens connections; a net.Dialer is used if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client sends attempts to peers over HTTP/1.1.
type Client struct {
	opts ClientOptions
	http h1.Transport
	// send sends an Attempt and returns a Reply; one endpoint serves all attempts.
	send endpoint.Endpoint
}

// NewClient returns a client; the caller must close it.
func NewClient(opts ClientOptions) *Client {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext
	}
	c := &Client{opts: opts, http: h1.NewTransport(&http.Transport{
		DialContext:         opts.Dial,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})}
	c.send = kithttp.NewExplicitClient(c.newRequest, c.decodeResponse, kithttp.SetClient(c.http)).Endpoint()
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send makes one attempt. If the error is nil, the peer reported the outcome in
// Reply.Feedback. Otherwise the error is a *frame.OutcomeError: NotRun with
// ReasonDial or ReasonCancelled if no byte was sent, else Unknown.
func (c *Client) Send(ctx context.Context, a Attempt) (Reply, error) {
	if err := c.emulateDelay(ctx, a.vm.Zone()); err != nil {
		return Reply{}, frame.NotRunError(frame.ReasonCancelled, "before the attempt was sent")
	}
	response, err := c.send(ctx, a)
	if err != nil {
		return Reply{}, classify(ctx, a.vm, err)
	}
	reply := response.(Reply)
	if reply.feedback.Attempt != a.id {
		return Reply{}, frame.UnknownError(frame.ReasonPartial, "answer of another attempt")
	}
	if err := c.emulateDelay(ctx, a.vm.Zone()); err != nil {
		return Reply{}, frame.UnknownError(frame.ReasonTimeout, "while the answer was on its way")
	}
	return reply, nil
}

// emulateDelay waits for the emulated one-way delay to a zone or the end of ctx.
func (c *Client) emulateDelay(ctx context.Context, zone string) error {
	d := c.opts.Delay(zone)
	if d <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.opts.Clock.After(d):
		return nil
	}
}

// newRequest builds the HTTP request of an attempt. The method is POST and GetBody
// is unset, so that the transport does not resend an attempt of which it has
// written a byte.
func (c *Client) newRequest(ctx context.Context, v any) (*http.Request, error) {
	a := v.(Attempt)
	url := "http://" + a.vm.CallAddr() + "/call/" + a.request.Target().String()
	body := struct{ io.Reader }{bytes.NewReader(a.request.Body())}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, fmt.Errorf("build attempt %s: %w", a.id, err)
	}
	r.ContentLength = int64(len(a.request.Body()))
	if r.ContentLength == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(frame.HeaderContext, a.context.Encode())
	r.Header.Set(frame.HeaderAttempt, a.id.String())
	if step := a.request.Step(); step != "" {
		r.Header.Set(frame.HeaderStep, step)
	}
	return r, nil
}

// decodeResponse reads a complete response and checks its length and digest.
func (c *Client) decodeResponse(ctx context.Context, resp *http.Response) (any, error) {
	defer resp.Body.Close()
	feedback, err := frame.ReadFeedback(resp.Header)
	if err != nil {
		return nil, frame.UnknownError(frame.ReasonPartial, "answer without node headers: "+err.Error())
	}
	if feedback.Outcome != frame.Answered {
		return Reply{feedback: feedback}, nil
	}
	body, err := ReadResponseBody(ctx, resp, c.opts.MaxBody())
	if err != nil {
		return nil, err
	}
	answer := frame.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body)
	if want := strconv.FormatUint(answer.Digest(), 16); resp.Header.Get(frame.HeaderDigest) != want {
		return nil, frame.UnknownError(frame.ReasonPartial, "digest does not match the body")
	}
	return Reply{answer: answer, feedback: feedback}, nil
}

// classify converts a transport error to a *frame.OutcomeError. Only a failed dial
// proves that no byte was sent.
func classify(ctx context.Context, vm board.VM, err error) error {
	var outcomeErr *frame.OutcomeError
	if errors.As(err, &outcomeErr) {
		return outcomeErr
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return frame.NotRunError(frame.ReasonDial, "connect to "+vm.Name()+" at "+vm.CallAddr())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return frame.UnknownError(frame.ReasonTimeout, "no answer from "+vm.Name())
	}
	if ctx.Err() != nil {
		return frame.UnknownError(frame.ReasonCancelled, "while waiting for "+vm.Name())
	}
	return frame.UnknownError(frame.ReasonLost, "connection to "+vm.Name()+" broke: "+err.Error())
}
