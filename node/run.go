package node

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"dogwoodhead/frame"
	"dogwoodhead/operator"
	"dogwoodhead/peer"
	"dogwoodhead/settings"
)

const (
	// tickInterval is the interval between updates of the admission gate and the
	// failure detector.
	tickInterval = 100 * time.Millisecond
)

// Run builds a node and runs it until ctx is done, then stops it gracefully.
func Run(ctx context.Context, s *settings.Settings, version string) error {
	log, err := newLogger(s.LogLevel())
	if err != nil {
		return err
	}
	return New(s, version, log, clockwork.NewRealClock()).Run(ctx)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(l)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log, nil
}

func (n *Node) newListeners() (callListener, outboundListener, callerListener, operatorListener *peer.Listener) {
	callMux := http.NewServeMux()
	callMux.Handle("POST /call/{service}/{operation}", peer.WithMemoryLease(n.bodyMemory, n.peerServer.Handler()))
	callMux.Handle("POST /key/{service}/{operation}", peer.KeyHandler(n.issueLocalKey))
	outboundMux := http.NewServeMux()
	outboundMux.Handle("POST /call/{service}/{operation}", peer.WithMemoryLease(n.bodyMemory, n.outbound.Handler()))
	callListener = peer.NewListener("call", n.settings.CallAddr(), callMux)
	outboundListener = peer.NewListener("outbound", n.settings.OutboundAddr(), outboundMux)
	callerListener = peer.NewListener("caller", n.settings.CallerAddr(), peer.WithMemoryLease(n.bodyMemory, n.ingress.Handler()))
	operatorListener = peer.NewListener("operator", n.settings.OperatorAddr(), operator.Handler(operator.Options{
		Status: n.Status, Policy: n.activePolicy, Explain: n.Explain,
	}))
	return callListener, outboundListener, callerListener, operatorListener
}

// Run serves until ctx is done, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	callListener, outboundListener, callerListener, operatorListener := n.newListeners()
	listeners := []*peer.Listener{callListener, outboundListener, callerListener, operatorListener}
	failures := make(chan error, len(listeners)+1)
	// Background work continues during the graceful stop until all calls have ended.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopBackground()
	if err := n.startListeners(listeners, failures); err != nil {
		return err
	}
	wg.Go(func() { n.backendMonitor.Run(background) })
	wg.Go(func() { n.runTicker(background) })
	wg.Go(func() {
		if err := n.control.run(background); err != nil {
			failures <- err
		}
	})
	n.log.WithFields(logrus.Fields{
		"vm": n.settings.VM(), "service": n.settings.Service(), "zone": n.settings.Zone(), "version": n.version,
		"incarnation": n.board.Self().Incarnation().String(),
	}).Info("node started")
	select {
	case err := <-failures:
		n.closeListeners(listeners)
		return err
	case <-ctx.Done():
	}
	return n.shutDown(callListener, outboundListener, callerListener, operatorListener)
}

func (n *Node) startListeners(listeners []*peer.Listener, failures chan<- error) error {
	for i, l := range listeners {
		if err := l.Listen(failures); err != nil {
			n.closeListeners(listeners[:i])
			return err
		}
	}
	return nil
}

func (n *Node) closeListeners(listeners []*peer.Listener) {
	for _, l := range listeners {
		l.Close()
	}
}

// runTicker updates the admission gate and the failure detector until ctx is done.
func (n *Node) runTicker(ctx context.Context) {
	t := n.clock.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			n.gate.Tick()
			n.failureDetector.Tick()
		}
	}
}

// shutDown stops the node without interrupting a call. It refuses new work for
// the backend server and notifies other nodes, continues as an ingress node for
// the drain delay, then closes the caller listener, waits for the calls in
// progress, and closes the rest.
func (n *Node) shutDown(callListener, outboundListener, callerListener, operatorListener *peer.Listener) error {
	n.log.Info("stopping: no new work for the backend server")
	started := n.clock.Now()
	n.startLeaving()
	n.clock.Sleep(n.settings.DrainDelay())
	ctx, cancel := clockwork.WithTimeout(context.Background(), n.clock, n.settings.DrainTimeout())
	defer cancel()
	var stopErr error
	if err := callerListener.Stop(ctx, n.clock); err != nil {
		stopErr = eris.Wrap(err, "calls from callers did not finish before the drain timeout")
	}
	select {
	case <-n.gate.Drained():
	case <-ctx.Done():
		stopErr = errors.Join(stopErr, eris.New("calls at the backend server did not finish before the drain timeout"))
	}
	for _, l := range []*peer.Listener{callListener, outboundListener, operatorListener} {
		if err := l.Stop(ctx, n.clock); err != nil {
			stopErr = errors.Join(stopErr, eris.Wrapf(err, "close %s", l.Name()))
		}
	}
	n.peerClient.Close()
	n.backendClient.Close()
	n.log.WithFields(logrus.Fields{"took": n.clock.Since(started).String(), "clean": stopErr == nil}).Info("node stopped")
	return stopErr
}

// startLeaving marks the node as leaving and notifies the nodes that call it.
func (n *Node) startLeaving() {
	n.board.SetLeaving()
	n.gate.Close(frame.ReasonLeaving)
	n.control.sendLeaveNotices()
}
