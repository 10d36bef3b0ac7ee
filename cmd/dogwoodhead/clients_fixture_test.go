package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

const (
	// crowdMemoryMB is the memory of the machine in the node's settings. The node may not
	// hold more, the bytes included that it has received and not read.
	crowdMemoryMB = 64
	// crowdDescriptors is the limit of open descriptors of the node's process, and
	// crowdReservedFiles the part of it that is reserved for files.
	crowdDescriptors   = 600
	crowdReservedFiles = 200
	// crowdSampleInterval is the interval between two readings of memory and descriptors.
	crowdSampleInterval = 10 * time.Millisecond
	// crowdWaitLimit bounds each wait, so that a failing test ends.
	crowdWaitLimit = 40 * time.Second
	// crowdAttemptTimeout bounds one attempt of an ordinary request.
	crowdAttemptTimeout = 4 * time.Second
	// crowdSlots is how many requests the backend server runs at a time.
	crowdSlots = 4
	// crowdLargeBody is the length of a large response, in bytes. It does not fit in the
	// buffers between the backend server and a client that does not read.
	crowdLargeBody = 48 << 20
)

// Ports of the node under test.
const (
	crowdCallPort     = 17620
	crowdControlPort  = 17621
	crowdBackendPort  = 18301
	crowdReadyPort    = 18302
	crowdOutboundPort = 18304
	crowdOperatorPort = 18305
)

// crowdPorts are the ports of the node's listeners by name.
var crowdPorts = map[string]int{
	"outbound": crowdOutboundPort, "call": crowdCallPort, "control": crowdControlPort,
	"ready": crowdReadyPort, "operator": crowdOperatorPort,
}

// crowdNode is a node as a process of its own beside a backend server. It is built
// without the race detector, whose memory would hide that of the node.
type crowdNode struct {
	t      *testing.T
	ip     string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}

	stopSampling chan struct{}
	mu           sync.Mutex
	// peakMemory is the most that the node held, in bytes, peakDescriptors the most
	// descriptors that it had open.
	peakMemory, peakDescriptors int
}

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "dogwoodhead-clients")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "dogwoodhead")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w: %s", err, out)
	}
	return program, nil
})

func startCrowdNode(t *testing.T, lastByte int) *crowdNode {
	t.Helper()
	program, err := buildProgram()
	require.NoError(t, err)
	n := &crowdNode{
		t: t, ip: fmt.Sprintf("127.19.%d.%d", 1+os.Getpid()%250, lastByte),
		exited: make(chan struct{}), stopSampling: make(chan struct{}),
	}
	settings := filepath.Join(t.TempDir(), "node.jsonc")
	require.NoError(t, os.WriteFile(settings, []byte(n.settings(n.startStoreAndBackend())), 0o600))
	n.log = filepath.Join(t.TempDir(), "node.log")
	out, err := os.Create(n.log)
	require.NoError(t, err)
	n.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" mesh --settings "$1"`, crowdDescriptors), program, settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	require.NoError(t, n.cmd.Start())
	go func() {
		defer close(n.exited)
		_ = n.cmd.Wait()
		_ = out.Close()
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	})
	n.requireServes("at the start", "outbound", "call", "control", "ready", "operator")
	go n.sample()
	return n
}

// startStoreAndBackend starts the node's peers and returns the address of the store.
func (n *crowdNode) startStoreAndBackend() string {
	store := standin.NewStore()
	app := standin.NewApp(standin.AppOptions{
		ID: "i-shop", Service: "shop", Zone: "zone-a", Addr: fmt.Sprintf("%s:%d", n.ip, crowdBackendPort), Slots: crowdSlots,
	})
	n.serve(fmt.Sprintf("%s:%d", n.ip, crowdBackendPort), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/large") {
			respondLarge(w, r)
			return
		}
		app.ServeHTTP(w, r)
	}))
	app.Register(store, false)
	store.PutConfig(1, []standin.StoreRoute{{
		Name: "shop", Host: "app.example", Prefix: "/shop/", Kind: "safe", Service: "shop",
		Timeout: 3 * time.Second, LatencyGoal: time.Second, MaxAttempts: 2,
	}})
	return n.serve(n.ip+":0", store.Handler())
}

func (n *crowdNode) serve(addr string, h http.Handler) string {
	ln, err := net.Listen("tcp", addr)
	require.NoError(n.t, err)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: crowdWaitLimit}
	go func() { _ = srv.Serve(ln) }()
	n.t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// respondLarge writes a response of crowdLargeBody bytes.
func respondLarge(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "i-shop")
	w.Header().Set("Content-Length", strconv.Itoa(crowdLargeBody))
	chunk := make([]byte, 64<<10)
	for range crowdLargeBody / len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

