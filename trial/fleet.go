package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"dogwoodhead/board"
)

const (
	// startTimeout bounds the wait until a process responds.
	startTimeout = 60 * time.Second
	// stopTimeout is longer than a node's drain.
	stopTimeout       = nodeDrainTimeout + 5*time.Second
	startPollInterval = 20 * time.Millisecond
)

// Programs names the executables that a fleet runs.
type Programs struct {
	// Node is the dogwoodhead program; empty for a fleet without nodes.
	Node string
	// Standin is the program of the stand-ins.
	Standin string
}

// Server is one VM of a fleet: a node and its backend server.
type Server struct {
	VM board.VMFields
	// CallerAddr, OutboundAddr and OperatorAddr are addresses of the node.
	CallerAddr   string
	OutboundAddr string
	OperatorAddr string
	// BackendAddr and BackendControlAddr are addresses of the backend server.
	BackendAddr        string
	BackendControlAddr string

	node    *Process
	backend *Process
	// nodeStarts and backendStarts number the processes' logs.
	nodeStarts    int
	backendStarts int
	// faultMu serializes the faults of the VM's processes.
	faultMu sync.Mutex
}

// processName returns the name of a VM's nth process, which also names its log.
func processName(kind, vm string, n int) string {
	if n == 1 {
		return kind + "-" + vm
	}
	return fmt.Sprintf("%s-%s.%d", kind, vm, n)
}

// Node returns the process of the node, nil in a fleet without nodes.
func (s *Server) Node() *Process { return s.node }

// Fleet is a running deployment.
type Fleet struct {
	plan         *Plan
	programs     Programs
	dir          string
	servers      []*Server
	platform     *Process
	platformAddr string
}

// StartFleet starts the platform, the backend servers and the nodes, and waits
// until every node serves calls. On an error it stops what it started.
func StartFleet(ctx context.Context, plan *Plan, programs Programs, dir string) (*Fleet, error) {
	f := &Fleet{plan: plan, programs: programs, dir: dir, servers: plan.newServers()}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.assignAddrs(); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	for i, s := range f.servers {
		if err := f.startBackend(s, i); err != nil {
			return err
		}
	}
	if f.programs.Node != "" {
		for _, s := range f.servers {
			if err := f.startNode(s); err != nil {
				return err
			}
		}
	}
	return f.waitReady(ctx)
}

// assignAddrs picks a free address for every listener.
func (f *Fleet) assignAddrs() error {
	p := newPorts()
	if err := p.setFreeAddrs(&f.platformAddr); err != nil {
		return err
	}
	for _, s := range f.servers {
		if err := p.setFreeAddrs(&s.CallerAddr, &s.OutboundAddr, &s.OperatorAddr, &s.BackendAddr,
			&s.BackendControlAddr, &s.VM.CallAddr, &s.VM.ControlAddr); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	var err error
	f.platform, err = startProcess(f.dir, "platform", f.programs.Standin, "platform", "--listen", f.platformAddr)
	if err != nil {
		return err
	}
	if err := waitListening(ctx, f.platform, f.platformAddr); err != nil {
		return err
	}
	base, err := f.plan.BaseJSON()
	if err != nil {
		return err
	}
	vms, err := f.vmList()
	if err != nil {
		return err
	}
	return errors.Join(
		f.Publish(ctx, "base", base),
		f.Publish(ctx, "overlay/"+f.plan.Site, f.plan.overlay),
		f.Publish(ctx, "vms", vms))
}

// vmList returns the VM list to publish.
func (f *Fleet) vmList() ([]byte, error) {
	list := struct {
		VMs []board.VMFields `json:"vms"`
	}{}
	for _, s := range f.servers {
		list.VMs = append(list.VMs, s.VM)
	}
	vms, err := json.Marshal(list)
	return vms, eris.Wrap(err, "write the VM list")
}

func (f *Fleet) startBackend(s *Server, index int) error {
	settings, err := f.plan.backendSettings(s, index)
	if err != nil {
		return err
	}
	if f.programs.Node == "" {
		settings.OutboundAddr, settings.DirectAddrs = "", f.directBackends(s.VM.Zone)
	}
	file, err := f.writeSettings("backend-"+s.VM.Name+".json", settings)
	if err != nil {
		return err
	}
	s.backendStarts++
	s.backend, err = startProcess(f.dir, processName("backend", s.VM.Name, s.backendStarts), f.programs.Standin, "backend", "--settings", file)
	return err
}

// directBackends maps each service to its first backend server in the zone.
func (f *Fleet) directBackends(zone string) map[string]string {
	backends := make(map[string]string)
	for _, s := range f.servers {
		if _, ok := backends[s.VM.Service]; !ok && s.VM.Zone == zone {
			backends[s.VM.Service] = s.BackendAddr
		}
	}
	return backends
}

func (f *Fleet) startNode(s *Server) error {
	file, err := f.writeSettings("node-"+s.VM.Name+".json", f.plan.nodeSettings(s, "http://"+f.platformAddr))
	if err != nil {
		return err
	}
	s.nodeStarts++
	s.node, err = startProcess(f.dir, processName("node", s.VM.Name, s.nodeStarts), f.programs.Node, "node", "--settings", file)
	return err
}

// writeSettings writes a settings file to the fleet's directory.
func (f *Fleet) writeSettings(name string, settings any) (string, error) {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", eris.Wrapf(err, "write %s", name)
	}
	file := filepath.Join(f.dir, name)
	return file, eris.Wrap(os.WriteFile(file, b, 0o600), "write settings")
}

