package mesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"dogwoodhead/settings"
	"dogwoodhead/standin"
)

const (
	// waitLimit bounds the waits of tests, so that a failing test ends. No passing
	// test depends on it.
	waitLimit = 30 * time.Second
	host      = "app.example"
	// Ports are the same on all VMs; every VM has a distinct loopback address.
	appPort, outboundPort, readyPort, firstPort = 18301, 18304, 18302, 17620
)

// fleetCount numbers the fleets of a test process, so that their addresses differ.
var fleetCount atomic.Int32

// fleet is a store and VMs with nodes and stand-ins of backend servers.
type fleet struct {
	t         testing.TB
	store     *standin.Store
	storeAddr string
	net       string
	vms       []*testVM
}

// testVM is one VM of a fleet.
type testVM struct {
	fleet    *fleet
	ip       string
	app      *standin.App
	node     *Node
	log      *logBuffer
	stop     context.CancelFunc
	done     chan error
	settings *settings.Mesh
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore()}
	f.net = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, fleetCount.Add(1))
	ln, err := net.Listen("tcp", f.net+".250:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: waitLimit}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	f.storeAddr = ln.Addr().String()
	return f
}

// add adds a VM and starts a backend server and a node on it.
func (f *fleet) add(opts standin.AppOptions) *testVM {
	f.t.Helper()
	v := &testVM{fleet: f, ip: fmt.Sprintf("%s.%d", f.net, len(f.vms)+1)}
	opts.Addr = fmt.Sprintf("%s:%d", v.ip, appPort)
	opts.OutboundAddr = fmt.Sprintf("%s:%d", v.ip, outboundPort)
	if opts.Zone == "" {
		opts.Zone = "zone-a"
	}
	v.app = standin.NewApp(opts)
	require.NoError(f.t, v.app.Start())
	f.t.Cleanup(v.app.Stop)
	v.app.Register(f.store, false)
	src := fmt.Sprintf(`{"vm": "vm-%d", "ip": %q, "zone": %q, "region": "r", "zones": {"zone-a": "r", "zone-b": "r"},
		"service": %q, "listen": {"outbound": %q, "ready": "%s:%d", "operator": "%s:0"}, "ports": [%d, %d], "backend": %q, "store": %q,
		"limits": {"memory": 200, "cores": 1}, "bounds": {"grace": 4, "ratio": 0.2, "slack": 40}}`,
		len(f.vms)+1, v.ip, opts.Zone, opts.Service, opts.OutboundAddr, v.ip, readyPort, v.ip, firstPort, firstPort+10, opts.Addr, f.storeAddr)
	var err error
	v.settings, err = settings.ParseMesh("test.jsonc", []byte(src))
	require.NoError(f.t, err)
	f.vms = append(f.vms, v)
	v.start()
	return v
}

// start starts a new node on the VM.
func (v *testVM) start() {
	v.log = &logBuffer{}
	log := logrus.New()
	log.SetOutput(v.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	dialer := newDialer()
	dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(v.ip)}
	v.node = newNode(v.settings, "test", log, clockwork.NewRealClock(), dialer.DialContext)
	ctx, stop := context.WithCancel(context.Background())
	v.stop, v.done = stop, make(chan error, 1)
	go func(n *Node, done chan error) { done <- n.Run(ctx) }(v.node, v.done)
	v.fleet.t.Cleanup(func() {
		v.node.grace.Store(0)
		stop()
	})
}

// applyConfig stores a configuration and waits until it is active at all nodes.
func (f *fleet) applyConfig(version int, routes ...standin.StoreRoute) {
	f.t.Helper()
	f.store.PutConfig(version, routes)
	f.waitForVersion(version)
}

// waitForVersion waits until all nodes are ready and have the configuration
// version and the complete server list.
func (f *fleet) waitForVersion(version int) {
	f.t.Helper()
	for _, v := range f.vms {
		require.Eventually(f.t, func() bool {
			return v.node.view.ConfigVersion() == uint64(version) && v.node.board.Members().Len() == len(f.vms) && v.ready()
		}, waitLimit, 10*time.Millisecond, "node %s:\n%s", v.ip, v.log)
	}
}

func (v *testVM) ready() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/dogwoodhead/ready", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// testClient reuses connections, as callers do.
var testClient = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}

// callerResponse is the response that a caller gets.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// callerRequest is a caller's request. An empty method means GET.
type callerRequest struct {
	method, path, id, body string
	header                 map[string]string
}

func (v *testVM) send(r callerRequest) callerResponse {
	if r.method == "" {
		r.method = http.MethodGet
	}
	req, err := http.NewRequest(r.method, fmt.Sprintf("http://%s:%d%s", v.ip, outboundPort, r.path), strings.NewReader(r.body))
	if err != nil {
		return callerResponse{err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", "20000")
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := testClient.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// routeTo returns a route of a service with typical limits.
func routeTo(service, prefix, kind string) standin.StoreRoute {
	return standin.StoreRoute{
		Name: "r-" + service + "-" + kind, Host: host, Prefix: prefix, Kind: kind, Service: service,
		Timeout: 15 * time.Second, LatencyGoal: 10 * time.Second, Priority: 2, MaxAttempts: 3,
	}
}
