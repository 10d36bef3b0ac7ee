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
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodhead/standin"
)

const (
	meshHost = "app.example"
	// Ports are the same on every VM, which has a loopback address of its own.
	meshAppPort, meshOutboundPort, meshReadyPort, meshFirstPort = 18401, 18404, 18402, 17720
	// meshGrace is the time from SIGTERM to SIGKILL.
	meshGrace = 6 * time.Second
	// meshRatio and meshSlack bound the repeats of a service in meshWindow.
	meshRatio, meshSlack = 0.2, 48
	meshWindow           = 10 * time.Second
	// meshLead is the time before the first fault.
	meshLead = 2 * time.Second
	// meshRecovery is the time in which the graph serves again after all nodes
	// were killed.
	meshRecovery = 15 * time.Second
	// meshCallers is the number of callers on each VM, and meshPace the mean pause
	// between two requests of one where there are meshUsual VMs. Larger runs have
	// the same load in all: the machine is to be busy with nodes, not with requests.
	meshCallers = 3
	meshPace    = 60 * time.Millisecond
	meshUsual   = 9
	// meshMost is the largest number of VMs: the last byte of an address.
	meshMost = 240
	// meshDeadline is how long a caller waits.
	meshDeadline = 4 * time.Second
)

// MeshOptions configures MeshSoak. All fields are required.
type MeshOptions struct {
	// Program is the dogwoodhead program.
	Program string
	// Dir takes settings and logs.
	Dir  string
	Seed uint64
	// VMs is the number of nodes, 3 to 240.
	VMs int
	// Length is how long faults are injected.
	Length time.Duration
	Out    io.Writer
}

// meshSoak is one run.
type meshSoak struct {
	o      MeshOptions
	random *rand.Rand
	// net is what VMs' addresses begin with, hidden those of the nodes themselves:
	// the proxies listen where other nodes look for them.
	net, hidden string
	store       *standin.Store
	vms         []*meshVM
	start       time.Time

	mu       sync.Mutex
	records  []record
	events   []event
	version  int
	faults   []string
	replaced int
}

// meshVM is one VM: a node as a process of its own, a backend server, links.
type meshVM struct {
	index        int
	ip, hidden   string
	service      string
	settings     string
	process      *Process
	app          *standin.App
	apps         []*standin.App
	call, ctl    *proxy
	storeLink    *proxy
	starts       int
	fault        sync.Map
	drainedSince time.Time
}

// record is what one request's caller saw.
type record struct {
	id, path    string
	vm, starts  int
	unsafe      bool
	begin, end  time.Time
	status      int
	stamp, body string
	err         error
	version     int
}

// event is one fault or planned change.
type event struct {
	kind   string
	at     time.Time
	until  time.Time
	app    string
	starts int
	// vm is the first VM that is concerned and vms how many are, in turn; the last
	// one is followed by the first of all.
	vm, vms, of int
	// fault is set where the event is not planned, ends where it ends or pauses
	// processes, store where it keeps nodes from the store.
	fault, ends, store bool
}

// concerns reports whether the event happens at a VM.
func (e event) concerns(vm int) bool { return (vm-e.vm+e.of)%e.of < e.vms }

// services are what the VMs serve, in turn: front calls deep, book may run once.
var meshServices = []string{"front", "book", "deep"}

// MeshSoak runs nodes of the users' platform as processes beside stand-ins, with
// random faults from outside, and checks the promises from what callers and
// backend servers saw. The error lists what was broken.
func MeshSoak(ctx context.Context, o MeshOptions) error {
	s := &meshSoak{o: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: standin.NewStore()}
	defer s.close()
	if err := s.launch(); err != nil {
		return err
	}
	calling, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, vm := range s.vms {
		for i := range meshCallers {
			seed := s.random.Uint64()
			wg.Go(func() { s.callLoop(calling, vm, i, rand.New(rand.NewPCG(seed, seed))) })
		}
	}
	s.inject(ctx)
	s.killAll()
	pause(ctx, meshRecovery)
	recovered := time.Now()
	pause(ctx, meshLead)
	stop()
	wg.Wait()
	found := s.check(recovered)
	fmt.Fprintf(s.o.Out, "seed %d: %d nodes, %d requests, faults: %s; %d broken\n",
		o.Seed, o.VMs, len(s.records), strings.Join(s.faults, " "), len(found))
	if len(found) > 0 {
		return eris.Errorf("seed %d: %s", o.Seed, strings.Join(found, "\n"))
	}
	return nil
}

// launch starts store, backend servers, links and nodes, and waits until the
// nodes are ready.
func (s *meshSoak) launch() error {
	if s.o.VMs < len(meshServices) || s.o.VMs > meshMost {
		return eris.Errorf("%d nodes are not within %d and %d", s.o.VMs, len(meshServices), meshMost)
	}
	block, third := 1+rand.IntN(250), 2*rand.IntN(120)
	s.net, s.hidden = fmt.Sprintf("127.%d.%d", block, third), fmt.Sprintf("127.%d.%d", block, third+1)
	storeAddr := s.net + ".250:8500"
	ln, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return eris.Wrap(err, "start the store")
	}
	go func() { _ = http.Serve(ln, s.store.Handler()) }()
	s.putConfig()
	for i := range s.o.VMs {
		vm := &meshVM{
			index: i, ip: fmt.Sprintf("%s.%d", s.net, i+1), hidden: fmt.Sprintf("%s.%d", s.hidden, i+1),
			service: meshServices[i%len(meshServices)],
		}
		s.vms = append(s.vms, vm)
		if err := s.equip(vm, storeAddr); err != nil {
			return err
		}
	}
	s.start = time.Now()
	deadline := s.start.Add(meshRecovery)
	for _, vm := range s.vms {
		for !vm.ready() {
			if time.Now().After(deadline) {
				return eris.Errorf("vm %d is not ready: %s", vm.index, vm.process.tail())
			}
			time.Sleep(linkPoll)
		}
	}
	return nil
}