// waitReady waits until all backend servers listen and all nodes serve calls.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range f.servers {
		g.Go(func() error {
			if err := waitListening(ctx, s.backend, s.BackendAddr); err != nil || f.programs.Node == "" {
				return err
			}
			if err := waitListening(ctx, s.node, s.CallerAddr); err != nil {
				return err
			}
			return f.waitServing(ctx, s)
		})
	}
	return g.Wait()
}

// waitServing calls every idempotent leaf operation through a node until each
// succeeds, because the node first has to read its configuration and discover
// its peers.
func (f *Fleet) waitServing(ctx context.Context, s *Server) error {
	for service, declared := range f.plan.Document.Services {
		for operation, o := range declared.Operations {
			if !o.Idempotent || len(o.Calls) > 0 {
				continue
			}
			for {
				err := post(ctx, "http://"+s.CallerAddr+"/call/"+service+"/"+operation, []byte(`{"token":"ready"}`))
				if err == nil {
					break
				}
				if !s.node.Running() || !sleep(ctx, 5*startPollInterval) {
					return eris.Wrapf(err, "node %s is not ready: %s", s.VM.Name, s.node.logTail())
				}
			}
		}
	}
	return nil
}

// waitListening waits until a process accepts connections.
func waitListening(ctx context.Context, p *Process, addr string) error {
	if p == nil { // runs in this process
		return nil
	}
	var d net.Dialer
	for {
		c, err := d.DialContext(ctx, "tcp", addr)
		if err == nil {
			return c.Close()
		}
		if !p.Running() || !sleep(ctx, startPollInterval) {
			return eris.Errorf("%s does not listen on %s: %v: %s", p.name, addr, err, p.logTail())
		}
	}
}

// sleep waits for d and reports false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Stop stops the nodes, then the backend servers, then the platform, each
// gracefully. The error names every process that did not end cleanly.
func (f *Fleet) Stop() error {
	var nodes, backends []*Process
	for _, s := range f.servers {
		nodes, backends = append(nodes, s.node), append(backends, s.backend)
	}
	return errors.Join(stopAll(nodes), stopAll(backends), stopAll([]*Process{f.platform}))
}

func stopAll(processes []*Process) error {
	errs := make([]error, len(processes))
	var g errgroup.Group
	for i, p := range processes {
		if p == nil {
			continue
		}
		g.Go(func() error {
			errs[i] = p.Stop(stopTimeout)
			return nil
		})
	}
	_ = g.Wait()
	return errors.Join(errs...)
}

// Servers returns the VMs of the fleet. The caller must not change the slice.
func (f *Fleet) Servers() []*Server { return f.servers }

// IngressAddrs returns the addresses that take external calls: those of the
// nodes or, in a fleet without nodes, those of the service's backend servers.
func (f *Fleet) IngressAddrs(service string) []string {
	var addrs []string
	for _, s := range f.servers {
		switch {
		case f.programs.Node != "":
			addrs = append(addrs, s.CallerAddr)
		case s.VM.Service == service:
			addrs = append(addrs, s.BackendAddr)
		}
	}
	return addrs
}

// Direct reports whether the fleet has no nodes.
func (f *Fleet) Direct() bool { return f.programs.Node == "" }
