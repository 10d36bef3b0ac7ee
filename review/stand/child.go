//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodhead/standin"
)

const (
	// bookWork is how long a booking works before it makes its call, callWork how
	// long the server of the call works.
	bookWork = 2600 * time.Millisecond
	callWork = 2 * time.Second
	bookTime = 8 * time.Second
	// bookings begin one every bookEvery, after a rush of several at once.
	bookEvery = 100 * time.Millisecond
	bookRush  = 50
	stopAfter = 5 * time.Second
	bookUntil = 10 * time.Second
	// lateCall is how long after a SIGTERM a request is sent at the earliest whose
	// cut is not excused by a server that still works in the last sixth of the grace time.
	lateCall = 3 * time.Second
	// unreadCall is how soon a call ends that no process has read.
	unreadCall = 200 * time.Millisecond
)

// childCase counts the calls that a planned stop cuts.
type childCase struct {
	lab    *lab
	booked *vm

	mu        sync.Mutex
	stoppedAt time.Time
	// reached holds the calls that reached their server.
	reached map[string]bool
	broken  int
}

func runChild(l *lab, trouble bool) (int, error) {
	k := &childCase{lab: l, reached: make(map[string]bool)}
	var err error
	if k.booked, err = l.add("bookings", "z1", 80, k.book); err != nil {
		return 0, err
	}
	if _, err := l.add("rosters", "z1", 80, k.roster); err != nil {
		return 0, err
	}
	l.store.PutConfig(1, []standin.StoreRoute{
		routeTo("book", "unsafe", "bookings", bookTime, 0), routeTo("roster", "safe", "rosters", bookTime, 1),
	})
	if err := l.waitReady(); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	for i := range bookRush {
		wg.Go(func() { k.send(fmt.Sprintf("%08x", 0xd0000000+i)) })
	}
	began := time.Now()
	for i := 0; time.Since(began) < bookUntil; i++ {
		if trouble && k.stopTime().IsZero() && time.Since(began) > stopAfter {
			k.stop()
		}
		wg.Go(func() { k.send(fmt.Sprintf("%08x", 0xc0000000+i)) })
		time.Sleep(bookEvery)
	}
	wg.Wait()
	return k.broken, nil
}

func (k *childCase) stopTime() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stoppedAt
}

// stop stops the node beside the server of the bookings as planned.
func (k *childCase) stop() {
	k.mu.Lock()
	k.stoppedAt = time.Now()
	k.mu.Unlock()
	k.lab.rec.logf("SIGTERM to the node of %s", k.booked.name)
	k.booked.signal(syscall.SIGTERM)
	go func() {
		<-k.booked.ended
		k.lab.rec.logf("the node of %s has ended %.3f s after SIGTERM", k.booked.name, time.Since(k.stopTime()).Seconds())
	}()
}

// calls keeps connections to the node open, as servers do.
var calls = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * bookRush, DisableCompression: true}}

// book runs a booking: some work, then one call that it needs.
func (k *childCase) book(b *backend, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	time.Sleep(bookWork)
	status := http.StatusInternalServerError
	if k.call(id + ".1") {
		status = http.StatusOK
	}
	b.answer(c, r, status, b.stamp(id), []byte("booking "+id))
	return true
}

// call makes a call through the node and reports whether it succeeded.
func (k *childCase) call(id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+k.booked.addr(outboundPort)+"/roster/x", strings.NewReader("roster for "+id))
	if err != nil {
		panic(err) // the URL is always valid
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint((bookTime - bookWork).Milliseconds()))
	sentAt := time.Now()
	resp, err := calls.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	took := time.Since(sentAt)
	k.mu.Lock()
	defer k.mu.Unlock()
	after := sentAt.Sub(k.stoppedAt)
	late := !k.stoppedAt.IsZero() && after > lateCall
	if err != nil {
		k.lab.rec.logf("%s: call sent %.3f s after SIGTERM ends without an answer after %.3f s, reached its server: %v", id, after.Seconds(), took.Seconds(), k.reached[id])
		if late && took > unreadCall && k.reached[id] {
			k.broken++
		}
		return false
	}
	if late {
		k.lab.rec.logf("%s: call sent %.3f s after SIGTERM gets %d, %d bytes, after %.3f s", id, after.Seconds(), resp.StatusCode, len(body), took.Seconds())
	}
	return resp.StatusCode == http.StatusOK
}

// roster runs a call. It ends its work when the connection is closed.
func (k *childCase) roster(b *backend, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	k.mu.Lock()
	k.reached[id] = true
	k.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(callWork))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	if ok := asTimeout(err, &timeout); !ok {
		k.lab.rec.logf("%s: connection closed while the server works", id)
		return false
	}
	b.answer(c, r, http.StatusOK, b.stamp(id)+"Connection: close\r\n", []byte("roster of "+id))
	return false
}

// send sends a booking on a connection of its own.
func (k *childCase) send(id string) {
	c, err := net.Dial("tcp", k.booked.addr(outboundPort))
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", host, id, bookTime.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		k.lab.rec.logf("%s: client gets no answer: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	k.lab.rec.logf("%s: client gets %d", id, resp.StatusCode)
}
