package mesh

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"dogwoodhead/frame"
	"dogwoodhead/peer"
)

const (
	// backendDrainDelay is how long a stopping node still accepts work for its
	// backend server, and callerDrainDelay how long it accepts requests of callers:
	// the platform checks readiness every second and needs two failures.
	backendDrainDelay = 1200 * time.Millisecond
	callerDrainDelay  = 2300 * time.Millisecond
	// drainDelayFraction bounds both delays to a fraction of the grace period.
	drainDelayFraction = 0.5
	// exitMargin is the part of the grace period reserved for exiting.
	exitMargin = 700 * time.Millisecond
	// withdrawMargin is the time before exitMargin in which requests that wait for a
	// slot are withdrawn and refused, withdrawInterval how often: a request may be on
	// its way to the node that holds it.
	withdrawMargin   = 300 * time.Millisecond
	withdrawInterval = 100 * time.Millisecond
	// interruptWait bounds the wait for the responses to interrupted requests.
	interruptWait = 200 * time.Millisecond
	// drainPoll is the interval between checks for requests in progress.
	drainPoll = 20 * time.Millisecond
)

// shutDown stops the node gracefully. After backendDrainDelay it refuses work for the
// backend server that has no slot, after callerDrainDelay new requests of callers. It
// waits within the grace period for the requests in progress. Near its end, requests
// that still wait for a slot are withdrawn; the deadlines of those taken since the
// stop began, calls of running requests included, end there. What still runs at the
// end is interrupted, with a response that says that the outcome is unknown.
func (n *Node) shutDown(callListener, outboundListener *peer.Listener, listeners []*peer.Listener) {
	started := n.clock.Now()
	n.log.WithFields(logrus.Fields{"calls": callListener.BusyConns(), "requests": outboundListener.BusyConns()}).Info("stopping")
	grace := time.Duration(n.grace.Load())
	deadline := started.Add(grace - exitMargin)
	withdrawAt := deadline.Add(-withdrawMargin)
	n.latestDeadline.Store(&withdrawAt)
	n.leaving.Store(true)
	maxDelay := time.Duration(drainDelayFraction * float64(grace))
	n.clock.Sleep(min(backendDrainDelay, maxDelay))
	n.backendClosed.Store(true)
	n.gate.Close(frame.ReasonLeaving)
	n.clock.Sleep(min(callerDrainDelay, maxDelay) - n.clock.Since(started))
	n.callersClosed.Store(true)
	// The calls of running requests may come on new connections.
	n.waitUntil(withdrawAt, func() bool { return !n.localBackend.isRunning() })
	outboundListener.StopAccepting()
	idle := func() bool { return outboundListener.BusyConns() == 0 && callListener.BusyConns() == 0 }
	n.waitUntil(withdrawAt, idle)
	n.withdrawUntil(deadline, idle)
	n.endLifetime()
	n.waitUntil(n.clock.Now().Add(interruptWait), idle)
	for _, l := range listeners {
		l.Close()
	}
	n.log.WithFields(logrus.Fields{
		"took": n.clock.Since(started).Milliseconds(), "calls": callListener.BusyConns(), "requests": outboundListener.BusyConns(),
	}).Info("stop")
}

// withdrawUntil withdraws the requests that wait for a slot of other nodes, until
// the deadline or until done returns true.
func (n *Node) withdrawUntil(deadline time.Time, done func() bool) {
	ctx, cancel := clockwork.WithDeadline(context.Background(), n.clock, deadline)
	defer cancel()
	for n.clock.Now().Before(deadline) && !done() {
		n.sent.withdraw(ctx)
		repeatAt := n.clock.Now().Add(withdrawInterval)
		n.waitUntil(repeatAt, func() bool { return done() || !n.clock.Now().Before(deadline) })
	}
}

// waitUntil waits until the deadline or until done returns true.
func (n *Node) waitUntil(deadline time.Time, done func() bool) {
	for n.clock.Now().Before(deadline) && !done() {
		n.clock.Sleep(drainPoll)
	}
}
