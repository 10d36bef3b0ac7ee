package route

import (
	"time"

	"dogwoodhead/board"
	"dogwoodhead/policy"
)

const (
	// spillRamp is the utilisation above the spill threshold at which every call may
	// go to another zone. A step at the threshold would make zones oscillate.
	spillRamp = 0.2
	// halvingDelay is the one-way delay that halves the weight of a zone, the usual
	// one between zones.
	halvingDelay = 5 * time.Millisecond
	// localReserveFraction and remoteReserveFraction are the fractions of a zone's
	// limit that count as free even in a full zone. The local one is far larger:
	// if all zones are full, calls to another one cost delay and gain nothing.
	localReserveFraction  = 0.05
	remoteReserveFraction = 1e-6
	// zoneBufferSize is the number of zones that Pick handles without allocating.
	zoneBufferSize = 32
)

// zoneLoad sums the candidates of a zone.
type zoneLoad struct {
	name   string
	region string
	used   float64
	limit  float64
	// weight is the zone's share of spilled calls, relative to the other zones.
	weight float64
}

// chooseZone chooses the zone of the next call: the local one while its
// utilisation is below the threshold, then zones of the local region, then all.
func (c *Chooser) chooseZone(cs []candidate, spillThreshold float64) string {
	self := c.board.Self().VM()
	var buf [zoneBufferSize]zoneLoad
	zones := sumZones(buf[:0], cs)
	inLocalZone := func(z zoneLoad) bool { return z.name == self.Zone() }
	inLocalRegion := func(z zoneLoad) bool { return z.region == self.Region() }
	if c.staysWithin(zones, inLocalZone, spillThreshold) {
		return self.Zone()
	}
	for i := range zones {
		zones[i].weight = zoneWeight(zones[i], self, c.zonePolicy(zones[i].name))
	}
	if c.staysWithin(zones, inLocalRegion, spillThreshold) {
		return c.randomZone(zones, inLocalRegion)
	}
	return c.randomZone(zones, func(zoneLoad) bool { return true })
}

func sumZones(zones []zoneLoad, cs []candidate) []zoneLoad {
	for i := range cs {
		z := 0
		for z < len(zones) && zones[z].name != cs[i].vm.Zone() {
			z++
		}
		if z == len(zones) {
			zones = append(zones, zoneLoad{name: cs[i].vm.Zone(), region: cs[i].vm.Region()})
		}
		zones[z].used += cs[i].used
		zones[z].limit += cs[i].limit
	}
	return zones
}

// staysWithin reports whether the call stays within a group of zones: always up
// to the spill threshold, never from spillRamp above it, between them at random.
func (c *Chooser) staysWithin(zones []zoneLoad, inGroup func(zoneLoad) bool, spillThreshold float64) bool {
	var used, limit float64
	for _, z := range zones {
		if inGroup(z) {
			used += z.used
			limit += z.limit
		}
	}
	if limit == 0 {
		return false
	}
	excess := (used/limit - spillThreshold) / spillRamp
	return excess <= 0 || excess < 1 && c.randFloat() >= excess
}

// zoneWeight returns the free capacity of a zone, divided by the cost of using it.
func zoneWeight(z zoneLoad, self board.VM, zonePolicy policy.Zone) float64 {
	if z.name == self.Zone() {
		return max(z.limit-z.used, localReserveFraction*z.limit)
	}
	free := max(z.limit-z.used, remoteReserveFraction*z.limit)
	cost := zonePolicy.Cost()
	if cost <= 0 {
		cost = 1
	}
	return free / (cost * (1 + float64(zonePolicy.Delay())/float64(halvingDelay)))
}

// randomZone returns a random zone of a nonempty group, in proportion to weight.
func (c *Chooser) randomZone(zones []zoneLoad, inGroup func(zoneLoad) bool) string {
	totalWeight := 0.0
	for _, z := range zones {
		if inGroup(z) {
			totalWeight += z.weight
		}
	}
	remaining := c.randFloat() * totalWeight
	name := ""
	for _, z := range zones {
		if !inGroup(z) {
			continue
		}
		name = z.name
		if remaining -= z.weight; remaining < 0 {
			break
		}
	}
	return name
}
