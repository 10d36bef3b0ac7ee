package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

// uploadBytes is the size of a large upload of the users' platform.
const uploadBytes = 360_000

func postUpload(v *testVM, id string) callerResponse {
	return v.send(callerRequest{method: http.MethodPost, path: "/art/x", id: id, body: strings.Repeat("u", uploadBytes)})
}

// Guards against a large upload failing because one backend server refused it
// while another has free slots, and against uploads that run twice.
func TestUploadRefused(t *testing.T) {
	f := newFleet(t)
	var shed atomic.Bool
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "art", Slots: 10, Fault: func(string) standin.AppFault {
		if shed.Load() {
			return standin.AppShed
		}
		return ""
	}})
	two := f.add(standin.AppOptions{ID: "i-2", Service: "art", Slots: 10})
	f.applyConfig(1, routeTo("art", "/art/", "upload"))
	for i := range 100 {
		require.Equal(t, http.StatusOK, shop.send(callerRequest{method: http.MethodPost, path: "/art/x", id: fmt.Sprint("warm", i)}).status)
	}
	shed.Store(true)
	for i := range 10 {
		id := fmt.Sprint("upload", i)
		require.Equal(t, http.StatusOK, postUpload(shop, id).status, "a permit is free and another server has free slots")
		require.Equal(t, 1, one.app.Runs(id)+two.app.Runs(id), id)
		_, _, body := two.app.LastRequest(id)
		require.Len(t, body, uploadBytes)
	}
}

// Guards against an upload whose server breaks off being sent again or reported
// as not run.
func TestUploadCut(t *testing.T) {
	f := newFleet(t)
	cut := func(string) standin.AppFault { return standin.AppCut }
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	one := f.add(standin.AppOptions{ID: "i-1", Service: "art", Slots: 10, Fault: cut})
	two := f.add(standin.AppOptions{ID: "i-2", Service: "art", Slots: 10, Fault: cut})
	f.applyConfig(1, routeTo("art", "/art/", "upload"))
	for i := range 10 {
		id := fmt.Sprint("upload", i)
		require.Equal(t, http.StatusBadGateway, postUpload(shop, id).status)
		require.Equal(t, 1, one.app.Runs(id)+two.app.Runs(id), id)
	}
}

// Guards against a caller that uploads slowly occupying a slot of the backend
// server, and against a planned stop cutting an upload whose body is half read.
func TestUploadSlowSender(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	art := f.add(standin.AppOptions{ID: "i-art", Service: "art", Slots: 1})
	f.applyConfig(1, routeTo("art", "/art/", "upload"))
	c := shop.connect(t)
	half := strings.Repeat("u", uploadBytes/2)
	c.send("POST /art/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 20000\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(half)) + half)
	for i := range 5 {
		require.Equal(t, http.StatusOK, postUpload(shop, fmt.Sprint("quick", i)).status, "the slot is free")
	}
	require.Zero(t, art.app.Runs("slow"))
	shop.stop()
	require.Eventually(t, func() bool { return !shop.ready() }, waitLimit, time.Millisecond)
	c.send(half)
	require.Equal(t, http.StatusOK, c.readStatus())
	require.Equal(t, 1, art.app.Runs("slow"))
	require.NoError(t, <-shop.done)
}

// numberedBytes returns n bytes in which any gap shows.
func numberedBytes(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.String()[:n]
}

// Guards against a response that is held until the caller sends more of its body, and
// against a body with a gap, if a server responds before it has read the whole body:
// net/http discarded what it found unread when the response was written.
func TestUploadEarlyResponse(t *testing.T) {
	for name, length := range map[string]int{"buffered": 0, "streamed": 2 * maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
			art := f.add(standin.AppOptions{ID: "i-art", Service: "art", Slots: 1, EarlyLength: length, Fault: func(id string) standin.AppFault {
				if id == "early" {
					return standin.AppEarly
				}
				return ""
			}})
			f.applyConfig(1, routeTo("art", "/art/", "upload"))
			c := shop.connect(t)
			sent := numberedBytes(10 * standin.AppEarlyBytes)
			const first = 2 * standin.AppEarlyBytes
			c.send("POST /art/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: early\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n")
			c.send(fmt.Sprintf("%x\r\n%s\r\n", first, sent[:first]))
			resp, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, standin.AppEarlyBody("i-art", "early", length), string(got))
			c.send(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(sent)-first, sent[first:]))
			uploaded := func() bool {
				_, _, received := art.app.LastRequest("early")
				return received != ""
			}
			require.Eventually(t, uploaded, waitLimit, time.Millisecond)
			_, _, received := art.app.LastRequest("early")
			require.True(t, received == sent, "the server got another body")
			c.send("GET /art/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: next\r\n\r\n")
			require.Equal(t, http.StatusOK, c.readStatus(), "the connection is in step")
		})
	}
}

