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

// waitFor waits for a condition. The limit only fails a test that would hang.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 20*time.Second, 2*time.Millisecond, what)
}

// Guards against a booking running twice, or being wrongly reported as not run.
// The ingress node loses its connection to the key's owner before or during the
// call, and the caller retries through another ingress node.
func TestPartitionIngressOwner(t *testing.T) {
	f := startFleet(t, testBase, 200*time.Millisecond, "front", "middle", "deep")
	owner, otherIngress, ingress := f.server("front"), f.server("middle"), f.server("deep")
	key := f.requestKey(t, ingress, "front/book")
	f.links.cut(ingress, owner)
	resp, body := f.post(t, ingress.callerAddr, "/call/front/book", requestBody("before"), frame.HeaderKey, key)
	require.True(t, strings.HasPrefix(outcome(resp), "notrun"), body)
	resp, firstBody := f.post(t, otherIngress.callerAddr, "/call/front/book", requestBody("before"), frame.HeaderKey, key)
	require.Equal(t, http.StatusOK, resp.StatusCode, firstBody)
	f.links.heal(ingress, owner)
	waitFor(t, "ingress node reaches the owner again", func() bool {
		resp, body = f.post(t, ingress.callerAddr, "/call/front/book", requestBody("before"), frame.HeaderKey, key)
		return resp.StatusCode == http.StatusOK
	})
	require.Equal(t, firstBody, body)
	require.Equal(t, 1, f.runs("front", "book"))

	key = f.requestKey(t, ingress, "front/book")
	var g errgroup.Group
	g.Go(func() error {
		resp, body := f.post(t, ingress.callerAddr, "/call/front/book", requestBody("during"), frame.HeaderKey, key)
		if got := outcome(resp); strings.HasPrefix(got, "notrun") {
			return fmt.Errorf("%s: %s", got, body)
		}
		return nil
	})
	waitFor(t, "the call runs", func() bool { return f.runs("front", "book") == 2 })
	f.links.cut(ingress, owner)
	resp, body = f.post(t, otherIngress.callerAddr, "/call/front/book", requestBody("during"), frame.HeaderKey, key)
	require.False(t, strings.HasPrefix(outcome(resp), "notrun"), body)
	require.NoError(t, g.Wait())
	require.Equal(t, 2, f.runs("front", "book"))
}

// Guards against an ingress node that was paused accepting a call with its old
// configuration before its first tick.
func TestPausedIngress(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	ingress := f.server("deep")
	f.platform.SetMode(standin.ModeRefuse)
	for _, s := range f.servers[:2] {
		f.links.cut(ingress, s)
	}
	ingress.clock.jump(10 * time.Second)
	resp, body := f.post(t, ingress.callerAddr, "/call/deep/get", requestBody("late"))
	require.Equal(t, "notrun stale", outcome(resp), body)
	require.Zero(t, f.runs("deep", "get"))

	for _, s := range f.servers[:2] {
		f.links.heal(ingress, s)
	}
	rev := f.platform.Publish("base", 0, []byte(strings.Replace(testBase, "65536", "60000", 1)))
	f.platform.SetMode(standin.ModeUp)
	ingress.clock.jump(10 * time.Second)
	waitFor(t, "the ingress node accepts calls again", func() bool {
		resp, _ := f.post(t, ingress.callerAddr, "/call/deep/get", requestBody("fresh"))
		return resp.StatusCode == http.StatusOK
	})
	require.Equal(t, rev, ingress.node.board.Rev().Base())
}

// Guards against a call starting at the backend server after its deadline,
// because its node was paused while the call was queued.
func TestPausedQueue(t *testing.T) {
	f := startFleet(t, testBase, 500*time.Millisecond, "front", "middle", "deep")
	deep, ingress := f.server("deep"), f.server("middle")
	var g errgroup.Group
	for i := range 8 {
		g.Go(func() error {
			f.post(t, ingress.callerAddr, "/call/deep/get", requestBody(fmt.Sprintf("r%d", i)))
			return nil
		})
	}
	waitFor(t, "all slots are busy", func() bool { return f.runs("deep", "get") == 8 })
	g.Go(func() error { f.post(t, ingress.callerAddr, "/call/deep/get", requestBody("queued")); return nil })
	waitFor(t, "a call is queued", func() bool { return deep.node.gate.View().Queued == 1 })
	deep.clock.jump(time.Minute)
	require.NoError(t, g.Wait())
	for _, e := range deep.backend.Ledger(true).Entries {
		require.NotEqual(t, "queued", e.Token)
	}
}

