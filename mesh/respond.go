package mesh

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhead/frame"
	"dogwoodhead/operator"
	"dogwoodhead/peer"
	"dogwoodhead/platform"
)

// writeResult writes the response to the caller and reports whether it is that of a
// backend server.
func (in *ingress) writeResult(w http.ResponseWriter, c *call, r result) bool {
	if in.opts.leaving() {
		w.Header().Set("Connection", "close")
	}
	if r.outcome == frame.Answered && !(claimsNotRun(r.response) && !c.idempotent) {
		writeResponse(w, c, r.response, platform.HeaderServerLoad, platform.HeaderInstanceID)
		return true
	}
	r.discard()
	status := http.StatusBadGateway
	switch {
	case r.outcome == frame.NotRun:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", in.retryAfter(c))
	case r.reason == frame.ReasonTimeout:
		status = http.StatusGatewayTimeout
	}
	in.writeStatus(w, c, status)
	return false
}

// claimsNotRun reports whether the status of a response implies that the request
// has not run.
func claimsNotRun(resp *response) bool {
	switch resp.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryAfter returns the value of Retry-After, in seconds.
func (in *ingress) retryAfter(c *call) string {
	wait := startupRetryAfter
	if c.objective > 0 {
		wait = time.Duration(float64(c.objective) * (minRetryFraction + retryJitterFraction*in.opts.random()))
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

const (
	// minRetryFraction and retryJitterFraction set Retry-After as a fraction of the
	// objective: a retry can still succeed in time, and callers are spread out.
	minRetryFraction    = 0.25
	retryJitterFraction = 0.25
)

// reject responds to a request that is not routed.
func (in *ingress) reject(w http.ResponseWriter, c *call, stats *requestStats, status int) {
	in.opts.log.WithFields(logrus.Fields{
		"request": c.id, "host": c.host, "target": c.target, "status": status,
		"config": in.opts.view.ConfigVersion(), "took": in.opts.clock.Since(stats.started).Milliseconds(),
	}).Warn(operator.MsgReject)
	switch status {
	case http.StatusRequestTimeout:
		// The rest of the body is still unread on this connection.
		w.Header().Set("Connection", "close")
	case http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", in.retryAfter(c))
	}
	in.writeStatus(w, c, status)
}

// logHeadRejection logs a request that was rejected before its head was complete.
func (in *ingress) logHeadRejection(r peer.HeadRejection) {
	in.opts.log.WithFields(logrus.Fields{
		"remote": r.Remote().String(), "status": r.Status(),
		"config": in.opts.view.ConfigVersion(), "took": r.Waited().Milliseconds(),
	}).Warn(operator.MsgReject)
}

func (in *ingress) writeStatus(w http.ResponseWriter, c *call, status int) {
	if c.id != "" {
		w.Header().Set(platform.HeaderRequestID, c.id)
	}
	c.writeStatus(w, status)
}

// writeStatus writes a response of this node, which has no body. What has not arrived
// of the request's body is not read anymore, so the connection is closed after it.
func (c *call) writeStatus(w http.ResponseWriter, status int) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Length", "0")
	if c.upload.isPending() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
	c.upload.discardRest()
}
