package mesh

import (
	"context"
	"errors"
	"sync"

	"github.com/sirupsen/logrus"

	"dogwoodhead/peer"
)

// errWithdrawn is the cause of the end of a wait for a slot.
var errWithdrawn = errors.New("withdrawn by the node where the request began, which is stopping")

// sentRequests holds the requests that other nodes have for this one. A stopping
// node withdraws those that still wait for a slot, so that it can respond to their
// callers that they have not run. It is safe for concurrent use.
type sentRequests struct {
	log *logrus.Logger
	// send withdraws requests at the node with a control address.
	send func(ctx context.Context, addr string, w peer.Withdrawal) error

	mu sync.Mutex
	// addrs holds the control address of the node that has each request.
	addrs map[*call]string
	// closed is set once requests are withdrawn; no more may be sent then.
	closed bool
}

func newSentRequests(log *logrus.Logger, send func(context.Context, string, peer.Withdrawal) error) *sentRequests {
	return &sentRequests{log: log, send: send, addrs: make(map[*call]string)}
}

// add records that a request is about to be sent to the node with the control
// address. It reports whether the request may be sent; remove must be called then.
func (s *sentRequests) add(c *call, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.addrs[c] = addr
	return true
}

// remove records that a request has ended at the other node.
func (s *sentRequests) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.addrs, c)
}

// isClosed reports whether no more requests may be sent.
func (s *sentRequests) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// withdraw withdraws all requests and returns once the nodes that have them have
// acknowledged it or ctx is done. Those that wait for a slot are refused there;
// those that already run continue. A request that is on its way to a node is not
// found there, so that a call may be repeated.
func (s *sentRequests) withdraw(ctx context.Context) {
	var wg sync.WaitGroup
	for addr, ids := range s.closeAndGroup() {
		wg.Go(func() {
			if err := s.send(ctx, addr, peer.Withdrawal{IDs: ids}); err != nil {
				s.log.WithFields(logrus.Fields{"node": addr, "requests": len(ids), "error": err.Error()}).Warn("requests are not withdrawn")
			}
		})
	}
	wg.Wait()
}

// closeAndGroup stops the sending of requests and returns the ids of those in
// progress by control address.
func (s *sentRequests) closeAndGroup() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	ids := make(map[string][]string)
	for c, addr := range s.addrs {
		ids[addr] = append(ids[addr], c.id)
	}
	return ids
}

// waitingRequests holds the requests that wait for a slot of the local backend
// server. It is safe for concurrent use.
type waitingRequests struct {
	mu sync.Mutex
	// cancels holds the function that ends each wait.
	cancels map[*call]context.CancelCauseFunc
}

func newWaitingRequests() *waitingRequests {
	return &waitingRequests{cancels: make(map[*call]context.CancelCauseFunc)}
}

// add returns a context for the wait of a request, which ends with the cause
// errWithdrawn if the request is withdrawn. remove must be called after the wait.
func (w *waitingRequests) add(ctx context.Context, c *call) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[c] = cancel
	return ctx
}

// remove ends the wait of a request.
func (w *waitingRequests) remove(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[c](nil)
	delete(w.cancels, c)
}

// withdraw ends the waits of the requests with the ids.
func (w *waitingRequests) withdraw(ids []string) {
	withdrawn := make(map[string]bool, len(ids))
	for _, id := range ids {
		withdrawn[id] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.cancels {
		if withdrawn[c.id] {
			cancel(errWithdrawn)
		}
	}
}