// Guards against an attempt or key meant for an old process being accepted by its
// replacement on the same addresses.
func TestReplacedOnSameAddress(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	front, ingress := f.server("front"), f.server("deep")
	key := f.requestKey(t, ingress, "front/book")
	oldIncarnation := front.node.board.Self().Incarnation()
	attemptID := ingress.node.sequencer.Next(oldIncarnation)
	for _, s := range f.servers[1:] {
		f.links.cut(front, s) // blocks the old process's leave notices
	}
	front.stop()
	require.NoError(t, <-front.done)
	f.startNode(t, front)
	f.waitReady(t, front, len(f.servers))
	for _, s := range f.servers[1:] {
		f.links.heal(front, s)
	}
	c, err := frame.NewContext(frame.Fields{RootID: 1, SpanID: 2, Class: 1, TimeLeft: time.Second, Rev: ingress.node.board.Rev()})
	require.NoError(t, err)
	resp, body := f.post(t, front.vm.CallAddr, "/call/front/look", requestBody("old"),
		frame.HeaderContext, c.Encode(), frame.HeaderAttempt, attemptID.String())
	require.Equal(t, "unknown incarnation", outcome(resp), body)
	resp, body = f.post(t, ingress.callerAddr, "/call/front/book", requestBody("old"), frame.HeaderKey, key)
	require.Equal(t, "unknown", strings.Fields(outcome(resp))[0], body)
	require.Zero(t, f.runs("front", "look")+f.runs("front", "book"))
	waitFor(t, "the new process is used", func() bool {
		resp, _ := f.post(t, ingress.callerAddr, "/call/front/look", requestBody("new"))
		return resp.StatusCode == http.StatusOK
	})
}

// Guards against a leaving ingress node keeping its callers' connections open and
// closing them during a later request.
func TestLeavingIngressClosesConnections(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	ingress := f.server("front")
	resp, body := f.post(t, ingress.callerAddr, "/call/deep/get", requestBody("before"))
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.False(t, resp.Close)
	ingress.node.startLeaving()
	resp, body = f.post(t, ingress.callerAddr, "/call/deep/get", requestBody("leaving"))
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.True(t, resp.Close)
}

// Guards against a stop dropping a request that the ingress node is still reading
// when the stop closes its listener.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	ingress := f.server("front")
	c, err := net.Dial("tcp", ingress.callerAddr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /call/deep/get HTTP/1.1\r\nHost: entry\r\n")
	require.NoError(t, err)
	ingress.stop()
	waitFor(t, "the ingress node accepts no connections", func() bool {
		other, err := net.Dial("tcp", ingress.callerAddr)
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	})
	body := requestBody("late")
	_, err = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, "answered", outcome(resp))
	require.NoError(t, <-ingress.done)
}

// loadWorkers keeps the calls that wait on one dependency below its share.
const loadWorkers = 4

// permitPerCallBase earns a retry permit per call, so that a call which reaches
// the leaving node just before its sender is notified can use another node.
var permitPerCallBase = strings.Replace(testBase, `"body"`, `"ratio": 1, "body"`, 1)

// totalRuns returns how many calls the backend server has started.
func (s *testServer) totalRuns() (n uint64) {
	for _, o := range s.backend.Ledger(false).Operations {
		n += o.Started
	}
	return n
}

// loadCounts counts the results that callers got while a node was stopped.
type loadCounts struct {
	answered, refused atomic.Int64
}

// sendCalls makes calls through the ingress nodes until stop is closed. The error
// is the first interrupted call: neither answered nor refused as not run.
func (c *loadCounts) sendCalls(worker int, ingresses []*testServer, stop <-chan struct{}) error {
	// Connections are not reused, because a caller cannot distinguish an idle
	// connection just closed by the ingress node from an interrupted call.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		ingress := ingresses[(worker+i)%len(ingresses)]
		resp, err := client.Post("http://"+ingress.callerAddr+"/call/front/look", "application/json",
			strings.NewReader(requestBody(fmt.Sprintf("w%d-%d", worker, i))))
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			c.refused.Add(1)
		case err != nil:
			return fmt.Errorf("through %s: %w", ingress.vm.Name, err)
		case resp.StatusCode == http.StatusOK:
			c.answered.Add(1)
		case strings.HasPrefix(outcome(resp), "notrun"):
			c.refused.Add(1)
		default:
			return fmt.Errorf("through %s: %s: %s", ingress.vm.Name, resp.Status, outcome(resp))
		}
		if resp != nil {
			_ = resp.Body.Close()
		}
	}
}

