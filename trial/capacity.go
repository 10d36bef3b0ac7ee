package trial

import (
	"slices"
	"strings"
	"time"

	"dogwoodhead/standin"
)

// Capacity computes how many calls per second a fleet can answer at most.
//
// A call occupies a slot of its service for its self time and for the slot
// times of its downstream calls; network time and waiting for a slot are left
// out. A service with n slots has n slot-seconds per second. Classes are served
// in order of priority: each gets its offered rate, or the rate at which the
// first service on its path runs out of slot-seconds. So the capacity is never
// above the offered rate, and a system that sheds the wrong class or wastes
// work stays below it.
type Capacity struct {
	// Document declares the operations.
	Document *standin.Document
	// Slots is the number of slots of each service over all its servers.
	Slots map[string]float64
	// SelfTime returns the self time of an operation, including faults.
	SelfTime func(target string) time.Duration
}

// Demand is the offered rate of one operation in calls per second.
type Demand struct {
	Target string
	Rate   float64
}

// AnswerableRates returns the rate of each demand that can be answered.
func (c Capacity) AnswerableRates(demands []Demand) []float64 {
	remaining := make(map[string]float64, len(c.Slots))
	for service, slots := range c.Slots {
		remaining[service] = slots
	}
	rates := make([]float64, len(demands))
	for _, class := range c.Document.Classes {
		usage := make(map[string]float64)
		for _, d := range demands {
			if c.classOf(d.Target) == class {
				c.addUsage(d.Target, d.Rate, usage)
			}
		}
		fraction := 1.0
		for service, need := range usage {
			if need > 0 {
				fraction = min(fraction, remaining[service]/need)
			}
		}
		for service, need := range usage {
			remaining[service] -= fraction * need
		}
		for i, d := range demands {
			if c.classOf(d.Target) == class {
				rates[i] = fraction * d.Rate
			}
		}
	}
	return rates
}

// addUsage adds to usage the slot-seconds per second that a rate of calls takes
// at each service, and returns the slot time of one call.
func (c Capacity) addUsage(target string, rate float64, usage map[string]float64) float64 {
	service, operation, _ := strings.Cut(target, "/")
	slotTime := c.SelfTime(target).Seconds()
	for _, call := range c.Document.Services[service].Operations[operation].Calls {
		slotTime += c.addUsage(call, rate, usage)
	}
	usage[service] += rate * slotTime
	return slotTime
}

func (c Capacity) classOf(target string) string {
	service, operation, _ := strings.Cut(target, "/")
	class := c.Document.Services[service].Operations[operation].Class
	if !slices.Contains(c.Document.Classes, class) {
		return ""
	}
	return class
}
