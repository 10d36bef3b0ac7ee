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
	"dogwoodhead/standin"
)

const (
	// startLimit bounds the wait until a process answers.
	startLimit = 60 * time.Second
	// stopLimit is longer than a node's drain.
	stopLimit = nodeDrain + 5*time.Second
	startPoll = 20 * time.Millisecond
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
	// Caller, Outbound and Operator are addresses of the node.
	Caller   string
	Outbound string
	Operator string
	// Backend and BackendControl are addresses of the backend server.
	Backend        string
	BackendControl string

	node    *Process
	backend *Process
	inline  *inline
	// nodes and backends count the processes started, so that each has a log.
	nodes    int
	backends int
	// faults is held by the fault that the VM's processes have now.
	faults sync.Mutex
}

// processName names the nth process of a VM and its log.
func processName(kind, vm string, n int) string {
	if n == 1 {
		return kind + "-" + vm
	}
	return fmt.Sprintf("%s-%s.%d", kind, vm, n)
}

// Node returns the process of the node, nil in a fleet without nodes.
func (s *Server) Node() *Process { return s.node }

// Fleet is a deployment that runs.
type Fleet struct {
	plan     *Plan
	programs Programs
	dir      string
	servers  []*Server
	platform *Process
	address  string // of the platform
}

// StartFleet starts the platform, the backend servers and the nodes, and waits
// until every node answers calls. What was started is stopped on an error.
func StartFleet(ctx context.Context, plan *Plan, programs Programs, dir string) (*Fleet, error) {
	f := &Fleet{plan: plan, programs: programs, dir: dir, servers: plan.servers()}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.assign(); err != nil {
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

// assign picks an address for every listener.
func (f *Fleet) assign() error {
	p := newPorts()
	if err := p.addresses(&f.address); err != nil {
		return err
	}
	for _, s := range f.servers {
		if err := p.addresses(&s.Caller, &s.Outbound, &s.Operator, &s.Backend,
			&s.BackendControl, &s.VM.CallAddr, &s.VM.ControlAddr); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	var err error
	f.platform, err = startProcess(f.dir, "platform", f.programs.Standin, "platform", "--listen", f.address)
	if err != nil {
		return err
	}
	if err := waitListening(ctx, f.platform, f.address); err != nil {
		return err
	}
	base, err := f.plan.Base()
	if err != nil {
		return err
	}
	vms, err := f.list()
	if err != nil {
		return err
	}
	return errors.Join(
		f.Publish(ctx, "base", base),
		f.Publish(ctx, "overlay/"+f.plan.Site, f.plan.overlay),
		f.Publish(ctx, "vms", vms))
}

// list returns the VM list to publish.
func (f *Fleet) list() ([]byte, error) {
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
		settings.Outbound, settings.DirectAddrs = "", f.direct(s.VM.Zone)
	}
	if f.plan.Inline {
		s.inline = startInline(settings)
		return nil
	}
	file, err := f.write("backend-"+s.VM.Name+".json", settings)
	if err != nil {
		return err
	}
	s.backends++
	s.backend, err = startProcess(f.dir, processName("backend", s.VM.Name, s.backends), f.programs.Standin, "backend", "--settings", file)
	return err
}

// direct maps each service to its first backend server in the zone.
func (f *Fleet) direct(zone string) map[string]string {
	d := make(map[string]string)
	for _, s := range f.servers {
		if _, ok := d[s.VM.Service]; !ok && s.VM.Zone == zone {
			d[s.VM.Service] = s.Backend
		}
	}
	return d
}

func (f *Fleet) startNode(s *Server) error {
	file, err := f.write("node-"+s.VM.Name+".json", f.plan.nodeSettings(s, "http://"+f.address))
	if err != nil {
		return err
	}
	s.nodes++
	s.node, err = startProcess(f.dir, processName("node", s.VM.Name, s.nodes), f.programs.Node, "node", "--settings", file)
	return err
}

// write puts a settings file into the fleet's directory.
func (f *Fleet) write(name string, v any) (string, error) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", eris.Wrapf(err, "write %s", name)
	}
	file := filepath.Join(f.dir, name)
	return file, eris.Wrap(os.WriteFile(file, b, 0o600), "write settings")
}

// waitReady waits until every backend server listens and every node has
// answered one call.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range f.servers {
		g.Go(func() error {
			if err := waitListening(ctx, s.backend, s.Backend); err != nil || f.programs.Node == "" {
				return err
			}
			if err := waitListening(ctx, s.node, s.Caller); err != nil {
				return err
			}
			return f.waitAnswer(ctx, s)
		})
	}
	return g.Wait()
}

