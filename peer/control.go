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

// Methods of the control protocol, which is JSON-RPC 2.0.
const (
	methodHello     = "hello"
	methodHeartbeat = "beat"
	methodLeave     = "leave"
	methodPush      = "push"
	methodPull      = "pull"
	methodView      = "view"
	methodFeed      = "feed"
	methodWithdraw  = "withdraw"
)

const (
	// controlTimeout bounds one control call, dial included. The latency between
	// zones is a few milliseconds, so a slower peer counts as unreachable.
	controlTimeout = time.Second
	// controlWriteTimeout bounds one write, and so how long a peer that does not
	// read can block the other messages on its connection.
	controlWriteTimeout = 2 * time.Second
	// maxControlMessage bounds one message in bytes: an incompressible value of
	// 1 MiB in base64, and its envelope.
	maxControlMessage = 1536 << 10
	// maxControlConns bounds the connections that a node opens. It accepts four
	// times as many; see maxServerConns.
	maxControlConns = 128
	// controlIdleTimeout is longer than the heartbeat interval, so that connections
	// to the peers of a service stay open between heartbeats.
	controlIdleTimeout = 30 * time.Second
)

// ack is the result of methods that return no data.
type ack struct {
	OK bool `json:"ok"`
}

// Handlers are a node's handlers of control messages. A call of a method whose
// handler is nil fails with jsonrpc2.ErrMethodNotFound.
type Handlers struct {
	// Hello and Heartbeat take the sender's state and return this node's.
	Hello, Heartbeat func(context.Context, member.State) (member.State, error)
	Leave            func(context.Context, member.State) error
	Push             func(context.Context, relay.PushRequest) (relay.PushReply, error)
	Pull             func(context.Context, relay.PullRequest) (relay.PullReply, error)
	// View takes the sender's versions of the store's data and returns what is
	// newer here.
	View func(context.Context, ViewRequest) (Update, error)
	// Feed applies an update and returns the versions that this node has after it.
	Feed func(context.Context, Feed) (ViewRequest, error)
	// Withdraw refuses those of the sender's requests that wait for a slot.
	Withdraw func(context.Context, Withdrawal) error
}

// Withdrawal names requests that their sender can't wait for any longer.
type Withdrawal struct {
	IDs []string `json:"ids"`
}

// handle runs the handler of a request and returns its result.
func (h Handlers) handle(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodHello:
		return serveMethod(ctx, req, h.Hello)
	case methodHeartbeat:
		return serveMethod(ctx, req, h.Heartbeat)
	case methodLeave:
		return serveMethod(ctx, req, acknowledge(h.Leave))
	case methodPush:
		return serveMethod(ctx, req, h.Push)
	case methodPull:
		return serveMethod(ctx, req, h.Pull)
	case methodView:
		return serveMethod(ctx, req, h.View)
	case methodFeed:
		return serveMethod(ctx, req, h.Feed)
	case methodWithdraw:
		return serveMethod(ctx, req, acknowledge(h.Withdraw))
	default:
		return nil, fmt.Errorf("%w: %q", jsonrpc2.ErrMethodNotFound, req.Method)
	}
}

// acknowledge converts a handler without a result to one that returns ack.
func acknowledge[Params any](handler func(context.Context, Params) error) func(context.Context, Params) (ack, error) {
	if handler == nil {
		return nil
	}
	return func(ctx context.Context, params Params) (ack, error) { return ack{OK: true}, handler(ctx, params) }
}

// serveMethod decodes the parameters, runs the handler and returns its result.
func serveMethod[Params, Result any](ctx context.Context, req *jsonrpc2.Request, handler func(context.Context, Params) (Result, error)) (any, error) {
	if handler == nil {
		return nil, fmt.Errorf("%w: %q", jsonrpc2.ErrMethodNotFound, req.Method)
	}
	var params Params
	if len(req.Params) == 0 {
		return nil, fmt.Errorf("%w: %s: no parameters", jsonrpc2.ErrInvalidParams, req.Method)
	}
	if err := json.Unmarshal(req.Params, &params); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", jsonrpc2.ErrInvalidParams, req.Method, err)
	}
	result, err := handler(ctx, params)
	if err != nil {
		return nil, err
	}
	return result, nil
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

// errMessageSize reports an empty message or one above maxControlMessage.
var errMessageSize = errors.New("control message is too large")
