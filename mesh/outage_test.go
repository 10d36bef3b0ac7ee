package mesh

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

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

// readerAddr is the control address of the node under test.
const readerAddr = "10.0.0.1:1"

// registerBackend lists a backend server on the VM with the ip.
func (f *simFleet) registerBackend(id, ip string) *standin.App {
	app := standin.NewApp(standin.AppOptions{ID: id, Service: "s", Zone: "0", Addr: ip + ":80", Slots: 1})
	app.Register(f.store, false)
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

// otherReaders are VMs whose nodes read the store before the node under test. None of
// them runs.
type otherReaders struct {
	ips []string
	// leave reports that they leave the list before the outage.
	leave bool
}

// playOutage makes a change at the moment when the store is back, and lets a server
// leave without a notice when the store counts as stable. It returns how late the node
// under test acted on each change.
func playOutage(t *testing.T, o outage, phase time.Duration, others otherReaders) (change, leave time.Duration) {
	t.Helper()
	f := newSimFleet(nil)
	defer f.close()
	listed := 2
	for _, ip := range others.ips {
		app := f.registerBackend("i-"+ip, ip)
		if !others.leave {
			listed++
			continue
		}
		time.AfterFunc(startPeriod/2, func() { f.store.Delete("servers/" + app.ID()) })
	}
	leaving := f.registerBackend("i-1", "10.0.0.1")
	f.registerBackend("i-2", "10.0.0.2")
	f.store.PutConfig(1, nil)
	n := f.start(readerAddr, "0", leaving)
	time.Sleep(startPeriod + phase)
	require.Len(t, n.view.Listing().Servers, listed)

	f.store.SetMode(o.mode)
	time.Sleep(o.length)
	f.store.SetMode(standin.StoreUp)
	returned := time.Now()
	f.store.PutConfig(2, nil)
	time.Sleep(contactBound)
	f.store.Delete("servers/" + leaving.ID())
	time.Sleep(waitLimit)
	n.mu.Lock()
	defer n.mu.Unlock()
	require.Contains(t, n.configAt, uint64(2))
	require.Contains(t, n.leftAt, leaving.ID())
	return n.configAt[2].Sub(returned), n.leftAt[leaving.ID()].Sub(returned) - contactBound
}

// forEachOutage plays each outage of testdata/outages.txt at many moments of the
// node's calls to the store.
func forEachOutage(t *testing.T, others otherReaders, check func(t *testing.T, change, leave time.Duration, phase time.Duration)) {
	for _, o := range readOutages(t) {
		t.Run(fmt.Sprintf("%s-%s", o.mode, o.length), func(t *testing.T) {
			for i := range outagePhases {
				phase := time.Duration(i) * outagePhaseStep
				synctest.Test(t, func(t *testing.T) {
					change, leave := playOutage(t, o, phase, others)
					check(t, change, leave, phase)
				})
			}
		})
	}
}

// Guards against acting too late on a change after an outage of the store, because
// a call that was made during the outage hangs on after it.
func TestChangeAfterOutage(t *testing.T) {
	forEachOutage(t, otherReaders{}, func(t *testing.T, change, _, phase time.Duration) {
		// The other nodes of the zone are fed at most feedInterval later.
		require.LessOrEqual(t, change, contactBound-feedInterval, "outage began %s after the start period", phase)
	})
}

// Guards against sending requests to a server that left after an outage of the
// store, because its removal counts as an entry that expired during the outage.
func TestLeaveAfterOutage(t *testing.T) {
	forEachOutage(t, otherReaders{}, func(t *testing.T, _, leave, phase time.Duration) {
		require.LessOrEqual(t, leave, changeBound-feedInterval, "outage began %s after the start period", phase)
	})
}

// Guards against noticing the end of an outage late because the nodes that would
// read the store first have left: they stay peers for minutes.
func TestOutageAfterReadersLeft(t *testing.T) {
	forEachOutage(t, otherReaders{ips: precedingReaders(), leave: true}, func(t *testing.T, change, leave, phase time.Duration) {
		require.LessOrEqual(t, change, contactBound-feedInterval, "change, outage began %s after the start period", phase)
		require.LessOrEqual(t, leave, changeBound-feedInterval, "leave, outage began %s after the start period", phase)
	})
}

// Guards against a node in touch noticing the end of an outage late, because the readers
// of its zone are cut off before they notice it.
func TestOutageReadersCutOff(t *testing.T) {
	forEachOutage(t, otherReaders{ips: precedingReaders()}, func(t *testing.T, change, leave, phase time.Duration) {
		require.LessOrEqual(t, change, contactBound, "change, outage began %s after the start period", phase)
		require.LessOrEqual(t, leave, changeBound, "leave, outage began %s after the start period", phase)
	})
}