// Guards against a part of a response being passed on as a complete one, if the server
// responds to a long upload without a length and resets the connection meanwhile.
func TestUploadResetEarly(t *testing.T) {
	f := newFleet(t)
	reset := func(string) standin.AppFault { return standin.AppResetEarly }
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, Fault: reset})
	art := f.add(standin.AppOptions{ID: "i-art", Service: "art", Slots: 10, Fault: reset})
	f.applyConfig(1, routeTo("art", "/art/", "upload"), routeTo("shop", "/shop/", "upload"))
	for _, target := range []struct {
		path string
		app  *standin.App
	}{{"/art/", art.app}, {"/shop/", shop.app}} {
		for i := range 100 {
			id := fmt.Sprint(target.path, i)
			r := shop.send(callerRequest{method: http.MethodPost, path: target.path, id: id, body: strings.Repeat("u", maxUpload)})
			require.False(t, r.err == nil && r.status == http.StatusOK, "%s got %q as a complete response", id, r.body)
			require.LessOrEqual(t, target.app.Runs(id), 1, id)
		}
	}
}

// Guards against a complete response without a length being refused, if the server
// responds to a long upload before it has read it and reads on.
func TestUploadCloseEarly(t *testing.T) {
	f := newFleet(t)
	closeEarly := func(string) standin.AppFault { return standin.AppCloseEarly }
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10, Fault: closeEarly})
	f.add(standin.AppOptions{ID: "i-art", Service: "art", Slots: 10, Fault: closeEarly})
	f.applyConfig(1, routeTo("art", "/art/", "upload"), routeTo("shop", "/shop/", "upload"))
	for path, app := range map[string]string{"/art/": "i-art", "/shop/": "i-shop"} {
		for i := range 20 {
			id := fmt.Sprint(path, i)
			r := shop.send(callerRequest{method: http.MethodPost, path: path, id: id, body: strings.Repeat("u", maxUpload)})
			require.NoError(t, r.err, id)
			require.Equal(t, http.StatusOK, r.status, id)
			require.Equal(t, standin.AppBody(app, id), r.body)
		}
	}
}

// maxUpload is the largest body that the configuration of a fleet allows, in bytes.
const maxUpload = 1 << 20

// Guards against the response to a request that was given up being held until its
// caller, whose upload stalls, sends more.
func TestUploadStalled(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	f.add(standin.AppOptions{ID: "i-art", Service: "art", Slots: 1})
	route := routeTo("art", "/art/", "upload")
	route.Timeout = 500 * time.Millisecond
	f.applyConfig(1, route)
	c := shop.connect(t)
	c.send("POST /art/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: stalled\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n")
	c.send(fmt.Sprintf("%x\r\n%s\r\n", 2*maxBufferedBody, numberedBytes(2*maxBufferedBody)))
	require.Equal(t, http.StatusGatewayTimeout, c.readStatus())
	c.requireClosed()
}

// Guards against a planned stop that hangs, or leaves a request without a response,
// because its caller's upload stalls.
func TestUploadStalledStop(t *testing.T) {
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	art := f.add(standin.AppOptions{ID: "i-art", Service: "art", Slots: 1})
	f.applyConfig(1, routeTo("art", "/art/", "upload"))
	c := shop.connect(t)
	c.send("POST /art/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: stalled\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n")
	c.send(fmt.Sprintf("%x\r\n%s\r\n", 2*maxBufferedBody, numberedBytes(2*maxBufferedBody)))
	require.Eventually(t, func() bool { return len(art.app.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	shop.node.grace.Store(int64(2 * time.Second))
	shop.stop()
	require.Equal(t, http.StatusBadGateway, c.readStatus(), "the outcome is unknown")
	c.requireClosed()
	require.NoError(t, <-shop.done)
}
