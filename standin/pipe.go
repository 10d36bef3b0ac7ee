package standin

import (
	"context"
	"net"
)

// PipeListener accepts in-memory connections, which tests in simulated time need
// (testing/synctest). It must be closed once.
type PipeListener struct{ conns chan net.Conn }

// NewPipeListener returns a listener without connections.
func NewPipeListener() PipeListener { return PipeListener{conns: make(chan net.Conn)} }

// Accept implements net.Listener.
func (l PipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l PipeListener) Close() error {
	close(l.conns)
	return nil
}

// Addr implements net.Listener. The address has no meaning.
func (l PipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection, whatever the address.
func (l PipeListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
