package locality

import (
	"slices"

	"liftshift/scheduler"
)

// validity returns the share of this controller's shares that may still be used: all of them while their confirmation is fresh, then less
// and less, and none once the lease that confirmed them is over. It never grows by itself.
func (m *Monitor) validity() float64 {
	left := m.settings.LeaseMS - (m.now - m.confirmedAt)
	return max(0, min(1, 2*left/m.settings.LeaseMS))
}

// updateReach tells the scheduler how far requests may go, if that has changed.
func (m *Monitor) updateReach() {
	validity := m.validity()
	zones := m.knownZones()
	m.checkOwnZone(zones)
	if m.zoneUnknown {
		zones = nil // a misspelled zone must not make all executors unreachable
	}
	var reaches []scheduler.ZoneReach
	for _, zone := range zones {
		if zone != m.zone {
			reaches = append(reaches, m.reachOf(zone, validity))
		} else if reach, limited := m.reachOfOwnZone(validity); limited {
			reaches = append(reaches, reach)
		}
	}
	if slices.EqualFunc(reaches, m.reaches, equalReach) {
		return
	}
	m.reaches = reaches
	m.reachVersion++
	m.emit(Effect{Kind: SetReach, Reaches: reaches, Number: m.reachVersion})
}

// checkOwnZone notes whether this controller's zone is one that has executors.
func (m *Monitor) checkOwnZone(zones []string) {
	unknown := len(m.executors) > 0 && !slices.Contains(zones, m.zone)
	if unknown == m.zoneUnknown {
		return
	}
	m.zoneUnknown = unknown
	if unknown {
		m.emit(Effect{Kind: LogWarning, Text: "no executor was ever listed in this controller's zone " + m.zone + ", all zones are treated as local"})
	}
}

// reachOfOwnZone returns the limit for this controller's own zone, if there is one.
func (m *Monitor) reachOfOwnZone(validity float64) (reach scheduler.ZoneReach, limited bool) {
	z := m.plan.findZone(m.zone)
	if m.plan.Pair(m.zone, m.zone) == nil || z == nil {
		return reach, false
	}
	reach = scheduler.ZoneReach{Zone: m.zone, Capacity: m.capacityOf(m.zone, validity)}
	if z.State == Evacuated && orderFor(m.ordersInForce(), m.zone) != Evacuate && validity == 0 {
		reach.Capacity = m.settings.MinShare // the order has ended and nobody can agree on what follows: one request at a time
	}
	return reach, true
}

// reachOf returns how far another zone is. A zone that is in no plan yet is closed, except for kinds that this zone does not have.
func (m *Monitor) reachOf(zone string, validity float64) scheduler.ZoneReach {
	own := m.plan.findZone(m.zone)
	z := m.plan.findZone(zone)
	reach := scheduler.ZoneReach{Zone: zone, Tier: tierOtherRegion}
	if z == nil || z.State <= Suspected {
		ownKinds := m.kindsIn(m.zone, own)
		for _, kind := range m.kindsIn(zone, z) {
			if !slices.Contains(ownKinds, kind) {
				reach.ExclusiveKinds = append(reach.ExclusiveKinds, kind)
			}
		}
	}
	if z == nil || own == nil {
		return reach
	}
	regions := [2]string{own.Region, z.Region}
	reach.Tier = tierBetween(own, z)
	reach.Capacity = m.capacityOf(zone, validity)
	reach.LatencyMS = m.settings.LatencyMS[regions]
	reach.MinDensity = m.settings.MinDensity[regions]
	return reach
}

// knownZones returns the zones of the plan and of the executors, sorted.
func (m *Monitor) knownZones() (zones []string) {
	for k := range m.plan.Zones {
		zones = append(zones, m.plan.Zones[k].Name)
	}
	for k := range m.executors {
		if zone := m.executors[k].Zone; !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// kindsIn returns the kinds of a zone's executors: those of the plan, or else those that are listed.
func (m *Monitor) kindsIn(zone string, z *Zone) (kinds []string) {
	if z != nil && len(z.Kinds) > 0 {
		return z.Kinds
	}
	for k := range m.executors {
		if x := &m.executors[k]; x.Zone == zone && !slices.Contains(kinds, x.Kind) {
			kinds = append(kinds, x.Kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

func equalReach(a, b scheduler.ZoneReach) bool {
	return a.Zone == b.Zone && a.Tier == b.Tier && a.Capacity == b.Capacity && a.LatencyMS == b.LatencyMS &&
		a.MinDensity == b.MinDensity && slices.Equal(a.ExclusiveKinds, b.ExclusiveKinds)
}
