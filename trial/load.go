package trial

import (
	"strings"
	"time"

	"dogwoodhead/standin"
)

// Load is the normal load of one operation.
type Load struct {
	// Class is the name in the table.
	Class  string
	Target string
	// Rate is in calls per second at scale 1.
	Rate float64
	// Keyed calls carry a key and run at most once.
	Keyed bool
}

// The load of the council deployment at scale 1. It uses half of lanefinder's
// slots and a fifth of ladder's, so that the loss of a zone leaves enough slots
// and a ladder that is ten times slower can still serve half of its calls.
var councilLoads = []Load{
	{Class: "booking", Target: "bookings/book", Rate: 40, Keyed: true},
	{Class: "lookup", Target: "lanefinder/lookup", Rate: 600},
	{Class: "browse", Target: "leagueboard/fixtures", Rate: 150},
}

// Self times of the operations of the council deployment. They are long, so that
// slots and not processors are the limit; ladder's stay within its timeout of
// 500 ms when it is ten times slower.
var councilSelfTimes = map[string]time.Duration{
	"lanefinder/lookup":     150 * time.Millisecond,
	"lanefinder/lane":       5 * time.Millisecond,
	"lanefinder/nearby":     50 * time.Millisecond,
	"bookings/book":         100 * time.Millisecond,
	"bookings/cancel":       100 * time.Millisecond,
	"bookings/list":         100 * time.Millisecond,
	"leagueboard/fixtures":  80 * time.Millisecond,
	"leagueboard/standings": 80 * time.Millisecond,
	"leagueboard/record":    80 * time.Millisecond,
	"ladder/rank":           25 * time.Millisecond,
	"ladder/history":        25 * time.Millisecond,
	"ladder/enter":          25 * time.Millisecond,
}

const (
	// selfTimeJitter is the largest relative deviation of a self time.
	selfTimeJitter = 0.2
	// callerDelay is the one-way network delay from external callers to nodes.
	callerDelay = 8 * time.Millisecond
	// callerRetries and callerBackoff apply to callers outside a surge.
	callerRetries = 2
	callerBackoff = 200 * time.Millisecond
)

// classLoad returns the callers' settings for a load at a scale.
func (l Load) classLoad(f *Fleet, scale float64) standin.ClassLoad {
	service, operation, _ := strings.Cut(l.Target, "/")
	return standin.ClassLoad{
		Name: l.Class, Target: l.Target, Rate: l.Rate * scale, Ingresses: f.IngressAddrs(service),
		Timeout:    f.plan.Document.Services[service].Operations[operation].Timeout,
		MaxRetries: callerRetries, Backoff: standin.Duration(callerBackoff),
		Keyed: l.Keyed && !f.Direct(), OneWayDelay: standin.Duration(callerDelay),
	}
}

// councilScenario returns the normal load of the council deployment as a scenario
// for callers.
func (f *Fleet) councilScenario(name string, seed uint64, length time.Duration, scale float64) standin.Scenario {
	scenario := standin.Scenario{
		Name: name, Seed: seed, Duration: standin.Duration(length), RandomIngress: true,
		Direct: f.Direct(), Graph: f.plan.Document.Graph(), RecordCalls: true,
	}
	for _, l := range councilLoads {
		scenario.Classes = append(scenario.Classes, l.classLoad(f, scale))
	}
	return scenario
}
