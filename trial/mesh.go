package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodhead/standin"
)

const (
	meshHost = "app.example"
	// All VMs use the same ports, since each has its own loopback address.
	meshAppPort, meshOutboundPort, meshReadyPort, meshFirstNodePort = 18401, 18404, 18402, 17720
	// meshStopGrace is the time from SIGTERM to SIGKILL.
	meshStopGrace = 6 * time.Second
	// meshRetryRatio and meshRetrySlack bound the retries to a service within
	// meshRetryWindow: ratio times the first attempts plus slack.
	meshRetryRatio, meshRetrySlack = 0.2, 48
	meshRetryWindow                = 10 * time.Second
	// meshWarmUp is the time before the first fault.
	meshWarmUp = 2 * time.Second
	// meshRecovery is the time allowed to start up, and to recover after kill-all.
	meshRecovery = 15 * time.Second
	// meshCallers is the number of callers on each VM, meshMeanPause the mean
	// pause between two requests of a caller with up to meshBaseVMs VMs. Larger
	// runs pause longer, so that the total load stays the same and the machine
	// is busy with nodes, not with requests.
	meshCallers   = 3
	meshMeanPause = 60 * time.Millisecond
	meshBaseVMs   = 9
	// meshMaxVMs keeps a VM's number within the last byte of an address.
	meshMaxVMs = 240
	// meshCallerTimeout is how long a caller waits for a response. Some bookings are
	// waited for longer than a planned stop takes, for meshBookTimeout.
	meshCallerTimeout = 4 * time.Second
	meshBookTimeout   = 8 * time.Second
)

// MeshOptions configures MeshSoak. All fields are required.
type MeshOptions struct {
	// Program is the dogwoodhead program.
	Program string
	// Dir is the directory for settings and logs.
	Dir  string
	Seed uint64
	// VMs is the number of nodes, 3 to 240.
	VMs int
	// Length is how long faults are injected.
	Length time.Duration
	Out    io.Writer
}

// meshSoak is one run of MeshSoak.
type meshSoak struct {
	opts   MeshOptions
	random *rand.Rand
	// net is the prefix of the VMs' addresses, nodeNet that of the addresses on
	// which the nodes listen. The proxies listen where other nodes connect.
	net, nodeNet string
	store        *standin.Store
	vms          []*meshVM
	start        time.Time

	mu            sync.Mutex
	records       []requestRecord
	events        []event
	configVersion int
	// configStored is when the store had accepted each version.
	configStored map[int]time.Time
	// limits are the times in which backend servers named a rate limit.
	limits     []*limitPeriod
	faultNames []string
	appStarts  int
	// bursts numbers the bursts of bookings, burstCalls has the goroutines that send
	// them.
	bursts     int
	burstCalls sync.WaitGroup
}

// meshVM is one VM: a node in its own process, a backend server, and proxies
// for the node's connections.
type meshVM struct {
	index                   int
	ip, nodeIP              string
	service                 string
	settingsFile            string
	node                    *Process
	app                     *standin.App
	allApps                 []*standin.App
	callProxy, controlProxy *proxy
	storeProxy              *proxy
	nodeStarts              int
	appFault                sync.Map // its key "" holds the active standin.AppFault
	// appDelay is a time.Duration that the backend server adds to each request.
	appDelay atomic.Int64
	// announcements are headers that the backend server adds to its responses.
	announcements    sync.Map
	replacementStart time.Time
}

// requestRecord is one request as its caller observed it.
type requestRecord struct {
	id, path       string
	vm, nodeStarts int
	unsafe         bool
	// uploaded is the body of a large upload, "" otherwise.
	uploaded string
	// timeout is how long the caller waits.
	timeout           time.Duration
	begin, end        time.Time
	status            int
	serverStamp, body string
	err               error
	configVersion     int
}

// event is one fault or planned change.
type event struct {
	kind       string
	start      time.Time
	end        time.Time
	appID      string
	nodeStarts int
	// The event affects vmCount VMs from firstVM, modulo totalVMs.
	firstVM, vmCount, totalVMs int
	// unplanned is set for faults, affectsProcess if node processes are killed
	// or paused, blocksStore if nodes cannot reach the store.
	unplanned, affectsProcess, blocksStore bool
	// stopsNode is set if the node of firstVM is stopped as planned.
	stopsNode bool
	// node is the process of firstVM's node at the start of the event.
	node *Process
}

// affects reports whether the event affects a VM.
func (e event) affects(vm int) bool { return (vm-e.firstVM+e.totalVMs)%e.totalVMs < e.vmCount }

