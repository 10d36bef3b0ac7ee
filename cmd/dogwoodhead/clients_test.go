package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
)

// crowdScript describes what each client of a crowd sends. The files are in
// testdata/clients.
type crowdScript struct {
	// Guards says which failure the test guards against.
	Guards string `json:"guards"`
	// Listener is the listener that the clients connect to.
	Listener string `json:"listener"`
	// Clients is the number of connections at a time, Rounds how often each client
	// connects again after the node has closed its connection.
	Clients int `json:"clients"`
	Rounds  int `json:"rounds"`
	// Prefix is a number of bytes that is sent first, as 4 bytes, if it is not 0.
	Prefix uint32 `json:"prefix"`
	// Head is sent next, then Fill until FillBytes were sent, then Tail. In Head and Fill,
	// "{n}" is replaced by a number that is different each time.
	Head      string `json:"head"`
	Fill      string `json:"fill"`
	FillBytes int    `json:"fillBytes"`
	Tail      string `json:"tail"`
	// Served lists the listeners at which an ordinary request must get its response.
	Served []string `json:"served"`
}

const (
	// crowdChunk is how much a client sends at a time, in bytes.
	crowdChunk = 16 << 10
	// crowdStall is how long a write may wait before the client counts as stalled. It
	// keeps its connection open then and sends no more.
	crowdStall = time.Second
)

// Guards against clients that do not behave ending or hanging a node: what they send
// or fail to read must not take more memory or descriptors than the machine has, and
// ordinary requests must still be served.
func TestClients(t *testing.T) {
	files, err := filepath.Glob("testdata/clients/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for i, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".jsonc"), func(t *testing.T) {
			script := readCrowdScript(t, file)
			t.Logf("guards against: %s", script.Guards)
			n := startCrowdNode(t, i+1)
			c := startCrowd(n.addr(script.Listener), script)
			defer c.stop()
			c.waitSettled(t)
			n.requireServes("beside the crowd", script.Served...)
			c.stop()
			n.requireServes("after the crowd", script.Served...)
			close(n.stopSampling)
			n.requireBounds()
		})
	}
}

func readCrowdScript(t *testing.T, file string) crowdScript {
	t.Helper()
	src, err := os.ReadFile(file)
	require.NoError(t, err)
	src, err = hujson.Standardize(src)
	require.NoError(t, err)
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	var s crowdScript
	require.NoError(t, dec.Decode(&s))
	return s
}

// crowd is a number of clients that run a script at the same time.
type crowd struct {
	addr   string
	script crowdScript
	// settled counts the clients that have nothing more to send.
	settled, ended sync.WaitGroup
	stopOnce       sync.Once
	stopped        chan struct{}
}

func startCrowd(addr string, script crowdScript) *crowd {
	c := &crowd{addr: addr, script: script, stopped: make(chan struct{})}
	c.settled.Add(script.Clients)
	for i := range script.Clients {
		c.ended.Go(func() { c.runClient(i) })
	}
	return c
}

// waitSettled waits until no client sends any more.
func (c *crowd) waitSettled(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		c.settled.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(crowdWaitLimit):
		t.Log("the crowd still sends")
	}
}

// stop closes the connections and waits for the clients.
func (c *crowd) stop() {
	c.stopOnce.Do(func() { close(c.stopped) })
	c.ended.Wait()
}

// runClient runs the script, with a new connection after each that the node has closed.
func (c *crowd) runClient(number int) {
	settled := sync.OnceFunc(c.settled.Done)
	defer settled()
	for round := range 1 + c.script.Rounds {
		conn, err := net.DialTimeout("tcp", c.addr, crowdStall)
		if err != nil {
			continue
		}
		c.send(conn, number<<32|round<<24)
		if round == c.script.Rounds {
			settled()
		}
		c.hold(conn, settled)
		_ = conn.Close()
	}
}

// send sends what the script says, until the node takes no more.
func (c *crowd) send(conn net.Conn, number int) {
	var out bytes.Buffer
	if c.script.Prefix > 0 {
		out.Write([]byte{byte(c.script.Prefix >> 24), byte(c.script.Prefix >> 16), byte(c.script.Prefix >> 8), byte(c.script.Prefix)})
	}
	next := func(s string) string {
		number++
		return strings.ReplaceAll(s, "{n}", strconv.FormatInt(int64(number), 36))
	}
	out.WriteString(next(c.script.Head))
	for sent := 0; sent < c.script.FillBytes; {
		before := out.Len()
		out.WriteString(next(c.script.Fill))
		sent += out.Len() - before
		if out.Len() >= crowdChunk && !c.write(conn, &out) {
			return
		}
	}
	out.WriteString(c.script.Tail)
	c.write(conn, &out)
}

// write sends the buffered bytes and reports whether the node took them.
func (c *crowd) write(conn net.Conn, out *bytes.Buffer) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdStall))
	_, err := out.WriteTo(conn)
	select {
	case <-c.stopped:
		return false
	default:
		return err == nil
	}
}

// hold keeps the connection open, without reading, until the node has closed it or the
// crowd stops. A client whose connection stays open is settled.
func (c *crowd) hold(conn net.Conn, settled func()) {
	for opened := time.Now(); ; time.Sleep(crowdSampleInterval) {
		select {
		case <-c.stopped:
			return
		default:
		}
		if isClosed(conn) {
			return
		}
		if time.Since(opened) > crowdStall {
			settled()
		}
	}
}

// isClosed reports whether the peer has reset the connection, or closed it without
// having sent anything that is still to be read.
func isClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = tcpClosed(int(fd)) })
	return err != nil || closed
}
