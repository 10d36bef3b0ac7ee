package node

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"dogwoodhead/frame"
	"dogwoodhead/standin"
)

// await waits for a condition; the limit only ends a test that would hang.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 20*time.Second, 2*time.Millisecond, what)
}

// Guards against a booking that runs twice, or a false "not run", where its
// entry loses the owner of the key before or during the call and the caller
// retries through another entry.
func TestPartitionEntryOwner(t *testing.T) {
	f := startFleet(t, testBase, 200*time.Millisecond, "front", "middle", "deep")
	owner, other, entry := f.server("front"), f.server("middle"), f.server("deep")
	key := f.key(t, entry, "front/book")
	f.links.cut(entry, owner)
	resp, body := f.post(t, entry.caller, "/call/front/book", ask("before"), frame.HeaderKey, key)
	require.True(t, strings.HasPrefix(outcome(resp), "notrun"), body)
	resp, whole := f.post(t, other.caller, "/call/front/book", ask("before"), frame.HeaderKey, key)
	require.Equal(t, http.StatusOK, resp.StatusCode, whole)
	f.links.heal(entry, owner)
	await(t, "entry reaches the owner again", func() bool {
		resp, body = f.post(t, entry.caller, "/call/front/book", ask("before"), frame.HeaderKey, key)
		return resp.StatusCode == http.StatusOK
	})
	require.Equal(t, whole, body)
	require.Equal(t, 1, f.runs("front", "book"))

	key = f.key(t, entry, "front/book")
	var g errgroup.Group
	g.Go(func() error {
		resp, body := f.post(t, entry.caller, "/call/front/book", ask("during"), frame.HeaderKey, key)
		if got := outcome(resp); strings.HasPrefix(got, "notrun") {
			return fmt.Errorf("%s: %s", got, body)
		}
		return nil
	})
	await(t, "the call runs", func() bool { return f.runs("front", "book") == 2 })
	f.links.cut(entry, owner)
	resp, body = f.post(t, other.caller, "/call/front/book", ask("during"), frame.HeaderKey, key)
	require.False(t, strings.HasPrefix(outcome(resp), "notrun"), body)
	require.NoError(t, g.Wait())
	require.Equal(t, 2, f.runs("front", "book"))
}

// Guards against a process that wakes late and takes a call as entry node with
// the configuration from before its pause, ahead of its first tick.
func TestPausedEntry(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	entry := f.server("deep")
	f.platform.SetMode(standin.ModeRefuse)
	for _, s := range f.servers[:2] {
		f.links.cut(entry, s)
	}
	entry.clock.jump(10 * time.Second)
	resp, body := f.post(t, entry.caller, "/call/deep/get", ask("late"))
	require.Equal(t, "notrun stale", outcome(resp), body)
	require.Zero(t, f.runs("deep", "get"))

	for _, s := range f.servers[:2] {
		f.links.heal(entry, s)
	}
	rev := f.platform.Publish("base", 0, []byte(strings.Replace(testBase, "65536", "60000", 1)))
	f.platform.SetMode(standin.ModeUp)
	entry.clock.jump(10 * time.Second)
	await(t, "the entry takes calls again", func() bool {
		resp, _ := f.post(t, entry.caller, "/call/deep/get", ask("fresh"))
		return resp.StatusCode == http.StatusOK
	})
	require.Equal(t, rev, entry.node.board.Rev().Base())
}

// Guards against a call that begins at the backend server after its deadline,
// because its node was paused while the call was queued.
func TestPausedQueue(t *testing.T) {
	f := startFleet(t, testBase, 500*time.Millisecond, "front", "middle", "deep")
	deep, entry := f.server("deep"), f.server("middle")
	var g errgroup.Group
	for i := range 8 {
		g.Go(func() error { f.post(t, entry.caller, "/call/deep/get", ask(fmt.Sprintf("r%d", i))); return nil })
	}
	await(t, "all slots are busy", func() bool { return f.runs("deep", "get") == 8 })
	g.Go(func() error { f.post(t, entry.caller, "/call/deep/get", ask("queued")); return nil })
	await(t, "a call is queued", func() bool { return deep.node.gate.View().Queued == 1 })
	deep.clock.jump(time.Minute)
	require.NoError(t, g.Wait())
	for _, e := range deep.backend.Ledger(true).Entries {
		require.NotEqual(t, "queued", e.Token)
	}
}

