package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"dogwoodhead/catalog"
	"dogwoodhead/h1"
	"dogwoodhead/platform"
	"dogwoodhead/standin"
)

const (
	// contactBound is the users' bound after the end of a disruption: from then on
	// every node acts on changes within changeBound.
	contactBound = 3 * time.Second
	// changeBound is the users' bound from a change to when all nodes act on it, and
	// from when a server leaves to its last request.
	changeBound = 2 * time.Second
	// outagePhaseStep is the step by which the start of an outage is moved against
	// the calls of the node.
	outagePhaseStep = 250 * time.Millisecond
	outagePhases    = 24
)

// outage is one line of testdata/outages.txt.
type outage struct {
	mode   standin.StoreMode
	length time.Duration
}

// readLines returns the lines of a data file that are no comments.
func readLines(t *testing.T, name string) []string {
	t.Helper()
	src, err := os.ReadFile(name)
	require.NoError(t, err)
	var lines []string
	for line := range strings.Lines(string(src)) {
		if !strings.HasPrefix(line, "#") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

func readOutages(t *testing.T) []outage {
	t.Helper()
	var out []outage
	for _, line := range readLines(t, "testdata/outages.txt") {
		mode, text, _ := strings.Cut(line, " ")
		length, err := time.ParseDuration(text)
		require.NoError(t, err, line)
		out = append(out, outage{standin.StoreMode(mode), length})
	}
	return out
}

// storeReader is the part of a node that reads the store. It runs in a bubble of
// synctest, over in-memory connections.
type storeReader struct {
	store   *standin.Store
	view    *catalog.View
	servers atomic.Int32
	stop    func()
}

// readerAddr is the control address of the storeReader.
const readerAddr = "10.0.0.1:1"

func startStoreReader() *storeReader {
	clock := clockwork.NewRealClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{log: log, clock: clock}
	r := &storeReader{store: standin.NewStore()}
	r.view = catalog.NewView(catalog.ViewOptions{Clock: clock, ServersChanged: func(s []catalog.Server) {
		r.servers.Store(int32(len(s)))
		n.syncer.updatePeers(s)
	}})
	n.view = r.view
	ln := standin.NewPipeListener()
	srv := &http.Server{Handler: r.store.Handler(), ReadHeaderTimeout: waitLimit}
	go func() { _ = srv.Serve(ln) }()
	client := h1.NewClient(h1.Options{Clock: clock, Dial: ln.Dial})
	store := platform.NewStore("store:1", client, func(string, error) {})
	n.syncer = newSyncer(syncerOptions{clock: clock, view: r.view, selfAddr: readerAddr, port: 1, zone: "z"})
	n.feeder = newFeeder(feederOptions{clock: clock, sync: n.syncer, selfAddr: readerAddr, listed: func() bool { return true }})
	f := catalog.NewFollower(catalog.FollowerOptions{
		Clock: clock, View: r.view, Read: store.Read, Watch: store.Watch, Mode: n.feeder.readMode, MaxRetryDelay: n.feeder.maxRetryDelay,
		Responded: n.feeder.contact.recordOwn, StoreUnavailable: isStoreUnavailable, ConnectionChanged: func(error) {}, ReadingStopped: func() {}, CallFailed: func(error, time.Duration, time.Duration) {}, StaleReadFailed: func(error) {},
		Random: func() float64 { return 1 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(gateInterval)
			r.view.RemoveExpired()
		}
	})
	r.stop = func() {
		cancel()
		_ = srv.Close()
		client.Close()
		wg.Wait()
	}
	return r
}

// registerBackend lists a backend server on the VM with the ip.
func (r *storeReader) registerBackend(id, ip string) *standin.App {
	app := standin.NewApp(standin.AppOptions{ID: id, Service: "s", Zone: "z", Addr: ip + ":80", Slots: 1})
	app.Register(r.store, false)
	return app
}

// precedingReaders returns the ips of two VMs whose nodes read the store before the
// one at readerAddr.
func precedingReaders() []string {
	var ips []string
	for i := 2; len(ips) < zoneReaders; i++ {
		ip := fmt.Sprintf("10.0.1.%d", i)
		if xxhash.Sum64String(ip+":1") < xxhash.Sum64String(readerAddr) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// playOutage makes a change at the moment when the store is back, and lets a server
// leave without a notice when the store counts as stable. VMs of gone have left the
// list before the outage. It returns how late the reader acted on each change.
func playOutage(t *testing.T, o outage, phase time.Duration, gone []string) (change, leave time.Duration) {
	t.Helper()
	r := startStoreReader()
	defer r.stop()
	for _, ip := range gone {
		left := r.registerBackend("i-"+ip, ip)
		time.AfterFunc(startPeriod/2, func() { r.store.Delete("servers/" + left.ID()) })
	}
	leaving := r.registerBackend("i-1", "10.0.0.1")
	r.registerBackend("i-2", "10.0.0.2")
	r.store.PutConfig(1, nil)
	time.Sleep(startPeriod + phase)
	require.Equal(t, int32(2), r.servers.Load())

	r.store.SetMode(o.mode)
	time.Sleep(o.length)
	r.store.SetMode(standin.StoreUp)
	returned := time.Now()
	r.store.PutConfig(2, nil)
	time.AfterFunc(contactBound, func() { r.store.Delete("servers/" + leaving.ID()) })
	for (change == 0 || leave == 0) && time.Since(returned) < waitLimit {
		time.Sleep(time.Millisecond)
		if change == 0 && r.view.ConfigVersion() == 2 {
			change = time.Since(returned)
		}
		if leave == 0 && r.servers.Load() == 1 {
			leave = time.Since(returned) - contactBound
		}
	}
	require.NotZero(t, change)
	require.NotZero(t, leave)
	return change, leave
}

// forEachOutage plays each outage of testdata/outages.txt at many moments of the
// node's calls to the store, after the VMs of gone have left.
func forEachOutage(t *testing.T, gone []string, check func(t *testing.T, change, leave time.Duration, phase time.Duration)) {
	for _, o := range readOutages(t) {
		t.Run(fmt.Sprintf("%s-%s", o.mode, o.length), func(t *testing.T) {
			for i := range outagePhases {
				phase := time.Duration(i) * outagePhaseStep
				synctest.Test(t, func(t *testing.T) {
					change, leave := playOutage(t, o, phase, gone)
					check(t, change, leave, phase)
				})
			}
		})
	}
}

// Guards against acting too late on a change after an outage of the store, because
// a call that was made during the outage hangs on after it.
func TestChangeAfterOutage(t *testing.T) {
	forEachOutage(t, nil, func(t *testing.T, change, _, phase time.Duration) {
		// The other nodes of the zone are fed at most feedInterval later.
		require.LessOrEqual(t, change, contactBound-feedInterval, "outage began %s after the start period", phase)
	})
}

// Guards against sending requests to a server that left after an outage of the
// store, because its removal counts as an entry that expired during the outage.
func TestLeaveAfterOutage(t *testing.T) {
	forEachOutage(t, nil, func(t *testing.T, _, leave, phase time.Duration) {
		require.LessOrEqual(t, leave, changeBound-feedInterval, "outage began %s after the start period", phase)
	})
}

// Guards against noticing the end of an outage late because the nodes that would
// read the store first have left: they stay peers for minutes.
func TestOutageAfterReadersLeft(t *testing.T) {
	forEachOutage(t, precedingReaders(), func(t *testing.T, change, leave, phase time.Duration) {
		require.LessOrEqual(t, change, contactBound-feedInterval, "change, outage began %s after the start period", phase)
		require.LessOrEqual(t, leave, changeBound-feedInterval, "leave, outage began %s after the start period", phase)
	})
}