func (n *crowdNode) settings(store string) string {
	return fmt.Sprintf(`{"vm": "vm-1", "ip": %[1]q, "zone": "zone-a", "region": "r", "zones": {"zone-a": "r"},
"service": "shop", "listen": {"outbound": "%[1]s:%[2]d", "ready": "%[1]s:%[3]d", "operator": "%[1]s:%[4]d"}, "ports": [%[5]d, 17630],
"backend": "%[1]s:%[6]d", "store": %[7]q, "limits": {"memory": %[8]d, "cores": 1}, "bounds": {"grace": 6, "ratio": 0.2, "slack": 40}}`,
		n.ip, crowdOutboundPort, crowdReadyPort, crowdOperatorPort, crowdCallPort, crowdBackendPort, store, crowdMemoryMB)
}

func (n *crowdNode) addr(listener string) string {
	return fmt.Sprintf("%s:%d", n.ip, crowdPorts[listener])
}

// requireServes sends an ordinary request to each listener, on new connections until
// one gets its response.
func (n *crowdNode) requireServes(when string, listeners ...string) {
	n.t.Helper()
	for _, listener := range listeners {
		var err error
		for deadline := time.Now().Add(crowdWaitLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			if err = n.sendOrdinary(listener); err == nil {
				break
			}
		}
		require.NoError(n.t, err, "an ordinary request to %s %s: %s", listener, when, n.logTail())
	}
}

func (n *crowdNode) sendOrdinary(listener string) error {
	id := fmt.Sprint("ordinary-", time.Now().UnixNano())
	switch listener {
	case "outbound":
		return n.get(listener, "/shop/x", "app.example", standin.AppBody("i-shop", id), map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000"})
	case "call":
		return n.get(listener, "/shop/x", "app.example", standin.AppBody("i-shop", id), map[string]string{"Dogwood-Hop": "1;in;3000;shop;i-shop;shop;" + id})
	case "ready":
		return n.get(listener, "/dogwoodhead/ready", "ready", "", nil)
	case "operator":
		return n.get(listener, "/metrics", "operator", "go_goroutines", nil)
	default:
		return n.callControl()
	}
}

func (n *crowdNode) get(listener, path, host, want string, header map[string]string) error {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), crowdAttemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addr(listener)+path, nil)
	if err != nil {
		return err
	}
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(body), want) {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// callControl asks for the node's view as another node does.
func (n *crowdNode) callControl() error {
	conn, err := net.DialTimeout("tcp", n.addr("control"), crowdAttemptTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(crowdAttemptTimeout))
	if _, err := conn.Write(controlFrame(`{"jsonrpc":"2.0","id":1,"method":"view","params":{}}`)); err != nil {
		return err
	}
	in := bufio.NewReader(conn)
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return err
	}
	body := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(in, body); err != nil {
		return err
	}
	var reply struct{ Result json.RawMessage }
	if err := json.Unmarshal(body, &reply); err != nil {
		return err
	}
	if len(reply.Result) == 0 {
		return fmt.Errorf("no result: %s", body)
	}
	return nil
}

// controlFrame returns a message with its length, as nodes send it.
func controlFrame(body string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// requireBounds checks that the process runs, and what it held at its peak.
func (n *crowdNode) requireBounds() {
	n.t.Helper()
	select {
	case <-n.exited:
		n.t.Fatalf("the process has ended: %s: %s", n.cmd.ProcessState, n.logTail())
	default:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.t.Logf("at the peak %d KB and %d descriptors", n.peakMemory>>10, n.peakDescriptors)
	require.LessOrEqual(n.t, n.peakMemory, crowdMemoryMB<<20, "bytes held")
	require.LessOrEqual(n.t, n.peakDescriptors, crowdDescriptors-crowdReservedFiles, "open descriptors")
}

// sample records what the process holds until it ends or stopSampling is closed.
func (n *crowdNode) sample() {
	for {
		select {
		case <-n.exited:
			return
		case <-n.stopSampling:
			return
		case <-time.After(crowdSampleInterval):
		}
		memory := n.residentBytes() + n.unreadBytes()
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		n.mu.Lock()
		n.peakMemory = max(n.peakMemory, memory)
		n.peakDescriptors = max(n.peakDescriptors, len(descriptors))
		n.mu.Unlock()
	}
}

// residentBytes returns the memory of the process, 0 if it has ended.
func (n *crowdNode) residentBytes() int {
	src, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(src))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// unreadBytes returns the bytes that have arrived at the node's listeners and that it
// has not read.
func (n *crowdNode) unreadBytes() int {
	src, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(n.ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := 0
	for _, line := range strings.Split(string(src), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || !isCrowdPort(fields[1][len(prefix):]) {
			continue
		}
		const stateListen = "0A" // its queue counts connections
		if _, unread, ok := strings.Cut(fields[4], ":"); ok && fields[3] != stateListen {
			bytes, _ := strconv.ParseInt(unread, 16, 64)
			total += int(bytes)
		}
	}
	return total
}

func isCrowdPort(hex string) bool {
	port, err := strconv.ParseInt(hex, 16, 32)
	if err != nil {
		return false
	}
	for _, p := range crowdPorts {
		if int(port) == p {
			return true
		}
	}
	return false
}

func (n *crowdNode) logTail() string {
	src, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(src[max(0, len(src)-1500):])
}