// Guards against an attempt or key for the process before that runs at the one
// that has replaced it on the same addresses.
func TestReplacedOnSameAddress(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	front, entry := f.server("front"), f.server("deep")
	key := f.key(t, entry, "front/book")
	old := front.node.board.Self().Incarnation()
	id := entry.node.sequencer.Next(old)
	for _, s := range f.servers[1:] {
		f.links.cut(front, s) // nobody hears that the old process leaves
	}
	front.stop()
	require.NoError(t, <-front.done)
	f.startNode(t, front)
	f.waitReady(t, front, len(f.servers))
	for _, s := range f.servers[1:] {
		f.links.heal(front, s)
	}
	c, err := frame.NewContext(frame.Fields{RootID: 1, SpanID: 2, Class: 1, TimeLeft: time.Second, Rev: entry.node.board.Rev()})
	require.NoError(t, err)
	resp, body := f.post(t, front.vm.Call, "/call/front/look", ask("old"),
		frame.HeaderContext, c.Encode(), frame.HeaderAttempt, id.String())
	require.Equal(t, "unknown incarnation", outcome(resp), body)
	resp, body = f.post(t, entry.caller, "/call/front/book", ask("old"), frame.HeaderKey, key)
	require.Equal(t, "unknown", strings.Fields(outcome(resp))[0], body)
	require.Zero(t, f.runs("front", "look")+f.runs("front", "book"))
	await(t, "the new process is used", func() bool {
		resp, _ := f.post(t, entry.caller, "/call/front/look", ask("new"))
		return resp.StatusCode == http.StatusOK
	})
}

// Guards against a leaving entry that keeps its callers' connections open until
// it closes them under a request.
func TestLeavingEntryRetiresConnections(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	entry := f.server("front")
	resp, body := f.post(t, entry.caller, "/call/deep/get", ask("before"))
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.False(t, resp.Close)
	entry.node.leave()
	resp, body = f.post(t, entry.caller, "/call/deep/get", ask("leaving"))
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.True(t, resp.Close)
}

// Guards against a stop that drops a request which was on its way to the entry
// when the stop closed its listener.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	entry := f.server("front")
	c, err := net.Dial("tcp", entry.caller)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /call/deep/get HTTP/1.1\r\nHost: entry\r\n")
	require.NoError(t, err)
	entry.stop()
	await(t, "the entry takes no connections", func() bool {
		other, err := net.Dial("tcp", entry.caller)
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	})
	body := ask("late")
	_, err = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, "answered", outcome(resp))
	require.NoError(t, <-entry.done)
}

// stopWorkers keeps the calls that wait on one dependency below its share.
const stopWorkers = 4

// stopBase earns a permit with each call, so that a call that meets the leaving
// node just before its caller hears of it can go elsewhere.
var stopBase = strings.Replace(testBase, `"body"`, `"ratio": 1, "body"`, 1)

// runs returns how many calls the backend server has begun.
func (s *testServer) runs() (n uint64) {
	for _, o := range s.backend.Ledger(false).Operations {
		n += o.Started
	}
	return n
}

// stopLoad is what callers saw while a node was stopped.
type stopLoad struct {
	answered, refused atomic.Int64
}

// send makes calls through the entries until stopped. The error is the first
// call that was cut: neither answered nor refused as not run.
func (l *stopLoad) send(worker int, entries []*testServer, ended <-chan struct{}) error {
	// Without reuse, because a caller cannot tell a connection that the entry
	// has just closed as idle from a call that was cut.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-ended:
			return nil
		default:
		}
		entry := entries[(worker+i)%len(entries)]
		resp, err := client.Post("http://"+entry.caller+"/call/front/look", "application/json",
			strings.NewReader(ask(fmt.Sprintf("w%d-%d", worker, i))))
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			l.refused.Add(1)
		case err != nil:
			return fmt.Errorf("through %s: %w", entry.vm.Name, err)
		case resp.StatusCode == http.StatusOK:
			l.answered.Add(1)
		case strings.HasPrefix(outcome(resp), "notrun"):
			l.refused.Add(1)
		default:
			return fmt.Errorf("through %s: %s: %s", entry.vm.Name, resp.Status, outcome(resp))
		}
		if resp != nil {
			_ = resp.Body.Close()
		}
	}
}

