//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is drain-ms of the site.
	drainTime = 2 * time.Second
	// clockStep is how far the clock of the machine jumps back.
	clockStep = 2 * time.Second
	// drainingTime is how long the leaving server still serves after its report.
	drainingTime = 2600 * time.Millisecond
	// batchSize bookings are sent at once, every batchPause: the traffic of a quiet
	// hour. No batch falls into the first drain-ms after the report.
	batchSize  = 9
	batchPause = 2500 * time.Millisecond
)

// restartedDrain lets a backend server crash soon after its start and start again
// under its id, and then leave. With trouble, the clock of its machine has jumped back
// in between, so that the second start has the smaller time.
// Rule DRAIN: no request may reach a server later than drain-ms after the store has
// accepted that it is draining.
func restartedDrain(l *lab, trouble bool) (bool, error) {
	front, err := l.addNode("lanefinder", "zone-a")
	if err != nil {
		return false, err
	}
	var servers []*backend
	for _, id := range []string{"i-leaving", "i-second", "i-third"} {
		n, err := l.addNode("bookings", "zone-a")
		if err != nil {
			return false, err
		}
		servers = append(servers, &backend{lab: l, node: n, id: id, work: 300 * time.Millisecond})
	}
	leaving := servers[0]
	for _, b := range servers[1:] {
		if err := b.start(time.Now()); err != nil {
			return false, err
		}
		b.report("ready")
	}
	l.putConfig(1, 1<<20, []route{{prefix: "/book/", kind: "unsafe", service: "bookings", timeout: bookingDeadline, maxAttempts: 2}})
	if err := l.startAll(); err != nil {
		return false, err
	}
	if err := leaving.start(time.Now()); err != nil {
		return false, err
	}
	leaving.report("ready")
	time.Sleep(700 * time.Millisecond)
	leaving.end()
	time.Sleep(500 * time.Millisecond)
	born := time.Now()
	if trouble {
		l.record.printf("the clock of %s has jumped back by %s", leaving.node.name, clockStep)
		born = born.Add(-clockStep)
	}
	if err := leaving.start(born); err != nil {
		return false, err
	}
	leaving.report("ready")
	// Far longer than contact-ms (3 s): all machines are in touch then.
	for range 3 {
		time.Sleep(batchPause)
		l.batch(front, "before")
	}
	acked := leaving.report("draining")
	ended := make(chan struct{})
	time.AfterFunc(drainingTime, func() {
		leaving.end()
		l.store.Delete("servers/" + leaving.id)
		close(ended)
	})
	time.Sleep(time.Until(acked.Add(batchPause)))
	answers := l.batch(front, "after")
	<-ended
	late := leaving.after(acked.Add(drainTime))
	for _, a := range late {
		l.record.printf("%s reached %s %.2f s after the store had accepted that it is draining", a.id, leaving.id, a.at.Sub(acked).Seconds())
	}
	failed := 0
	for _, a := range answers {
		if a.status != http.StatusOK {
			failed++
		}
	}
	l.record.printf("of %d bookings, %d reached the leaving server too late; %d failed", len(answers), len(late), failed)
	return len(late) == 0, nil
}

// batch sends batchSize bookings at once and returns what the clients got.
func (l *lab) batch(n *node, name string) []answer {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	out := make([]answer, batchSize)
	var wg sync.WaitGroup
	for i := range batchSize {
		wg.Go(func() { out[i] = l.send(client, n, fmt.Sprintf("%s-%d-%d", name, time.Now().UnixMilli(), i), 1) })
	}
	wg.Wait()
	return out
}
