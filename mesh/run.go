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
	gateTick = 100 * time.Millisecond
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = time.Second
	// seatLinger is how long a stopping node still takes work for its backend
	// server, and callerLinger how long it takes that of callers: the platform
	// asks every second whether it is ready and needs two misses.
	seatLinger   = 1200 * time.Millisecond
	callerLinger = 2300 * time.Millisecond
	// lingerPart bounds both as a part of the grace.
	lingerPart = 0.5
	// exitMargin is kept from the grace to end by itself.
	exitMargin = 700 * time.Millisecond
	// finishWait bounds the wait for background work at the end.
	finishWait = 200 * time.Millisecond
	// settlePoll is how often a stop looks for requests in progress.
	settlePoll = 20 * time.Millisecond
)

// Run serves until ctx ends, then stops without cutting a request.
func (n *Node) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	failed := make(chan error, 8)
	call := peer.NewListener("call", net.JoinHostPort(n.set.IP(), strconv.Itoa(n.set.CallPort())), n.server)
	outbound := peer.NewListener("outbound", n.set.OutboundAddr(), n.entry)
	outbound.Bound(n.entry.bounds, n.entry.late)
	ready := peer.NewListener("ready", n.set.ReadyAddr(), http.HandlerFunc(n.ready))
	operators := peer.NewListener("operator", n.set.OperatorAddr(), n.operators())
	all := []*peer.Listener{call, outbound, ready, operators}
	for _, l := range all {
		if err := l.Listen(failed); err != nil {
			return err
		}
	}
	control, err := net.Listen("tcp", net.JoinHostPort(n.set.IP(), strconv.Itoa(n.set.ControlPort())))
	if err != nil {
		return eris.Wrap(err, "listen for control")
	}
	metrics.RegisterSet(n.controlSet)
	defer metrics.UnregisterSet(n.controlSet, true)
	wg.Go(func() {
		if err := n.controlServer.Serve(work, control); err != nil {
			failed <- err
		}
	})
	wg.Go(func() { n.controlClient.Run(work) })
	wg.Go(func() { n.follower.Run(work) })
	wg.Go(func() { n.syncer.run(work) })
	wg.Go(func() { n.feeder.run(work) })
	wg.Go(func() { n.tick(work) })
	n.log.WithFields(logrus.Fields{
		"vm": n.set.VM(), "service": n.set.Service(), "zone": n.set.Zone(), "version": n.version,
		"incarnation": n.board.Self().Incarnation().String(),
	}).Info("start")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.stop(call, outbound, all)
	stopWork()
	n.finish(&wg)
	return nil
}

// finish waits for the background work, but not beyond the grace.
func (n *Node) finish(wg *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-n.clock.After(finishWait):
	}
}

// tick drives what happens periodically.
func (n *Node) tick(ctx context.Context) {
	t := n.clock.NewTicker(gateTick)
	defer t.Stop()
	swept := n.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		n.gate.Tick()
		n.view.Tick()
		if n.clock.Since(swept) < sweepInterval {
			continue
		}
		swept = n.clock.Now()
		n.peers.Sweep()
		n.backend.Sweep()
		n.store.Sweep()
	}
}

// ready answers the platform: a node is ready once it knows a configuration and
// until it stops.
func (n *Node) ready(w http.ResponseWriter, r *http.Request) {
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

// operators returns the handler of the operators' address.
func (n *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}

// stop ends the node: no new work for the backend server, callers are served
// while they still come, and every request that was read is answered.
func (n *Node) stop(call, outbound *peer.Listener, all []*peer.Listener) {
	started := n.clock.Now()
	n.log.WithFields(logrus.Fields{"calls": call.Open(), "requests": outbound.Open()}).Info("stopping")
	n.leaving.Store(true)
	grace := time.Duration(n.grace.Load())
	end := started.Add(grace - exitMargin)
	most := time.Duration(lingerPart * float64(grace))
	n.clock.Sleep(min(seatLinger, most))
	n.closed.Store(true)
	n.clock.Sleep(min(callerLinger, most) - n.clock.Since(started))
	outbound.Refuse()
	n.await(end, func() bool { return outbound.Open() == 0 && call.Open() == 0 })
	for _, l := range all {
		l.Close()
	}
	n.log.WithFields(logrus.Fields{
		"took": n.clock.Since(started).Milliseconds(), "calls": call.Open(), "requests": outbound.Open(),
	}).Info("stop")
}

// await waits until a time or until done.
func (n *Node) await(until time.Time, done func() bool) {
	for n.clock.Now().Before(until) && !done() {
		n.clock.Sleep(settlePoll)
	}
}
