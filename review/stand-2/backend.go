//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in for a backend server. It can end and start again under its
// id and its address.
type backend struct {
	lab  *lab
	node *node
	id   string
	work time.Duration

	server   *http.Server
	born     time.Time
	sequence int

	mu sync.Mutex
	// leaving is set once the server has reported that it drains.
	leaving bool
	// arrivals are the requests that reached the server as their target instance.
	arrivals []arrival
}

// arrival is one request that reached a backend server.
type arrival struct {
	id string
	at time.Time
}

// start listens. born is the start that the server states.
func (b *backend) start(born time.Time) error {
	ln, err := net.Listen("tcp", b.node.addr(appPort))
	if err != nil {
		return err
	}
	b.born, b.sequence = born, 0
	b.server = &http.Server{Handler: b}
	go func(s *http.Server) { _ = s.Serve(ln) }(b.server)
	b.lab.record.printf("backend %s starts, born %d", b.id, born.UnixMilli())
	return nil
}

// end closes the listener and all connections.
func (b *backend) end() {
	b.lab.record.printf("backend %s ends", b.id)
	_ = b.server.Close()
}

// report writes the server's entry and returns when the store has accepted it.
func (b *backend) report(state string) time.Time {
	b.sequence++
	b.mu.Lock()
	b.leaving = state == "draining"
	b.mu.Unlock()
	b.lab.entry(b.id, b.node.service, b.node.zone, b.node.addr(appPort), state, b.born, b.sequence, 20)
	return time.Now()
}

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", b.id)
	if r.Header.Get("X-Target-Instance") != b.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{id, time.Now()})
	if b.leaving {
		h.Set("Server-Leaving", "1")
	}
	b.mu.Unlock()
	b.lab.record.printf("backend %s runs %s", b.id, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		b.lab.record.printf("backend %s: connection of %s closed", b.id, id)
		return
	}
	h.Set("X-Server-Stamp", "stamp-"+b.id+"-"+id)
	_, _ = io.WriteString(w, "booked "+id)
}

// after returns the requests that reached the server after a time.
func (b *backend) after(at time.Time) []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []arrival
	for _, a := range b.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}

// load sends bookings of one byte from a node, one every pause, until ctx is done,
// and returns what the clients got.
func (l *lab) load(ctx context.Context, n *node, name string, pause time.Duration) []answer {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var out []answer
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			a := l.send(client, n, fmt.Sprintf("%s-%d", name, i), 1)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	wg.Wait()
	return out
}