// meshServices are assigned to the VMs in turn. front calls deep; requests to
// book may run only once.
var meshServices = []string{"front", "book", "deep"}

// MeshSoak runs nodes on the users' platform as processes beside stand-ins,
// injects random faults from outside, and checks the guarantees against what
// callers and backend servers observed. The error lists the violations.
func MeshSoak(ctx context.Context, opts MeshOptions) error {
	s := &meshSoak{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), store: standin.NewStore(), configStored: make(map[int]time.Time),
	}
	defer s.close()
	if err := s.launch(); err != nil {
		return err
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, vm := range s.vms {
		for i := range meshCallers {
			seed := s.random.Uint64()
			wg.Go(func() { s.callLoop(callerCtx, vm, i, rand.New(rand.NewPCG(seed, seed))) })
		}
	}
	s.injectFaults(ctx)
	s.killAllNodes()
	sleep(ctx, meshRecovery)
	recoveredAt := time.Now()
	sleep(ctx, meshWarmUp)
	stopCallers()
	wg.Wait()
	s.burstCalls.Wait()
	violations := s.check(recoveredAt)
	fmt.Fprintf(s.opts.Out, "seed %d: %d nodes, %d requests, faults: %s; %d broken\n",
		opts.Seed, opts.VMs, len(s.records), strings.Join(s.faultNames, " "), len(violations))
	if len(violations) > 0 {
		return eris.Errorf("seed %d: %s", opts.Seed, strings.Join(violations, "\n"))
	}
	return nil
}

// launch starts the store, the backend servers, the proxies and the nodes, and
// waits until the nodes are ready.
func (s *meshSoak) launch() error {
	if s.opts.VMs < len(meshServices) || s.opts.VMs > meshMaxVMs {
		return eris.Errorf("%d nodes: must be between %d and %d", s.opts.VMs, len(meshServices), meshMaxVMs)
	}
	secondByte, thirdByte := 1+rand.IntN(250), 2*rand.IntN(120)
	s.net, s.nodeNet = fmt.Sprintf("127.%d.%d", secondByte, thirdByte), fmt.Sprintf("127.%d.%d", secondByte, thirdByte+1)
	storeAddr := s.net + ".250:8500"
	ln, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return eris.Wrap(err, "start the store")
	}
	go func() { _ = http.Serve(ln, s.store.Handler()) }()
	s.putNextConfig()
	for i := range s.opts.VMs {
		vm := &meshVM{
			index: i, ip: fmt.Sprintf("%s.%d", s.net, i+1), nodeIP: fmt.Sprintf("%s.%d", s.nodeNet, i+1),
			service: meshServices[i%len(meshServices)],
		}
		s.vms = append(s.vms, vm)
		if err := s.setUpVM(vm, storeAddr); err != nil {
			return err
		}
	}
	s.start = time.Now()
	deadline := s.start.Add(meshRecovery)
	for _, vm := range s.vms {
		for !vm.ready() {
			if time.Now().After(deadline) {
				return eris.Errorf("vm %d is not ready: %s", vm.index, vm.node.logTail())
			}
			time.Sleep(linkPollInterval)
		}
	}
	return nil
}