// Guards against a planned stop that cuts a call: of the entry, of a node in
// the middle and of the deepest one, with the platform up and down.
func TestStopEachUnderLoad(t *testing.T) {
	for _, c := range []struct {
		stopped string
		mode    standin.Mode
	}{
		{"entry", standin.ModeUp},
		{"middle", standin.ModeUp},
		{"deep", standin.ModeUp},
		{"front", standin.ModeRefuse},
	} {
		t.Run(c.stopped+" "+string(c.mode), func(t *testing.T) {
			f := startFleet(t, stopBase, 20*time.Millisecond, "front", "front", "middle", "middle", "deep", "deep")
			leaving := f.servers[0]
			if c.stopped != "entry" {
				leaving = f.server(c.stopped)
			}
			entries := []*testServer{f.servers[1], f.servers[3]}
			if c.stopped == "entry" {
				entries = append(entries, leaving)
			}
			f.platform.SetMode(c.mode)
			var l stopLoad
			ended := make(chan struct{})
			var g errgroup.Group
			for w := range stopWorkers {
				g.Go(func() error { return l.send(w, entries, ended) })
			}
			await(t, "calls are answered", func() bool { return l.answered.Load() > 12 })
			// The call that begins next lasts longer than the linger time, so that
			// the stop has a call to wait for.
			leaving.backend.SetFaults(standin.BackendFaults{SlowFactor: 20})
			before := leaving.runs()
			await(t, "the node has a new call", func() bool { return leaving.runs() > before })
			leaving.stop()
			require.NoError(t, <-leaving.done)
			started := leaving.backend.Ledger(false)
			more := l.answered.Load() + 12
			await(t, "calls are answered without the node", func() bool { return l.answered.Load() > more })
			close(ended)
			require.NoError(t, g.Wait())
			for name, o := range started.Operations {
				require.Equal(t, o.Started, o.Finished, "%s: %+v", name, o)
			}
			require.Equal(t, started.Operations, leaving.backend.Ledger(false).Operations)
			t.Logf("%d answered, %d refused", l.answered.Load(), l.refused.Load())
		})
	}
}

// Guards against a node that cannot start while the platform is down, although
// other nodes have the documents. Its VM is not in the list yet, so no other
// node comes to it first.
func TestStartWithPlatformDown(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	f.platform.SetMode(standin.ModeDown)
	late := newTestServer(t, "deep-late", "deep")
	f.add(late)
	f.waitReady(t, late, len(f.servers))
	resp, body := f.post(t, late.caller, "/call/front/look", ask("seeded"))
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
}

// Guards against new work at a backend server whose VM the list marks as
// leaving, and against a mark that outlives the list that made it.
func TestListMarksLeaving(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep", "deep")
	marked, entry := f.servers[3], f.server("front")
	f.publishList(t, marked)
	await(t, "the node knows that its VM leaves", marked.node.board.Listed)
	before := marked.runs()
	for i := range 20 {
		resp, body := f.post(t, entry.caller, "/call/deep/get", ask(fmt.Sprintf("away%d", i)))
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
	}
	// A sender whose list is older still calls it.
	c, err := frame.NewContext(frame.Fields{RootID: 1, SpanID: 2, Class: 1, TimeLeft: time.Second, Rev: entry.node.board.Rev()})
	require.NoError(t, err)
	id := entry.node.sequencer.Next(marked.node.board.Self().Incarnation())
	resp, body := f.post(t, marked.vm.Call, "/call/deep/get", ask("direct"),
		frame.HeaderContext, c.Encode(), frame.HeaderAttempt, id.String())
	require.Equal(t, "notrun draining", outcome(resp), body)
	require.Equal(t, before, marked.runs(), "new work after the node knew")
	f.publishList(t, nil)
	i := 0
	await(t, "the VM gets work again", func() bool {
		i++
		f.post(t, entry.caller, "/call/deep/get", ask(fmt.Sprintf("back%d", i)))
		return marked.runs() > before
	})
}
