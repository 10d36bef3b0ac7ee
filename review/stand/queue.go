//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"dogwoodhead/standin"
)

const (
	// The server of the bookings runs queueSlots of them at a time, each for queueWork.
	queueSlots = 10
	queueWork  = time.Second
	// queueTime is the timeout of the route and the deadline of the clients.
	queueTime = 6 * time.Second
	// Each of the two VMs with clients sends a booking every queueEvery, together
	// somewhat more than the server can run.
	queueEvery = 130 * time.Millisecond
	queueStop  = 10 * time.Second
	queueUntil = 14 * time.Second
	// readSlack is how long after its last byte a request must not end without an
	// answer, although no server has got it.
	readSlack = 200 * time.Millisecond
)

// queueCase counts the waiting requests that a planned stop cuts.
type queueCase struct {
	lab *lab

	mu      sync.Mutex
	arrived map[string]bool
	stopped time.Time
	broken  int
	answers map[string]int
}

func runQueue(l *lab, trouble bool) (int, error) {
	k := &queueCase{lab: l, arrived: make(map[string]bool), answers: make(map[string]int)}
	none := func(b *backend, c net.Conn, r *http.Request) bool {
		b.answer(c, r, http.StatusOK, b.stamp(""), nil)
		return true
	}
	desk, err := l.add("desk", "z1", 20, none)
	if err != nil {
		return 0, err
	}
	other, err := l.add("desk", "z1", 20, none)
	if err != nil {
		return 0, err
	}
	if _, err := l.add("bookings", "z1", queueSlots, k.book); err != nil {
		return 0, err
	}
	l.store.PutConfig(1, []standin.StoreRoute{
		routeTo("book", "unsafe", "bookings", queueTime, 0), routeTo("browse", "safe", "desk", queueTime, 2),
	})
	if err := l.waitReady(); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < queueUntil; i++ {
		if trouble && k.stopped.IsZero() && time.Since(began) > queueStop {
			k.mu.Lock()
			k.stopped = time.Now()
			k.mu.Unlock()
			l.rec.logf("SIGTERM to the node of %s", desk.name)
			desk.signal(syscall.SIGTERM)
			wg.Go(func() {
				<-desk.ended
				l.rec.logf("the node of %s has ended %.3f s after SIGTERM", desk.name, time.Since(k.stopped).Seconds())
			})
		}
		wg.Go(func() { k.send(desk, fmt.Sprintf("%08x", 0xa1000000+i)) })
		wg.Go(func() { k.send(other, fmt.Sprintf("%08x", 0xa2000000+i)) })
		time.Sleep(queueEvery)
	}
	wg.Wait()
	l.rec.logf("answers of all clients: %v", k.answers)
	return k.broken, nil
}

// book runs a booking.
func (k *queueCase) book(b *backend, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	k.mu.Lock()
	k.arrived[id] = true
	k.mu.Unlock()
	time.Sleep(queueWork)
	b.answer(c, r, http.StatusOK, b.stamp(id), []byte("booked "+id))
	return true
}

// send sends a booking on a connection of its own.
func (k *queueCase) send(from *vm, id string) {
	c, err := net.Dial("tcp", from.addr(outboundPort))
	if err != nil {
		k.count("no connection")
		return
	}
	defer func() { _ = c.Close() }()
	sentAt := time.Now()
	_ = c.SetDeadline(sentAt.Add(queueTime + time.Second))
	_, _ = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", host, id, queueTime.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	took := time.Since(sentAt)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		k.count(fmt.Sprint(resp.StatusCode))
		return
	}
	k.count("none")
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lab.rec.logf("%s: sent %.3f s after SIGTERM, no answer after %.3f s (%v), reached its server: %v",
		id, sentAt.Sub(k.stopped).Seconds(), took.Seconds(), err, k.arrived[id])
	if !k.stopped.IsZero() && !k.arrived[id] && took > readSlack && took < queueTime {
		k.broken++
	}
}

func (k *queueCase) count(answer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answers[answer]++
}
