package mesh

import (
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"dogwoodhead/frame"
	"dogwoodhead/operator"
)

// recordRequest updates the metrics for a request and writes its log line.
func (in *ingress) recordRequest(c *call, stats *requestStats, r result) {
	now := in.opts.clock.Now()
	took := now.Sub(stats.started)
	in.opts.metrics.ObserveIngress(c.operation(), c.origin, className(c.class), r.outcome, r.reason, took)
	configAge, listAge := in.opts.view.Ages()
	fields := logrus.Fields{
		"request": c.id, "route": c.route, "service": c.service, "class": c.class, "idempotent": c.idempotent,
		"outcome": r.outcome.String(), "reason": string(r.reason), "detail": r.detail, "instance": stats.lastVM,
		"offers": stats.attempts, "runs": stats.runs, "denied": stats.retryDenied, "repeat": c.isRetry, "took": took.Milliseconds(),
		"left":   c.timeLeft(now).Milliseconds(),
		"config": in.opts.view.ConfigVersion(), "configAge": configAge.Milliseconds(),
		"list": in.opts.view.Rev(), "listAge": listAge.Milliseconds(),
	}
	if r.response != nil {
		fields["status"] = r.response.status
	}
	operator.LogLine(in.opts.log, now, logLevel(r.outcome), operator.MsgRequest, fields)
}

func logLevel(o frame.Outcome) logrus.Level {
	if o == frame.Answered {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}

// className returns the name of a class in metrics.
func className(class int) string {
	kind := "new"
	if class%2 == 0 {
		kind = "inner"
	}
	return strings.Join([]string{"p" + strconv.Itoa(class/2), kind}, "-")
}
