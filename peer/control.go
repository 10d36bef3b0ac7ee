// Package peer carries calls and control messages between nodes: calls over
// HTTP, control over JSON-RPC 2.0 on TCP.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"dogwoodhead/member"
	"dogwoodhead/relay"
)

// Methods of the control protocol.
const (
	methodHello = "hello"
	methodBeat  = "beat"
	methodLeave = "leave"
	methodPush  = "push"
	methodPull  = "pull"
	methodView  = "view"
	methodFeed  = "feed"
)

const (
	// controlTimeout bounds one control call, dial included. Zones are a few
	// milliseconds apart, so a slower peer counts as unreachable.
	controlTimeout = time.Second
	// controlWrite bounds one write, so that a peer that does not read cannot
	// hold up the answers on its connection for longer.
	controlWrite = 2 * time.Second
	// controlMax bounds one message in bytes: an incompressible value of 1 MiB
	// in base64 and its envelope.
	controlMax = 1536 << 10
	// controlConns bounds the connections that a node opens, and those that it
	// accepts from all nodes together is four times as many.
	controlConns = 128
	// controlIdle is longer than the interval of beats, so that the connections
	// to the peers of a service stay open between them.
	controlIdle = 30 * time.Second
)

// ack answers messages that have no result of their own.
type ack struct {
	OK bool `json:"ok"`
}

// Handlers are what a node does with control messages. A method whose field is
// nil is not served.
type Handlers struct {
	// Hello and Beat return the node's own state.
	Hello, Beat func(context.Context, member.State) (member.State, error)
	Leave       func(context.Context, member.State) error
	Push        func(context.Context, relay.PushRequest) (relay.PushReply, error)
	Pull        func(context.Context, relay.PullRequest) (relay.PullReply, error)
	// View exchanges what two nodes know of the platform's store.
	View func(context.Context, ViewRequest) (Update, error)
	// Feed takes over an update and says what the node knows then.
	Feed func(context.Context, Feed) (ViewRequest, error)
}

// handle decodes the parameters, runs the handler and returns its result.
func (h Handlers) handle(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodHello:
		return serve(ctx, req, h.Hello)
	case methodBeat:
		return serve(ctx, req, h.Beat)
	case methodLeave:
		return serve(ctx, req, acknowledge(h.Leave))
	case methodPush:
		return serve(ctx, req, h.Push)
	case methodPull:
		return serve(ctx, req, h.Pull)
	case methodView:
		return serve(ctx, req, h.View)
	case methodFeed:
		return serve(ctx, req, h.Feed)
	default:
		return nil, fmt.Errorf("%w: %q", jsonrpc2.ErrMethodNotFound, req.Method)
	}
}

// acknowledge turns a handler without a result into one that answers ack.
func acknowledge[Q any](f func(context.Context, Q) error) func(context.Context, Q) (ack, error) {
	if f == nil {
		return nil
	}
	return func(ctx context.Context, q Q) (ack, error) { return ack{OK: true}, f(ctx, q) }
}

func serve[Q, A any](ctx context.Context, req *jsonrpc2.Request, f func(context.Context, Q) (A, error)) (any, error) {
	if f == nil {
		return nil, fmt.Errorf("%w: %q", jsonrpc2.ErrMethodNotFound, req.Method)
	}
	var q Q
	if len(req.Params) == 0 {
		return nil, fmt.Errorf("%w: %s: no parameters", jsonrpc2.ErrInvalidParams, req.Method)
	}
	if err := json.Unmarshal(req.Params, &q); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", jsonrpc2.ErrInvalidParams, req.Method, err)
	}
	a, err := f(ctx, q)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// ControlError reports a control call that failed.
type ControlError struct {
	method string
	addr   string
	cause  error
}

// Method returns the method that was called.
func (e *ControlError) Method() string { return e.method }

// Addr returns the peer's address.
func (e *ControlError) Addr() string { return e.addr }

// Unwrap returns the cause.
func (e *ControlError) Unwrap() error { return e.cause }

func (e *ControlError) Error() string {
	return fmt.Sprintf("control %s to %s: %v", e.method, e.addr, e.cause)
}

// errMessageSize reports a message above controlMax.
var errMessageSize = errors.New("control message is too large")
