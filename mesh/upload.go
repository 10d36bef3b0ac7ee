package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// errUploadStopped is the error of reads of an upload that was stopped.
var errUploadStopped = errors.New("the body of the request is not read anymore")

// uploadLinger bounds how long the rest of an upload is discarded after a response
// that ends the request. Closing a connection with unread bytes resets it, and the
// caller can lose the response.
const uploadLinger = 500 * time.Millisecond

// upload is the body of a request that is passed on while it arrives. Responses may
// be written before its end: net/http leaves the body to the upload.
type upload struct {
	conn *http.ResponseController
	// in is the complete body, rest the part of it that comes from the connection.
	in, rest io.Reader

	// mu is held during a read; it guards stopped.
	mu      sync.Mutex
	stopped bool
	// complete is set once the whole body was read.
	complete atomic.Bool
}

// newUpload returns the body of the request to which w responds.
func newUpload(w http.ResponseWriter, in, rest io.Reader) *upload {
	u := &upload{conn: http.NewResponseController(w), in: in, rest: rest}
	// Fails only for a protocol that is full-duplex already.
	_ = u.conn.EnableFullDuplex()
	return u
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return 0, errUploadStopped
	}
	n, err := u.in.Read(p)
	if errors.Is(err, io.EOF) {
		u.complete.Store(true)
	}
	return n, err
}

// isPending reports whether a part of the body has not been read.
func (u *upload) isPending() bool { return u != nil && !u.complete.Load() }

// passRest is called once the response of a backend server has been written. A server
// may respond before the end of the body and read on, so the rest is passed on until
// the server does not take more or ctx is done. The connection is closed then, as the
// header of a response without a length says.
func (u *upload) passRest(ctx context.Context, resp *response) {
	if u == nil {
		return
	}
	// An error means that the connection is broken, which reads of the body notice.
	_ = u.conn.Flush()
	select {
	case <-resp.uploaded:
	case <-ctx.Done():
	}
	if !u.isPending() {
		return
	}
	u.discardRest()
	if resp.length >= 0 {
		panic(http.ErrAbortHandler)
	}
}

// discardRest is called once a response that ends the request has been written. It
// discards what is on its way for a short time.
func (u *upload) discardRest() {
	if !u.isPending() {
		return
	}
	_ = u.conn.Flush()
	u.stop()
	_ = u.conn.SetReadDeadline(time.Now().Add(uploadLinger))
	_, _ = io.CopyN(io.Discard, u.rest, maxDiscardedBytes)
}

// stop ends a read in progress and lets later ones fail. It must be called before the
// handler of the request returns: net/http waits for a read of the body then.
func (u *upload) stop() {
	if !u.isPending() {
		return
	}
	_ = u.conn.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
}
