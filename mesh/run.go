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
	// gateInterval is the interval between updates of the admission gate.
	gateInterval = 100 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
	// shutdownWait bounds the wait for background goroutines at shutdown.
	shutdownWait = 200 * time.Millisecond
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
	callListener.SetHoldLimits(n.holdLimits.call, n.logClosedConn)
	outboundListener.SetHoldLimits(n.holdLimits.outbound, n.logClosedConn)
	outboundListener.SetRequestLimits(n.ingress.callerLimits, n.ingress.logHeadRejection)
	readyListener := peer.NewListener("ready", n.settings.ReadyAddr(), http.HandlerFunc(n.serveReady))
	operatorListener := peer.NewListener("operator", n.settings.OperatorAddr(), n.operatorHandler())
	readyListener.SetHoldLimits(n.holdLimits.ready, n.logClosedConn)
	operatorListener.SetHoldLimits(n.holdLimits.operator, n.logClosedConn)
	listeners := []*peer.Listener{callListener, outboundListener, readyListener, operatorListener}
	for _, l := range listeners {
		if err := l.Listen(failures); err != nil {
			return err
		}
	}
	controlListener, err := peer.Listen(net.JoinHostPort(n.settings.IP(), strconv.Itoa(n.settings.ControlPort())))
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
