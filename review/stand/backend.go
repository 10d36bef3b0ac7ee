//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// serveFunc handles one request, whose body is unread. It writes the response and
// reports whether the connection stays open.
type serveFunc func(b *backend, c net.Conn, r *http.Request) bool

// backend is a stand-in for a backend server that controls its connections byte by byte.
type backend struct {
	vm    *vm
	id    string
	slots int
	born  int64
	ln    net.Listener
	serve serveFunc
	done  chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence int
	state    string
}

func startBackend(v *vm, id string, slots int, serve serveFunc) (*backend, error) {
	ln, err := net.Listen("tcp", v.addr(backendPort))
	if err != nil {
		return nil, err
	}
	b := &backend{
		vm: v, id: id, slots: slots, born: time.Now().UnixMilli(), ln: ln, serve: serve,
		done: make(chan struct{}), conns: make(map[net.Conn]bool), state: "ready",
	}
	b.register()
	go b.heartbeats()
	go b.accept()
	return b, nil
}

// register writes the entry of the backend server to the store.
func (b *backend) register() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	src, err := json.Marshal(map[string]any{
		"address": b.vm.addr(backendPort), "born": b.born,
		"info":   map[string]any{"service": b.vm.service, "version": "v1", "zone": b.vm.zone, "slots": b.slots},
		"status": map[string]any{"state": b.state, "sequence": b.sequence, "cold-left-ms": 0},
	})
	if err != nil {
		panic(err) // the values above always encode
	}
	b.vm.lab.store.Put("servers/"+b.id, src)
}

func (b *backend) heartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-ticker.C:
			b.register()
		}
	}
}

func (b *backend) accept() {
	for {
		c, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serveConn(c)
	}
}

func (b *backend) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
			b.answer(c, r, http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", nil)
			return
		}
		if r.URL.Path == "/health" {
			b.answer(c, r, http.StatusOK, "X-Instance-Id: "+b.id+"\r\n", nil)
			continue
		}
		if !b.serve(b, c, r) {
			return
		}
	}
}

// answer writes a whole response with a length.
func (b *backend) answer(c net.Conn, r *http.Request, status int, extra string, body []byte) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), r.Header.Get("X-Request-Id"), extra, len(body))
	_, _ = c.Write(append([]byte(head), body...))
}

// stamp is the signature header of a response.
func (b *backend) stamp(id string) string { return "X-Server-Stamp: " + b.id + "." + id + "\r\n" }

func (b *backend) stop() {
	select {
	case <-b.done:
		return
	default:
	}
	close(b.done)
	_ = b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}
