package mesh

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhead/frame"
	"dogwoodhead/platform"
)

// write answers the caller.
func (e *entry) write(w http.ResponseWriter, c *call, r result) {
	if e.o.leaving() {
		w.Header().Set("Connection", "close")
	}
	if r.outcome == frame.Answered && !(misleads(r.answer) && !c.idempotent) {
		writeAnswer(w, r.answer, platform.HeaderServerLoad, platform.HeaderInstanceID)
		return
	}
	r.discard()
	status := http.StatusBadGateway
	switch {
	case r.outcome == frame.NotRun:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", e.retryAfter(c))
	case r.reason == frame.ReasonTimeout:
		status = http.StatusGatewayTimeout
	}
	e.finish(w, c, status)
}

// misleads reports whether a response has a status that promises that the
// request has not run, although it has.
func misleads(a *answer) bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryAfter tells the caller when to come back, in seconds.
func (e *entry) retryAfter(c *call) string {
	wait := startWait
	if c.objective > 0 {
		wait = time.Duration(float64(c.objective) * (retryPart + retrySpread*e.o.random()))
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

const (
	// retryPart and retrySpread place a caller's retry within its objective, so
	// that it can still be answered in time, and apart from others.
	retryPart   = 0.25
	retrySpread = 0.25
)

// reject answers a request that is not routed.
func (e *entry) reject(w http.ResponseWriter, c *call, t *trip, status int) {
	e.o.log.WithFields(logrus.Fields{
		"request": c.id, "host": c.host, "target": c.target, "status": status,
		"config": e.o.view.Version(), "took": e.o.clock.Since(t.started).Milliseconds(),
	}).Warn("reject")
	switch status {
	case http.StatusRequestTimeout:
		// The rest of the body is still to come on this connection.
		w.Header().Set("Connection", "close")
	case http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", e.retryAfter(c))
	}
	e.finish(w, c, status)
}

// late logs a request whose head was not complete in time and was answered 408.
func (e *entry) late(remote net.Addr, waited time.Duration) {
	e.o.log.WithFields(logrus.Fields{
		"remote": remote.String(), "status": http.StatusRequestTimeout,
		"config": e.o.view.Version(), "took": waited.Milliseconds(),
	}).Warn("reject")
}

func (e *entry) finish(w http.ResponseWriter, c *call, status int) {
	h := w.Header()
	h["Date"] = nil
	if c.id != "" {
		h.Set(platform.HeaderRequestID, c.id)
	}
	w.WriteHeader(status)
}
