package mesh

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"dogwoodhead/admit"
	"dogwoodhead/platform"
)

// minServerRate is the rate, in requests per second, that a backend server gets
// whatever limit it names: only a response shows that the limit has ended.
const minServerRate = 0.5

// announced applies what the backend server announces in its responses. It is safe
// for concurrent use.
type announced struct {
	log  *logrus.Logger
	gate *admit.Gate

	mu sync.Mutex
	// instance and startedMillis name the incarnation that the fields below belong
	// to. instance is empty until the first one responds or is listed, startedMillis 0
	// until it is listed.
	instance      string
	startedMillis int64
	// limit is the rate limit in requests per second; rate.Inf without one.
	limit rate.Limit
	// limitedAt is when a response last named a limit.
	limitedAt time.Time
	// leaving is set once a response said that the server leaves.
	leaving bool
}

func newAnnounced(log *logrus.Logger, gate *admit.Gate) *announced {
	return &announced{log: log, gate: gate, limit: rate.Inf}
}

// setInstance sets the listed incarnation, by its id and its start in Unix
// milliseconds, and forgets the announcements of another one.
func (a *announced) setInstance(instance string, startedMillis int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	same := instance == a.instance && (startedMillis == a.startedMillis || a.startedMillis == 0)
	a.instance, a.startedMillis = instance, startedMillis
	if same {
		return
	}
	a.leaving = false
	a.setLimit(rate.Inf)
}

// isLeaving reports whether the instance has said that it leaves.
func (a *announced) isLeaving(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving && a.instance == instance
}

// record applies the headers of a response of the instance to a request that was
// sent at sentAt and answered at now.
func (a *announced) record(h http.Header, instance string, sentAt, now time.Time) {
	perSecond, limited, err := platform.RateLimit(h)
	if err != nil {
		a.log.WithFields(logrus.Fields{"instance": instance, "error": err.Error()}).Warn("rate limit of the backend server can't be read")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.instance == "" {
		a.instance = instance
	}
	if instance != a.instance {
		return
	}
	if platform.Leaving(h) && !a.leaving {
		a.leaving = true
		a.log.WithField("instance", instance).Info("backend server says that it leaves")
	}
	switch {
	case err != nil:
	case limited:
		a.limitedAt = now
		a.setLimit(max(rate.Limit(perSecond), minServerRate))
	case sentAt.After(a.limitedAt):
		// A response to an earlier request may have been written before the limit.
		a.setLimit(rate.Inf)
	}
}

// setLimit sets the rate limit of the gate; a.mu must be held.
func (a *announced) setLimit(limit rate.Limit) {
	if limit == a.limit {
		return
	}
	fields := logrus.Fields{"instance": a.instance}
	if limit != rate.Inf {
		fields["limit"] = float64(limit)
	}
	a.log.WithFields(fields).Info("rate limit of the backend server")
	a.limit = limit
	a.gate.SetRateLimit(limit)
}
