package standin

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Scenario is the load that callers make.
type Scenario struct {
	// Name begins the token of every call, so that two runs differ.
	Name string `json:"name"`
	// Seed makes arrivals and choices repeatable.
	Seed uint64 `json:"seed"`
	// Duration is how long calls are started; open ones then finish.
	Duration Duration `json:"duration"`
	// Entries are the ip:port of the nodes that take calls.
	Entries []string `json:"entries"`
	// Random picks entries at random in place of one after another.
	Random bool `json:"random"`
	// Direct says that the entries are backend servers, which set no headers.
	Direct bool `json:"direct"`
	// Outstanding bounds the calls open at a time; beyond it arrivals are
	// counted as skipped.
	Outstanding int `json:"outstanding"`
	// Graph says which parts an answer must have; without it only the
	// positions of the parts are checked.
	Graph Graph `json:"graph"`
	// Record lists the outcome of every call in the result.
	Record bool `json:"record"`
	// Classes are loads that run side by side.
	Classes []ClassLoad `json:"classes"`
}

// ClassLoad is the load of one kind of call.
type ClassLoad struct {
	// Name labels the counts, and is the caller's name on the wire.
	Name string `json:"name"`
	// Target is the operation called, as "service/operation".
	Target string `json:"target"`
	// Entries replaces those of the scenario where it is not empty.
	Entries []string `json:"entries"`
	// Rate is the mean number of calls a second.
	Rate float64 `json:"rate"`
	// Timeout bounds one attempt.
	Timeout Duration `json:"timeout"`
	// Retries is how often a call is repeated that has no whole answer.
	Retries int `json:"retries"`
	// Backoff is the mean wait before the first retry; it doubles each time.
	Backoff Duration `json:"backoff"`
	// HangUp is the share of calls that the caller gives up at random, 0 to 1.
	HangUp float64 `json:"hangUp"`
	// Keyed asks for an operation key first and sends it with every attempt.
	Keyed bool `json:"keyed"`
	// Delay is the one-way distance from the callers to the entries.
	Delay Duration `json:"delay"`
	// Surges change the load for a while.
	Surges []Surge `json:"surges"`
}

// Surge changes a ClassLoad for a while.
type Surge struct {
	// At is when the surge begins, counted from the start of the run.
	At Duration `json:"at"`
	// For is how long it lasts.
	For Duration `json:"for"`
	// Factor multiplies the rate.
	Factor float64 `json:"factor"`
	// Retries and Backoff replace those of the class where Retries is not 0.
	Retries int      `json:"retries"`
	Backoff Duration `json:"backoff"`
}

// ParseScenario reads a scenario, JSON with comments.
func ParseScenario(src []byte) (Scenario, error) {
	s := Scenario{}
	std, err := hujson.Standardize(src)
	if err != nil {
		return s, eris.Wrap(err, "read scenario")
	}
	return s, eris.Wrap(json.Unmarshal(std, &s), "read scenario")
}

// at returns the load in force at a time since the start.
func (c ClassLoad) at(since time.Duration) ClassLoad {
	for _, s := range c.Surges {
		if since < s.At.D() || since >= s.At.D()+s.For.D() {
			continue
		}
		c.Rate *= s.Factor
		if s.Retries != 0 {
			c.Retries, c.Backoff = s.Retries, s.Backoff
		}
	}
	return c
}
