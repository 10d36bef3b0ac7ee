package trial

import (
	"slices"
	"strings"
	"time"

	"dogwoodhead/standin"
)

// Capacity works out how many calls a second a fleet can answer at most.
//
// A call holds a slot of its service for its own service time and for the time
// that its downstream calls hold theirs; network time and waiting for a slot
// are left out. Per second a service has as many slot-seconds as it has slots.
// Classes are served in their order of importance: each gets its offered rate,
// or the rate at which the first service on its path has no slot-seconds left.
// So the limit is never above the offered rate, and a system that sheds the
// wrong class or throws work away stays below it.
type Capacity struct {
	// Document declares the operations.
	Document *standin.Document
	// Slots is the number of slots of each service over all its servers.
	Slots map[string]float64
	// Work is the service time of an operation, faults included.
	Work func(target string) time.Duration
}

// Demand is the offered rate of one operation in calls a second.
type Demand struct {
	Target string
	Rate   float64
}

// Carry returns the rate of each demand that can be answered.
func (c Capacity) Carry(demands []Demand) []float64 {
	left := make(map[string]float64, len(c.Slots))
	for service, slots := range c.Slots {
		left[service] = slots
	}
	carried := make([]float64, len(demands))
	for _, class := range c.Document.Classes {
		uses := make(map[string]float64)
		for _, d := range demands {
			if c.classOf(d.Target) == class {
				c.use(d.Target, d.Rate, uses)
			}
		}
		part := 1.0
		for service, need := range uses {
			if need > 0 {
				part = min(part, left[service]/need)
			}
		}
		for service, need := range uses {
			left[service] -= part * need
		}
		for i, d := range demands {
			if c.classOf(d.Target) == class {
				carried[i] = part * d.Rate
			}
		}
	}
	return carried
}

// use adds the slot-seconds a second that a rate of calls takes at each service
// and returns how long one call holds its slot.
func (c Capacity) use(target string, rate float64, uses map[string]float64) float64 {
	service, operation, _ := strings.Cut(target, "/")
	hold := c.Work(target).Seconds()
	for _, call := range c.Document.Services[service].Operations[operation].Calls {
		hold += c.use(call, rate, uses)
	}
	uses[service] += rate * hold
	return hold
}

func (c Capacity) classOf(target string) string {
	service, operation, _ := strings.Cut(target, "/")
	class := c.Document.Services[service].Operations[operation].Class
	if !slices.Contains(c.Document.Classes, class) {
		return ""
	}
	return class
}