// Guards against a planned stop of the ingress node, of a node in the middle or of
// the deepest one interrupting a call, with the platform up and down.
func TestStopEachUnderLoad(t *testing.T) {
	for _, c := range []struct {
		stopped string
		mode    standin.Mode
	}{
		{"ingress", standin.ModeUp},
		{"middle", standin.ModeUp},
		{"deep", standin.ModeUp},
		{"front", standin.ModeRefuse},
	} {
		t.Run(c.stopped+" "+string(c.mode), func(t *testing.T) {
			f := startFleet(t, permitPerCallBase, 20*time.Millisecond, "front", "front", "middle", "middle", "deep", "deep")
			leaving := f.servers[0]
			if c.stopped != "ingress" {
				leaving = f.server(c.stopped)
			}
			ingresses := []*testServer{f.servers[1], f.servers[3]}
			if c.stopped == "ingress" {
				ingresses = append(ingresses, leaving)
			}
			f.platform.SetMode(c.mode)
			var counts loadCounts
			stop := make(chan struct{})
			var g errgroup.Group
			for w := range loadWorkers {
				g.Go(func() error { return counts.sendCalls(w, ingresses, stop) })
			}
			waitFor(t, "calls are answered", func() bool { return counts.answered.Load() > 12 })
			// The next call takes longer than the drain delay, so that the stop has a
			// call to wait for.
			leaving.backend.SetFaults(standin.BackendFaults{SlowFactor: 20})
			runsBefore := leaving.totalRuns()
			waitFor(t, "the node has a new call", func() bool { return leaving.totalRuns() > runsBefore })
			leaving.stop()
			require.NoError(t, <-leaving.done)
			ledger := leaving.backend.Ledger(false)
			wantAnswered := counts.answered.Load() + 12
			waitFor(t, "calls are answered without the node", func() bool { return counts.answered.Load() > wantAnswered })
			close(stop)
			require.NoError(t, g.Wait())
			for name, o := range ledger.Operations {
				require.Equal(t, o.Started, o.Finished, "%s: %+v", name, o)
			}
			require.Equal(t, ledger.Operations, leaving.backend.Ledger(false).Operations)
			t.Logf("%d answered, %d refused", counts.answered.Load(), counts.refused.Load())
		})
	}
}

// Guards against a node failing to start while the platform is down, although
// other nodes have the documents. Its VM is not in the list yet, so no other
// node contacts it first.
func TestStartWithPlatformDown(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep")
	f.platform.SetMode(standin.ModeDown)
	added := newTestServer(t, "deep-late", "deep")
	f.addServer(added)
	f.waitReady(t, added, len(f.servers))
	resp, body := f.post(t, added.callerAddr, "/call/front/look", requestBody("seeded"))
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
}

// Guards against new work at a backend server whose VM is marked as leaving in
// the list, and against the mark remaining after a newer list removes it.
func TestListMarksLeaving(t *testing.T) {
	f := startFleet(t, testBase, time.Millisecond, "front", "middle", "deep", "deep")
	marked, ingress := f.servers[3], f.server("front")
	f.publishList(t, marked)
	waitFor(t, "the node sees that its VM is marked as leaving", marked.node.board.ListedLeaving)
	runsBefore := marked.totalRuns()
	for i := range 20 {
		resp, body := f.post(t, ingress.callerAddr, "/call/deep/get", requestBody(fmt.Sprintf("away%d", i)))
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
	}
	// A sender with an older list still calls it.
	c, err := frame.NewContext(frame.Fields{RootID: 1, SpanID: 2, Class: 1, TimeLeft: time.Second, Rev: ingress.node.board.Rev()})
	require.NoError(t, err)
	attemptID := ingress.node.sequencer.Next(marked.node.board.Self().Incarnation())
	resp, body := f.post(t, marked.vm.CallAddr, "/call/deep/get", requestBody("direct"),
		frame.HeaderContext, c.Encode(), frame.HeaderAttempt, attemptID.String())
	require.Equal(t, "notrun draining", outcome(resp), body)
	require.Equal(t, runsBefore, marked.totalRuns(), "new work after the node saw the mark")
	f.publishList(t, nil)
	i := 0
	waitFor(t, "the VM gets work again", func() bool {
		i++
		f.post(t, ingress.callerAddr, "/call/deep/get", requestBody(fmt.Sprintf("back%d", i)))
		return marked.totalRuns() > runsBefore
	})
}
