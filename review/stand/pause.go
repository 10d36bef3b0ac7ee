//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodhead/standin"
)

const (
	pauseUploads = 12
	pausePiece   = 100 << 10
	// pauseTimeout is the timeout of the route, pauseDeadline how long the client waits.
	pauseTimeout  = time.Second
	pauseDeadline = 6 * time.Second
	// answerSlack is how much later than the timeout of its route a request must have
	// its answer, a quarter of the late ones excepted.
	answerSlack = 500 * time.Millisecond
	// minLate is how many late requests break the rule.
	minLate = 8
)

func runPause(l *lab, trouble bool) (int, error) {
	archive := func(b *backend, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			l.rec.logf("%s: server got %d bytes, then the body broke off: %v", id, n, err)
			return false
		}
		l.rec.logf("%s: server got the whole body, %d bytes", id, n)
		b.answer(c, r, http.StatusOK, b.stamp(id), []byte("kept "+id))
		return true
	}
	caller, err := l.add("desk", "z1", 20, archive)
	if err != nil {
		return 0, err
	}
	if _, err := l.add("archive", "z1", 20, archive); err != nil {
		return 0, err
	}
	l.store.PutConfig(1, []standin.StoreRoute{routeTo("archive", "unsafe", "archive", pauseTimeout, 0)})
	if err := l.waitReady(); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	long, late := 0, 0
	for i := range pauseUploads {
		wg.Go(func() {
			took := pausedUpload(l, caller, fmt.Sprintf("%08x", 0xb0000000+i), trouble)
			mu.Lock()
			defer mu.Unlock()
			if took > pauseTimeout {
				long++
			}
			if took > pauseTimeout+answerSlack {
				late++
			}
		})
	}
	wg.Wait()
	l.rec.logf("%d requests lasted longer than the timeout of their route, %d of them have no answer %s after it", long, late, answerSlack)
	if late < minLate || 4*late <= long {
		return 0, nil
	}
	return late, nil
}

// pausedUpload sends half of an upload, pauses if pause is set, and sends the rest once
// it has an answer. It returns how long the client waited for its answer, at most until
// its deadline.
func pausedUpload(l *lab, from *vm, id string, pause bool) time.Duration {
	c, err := net.Dial("tcp", from.addr(outboundPort))
	if err != nil {
		l.rec.logf("%s: %v", id, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	_ = c.SetDeadline(began.Add(pauseDeadline))
	piece := bytes.Repeat([]byte("u"), pausePiece)
	_, _ = fmt.Fprintf(c, "POST /archive/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", host, id, pauseDeadline.Milliseconds())
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
	if !pause {
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(piece), piece)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	took := time.Since(began)
	var timeout net.Error
	switch {
	case asTimeout(err, &timeout):
		l.rec.logf("%s: client gives up without an answer after %.3f s", id, took.Seconds())
	case err != nil:
		l.rec.logf("%s: connection ends after %.3f s: %v", id, took.Seconds(), err)
	default:
		l.rec.logf("%s: client gets %d after %.3f s", id, resp.StatusCode, took.Seconds())
	}
	return took
}
