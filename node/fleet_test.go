package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"dogwoodhead/board"
	"dogwoodhead/frame"
	"dogwoodhead/settings"
	"dogwoodhead/standin"
)

// testBase is a chain of three services with one call that is not idempotent.
const testBase = `{
	"classes": ["booking", "lookup"],
	"body": 65536,
	"services": {
		"front": {"slots": 8, "operations": {
			"look": {"class": "lookup", "idempotent": true, "timeout": "5s", "calls": ["middle/find"]},
			"book": {"class": "booking", "idempotent": false, "timeout": "5s", "calls": ["middle/write"]}
		}},
		"middle": {"slots": 8, "operations": {
			"find": {"class": "lookup", "idempotent": true, "timeout": "5s", "calls": ["deep/get"]},
			"write": {"class": "booking", "idempotent": false, "timeout": "5s", "calls": []}
		}},
		"deep": {"slots": 8, "operations": {
			"get": {"class": "lookup", "idempotent": true, "timeout": "5s", "calls": []}
		}}
	}
}`

// testServer is one VM of a testFleet: a node and its backend server.
type testServer struct {
	vm           board.VMFields
	callerAddr   string
	operatorAddr string
	backend      *standin.Backend
	node         *Node
	settings     *settings.Settings
	clock        *skewClock
	// stop stops the node gracefully; done receives the result of Run.
	stop context.CancelFunc
	done chan error
}

// testFleet runs nodes and stand-ins in the test's process, on loopback.
type testFleet struct {
	platform *standin.Platform
	servers  []*testServer
	client   *http.Client
	links    *links
	// addServer starts another VM with the fleet's documents.
	addServer func(s *testServer)
}

// startFleet starts one VM for each named service and waits until all are ready.
func startFleet(t testing.TB, base string, work time.Duration, services ...string) *testFleet {
	t.Helper()
	f := &testFleet{platform: standin.NewPlatform(standin.PlatformOptions{}), links: newLinks(), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
	t.Cleanup(f.client.CloseIdleConnections)
	platformServer := httptest.NewServer(f.platform.Handler())
	t.Cleanup(platformServer.Close)
	for i, service := range services {
		s := newTestServer(t, service+"-"+string(rune('a'+i)), service)
		f.servers = append(f.servers, s)
	}
	f.platform.Publish("base", 0, []byte(base))
	f.publishList(t, nil)
	doc, err := standin.ParseDocument([]byte(base))
	require.NoError(t, err)
	f.addServer = func(s *testServer) { f.startServer(t, s, doc, work, platformServer.URL) }
	for _, s := range f.servers {
		f.addServer(s)
	}
	for _, s := range f.servers {
		f.waitReady(t, s, len(f.servers))
	}
	return f
}

// publishList publishes the VM list, with one VM marked as leaving or none.
func (f *testFleet) publishList(t testing.TB, leaving *testServer) {
	t.Helper()
	var list struct {
		VMs []board.VMFields `json:"vms"`
	}
	for _, s := range f.servers {
		vm := s.vm
		vm.Leaving = s == leaving
		list.VMs = append(list.VMs, vm)
	}
	vms, err := json.Marshal(list)
	require.NoError(t, err)
	f.platform.Publish("vms", 0, vms)
}

// newTestServer returns a VM with free addresses and no running processes.
func newTestServer(t testing.TB, name, service string) *testServer {
	t.Helper()
	return &testServer{callerAddr: freeAddr(t), operatorAddr: freeAddr(t), vm: board.VMFields{
		Name: name, Zone: "z1", Region: "r1", Service: service, CallAddr: freeAddr(t), ControlAddr: freeAddr(t),
	}}
}

func (f *testFleet) startServer(t testing.TB, s *testServer, doc *standin.Document, work time.Duration, platform string) {
	t.Helper()
	outbound := freeAddr(t)
	backendSettings := standin.BackendSettings{
		Service: s.vm.Service, OutboundAddr: outbound, SelfTimes: map[string]standin.Duration{"*": standin.Duration(work)},
		DrainDelay: standin.Duration(10 * time.Millisecond),
	}
	require.NoError(t, backendSettings.ApplyDocument(doc))
	s.backend = standin.NewBackend(backendSettings, clockwork.NewRealClock())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	backendCtx, stopBackend := context.WithCancel(context.Background())
	go func() { _ = s.backend.Serve(backendCtx, ln) }()
	src, err := json.Marshal(map[string]any{
		"vm": s.vm.Name, "zone": s.vm.Zone, "region": s.vm.Region, "site": "r1", "service": s.vm.Service,
		"listen": map[string]string{
			"caller": s.callerAddr, "call": s.vm.CallAddr, "control": s.vm.ControlAddr, "outbound": outbound, "operator": s.operatorAddr,
		},
		"seeds":   []string{f.servers[0].vm.ControlAddr},
		"backend": ln.Addr().String(), "platform": platform, "linger": "20ms", "drain": "10s",
	})
	require.NoError(t, err)
	s.settings, err = settings.Parse("test", src)
	require.NoError(t, err)
	t.Cleanup(stopBackend)
	f.startNode(t, s)
}

// startNode starts a VM's node, or a replacement with a new incarnation.
func (f *testFleet) startNode(t testing.TB, s *testServer) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.clock = &skewClock{Clock: clockwork.NewRealClock()}
	s.node = newNode(s.settings, "test", log, s.clock, f.links.dialer(s.vm.Name))
	ctx, cancel := context.WithCancel(context.Background())
	node, done := s.node, make(chan error, 1)
	s.stop, s.done = cancel, done
	go func() {
		done <- node.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-done: // nil if the test has already received it
			require.NoError(t, err)
		case <-time.After(20 * time.Second):
			t.Errorf("node %s did not stop", s.vm.Name)
		}
	})
}

