package mesh

import (
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"dogwoodhead/frame"
	"dogwoodhead/operator"
)

// observe counts a request and writes its log line.
func (e *entry) observe(c *call, t *trip, r result) {
	now := e.o.clock.Now()
	took := now.Sub(t.started)
	e.o.metrics.ObserveIngress(c.operation(), c.origin, className(c.class), r.outcome, r.reason, took)
	config, list := e.o.view.Ages()
	fields := logrus.Fields{
		"request": c.id, "route": c.route, "service": c.service, "class": c.class, "idempotent": c.idempotent,
		"outcome": r.outcome.String(), "reason": string(r.reason), "detail": r.detail, "instance": t.last,
		"offers": t.offers, "runs": t.runs, "denied": t.denied, "repeat": c.repeat, "took": took.Milliseconds(),
		"left":   c.left(now).Milliseconds(),
		"config": e.o.view.Version(), "configAge": config.Milliseconds(),
		"list": e.o.view.Rev(), "listAge": list.Milliseconds(),
	}
	if r.answer != nil {
		fields["status"] = r.answer.status
	}
	operator.LogLine(e.o.log, now, levelOf(r.outcome), "request", fields)
}

func levelOf(o frame.Outcome) logrus.Level {
	if o == frame.Answered {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}

// className names a class in metrics.
func className(class int) string {
	kind := "new"
	if class%2 == 0 {
		kind = "inner"
	}
	return strings.Join([]string{"p" + strconv.Itoa(class/2), kind}, "-")
}