func (s *meshSoak) setUpVM(vm *meshVM, storeAddr string) error {
	var err error
	join := func(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	for _, link := range []struct {
		proxy          **proxy
		listen, target string
	}{
		{&vm.callProxy, join(vm.ip, meshFirstNodePort), join(vm.nodeIP, meshFirstNodePort)},
		{&vm.controlProxy, join(vm.ip, meshFirstNodePort+1), join(vm.nodeIP, meshFirstNodePort+1)},
		{&vm.storeProxy, join(vm.nodeIP, 8500), storeAddr},
	} {
		if *link.proxy, err = newProxy(link.listen, link.target); err != nil {
			return eris.Wrap(err, "start a proxy")
		}
	}
	vm.settingsFile = filepath.Join(s.opts.Dir, fmt.Sprintf("vm-%d.jsonc", vm.index))
	settings := fmt.Sprintf(`{"vm": "vm-%d", "ip": %q, "zone": %q, "region": "r", "zones": {"zone-0": "r", "zone-1": "r", "zone-2": "r"},
"service": %q, "listen": {"outbound": %q, "ready": %q, "operator": %q}, "ports": [%d, %d], "backend": %q, "store": %q,
"limits": {"memory": 184, "cores": 1}, "bounds": {"grace": %g, "ratio": %g, "slack": %d}}`,
		vm.index, vm.nodeIP, vm.zone(), vm.service, join(vm.ip, meshOutboundPort), join(vm.ip, meshReadyPort), join(vm.nodeIP, 9464),
		meshFirstNodePort, meshFirstNodePort+10, join(vm.ip, meshAppPort), join(vm.nodeIP, 8500),
		meshStopGrace.Seconds(), meshRetryRatio, meshRetrySlack)
	if err := os.WriteFile(vm.settingsFile, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	if err := s.startApp(vm); err != nil {
		return err
	}
	return s.startNode(vm)
}

func (vm *meshVM) zone() string { return fmt.Sprintf("zone-%d", vm.index/len(meshServices)%3) }

// anyMalformedResponse returns a response to the request with the id that is not valid
// HTTP.
func anyMalformedResponse(id string) string {
	for _, raw := range standin.MalformedResponses(id) {
		return raw // the order of a map is random
	}
	return ""
}

// startApp starts a backend server with a new ID on the VM.
func (s *meshSoak) startApp(vm *meshVM) error {
	s.appStarts++
	opts := standin.AppOptions{
		ID: fmt.Sprintf("i-%d-%d", vm.index, s.appStarts), Service: vm.service, Zone: vm.zone(),
		Addr: fmt.Sprintf("%s:%d", vm.ip, meshAppPort), Slots: 12, SelfTime: 8 * time.Millisecond,
		EarlyLength:  meshEarlyLength,
		RawResponse:  anyMalformedResponse,
		OutboundAddr: fmt.Sprintf("%s:%d", vm.ip, meshOutboundPort),
		Fault: func(string) standin.AppFault {
			time.Sleep(time.Duration(vm.appDelay.Load()))
			f, _ := vm.appFault.Load("")
			if f == nil || rand.IntN(3) > 0 {
				return ""
			}
			return f.(standin.AppFault)
		},
		SetHeaders: func(h http.Header) {
			vm.announcements.Range(func(name, value any) bool {
				h.Set(name.(string), value.(string))
				return true
			})
		},
	}
	if vm.service == "front" {
		opts.Calls = []string{meshHost + "/deep/x", meshHost + "/deep/y"}
	}
	vm.app = standin.NewApp(opts)
	vm.allApps = append(vm.allApps, vm.app)
	vm.replacementStart = time.Time{}
	vm.announcements.Clear()
	if err := vm.app.Start(); err != nil {
		return eris.Wrap(err, "start a backend server")
	}
	vm.app.Register(s.store, false)
	return nil
}

func (s *meshSoak) startNode(vm *meshVM) error {
	vm.nodeStarts++
	name := fmt.Sprintf("node-%d-%d", vm.index, vm.nodeStarts)
	var err error
	vm.node, err = startProcess(s.opts.Dir, name, s.opts.Program, "mesh", "--settings", vm.settingsFile)
	return err
}

func (vm *meshVM) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/dogwoodhead/ready", vm.ip, meshReadyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// putNextConfig stores the next configuration version. Each version adds one
// route; none is ever removed.
func (s *meshSoak) putNextConfig() {
	s.configVersion++
	route := func(name, prefix, kind, service string, priority int) standin.StoreRoute {
		timeout := meshCallerTimeout
		if name == "book" {
			timeout = meshBookTimeout
		}
		return standin.StoreRoute{
			Name: name, Host: meshHost, Prefix: prefix, Kind: kind, Service: service,
			Timeout: timeout, LatencyGoal: time.Second, Priority: priority, MaxAttempts: 2,
		}
	}
	routes := []standin.StoreRoute{
		route("front", "/front/", "safe", "front", 2), route("book", "/book/", "unsafe", "book", 0),
		route("deep", "/deep/", "safe", "deep", 1),
	}
	for v := 1; v <= s.configVersion; v++ {
		routes = append(routes, route(fmt.Sprintf("v%d", v), fmt.Sprintf("/v%d/", v), "safe", "deep", 2))
	}
	s.store.PutConfig(s.configVersion, routes)
	s.configStored[s.configVersion] = time.Now()
}

// close stops everything that the run started.
func (s *meshSoak) close() {
	for _, vm := range s.vms {
		if vm.node != nil && vm.node.Running() {
			_ = vm.node.cmd.Process.Signal(syscall.SIGCONT)
			vm.node.Kill()
		}
		for _, p := range []*proxy{vm.callProxy, vm.controlProxy, vm.storeProxy} {
			if p != nil {
				p.close()
			}
		}
		for _, app := range vm.allApps {
			app.Stop()
		}
	}
}
