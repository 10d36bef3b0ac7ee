package standin

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Scenario describes the load that callers generate.
type Scenario struct {
	// Name prefixes the token of every call, so that two runs differ.
	Name string `json:"name"`
	// Seed makes arrivals and random choices reproducible.
	Seed uint64 `json:"seed"`
	// Duration is how long new calls are started; open calls then finish.
	Duration Duration `json:"duration"`
	// Ingresses are the ip:port of the ingress nodes.
	Ingresses []string `json:"entries"`
	// RandomIngress picks ingresses at random instead of round-robin.
	RandomIngress bool `json:"random"`
	// Direct means that Ingresses are backend servers, which set no headers.
	Direct bool `json:"direct"`
	// MaxOutstanding limits concurrent calls; arrivals beyond it are counted as
	// skipped.
	MaxOutstanding int `json:"outstanding"`
	// Graph declares which child responses a response must contain; without it
	// only their positions are checked.
	Graph Graph `json:"graph"`
	// RecordCalls adds the outcome of every call to the result.
	RecordCalls bool `json:"record"`
	// Classes are loads that run concurrently.
	Classes []ClassLoad `json:"classes"`
}

// ClassLoad is the load of one class of calls.
type ClassLoad struct {
	// Name labels the counts and is sent as the caller's name.
	Name string `json:"name"`
	// Target is the operation called, as "service/operation".
	Target string `json:"target"`
	// Ingresses overrides those of the scenario unless it is empty.
	Ingresses []string `json:"entries"`
	// Rate is the mean number of calls per second.
	Rate float64 `json:"rate"`
	// Timeout limits one attempt.
	Timeout Duration `json:"timeout"`
	// MaxRetries limits the retries of a call without a complete response.
	MaxRetries int `json:"retries"`
	// Backoff is the mean wait before the first retry; it doubles with each retry.
	Backoff Duration `json:"backoff"`
	// CancelFraction is the fraction of calls that the caller cancels, 0 to 1.
	CancelFraction float64 `json:"hangUp"`
	// Keyed requests an operation key first and sends it with every attempt.
	Keyed bool `json:"keyed"`
	// OneWayDelay is the network delay between callers and ingresses.
	OneWayDelay Duration `json:"delay"`
	// Surges change the load temporarily.
	Surges []Surge `json:"surges"`
}

// Surge changes a ClassLoad temporarily.
type Surge struct {
	// Start is when the surge begins, relative to the start of the run.
	Start Duration `json:"at"`
	// Length is how long the surge lasts.
	Length Duration `json:"for"`
	// RateFactor multiplies the rate.
	RateFactor float64 `json:"factor"`
	// MaxRetries and Backoff override those of the class unless MaxRetries is 0.
	MaxRetries int      `json:"retries"`
	Backoff    Duration `json:"backoff"`
}

// ParseScenario parses a scenario, JSON with comments.
func ParseScenario(src []byte) (Scenario, error) {
	s := Scenario{}
	std, err := hujson.Standardize(src)
	if err != nil {
		return s, eris.Wrap(err, "read scenario")
	}
	return s, eris.Wrap(json.Unmarshal(std, &s), "read scenario")
}

// loadAt returns the load that applies at a time since the start of the run.
func (c ClassLoad) loadAt(since time.Duration) ClassLoad {
	for _, s := range c.Surges {
		if since < s.Start.D() || since >= s.Start.D()+s.Length.D() {
			continue
		}
		c.Rate *= s.RateFactor
		if s.MaxRetries != 0 {
			c.MaxRetries, c.Backoff = s.MaxRetries, s.Backoff
		}
	}
	return c
}
