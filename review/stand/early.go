//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodhead/standin"
)

const (
	earlyUploads   = 12
	earlyPiece     = 16 << 10
	earlyPieces    = 40
	earlyReadFirst = 128 << 10
	earlyAnswer    = 200 << 10
)

// upload is the body of one request: pieces that all differ.
func upload(id string) []byte {
	var b bytes.Buffer
	for i := range earlyPieces {
		line := fmt.Sprintf("%s piece %04d ", id, i)
		b.Write(bytes.Repeat([]byte(line), earlyPiece/len(line)+1)[:earlyPiece])
	}
	return b.Bytes()
}

func runEarly(l *lab, trouble bool) (int, error) {
	var mu sync.Mutex
	got := map[string][]byte{}
	ended := map[string]string{}
	serve := func(b *backend, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		body := &bytes.Buffer{}
		answer := bytes.Repeat([]byte("answer to "+id+"\n"), earlyAnswer/(len(id)+11))
		if trouble {
			_, _ = io.CopyN(body, r.Body, earlyReadFirst)
			l.rec.logf("%s: server answers early, after %d bytes of the body", id, body.Len())
			b.answer(c, r, http.StatusOK, b.stamp(id), answer)
		}
		_, err := io.Copy(body, r.Body)
		end := "ended as a whole body"
		if err != nil {
			end = "broke off: " + err.Error()
		}
		if !trouble {
			b.answer(c, r, http.StatusOK, b.stamp(id), answer)
		}
		mu.Lock()
		got[id], ended[id] = body.Bytes(), end
		mu.Unlock()
		return err == nil
	}
	caller, err := l.add("desk", "z1", 20, func(b *backend, c net.Conn, r *http.Request) bool {
		b.answer(c, r, http.StatusOK, b.stamp(""), nil)
		return true
	})
	if err != nil {
		return 0, err
	}
	if _, err := l.add("archive", "z1", 20, serve); err != nil {
		return 0, err
	}
	l.store.PutConfig(1, []standin.StoreRoute{routeTo("archive", "unsafe", "archive", 20*time.Second, 0)})
	if err := l.waitReady(); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	for i := range earlyUploads {
		id := fmt.Sprintf("%08x", 0xa0000000+i)
		wg.Go(func() { sendUpload(l, caller, id) })
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for i := range earlyUploads {
		id := fmt.Sprintf("%08x", 0xa0000000+i)
		sent, b := upload(id), got[id]
		switch {
		case bytes.Equal(sent, b):
			l.rec.logf("%s: server got the whole body, %x", id, sha256.Sum256(b))
		case bytes.HasPrefix(sent, b):
			l.rec.logf("%s: server got the first %d of %d bytes, then the body %s", id, len(b), len(sent), ended[id])
		default:
			at := 0
			for at < len(b) && b[at] == sent[at] {
				at++
			}
			l.rec.logf("%s: server got %d of %d bytes, other ones from byte %d on, and the body %s", id, len(b), len(sent), at, ended[id])
			broken++
		}
	}
	return broken, nil
}

// sendUpload sends a body in chunks, a piece every 20 ms, and reads the answer.
func sendUpload(l *lab, from *vm, id string) {
	c, err := net.Dial("tcp", from.addr(outboundPort))
	if err != nil {
		l.rec.logf("%s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
		if err != nil {
			l.rec.logf("%s: client gets no answer: %v", id, err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		l.rec.logf("%s: client gets %d, %d bytes, %v", id, resp.StatusCode, len(body), err)
	}()
	_, _ = fmt.Fprintf(c, "POST /archive/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n", host, id)
	body := upload(id)
	sent := 0
	for sent < len(body) {
		piece := body[sent:min(sent+earlyPiece, len(body))]
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			l.rec.logf("%s: client can't send more after %d bytes: %v", id, sent, err)
			break
		}
		sent += len(piece)
		time.Sleep(20 * time.Millisecond)
	}
	if sent == len(body) {
		_, _ = io.WriteString(c, "0\r\n\r\n")
		l.rec.logf("%s: client has sent all %d bytes", id, sent)
	}
	<-answered
}
