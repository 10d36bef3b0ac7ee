package mesh

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"dogwoodhead/peer"
	"dogwoodhead/platform"
)

const (
	// gateTick is the period of the admission control's decisions.
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
	// shutdownWait bounds the wait for background goroutines at shutdown.
	shutdownWait = 200 * time.Millisecond
	// drainPoll is the interval between checks for requests in progress.
	drainPoll = 20 * time.Millisecond
)

// Run serves until ctx ends, then shuts down gracefully. The error is that of a
// listener.
func (n *Node) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	failed := make(chan error, 8)
	callListener := peer.NewListener("call", net.JoinHostPort(n.settings.IP(), strconv.Itoa(n.settings.CallPort())), n.peerServer)
	outbound := peer.NewListener("outbound", n.settings.OutboundAddr(), n.ingress)
	outbound.SetTimeouts(n.ingress.bounds, n.ingress.logHeadTimeout)
	ready := peer.NewListener("ready", n.settings.ReadyAddr(), http.HandlerFunc(n.serveReady))
	operators := peer.NewListener("operator", n.settings.OperatorAddr(), n.operatorHandler())
	listeners := []*peer.Listener{callListener, outbound, ready, operators}
	for _, l := range listeners {
		if err := l.Listen(failed); err != nil {
			return err
		}
	}
	control, err := net.Listen("tcp", net.JoinHostPort(n.settings.IP(), strconv.Itoa(n.settings.ControlPort())))
	if err != nil {
		return eris.Wrap(err, "listen for control")
	}
	metrics.RegisterSet(n.controlSet)
	defer metrics.UnregisterSet(n.controlSet, true)
	wg.Go(func() {
		if err := n.controlServer.Serve(workCtx, control); err != nil {
			failed <- err
		}
	})
	wg.Go(func() { n.controlClient.Run(workCtx) })
	wg.Go(func() { n.follower.Run(workCtx) })
	wg.Go(func() { n.syncer.run(workCtx) })
	wg.Go(func() { n.feeder.run(workCtx) })
	wg.Go(func() { n.tick(workCtx) })
	n.log.WithFields(logrus.Fields{
		"vm": n.settings.VM(), "service": n.settings.Service(), "zone": n.settings.Zone(), "version": n.version,
		"incarnation": n.board.Self().Incarnation().String(),
	}).Info("start")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.stop(callListener, outbound, listeners)
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

// tick runs the periodic work until ctx ends.
func (n *Node) tick(ctx context.Context) {
	t := n.clock.NewTicker(gateInterval)
	defer t.Stop()
	swept := n.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		n.gate.Tick()
		n.view.RemoveExpired()
		if n.clock.Since(swept) < sweepInterval {
			continue
		}
		swept = n.clock.Now()
		n.peers.Sweep()
		n.backend.Sweep()
		n.store.Sweep()
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

// stop shuts the node down. It refuses new work for the backend server after
// backendDrainDelay and new requests of callers after callerDrainDelay, then
// waits within the grace period for the requests in progress.
func (n *Node) stop(callListener, outbound *peer.Listener, listeners []*peer.Listener) {
	started := n.clock.Now()
	n.log.WithFields(logrus.Fields{"calls": callListener.BusyConns(), "requests": outbound.BusyConns()}).Info("stopping")
	n.leaving.Store(true)
	grace := time.Duration(n.grace.Load())
	deadline := started.Add(grace - exitMargin)
	maxDelay := time.Duration(drainDelayFraction * float64(grace))
	n.clock.Sleep(min(backendDrainDelay, maxDelay))
	n.backendClosed.Store(true)
	n.clock.Sleep(min(callerDrainDelay, maxDelay) - n.clock.Since(started))
	outbound.StopAccepting()
	n.waitUntil(deadline, func() bool { return outbound.BusyConns() == 0 && callListener.BusyConns() == 0 })
	for _, l := range listeners {
		l.Close()
	}
	n.log.WithFields(logrus.Fields{
		"took": n.clock.Since(started).Milliseconds(), "calls": callListener.BusyConns(), "requests": outbound.BusyConns(),
	}).Info("stop")
}

// waitUntil waits until the time or until done returns true.
func (n *Node) waitUntil(until time.Time, done func() bool) {
	for n.clock.Now().Before(until) && !done() {
		n.clock.Sleep(drainPoll)
	}
}
