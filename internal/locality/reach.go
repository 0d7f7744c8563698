package locality

import (
	"slices"

	"liftshift/scheduler"
)

// validFraction returns the fraction of this controller's shares that it may still use: 1 in the first half of the
// lease that confirmed them, then falling to 0 at the end of the lease.
func (m *Monitor) validFraction() float64 {
	left := m.settings.LeaseMS - (m.now - m.sharesConfirmedAt)
	return max(0, min(1, 2*left/m.settings.LeaseMS))
}

// updateReach passes the limits for zones to the scheduler if they have changed.
func (m *Monitor) updateReach() {
	validFraction := m.validFraction()
	zones := m.knownZones()
	m.checkOwnZone(zones)
	ownZone := m.zone
	if m.ownZoneUnknown { // a misspelled zone name must not close all zones to this controller
		ownZone, zones = "", nil
	}
	var reaches []scheduler.ZoneReach
	for _, zone := range zones {
		if zone != m.zone {
			reaches = append(reaches, m.reachOf(zone, validFraction))
		} else if reach, limited := m.reachOfOwnZone(validFraction); limited {
			reaches = append(reaches, reach)
		}
	}
	if ownZone == m.reachOwnZone && slices.EqualFunc(reaches, m.reaches, equalReach) {
		return
	}
	m.reachOwnZone, m.reaches = ownZone, reaches
	m.reachVersion++
	m.emit(Effect{Kind: SetReach, Zone: ownZone, Reaches: reaches, Number: m.reachVersion})
}

// checkOwnZone updates ownZoneUnknown, and logs a warning when this controller's zone turns out to be unknown. A zone
// is known if it is among the given ones.
func (m *Monitor) checkOwnZone(zones []string) {
	unknown := len(m.executors) > 0 && !slices.Contains(zones, m.zone)
	if unknown == m.ownZoneUnknown {
		return
	}
	m.ownZoneUnknown = unknown
	if unknown {
		m.emit(Effect{Kind: LogWarning, Text: "no executor was ever listed in this controller's zone " + m.zone +
			", all zones are treated as local"})
	}
}

// reachOfOwnZone returns the limit for this controller's own zone, and whether the zone is limited at all.
func (m *Monitor) reachOfOwnZone(validFraction float64) (reach scheduler.ZoneReach, limited bool) {
	own := m.plan.findZone(m.zone)
	if m.plan.Pair(m.zone, m.zone) == nil || own == nil {
		return reach, false
	}
	reach = scheduler.ZoneReach{Zone: m.zone, Capacity: m.capacityOf(m.zone, validFraction)}
	if own.State == Evacuated && orderFor(m.ordersInForce(), m.zone) != Evacuate && validFraction == 0 {
		// The evacuation has ended, but this controller can't get a later plan. It sends one request at a time.
		reach.Capacity = m.settings.MinShare
	}
	return reach, true
}

// reachOf returns the limit for another zone. A zone that is not in the plan is closed, except to requests that need a
// kind of executor that this controller's zone does not have.
func (m *Monitor) reachOf(zone string, validFraction float64) scheduler.ZoneReach {
	own := m.plan.findZone(m.zone)
	other := m.plan.findZone(zone)
	reach := scheduler.ZoneReach{Zone: zone, Tier: tierOtherRegion}
	if other == nil || other.State <= Suspected {
		ownKinds := m.kindsIn(m.zone, own)
		for _, kind := range m.kindsIn(zone, other) {
			if !slices.Contains(ownKinds, kind) {
				reach.ExclusiveKinds = append(reach.ExclusiveKinds, kind)
			}
		}
	}
	if other == nil || own == nil {
		return reach
	}
	regions := [2]string{own.Region, other.Region}
	reach.Tier = tierBetween(own, other)
	reach.Capacity = m.capacityOf(zone, validFraction)
	reach.LatencyMS = m.settings.LatencyMS[regions]
	reach.MinDensity = m.settings.MinDensity[regions]
	return reach
}

// knownZones returns the sorted names of the zones in the plan and of the executors.
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

// kindsIn returns the sorted kinds of a zone's executors: those in the plan if it has any, otherwise those of the
// executors that this controller observes. The zone is not in the plan if planned is nil.
func (m *Monitor) kindsIn(zone string, planned *Zone) (kinds []string) {
	if planned != nil && len(planned.Kinds) > 0 {
		return planned.Kinds
	}
	for k := range m.executors {
		if executor := &m.executors[k]; executor.Zone == zone && !slices.Contains(kinds, executor.Kind) {
			kinds = append(kinds, executor.Kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// equalReach reports whether two limits are the same.
func equalReach(a, b scheduler.ZoneReach) bool {
	return a.Zone == b.Zone && a.Tier == b.Tier && a.Capacity == b.Capacity && a.LatencyMS == b.LatencyMS &&
		a.MinDensity == b.MinDensity && slices.Equal(a.ExclusiveKinds, b.ExclusiveKinds)
}