// waitAnswer calls every idempotent operation without downstream calls through
// a node until each is answered, because the node has to read its configuration
// and hear of its peers first.
func (f *Fleet) waitAnswer(ctx context.Context, s *Server) error {
	for service, declared := range f.plan.Document.Services {
		for operation, o := range declared.Operations {
			if !o.Idempotent || len(o.Calls) > 0 {
				continue
			}
			for {
				err := post(ctx, "http://"+s.Caller+"/call/"+service+"/"+operation, []byte(`{"token":"ready"}`))
				if err == nil {
					break
				}
				if !s.node.Running() || !pause(ctx, 5*startPoll) {
					return eris.Wrapf(err, "node %s is not ready: %s", s.VM.Name, s.node.tail())
				}
			}
		}
	}
	return nil
}

// waitListening waits until a process accepts connections.
func waitListening(ctx context.Context, p *Process, address string) error {
	if p == nil { // runs in this process
		return nil
	}
	var d net.Dialer
	for {
		c, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			return c.Close()
		}
		if !p.Running() || !pause(ctx, startPoll) {
			return eris.Errorf("%s does not listen on %s: %v: %s", p.name, address, err, p.tail())
		}
	}
}

// pause waits and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
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
	found := []error{stopAll(nodes), stopAll(backends)}
	for _, s := range f.servers {
		if s.inline != nil {
			found = append(found, s.inline.Stop())
		}
	}
	return errors.Join(append(found, stopAll([]*Process{f.platform}))...)
}

func stopAll(processes []*Process) error {
	found := make([]error, len(processes))
	var g errgroup.Group
	for i, p := range processes {
		if p == nil {
			continue
		}
		g.Go(func() error {
			found[i] = p.Stop(stopLimit)
			return nil
		})
	}
	_ = g.Wait()
	return errors.Join(found...)
}

// Servers returns the VMs of the fleet. The caller must not change the slice.
func (f *Fleet) Servers() []*Server { return f.servers }

// Entries returns the addresses that take external calls: those of the nodes,
// in a fleet without nodes those of the service's backend servers.
func (f *Fleet) Entries(service string) []string {
	var entries []string
	for _, s := range f.servers {
		switch {
		case f.programs.Node != "":
			entries = append(entries, s.Caller)
		case s.VM.Service == service:
			entries = append(entries, s.Backend)
		}
	}
	return entries
}

// Direct reports whether the fleet has no nodes.
func (f *Fleet) Direct() bool { return f.programs.Node == "" }

// KillZone ends all nodes of a zone without notice.
func (f *Fleet) KillZone(zone string) {
	var g errgroup.Group
	for _, s := range f.servers {
		if s.VM.Zone == zone && s.node != nil {
			g.Go(func() error {
				s.node.Kill()
				return nil
			})
		}
	}
	_ = g.Wait()
}

// SetKnobs changes faults of all backend servers of a service.
func (f *Fleet) SetKnobs(ctx context.Context, service, knobs string) error {
	var found []error
	for _, s := range f.servers {
		if s.VM.Service == service {
			found = append(found, post(ctx, "http://"+s.BackendControl+"/control/knobs", []byte(knobs)))
		}
	}
	return errors.Join(found...)
}

// Ledgers returns what ran at every backend server.
func (f *Fleet) Ledgers(ctx context.Context) ([]standin.LedgerView, error) {
	var views []standin.LedgerView
	for _, s := range f.servers {
		var v standin.LedgerView
		if err := getJSON(ctx, "http://"+s.BackendControl+"/control/ledger?tokens=1", &v); err != nil {
			return nil, err
		}
		views = append(views, v)
	}
	return views, nil
}

// ExtraAttempts returns the attempts after the first that the running nodes
// made, those that were refused included.
func (f *Fleet) ExtraAttempts(ctx context.Context) (int, error) {
	total := 0.0
	for _, s := range f.servers {
		if s.node == nil || !s.node.Running() {
			continue
		}
		n, err := s.metric(ctx, "dogwood_extra_attempts_total")
		if err != nil {
			return 0, err
		}
		total += n
	}
	return int(total), nil
}

// Publish makes a value current at the platform.
func (f *Fleet) Publish(ctx context.Context, key string, value []byte) error {
	return post(ctx, "http://"+f.address+"/control/publish/"+key, value)
}

// SetPlatform changes how the platform answers.
func (f *Fleet) SetPlatform(ctx context.Context, m standin.Mode) error {
	return post(ctx, "http://"+f.address+"/control/mode/"+string(m), nil)
}

// PlatformStats returns the platform's counters.
func (f *Fleet) PlatformStats(ctx context.Context) (standin.PlatformStats, error) {
	var s standin.PlatformStats
	return s, getJSON(ctx, "http://"+f.address+"/control/stats", &s)
}
