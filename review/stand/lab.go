//go:build review

// Command stand runs the cases of the review: it starts nodes as separate
// processes on loopback, with stand-ins for the store, backend servers and callers.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dogwoodhead/standin"
)

const (
	program = "target/dogwoodhead"
	host    = "app.example"
	// Each VM has a loopback address of its own, so all use the same ports.
	backendPort, outboundPort, readyPort, firstNodePort, operatorPort, storePort = 18401, 18404, 18402, 17720, 19464, 18500

	grace          = 6 * time.Second
	heartbeat      = 1500 * time.Millisecond
	readyTimeout   = 20 * time.Second
	processTimeout = 10 * time.Second
)

// errCannotRun reports that a case could not be set up.
var errCannotRun = errors.New("the case could not run")

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	fmt.Print(line)
	_, _ = r.file.WriteString(line)
}

// lab is a small deployment.
type lab struct {
	dir    string
	prefix string
	rec    *record
	store  *standin.Store
	vms    []*vm
	stops  []func()
	// memory is the memory of a node in MB.
	memory int
}

// vm is one VM with a node and a backend server.
type vm struct {
	lab           *lab
	name, ip      string
	service, zone string
	settings      string
	cmd           *exec.Cmd
	ended         chan struct{}
	starts        int
	backend       *backend
}

func newLab(rec *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, prefix: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)), rec: rec, store: standin.NewStore(), memory: 284}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", l.prefix, storePort))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: l.store.Handler()}
	go func() { _ = server.Serve(ln) }()
	l.stops = append(l.stops, func() { _ = server.Close() })
	return l, nil
}

func (l *lab) storeAddr() string { return fmt.Sprintf("%s.250:%d", l.prefix, storePort) }

// add adds a VM whose backend server runs requests with serve, and starts its node.
func (l *lab) add(service, zone string, slots int, serve serveFunc) (*vm, error) {
	n := len(l.vms) + 1
	v := &vm{lab: l, name: fmt.Sprintf("vm-%d", n), ip: fmt.Sprintf("%s.%d", l.prefix, n), service: service, zone: zone}
	l.vms = append(l.vms, v)
	var err error
	if v.backend, err = startBackend(v, fmt.Sprintf("i-%d", n), slots, serve); err != nil {
		return nil, err
	}
	l.stops = append(l.stops, v.backend.stop)
	settings := map[string]any{
		"vm": v.name, "ip": v.ip, "zone": zone, "region": "r", "zones": map[string]string{"z1": "r", "z2": "r"}, "service": service,
		"listen":  map[string]string{"outbound": v.addr(outboundPort), "ready": v.addr(readyPort), "operator": v.addr(operatorPort)},
		"ports":   []int{firstNodePort, firstNodePort + 15},
		"backend": v.addr(backendPort), "store": l.storeAddr(),
		"limits": map[string]any{"memory": l.memory, "cores": 1},
		"bounds": map[string]any{"grace": grace.Seconds(), "ratio": 0.2, "slack": 48},
	}
	src, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	v.settings = filepath.Join(l.dir, v.name+".jsonc")
	if err := os.WriteFile(v.settings, src, 0o600); err != nil {
		return nil, err
	}
	return v, v.start()
}

func (v *vm) addr(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// start starts the node. Its log goes to the temporary folder.
func (v *vm) start() error {
	v.starts++
	out, err := os.Create(filepath.Join(v.lab.dir, fmt.Sprintf("%s-%d.log", v.name, v.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	v.cmd = exec.Command(program, "mesh")
	v.cmd.Env = append(os.Environ(), "DOGWOODHEAD_NODE_FILE="+v.settings)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := v.cmd, make(chan struct{})
	v.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// running reports whether the node's process has not ended.
func (v *vm) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.addr(readyPort) + "/dogwoodhead/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all nodes are ready and know all backend servers.
func (l *lab) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, v := range l.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, v.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, v := range l.vms {
		if v.cmd == nil {
			continue
		}
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-v.ended
	}
	for _, stop := range l.stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
		return
	}
	fmt.Println("kept", l.dir)
}

// route returns a route to a service.
func routeTo(name, kind, service string, timeout time.Duration, priority int) standin.StoreRoute {
	return standin.StoreRoute{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Service: service,
		Timeout: timeout, LatencyGoal: timeout / 2, Priority: priority, MaxAttempts: 2,
	}
}

// asTimeout reports whether err is a timeout.
func asTimeout(err error, timeout *net.Error) bool {
	return errors.As(err, timeout) && (*timeout).Timeout()
}