func (s *meshSoak) equip(vm *meshVM, storeAddr string) error {
	var err error
	join := func(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	for _, l := range []struct {
		to       **proxy
		from, at string
	}{
		{&vm.call, join(vm.ip, meshFirstPort), join(vm.hidden, meshFirstPort)},
		{&vm.ctl, join(vm.ip, meshFirstPort+1), join(vm.hidden, meshFirstPort+1)},
		{&vm.storeLink, join(vm.hidden, 8500), storeAddr},
	} {
		if *l.to, err = newProxy(l.from, l.at); err != nil {
			return eris.Wrap(err, "start a link")
		}
	}
	vm.settings = filepath.Join(s.o.Dir, fmt.Sprintf("vm-%d.jsonc", vm.index))
	text := fmt.Sprintf(`{"vm": "vm-%d", "ip": %q, "zone": %q, "region": "r", "zones": {"zone-0": "r", "zone-1": "r", "zone-2": "r"},
"service": %q, "listen": {"outbound": %q, "ready": %q, "operator": %q}, "ports": [%d, %d], "backend": %q, "store": %q,
"limits": {"memory": 184, "cores": 1}, "bounds": {"grace": %g, "ratio": %g, "slack": %d}}`,
		vm.index, vm.hidden, vm.zone(), vm.service, join(vm.ip, meshOutboundPort), join(vm.ip, meshReadyPort), join(vm.hidden, 9464),
		meshFirstPort, meshFirstPort+10, join(vm.ip, meshAppPort), join(vm.hidden, 8500),
		meshGrace.Seconds(), meshRatio, meshSlack)
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	if err := s.startApp(vm); err != nil {
		return err
	}
	return s.startNode(vm)
}

func (vm *meshVM) zone() string { return fmt.Sprintf("zone-%d", vm.index/len(meshServices)%3) }

// startApp starts a backend server with a new id on the VM.
func (s *meshSoak) startApp(vm *meshVM) error {
	s.replaced++
	o := standin.AppOptions{
		ID: fmt.Sprintf("i-%d-%d", vm.index, s.replaced), Service: vm.service, Zone: vm.zone(),
		Address: fmt.Sprintf("%s:%d", vm.ip, meshAppPort), Slots: 12, Work: 8 * time.Millisecond,
		Outbound: fmt.Sprintf("%s:%d", vm.ip, meshOutboundPort),
		Fault: func(string) standin.AppFault {
			f, _ := vm.fault.Load("")
			if f == nil || rand.IntN(3) > 0 {
				return ""
			}
			return f.(standin.AppFault)
		},
	}
	if vm.service == "front" {
		o.Calls = []string{meshHost + "/deep/x", meshHost + "/deep/y"}
	}
	vm.app = standin.NewApp(o)
	vm.apps = append(vm.apps, vm.app)
	vm.drainedSince = time.Time{}
	if err := vm.app.Start(); err != nil {
		return eris.Wrap(err, "start a backend server")
	}
	vm.app.Register(s.store, false)
	return nil
}

func (s *meshSoak) startNode(vm *meshVM) error {
	vm.starts++
	name := fmt.Sprintf("node-%d-%d", vm.index, vm.starts)
	var err error
	vm.process, err = startProcess(s.o.Dir, name, s.o.Program, "mesh", "--settings", vm.settings)
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

// putConfig writes the next version. Each adds one route that stays.
func (s *meshSoak) putConfig() {
	s.version++
	route := func(name, prefix, kind, service string, priority int) standin.StoreRoute {
		return standin.StoreRoute{
			Name: name, Host: meshHost, Prefix: prefix, Kind: kind, Service: service,
			Timeout: meshDeadline, LatencyGoal: time.Second, Priority: priority, MaxAttempts: 2,
		}
	}
	routes := []standin.StoreRoute{
		route("front", "/front/", "safe", "front", 2), route("book", "/book/", "unsafe", "book", 0),
		route("deep", "/deep/", "safe", "deep", 1),
	}
	for v := 1; v <= s.version; v++ {
		routes = append(routes, route(fmt.Sprintf("v%d", v), fmt.Sprintf("/v%d/", v), "safe", "deep", 2))
	}
	s.store.PutConfig(s.version, routes)
}

// close ends what the run started.
func (s *meshSoak) close() {
	for _, vm := range s.vms {
		if vm.process != nil && vm.process.Running() {
			_ = vm.process.cmd.Process.Signal(syscall.SIGCONT)
			vm.process.Kill()
		}
		for _, p := range []*proxy{vm.call, vm.ctl, vm.storeLink} {
			if p != nil {
				p.close()
			}
		}
		for _, a := range vm.apps {
			a.Stop()
		}
	}
}
