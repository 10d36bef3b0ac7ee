package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

const (
	// signalTestLimit bounds each wait, so that a failing test ends.
	signalTestLimit = 30 * time.Second
	// signalRequestTime is how long a request runs while signals arrive.
	signalRequestTime = 2500 * time.Millisecond
)

// outputBuffer collects the output of a process. It is safe for concurrent use.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// program is a process of the dogwoodhead program.
type program struct {
	t      *testing.T
	cmd    *exec.Cmd
	output *outputBuffer
}

// startProgram runs the program with arguments; TestMain makes the test binary
// act as the program.
func startProgram(t *testing.T, args ...string) *program {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	p := &program{t: t, cmd: exec.Command(self), output: &outputBuffer{}}
	p.cmd.Args = append([]string{"dogwoodhead"}, args...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

func (p *program) signal(signals ...syscall.Signal) {
	p.t.Helper()
	for _, s := range signals {
		require.NoError(p.t, p.cmd.Process.Signal(s))
		time.Sleep(10 * time.Millisecond)
	}
}

// waitForOutput waits until the program has written the text.
func (p *program) waitForOutput(text string) {
	p.t.Helper()
	require.Eventually(p.t, func() bool { return bytes.Contains([]byte(p.output.String()), []byte(text)) },
		signalTestLimit, 10*time.Millisecond, "no %q", text)
}

// meshFixture is a node as a process beside a backend server, with a store.
type meshFixture struct {
	*program
	ip, settingsFile string
	settings         string
	app              *standin.App
}

func newMeshFixture(t *testing.T, lastByte int) *meshFixture {
	t.Helper()
	ip := fmt.Sprintf("127.18.%d.%d", 1+os.Getpid()%250, lastByte)
	store := standin.NewStore()
	ln, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	srv := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: signalTestLimit}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	f := &meshFixture{ip: ip, settingsFile: filepath.Join(t.TempDir(), "node.jsonc")}
	f.app = standin.NewApp(standin.AppOptions{
		ID: "i-shop", Service: "shop", Zone: "zone-a", Addr: ip + ":18301", Slots: 4, SelfTime: signalRequestTime,
	})
	require.NoError(t, f.app.Start())
	t.Cleanup(f.app.Stop)
	f.app.Register(store, false)
	store.PutConfig(1, []standin.StoreRoute{{
		Name: "shop", Host: "app.example", Prefix: "/shop/", Kind: "unsafe", Service: "shop",
		Timeout: 20 * time.Second, LatencyGoal: 10 * time.Second, MaxAttempts: 1,
	}})
	f.settings = fmt.Sprintf(`{"vm": "vm-1", "ip": %[1]q, "zone": "zone-a", "region": "r", "zones": {"zone-a": "r"},
"service": "shop", "listen": {"outbound": "%[1]s:18304", "ready": "%[1]s:18302", "operator": "%[1]s:18305"}, "ports": [17620, 17630],
"backend": "%[1]s:18301", "store": %[2]q, "limits": {"memory": 184, "cores": 1}, "bounds": {"grace": 6, "ratio": 0.2, "slack": 40}}`,
		ip, ln.Addr().String())
	require.NoError(t, os.WriteFile(f.settingsFile, []byte(f.settings), 0o600))
	f.program = startProgram(t, "mesh", "--settings", f.settingsFile)
	f.waitForOutput("own backend server is listed")
	f.waitForOutput("configuration in force")
	return f
}

// sendRequest sends a request in the background, waits until it runs, and
// returns a channel with its response body or error.
func (f *meshFixture) sendRequest(id string) <-chan string {
	f.t.Helper()
	result := make(chan string, 1)
	go func() {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.ip+":18304/shop/x", nil)
		if err != nil {
			result <- err.Error()
			return
		}
		req.Host = "app.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "20000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			result <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			result <- err.Error()
			return
		}
		result <- string(body)
	}()
	require.Eventually(f.t, func() bool { return f.app.Runs(id) == 1 }, signalTestLimit, 5*time.Millisecond)
	return result
}

// requireGracefulStop checks that the request gets its response, and that the
// process logs its end and exits with 0.
func (f *meshFixture) requireGracefulStop(id string, response <-chan string) {
	f.t.Helper()
	require.Equal(f.t, standin.AppBody("i-shop", id), <-response)
	require.NoError(f.t, f.cmd.Wait(), f.output)
	require.Contains(f.t, f.output.String(), `"msg":"stop"`)
	require.Equal(f.t, 1, f.app.Runs(id))
}

// Guards against a signal during a graceful shutdown ending the process at once,
// which cuts the requests in progress.
func TestMeshSignalsWhileStopping(t *testing.T) {
	t.Run("term then hup", func(t *testing.T) {
		f := newMeshFixture(t, 1)
		response := f.sendRequest("one")
		f.signal(syscall.SIGTERM)
		f.waitForOutput(`"msg":"stopping"`)
		f.signal(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		f.waitForOutput("reload is skipped")
		f.requireGracefulStop("one", response)
	})
	t.Run("hup around term", func(t *testing.T) {
		f := newMeshFixture(t, 2)
		response := f.sendRequest("two")
		f.signal(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
		f.requireGracefulStop("two", response)
	})
	t.Run("settings change", func(t *testing.T) {
		f := newMeshFixture(t, 3)
		response := f.sendRequest("three")
		f.signal(syscall.SIGTERM)
		f.waitForOutput(`"msg":"stopping"`)
		require.NoError(t, os.WriteFile(f.settingsFile, []byte(f.settings+" // changed"), 0o600))
		f.signal(syscall.SIGHUP)
		require.NoError(t, os.WriteFile(f.settingsFile, []byte("not settings"), 0o600))
		f.signal(syscall.SIGHUP)
		f.requireGracefulStop("three", response)
	})
}

// Guards against a SIGHUP that arrives before the node runs ending the process.
func TestMeshSignalAtStart(t *testing.T) {
	f := newMeshFixture(t, 4)
	f.signal(syscall.SIGHUP)
	f.waitForOutput("settings are unchanged")
	response := f.sendRequest("four")
	f.signal(syscall.SIGTERM)
	f.requireGracefulStop("four", response)
}

// Guards against a SIGHUP ending a node of the product's own interface, which has
// no reload, before or during its graceful shutdown.
func TestNodeIgnoresSIGHUP(t *testing.T) {
	ip := fmt.Sprintf("127.18.%d.5", 1+os.Getpid()%250)
	file := filepath.Join(t.TempDir(), "node.jsonc")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `{"vm": "vm-1", "zone": "z", "region": "r", "site": "r", "service": "shop",
"listen": {"caller": "%[1]s:7001", "call": "%[1]s:7002", "control": "%[1]s:7003", "outbound": "%[1]s:7004", "operator": "%[1]s:7005"},
"backend": "%[1]s:8080", "platform": "http://%[1]s:8500"}`, ip), 0o600))
	p := startProgram(t, "node", "--settings", file)
	p.waitForOutput("node started")
	p.signal(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
	require.NoError(t, p.cmd.Wait(), p.output)
	require.Contains(t, p.output.String(), "node stopped")
}
