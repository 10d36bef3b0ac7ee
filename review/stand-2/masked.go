//go:build review

package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

const (
	// downTime is how long all processes are down in the final fault.
	downTime = 500 * time.Millisecond
	// recoveryTime is recovery-s of the site.
	recoveryTime = 15 * time.Second
	// servedFraction is the fraction of the requests that must be served.
	servedFraction = 0.25
)

// maskedServers kills all processes at the end of a day. With trouble, another writer
// of the store has written one entry for the address of each backend server of a
// service, with a service that the configuration does not name.
// Rule RECOVER: of the requests sent later than recovery-s after the machines are
// back, a quarter must be served.
func maskedServers(l *lab, trouble bool) (bool, error) {
	front, err := l.addNode("lanefinder", "zone-a")
	if err != nil {
		return false, err
	}
	var servers []*backend
	for _, s := range []struct{ id, zone string }{{"i-one", "zone-a"}, {"i-two", "zone-b"}} {
		n, err := l.addNode("bookings", s.zone)
		if err != nil {
			return false, err
		}
		b := &backend{lab: l, node: n, id: s.id, work: 50 * time.Millisecond}
		if err := b.start(time.Now()); err != nil {
			return false, err
		}
		b.report("ready")
		servers = append(servers, b)
	}
	l.putConfig(1, 1<<20, []route{{prefix: "/book/", kind: "unsafe", service: "bookings", timeout: bookingDeadline, maxAttempts: 2}})
	if err := l.startAll(); err != nil {
		return false, err
	}
	before := l.served(front, "before", 4*time.Second)
	for _, n := range l.nodes {
		n.signal(syscall.SIGKILL)
		n.wait(time.Second)
		l.record.printf("node %s killed", n.name)
	}
	if trouble {
		for _, b := range servers {
			l.entry("i-odd-"+b.id, "nosuch", b.node.zone, b.node.addr(appPort), "ready", time.Now(), 1, 20)
		}
	}
	time.Sleep(downTime)
	for _, n := range l.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(recoveryTime + time.Second)
	after := l.served(front, "after", 4*time.Second)
	l.record.printf("served before the fault: %.2f, later than recovery-s after the machines were back: %.2f", before, after)
	return before < servedFraction || after >= servedFraction, nil
}

// served sends bookings for a time and returns the fraction that is served.
func (l *lab) served(n *node, name string, d time.Duration) float64 {
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	answers := l.load(ctx, n, name, 50*time.Millisecond)
	ok := 0
	for _, a := range answers {
		if a.err == nil && a.status == http.StatusOK && a.stamp != "" {
			ok++
		}
	}
	return float64(ok) / float64(max(len(answers), 1))
}
