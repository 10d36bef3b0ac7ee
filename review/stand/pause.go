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

func runPause(l *lab, trouble bool) (int, error) {
	echo := func(b *backend, c net.Conn, r *http.Request) bool {
		n, err := io.Copy(io.Discard, r.Body)
		l.rec.logf("%s: server got %d bytes, %v", r.Header.Get("X-Request-Id"), n, err)
		if err != nil {
			return false
		}
		b.answer(c, r, http.StatusOK, b.stamp("x"), []byte("ok"))
		return true
	}
	caller, err := l.add("desk", "z1", 20, echo)
	if err != nil {
		return 0, err
	}
	if _, err := l.add("archive", "z1", 20, echo); err != nil {
		return 0, err
	}
	l.store.PutConfig(1, []standin.StoreRoute{routeTo("archive", "unsafe", "archive", time.Second, 0)})
	if err := l.waitReady(); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	late := 0
	var mu sync.Mutex
	for i := range 10 {
		id := fmt.Sprintf("%08x", 0xb0000000+i)
		wg.Go(func() {
			c, err := net.Dial("tcp", caller.addr(outboundPort))
			if err != nil {
				return
			}
			defer c.Close()
			start := time.Now()
			done := make(chan struct{})
			go func() {
				defer close(done)
				resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
				took := time.Since(start)
				if err != nil {
					l.rec.logf("%s: no answer: %v after %s", id, err, took)
				} else {
					l.rec.logf("%s: %d after %s", id, resp.StatusCode, took)
				}
				if took > 1500*time.Millisecond {
					mu.Lock()
					late++
					mu.Unlock()
				}
			}()
			_, _ = fmt.Fprintf(c, "POST /archive/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", host, id)
			piece := bytes.Repeat([]byte("u"), 100<<10)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			if trouble {
				select {
				case <-done:
				case <-time.After(8 * time.Second):
				}
			}
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(piece), piece)
			<-done
		})
	}
	wg.Wait()
	return late, nil
}
