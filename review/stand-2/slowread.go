//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bookings is how many bookings are in progress when the node is stopped.
	bookings = 5
	// bookingBytes is the length of the body of a booking.
	bookingBytes = 300 << 10
	// firstBytes is what the backend server reads of a body before it works.
	firstBytes = 64 << 10
	// bookingWork is how long the backend server works on a booking.
	bookingWork = 2800 * time.Millisecond
	// bookingDeadline is how long the clients wait, and the timeout of the route.
	bookingDeadline = 6 * time.Second
	// stopDelay is the time from the bookings to the SIGTERM.
	stopDelay = 300 * time.Millisecond
)

// slowRead stops the node of some clients while the backend server works on their
// bookings. With trouble the backend server reads slowly: it reads the first part of
// a body, works, and reads the rest. Without, it reads the body and then works.
// Rule LOST: after a SIGTERM, the node must not break off a request at which its
// backend server is at work and give an answer of its own in its place.
func slowRead(l *lab, trouble bool) (bool, error) {
	front, err := l.addNode("lanefinder", "zone-a")
	if err != nil {
		return false, err
	}
	back, err := l.addNode("bookings", "zone-b")
	if err != nil {
		return false, err
	}
	b := &slowReader{record: l.record, slow: trouble}
	stopBackend, err := back.serveBackend(b)
	if err != nil {
		return false, err
	}
	defer stopBackend()
	now := time.Now()
	l.entry("i-front", "lanefinder", "zone-a", front.addr(appPort), "ready", now, 1, 20)
	l.entry("i-back", "bookings", "zone-b", back.addr(appPort), "ready", now, 1, 20)
	l.putConfig(1, 64<<20, []route{{prefix: "/book/", kind: "unsafe", service: "bookings", timeout: bookingDeadline, maxAttempts: 2}})
	if err := l.startAll(); err != nil {
		return false, err
	}
	var stoppedAt time.Time
	results := make([]answer, bookings)
	var wg sync.WaitGroup
	for i := range bookings {
		wg.Go(func() { results[i] = l.book(front, fmt.Sprintf("booking-%d", i)) })
	}
	time.Sleep(stopDelay)
	stoppedAt = time.Now()
	front.signal(syscall.SIGTERM)
	l.record.printf("SIGTERM to node %s", front.name)
	wg.Wait()
	l.record.printf("node %s ended within the grace time: %t", front.name, front.wait(l.grace-time.Since(stoppedAt)))
	held := true
	for _, a := range results {
		lastSixth := stoppedAt.Add(l.grace * 5 / 6)
		switch {
		case a.err == nil && a.status == http.StatusOK && a.stamp != "":
		case a.stamp != "":
			l.record.printf("%s: answer of the backend server, %d", a.id, a.status)
		case !a.at.Before(lastSixth), a.at.Sub(a.sent) >= bookingDeadline, !b.started(a.id), a.sent.After(stoppedAt):
			l.record.printf("%s: excused", a.id)
		default:
			held = false
			l.record.printf("%s: broken off %.1f s after the SIGTERM with an answer of the node (%d, %v), while the backend server was at work",
				a.id, a.at.Sub(stoppedAt).Seconds(), a.status, a.err)
		}
	}
	return held, nil
}

// answer is what a client got.
type answer struct {
	id       string
	sent, at time.Time
	status   int
	stamp    string
	err      error
}

// book sends a short booking and then, on the same connection, a long one.
func (l *lab) book(n *node, id string) answer {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	l.send(client, n, id+"-short", 1)
	return l.send(client, n, id, bookingBytes)
}

func (l *lab) send(client *http.Client, n *node, id string, length int) answer {
	a := answer{id: id, sent: time.Now()}
	l.record.printf("client sends %s, %d bytes", id, length)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.addr(outboundPort)+"/book/lane", strings.NewReader(strings.Repeat("x", length)))
	if err != nil {
		return answer{id: id, err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(bookingDeadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	a.err = err
	if err == nil {
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
		_, a.err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.at = time.Now()
	l.record.printf("client got for %s: status %d, stamp %q, error %v", id, a.status, a.stamp, a.err)
	return a
}

// slowReader is a backend server that takes its time with long bodies.
type slowReader struct {
	record *record
	slow   bool
	runs   sync.Map
}

func (s *slowReader) started(id string) bool {
	_, ok := s.runs.Load(id)
	return ok
}

func (s *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "i-back" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.runs.Store(id, true)
	s.record.printf("backend runs %s, X-Deadline-Ms %s", id, r.Header.Get("X-Deadline-Ms"))
	if r.ContentLength > 1 {
		if s.slow {
			_, _ = io.CopyN(io.Discard, r.Body, firstBytes)
			time.Sleep(bookingWork)
		}
		n, err := io.Copy(io.Discard, r.Body)
		s.record.printf("backend has read %s to its end: %d bytes more, error %v", id, n, err)
		if err != nil {
			return
		}
		if !s.slow {
			time.Sleep(bookingWork)
		}
	}
	w.Header().Set("X-Server-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "booked "+id)
	s.record.printf("backend has answered %s", id)
}
