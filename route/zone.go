package route

import (
	"time"

	"dogwoodhead/board"
	"dogwoodhead/policy"
)

const (
	// ramp is the utilisation above spill at which every call may go to another
	// zone. Spilling all calls at spill itself would make zones oscillate.
	ramp = 0.2
	// delayScale is the delay that halves the weight of a zone, the usual
	// one-way delay between zones.
	delayScale = 5 * time.Millisecond
	// ownReserve and otherReserve are the parts of a zone's limit that count as
	// free even where none is. The own zone's is far larger: where all zones are
	// full, sending calls to another one costs delay and gains nothing.
	ownReserve   = 0.05
	otherReserve = 1e-6
	// maxZones is the number of zones that Pick handles without allocating.
	maxZones = 32
)

// zoneLoad sums the candidates of a zone.
type zoneLoad struct {
	name   string
	region string
	used   float64
	limit  float64
	// weight is the share of spilled calls, relative to the other zones.
	weight float64
}

// zone chooses the zone of the next call: the own one while its utilisation is
// below spill, then zones of the own region, then all.
func (c *Chooser) zone(cs []candidate, spill float64) string {
	self := c.board.Self().VM()
	var buf [maxZones]zoneLoad
	zones := sumZones(buf[:0], cs)
	own := func(z zoneLoad) bool { return z.name == self.Zone() }
	region := func(z zoneLoad) bool { return z.region == self.Region() }
	if c.stays(zones, own, spill) {
		return self.Zone()
	}
	for i := range zones {
		zones[i].weight = share(zones[i], self, c.zoneSettings(zones[i].name))
	}
	if c.stays(zones, region, spill) {
		return c.weighted(zones, region)
	}
	return c.weighted(zones, func(zoneLoad) bool { return true })
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

// stays reports whether the call stays within a group of zones. Between spill
// and spill + ramp it is drawn, above that it never stays.
func (c *Chooser) stays(zones []zoneLoad, in func(zoneLoad) bool, spill float64) bool {
	var used, limit float64
	for _, z := range zones {
		if in(z) {
			used += z.used
			limit += z.limit
		}
	}
	if limit == 0 {
		return false
	}
	over := (used/limit - spill) / ramp
	return over <= 0 || over < 1 && c.float() >= over
}

// share returns the room in a zone, divided by what using it costs from here.
func share(z zoneLoad, self board.VM, settings policy.Zone) float64 {
	if z.name == self.Zone() {
		return max(z.limit-z.used, ownReserve*z.limit)
	}
	room := max(z.limit-z.used, otherReserve*z.limit)
	cost := settings.Cost()
	if cost <= 0 {
		cost = 1
	}
	return room / (cost * (1 + float64(settings.Delay())/float64(delayScale)))
}

// weighted draws a zone of a group, of which there is at least one, by weight.
func (c *Chooser) weighted(zones []zoneLoad, in func(zoneLoad) bool) string {
	total := 0.0
	for _, z := range zones {
		if in(z) {
			total += z.weight
		}
	}
	at := c.float() * total
	name := ""
	for _, z := range zones {
		if !in(z) {
			continue
		}
		name = z.name
		if at -= z.weight; at < 0 {
			break
		}
	}
	return name
}