// waitReady waits until a node has its documents and all VMs. The limit only
// fails a test that would hang.
func (f *testFleet) waitReady(t testing.TB, s *testServer, vms int) {
	t.Helper()
	require.Eventually(t, func() bool {
		return s.node.board.ActiveConfig() != nil && s.node.board.Members().Len() == vms && s.node.board.Fresh()
	}, 30*time.Second, 20*time.Millisecond, "node %s is not ready", s.vm.Name)
}

// server returns the first VM of a service.
func (f *testFleet) server(service string) *testServer {
	for _, s := range f.servers {
		if s.vm.Service == service {
			return s
		}
	}
	return nil
}

// post sends a request to an address and returns the response and its body.
func (f *testFleet) post(t testing.TB, address, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	require.NoError(t, err)
	return resp, b.String()
}

// requestKey requests an operation key through a node.
func (f *testFleet) requestKey(t testing.TB, s *testServer, target string) string {
	t.Helper()
	resp, key := f.post(t, s.callerAddr, "/key/"+target, "")
	require.Equal(t, http.StatusOK, resp.StatusCode, key)
	return key
}

// runs returns how often the backend servers of a service started an operation.
func (f *testFleet) runs(service, operation string) int {
	n := 0
	for _, s := range f.servers {
		if s.vm.Service == service {
			n += int(s.backend.Ledger(false).Operations[operation].Started)
		}
	}
	return n
}

// nextPort allocates ports below the system's range for outgoing connections, so
// that no such connection takes an allocated port.
var nextPort atomic.Int32

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t testing.TB) string {
	t.Helper()
	const first, count = 20_000, 10_000
	for range count {
		port := first + int(nextPort.Add(1)+int32(os.Getpid()*61))%count
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		require.NoError(t, ln.Close())
		return ln.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// outcome returns the outcome and reason headers of a response.
func outcome(r *http.Response) string {
	return strings.TrimSpace(r.Header.Get(frame.HeaderOutcome) + " " + r.Header.Get(frame.HeaderReason))
}
