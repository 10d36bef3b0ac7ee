//go:build review

package main

import (
	"context"
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

// Ports of every VM; each VM has a loopback address of its own.
const (
	appPort, readyPort, outboundPort, firstNodePort, operatorPort, storePort = 8301, 8302, 8304, 7620, 9464, 8309

	host = "app.example"
	// readyTimeout bounds the start of the nodes.
	readyTimeout = 15 * time.Second
	// readBuffer is the size of a backend server's socket buffer, in bytes.
	readBuffer = 64 << 10
)

// route is one route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
	priority, maxAttempts int
}

// lab is a small deployment on loopback: nodes as separate processes, and
// stand-ins for the store and the backend servers in this process.
type lab struct {
	dir, net string
	store    *standin.Store
	nodes    []*node
	record   *record
	grace    time.Duration
}

// node is one VM with its backend server.
type node struct {
	lab               *lab
	name, service, ip string
	zone              string
	settings          string
	cmd               *exec.Cmd
	exited            chan struct{}
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: f, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// newLab starts the store. Its directory is temporary.
func newLab(recordPath string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir: dir, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)),
		store: standin.NewStore(), record: rec, grace: 6 * time.Second,
	}
	ln, err := net.Listen("tcp", l.storeAddr())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, l.store.Handler()) }()
	return l, nil
}

func (l *lab) storeAddr() string { return fmt.Sprintf("%s.250:%d", l.net, storePort) }

// close kills the nodes that still run and removes the directory.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.wait(time.Second)
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.out.Close()
}

// addNode adds a VM; its node does not run yet.
func (l *lab) addNode(service, zone string) (*node, error) {
	i := len(l.nodes) + 1
	n := &node{lab: l, name: fmt.Sprintf("sidecar-%s-%d", zone, i), service: service, ip: fmt.Sprintf("%s.%d", l.net, i), zone: zone}
	zones := map[string]string{"zone-a": "r", "zone-b": "r", "zone-c": "r"}
	// The fields are those of deploy/settings.jsonc.
	src, err := json.Marshal(map[string]any{
		"vm": n.name, "ip": n.ip, "zone": zone, "region": "r", "zones": zones, "service": service,
		"listen":  map[string]any{"outbound": n.addr(outboundPort), "ready": n.addr(readyPort), "operator": n.addr(operatorPort)},
		"ports":   []int{firstNodePort, firstNodePort + 15},
		"backend": n.addr(appPort), "store": l.storeAddr(),
		"limits": map[string]any{"memory": 284, "cores": 1},
		"bounds": map[string]any{"grace": l.grace.Seconds(), "ratio": 0.2, "slack": 49},
	})
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(l.dir, n.name+".jsonc")
	if err := os.WriteFile(n.settings, src, 0o600); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	logs, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/dogwoodhead", "mesh")
	n.cmd.Env = append(os.Environ(), "DOGWOODHEAD_NODE_FILE="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = logs, logs
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = logs.Close()
		close(exited)
	}(n.cmd, n.exited)
	n.lab.record.printf("node %s started", n.name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// wait reports whether the process ended within d.
func (n *node) wait(d time.Duration) bool {
	if n.exited == nil {
		return true
	}
	select {
	case <-n.exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.addr(readyPort) + "/dogwoodhead/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the nodes and waits until they are ready.
func (l *lab) startAll() error {
	for _, n := range l.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range l.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// putConfig writes a configuration.
func (l *lab) putConfig(version int, maxBody int64, routes []route) {
	var rows, services [][]any
	seen := map[string]bool{}
	for i, r := range routes {
		rows = append(rows, []any{
			fmt.Sprintf("r-%d", i), host, r.prefix, r.kind, r.timeout.Milliseconds(), 1000, r.priority, nil, max(r.maxAttempts, 1), r.service,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, []any{r.service, "/health", 844, "h1", false})
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout-ms", "latency-goal-ms", "priority", "weighted-services", "max-attempts", "service"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-conns", "protocol", "tls"}, "rows": services},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": maxBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	if err != nil {
		panic(err) // the values above always encode
	}
	l.store.Put("op/config", body)
	l.record.printf("store: configuration r%d", version)
}

// entry writes the list entry of a backend server.
func (l *lab) entry(id, service, zone, addr, state string, born time.Time, sequence, slots int) {
	body, err := json.Marshal(map[string]any{
		"address": addr, "born": born.UnixMilli(),
		"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": sequence, "cold-left-ms": 0},
	})
	if err != nil {
		panic(err) // the values above always encode
	}
	l.store.Put("servers/"+id, body)
	l.record.printf("store: servers/%s %s %s", id, service, state)
}

// serveBackend serves h at the node's backend address until stop is called.
func (n *node) serveBackend(h http.Handler) (stop func(), err error) {
	ln, err := net.Listen("tcp", n.addr(appPort))
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Links have small windows, whatever this machine's defaults are.
			_ = tcp.SetReadBuffer(readBuffer)
		}
		return ctx
	}}
	go func() { _ = srv.Serve(ln) }()
	return func() { _ = srv.Close() }, nil
}
