package mesh

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"dogwoodhead/frame"
	"dogwoodhead/peer"
	"dogwoodhead/platform"
)

const (
	// gateInterval is the interval between updates of the admission gate.
	gateInterval = 100 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
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
	// shutdownWait bounds the wait for background goroutines at shutdown.
	shutdownWait = 200 * time.Millisecond
	// drainPoll is the interval between checks for requests in progress.
	drainPoll = 20 * time.Millisecond
)

// Run serves until ctx is done, then shuts down gracefully. The error is that of a
// listener.
func (n *Node) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	defer n.endLifetime()
	var wg sync.WaitGroup
	failures := make(chan error, 8)
	callListener := peer.NewListener("call", net.JoinHostPort(n.settings.IP(), strconv.Itoa(n.settings.CallPort())), n.peerServer)
	outboundListener := peer.NewListener("outbound", n.settings.OutboundAddr(), n.ingress)
	outboundListener.SetTimeouts(n.ingress.callerTimeouts, n.ingress.logHeaderTimeout)
	readyListener := peer.NewListener("ready", n.settings.ReadyAddr(), http.HandlerFunc(n.serveReady))
	operatorListener := peer.NewListener("operator", n.settings.OperatorAddr(), n.operatorHandler())
	listeners := []*peer.Listener{callListener, outboundListener, readyListener, operatorListener}
	for _, l := range listeners {
		if err := l.Listen(failures); err != nil {
			return err
		}
	}
	controlListener, err := net.Listen("tcp", net.JoinHostPort(n.settings.IP(), strconv.Itoa(n.settings.ControlPort())))
	if err != nil {
		return eris.Wrap(err, "listen for control")
	}
	metrics.RegisterSet(n.controlMetrics)
	defer metrics.UnregisterSet(n.controlMetrics, true)
	wg.Go(func() {
		if err := n.controlServer.Serve(workCtx, controlListener); err != nil {
			failures <- err
		}
	})
	wg.Go(func() { n.controlClient.Run(workCtx) })
	wg.Go(func() { n.follower.Run(workCtx) })
	wg.Go(func() { n.syncer.run(workCtx) })
	wg.Go(func() { n.feeder.run(workCtx) })
	wg.Go(func() { n.runTicker(workCtx) })
	n.log.WithFields(logrus.Fields{
		"vm": n.settings.VM(), "service": n.settings.Service(), "zone": n.settings.Zone(), "version": n.version,
		"incarnation": n.board.Self().Incarnation().String(),
	}).Info("start")
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
	}
	n.shutDown(callListener, outboundListener, listeners)
	stopWork()
	n.waitBackground(&wg)
	return nil
}

// waitBackground waits up to shutdownWait for the background goroutines.
func (n *Node) waitBackground(wg *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-n.clock.After(shutdownWait):
	}
}

// runTicker runs the periodic work until ctx is done.
func (n *Node) runTicker(ctx context.Context) {
	t := n.clock.NewTicker(gateInterval)
	defer t.Stop()
	lastSweep := n.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		n.gate.Tick()
		n.view.RemoveExpired()
		if n.clock.Since(lastSweep) < sweepInterval {
			continue
		}
		lastSweep = n.clock.Now()
		n.peerHTTP.Sweep()
		n.backendHTTP.Sweep()
		n.storeHTTP.Sweep()
	}
}

// serveReady serves the platform's readiness check. A node is ready once it has a
// configuration and a non-empty list, until it stops.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case n.leaving.Load() || n.view.Config() == nil || n.board.Members().Len() == 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// operatorHandler returns the handler of the operator address.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}

// shutDown stops the node gracefully. It refuses work for the backend server that
// has no slot after backendDrainDelay, and new requests of callers after callerDrainDelay, then
// waits within the grace period for the requests in progress. Near its end, those
// that still wait for a slot are withdrawn; the deadlines of the requests taken since
// the stop began, calls of running requests included, end there. Requests that still run
// at the end are interrupted, with a response that says that the outcome is unknown.
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
