package node

import (
	"context"
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
	// gateTick is the period of the admission control's decisions.
	gateTick = 100 * time.Millisecond
)

// Run builds a node and runs it until ctx ends, then stops it gracefully.
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

func (n *Node) listeners() (call, outbound, entry, operators *peer.Listener) {
	calls := http.NewServeMux()
	calls.Handle("POST /call/{service}/{operation}", peer.Leased(n.memory, n.server.Handler()))
	calls.Handle("POST /key/{service}/{operation}", peer.KeyHandler(n.ownKey))
	outbounds := http.NewServeMux()
	outbounds.Handle("POST /call/{service}/{operation}", peer.Leased(n.memory, n.outbound.Handler()))
	call = peer.NewListener("call", n.set.CallAddr(), calls)
	outbound = peer.NewListener("outbound", n.set.OutboundAddr(), outbounds)
	entry = peer.NewListener("caller", n.set.CallerAddr(), peer.Leased(n.memory, n.entry.Handler()))
	operators = peer.NewListener("operator", n.set.OperatorAddr(), operator.Handler(operator.Options{
		Status: n.Status, Policy: n.policy, Explain: n.Explain,
	}))
	return call, outbound, entry, operators
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	call, outbound, entry, operators := n.listeners()
	all := []*peer.Listener{call, outbound, entry, operators}
	failed := make(chan error, len(all)+1)
	// Control work goes on during the graceful stop: it ends after the calls.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopWork()
	if err := n.listen(all, failed); err != nil {
		return err
	}
	wg.Go(func() { n.monitor.Run(work) })
	wg.Go(func() { n.tick(work) })
	wg.Go(func() {
		if err := n.control.run(work); err != nil {
			failed <- err
		}
	})
	n.log.WithFields(logrus.Fields{
		"vm": n.set.VM(), "service": n.set.Service(), "zone": n.set.Zone(), "version": n.version,
		"incarnation": n.board.Self().Incarnation().String(),
	}).Info("node started")
	select {
	case err := <-failed:
		n.closeAll(all)
		return err
	case <-ctx.Done():
	}
	return n.stop(call, outbound, entry, operators)
}

func (n *Node) listen(all []*peer.Listener, failed chan<- error) error {
	for i, l := range all {
		if err := l.Listen(failed); err != nil {
			n.closeAll(all[:i])
			return err
		}
	}
	return nil
}

func (n *Node) closeAll(all []*peer.Listener) {
	for _, l := range all {
		l.Close()
	}
}

// tick drives the admission control.
func (n *Node) tick(ctx context.Context) {
	t := n.clock.NewTicker(gateTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			n.gate.Tick()
			n.watch.Tick()
		}
	}
}

// stop ends the node without cutting a call: it refuses new work for its
// backend server and says so, still acts as entry for the linger time, then
// takes no more connections, waits for the calls in progress, and closes.
func (n *Node) stop(call, outbound, entry, operators *peer.Listener) error {
	n.log.Info("stopping: no new work for the backend server")
	started := n.clock.Now()
	n.leave()
	n.clock.Sleep(n.set.DrainDelay())
	ctx, cancel := clockwork.WithTimeout(context.Background(), n.clock, n.set.DrainTimeout())
	defer cancel()
	var failed error
	if err := entry.Stop(ctx, n.clock); err != nil {
		failed = eris.Wrap(err, "calls from callers did not end in time")
	}
	select {
	case <-n.gate.Idle():
	case <-ctx.Done():
		failed = eris.New("calls at the backend server did not end in time")
	}
	for _, l := range []*peer.Listener{call, outbound, operators} {
		if err := l.Stop(ctx, n.clock); err != nil && failed == nil {
			failed = eris.Wrapf(err, "close %s", l.Name())
		}
	}
	n.client.Close()
	n.backend.Close()
	n.log.WithFields(logrus.Fields{"took": n.clock.Since(started).String(), "clean": failed == nil}).Info("node stopped")
	return failed
}

// leave marks the node as leaving and tells the nodes that call it.
func (n *Node) leave() {
	n.board.SetLeaving()
	n.gate.Close(frame.ReasonLeaving)
	n.control.leave()
}
