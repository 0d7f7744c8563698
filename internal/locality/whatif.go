package locality

import (
	"fmt"
	"maps"
	"slices"
)

// WhatIf describes what would happen if a zone, or all zones of a region, were lost now: where the requests would go,
// which zone would fill up most, and how many threads would find no capacity. It computes a plan for the present demand
// or, with usePeakDemand, for the highest demand of each zone in the last hour. It changes nothing.
func (m *Monitor) WhatIf(name string, usePeakDemand bool) ([]string, error) {
	plan, lost := m.planWithout(name)
	if len(lost) == 0 {
		return nil, fmt.Errorf("no zone or region %q", name)
	}
	in := m.planInput()
	p := planner{histories: map[string]*zoneHistory{}}
	demand := map[string]float64{}
	for _, zone := range plan.Zones {
		demand[zone.Name] = demandOf(in, &zone)
		if history := m.planner.histories[zone.Name]; usePeakDemand && history != nil {
			demand[zone.Name] = history.peakDemand()
		}
		p.histories[zone.Name] = &zoneHistory{since: m.now, demand: demand[zone.Name], demandIsAssumed: true}
	}
	p.allocate(&Plan{}, &plan, in)
	var lines []string
	for _, zone := range slices.Sorted(maps.Keys(lost)) {
		lines = append(lines, describeLoss(&plan, zone, demand, in.settings)...)
		lines = append(lines, m.describeLostKinds(&plan, zone, lost)...)
	}
	return lines, nil
}

// planWithout returns a plan with the present zones, in which the zones with the given name or region are lost, and the
// names of those zones.
func (m *Monitor) planWithout(name string) (plan Plan, lost map[string]bool) {
	lost = map[string]bool{}
	for _, zone := range m.plan.Zones {
		zone.Kinds = slices.Clone(zone.Kinds)
		if zone.Name == name || zone.Region == name && name != "" {
			lost[zone.Name] = true
			zone.State = Lost
			zone.Stage = 0
		}
		plan.Zones = append(plan.Zones, zone)
	}
	return plan, lost
}

// describeLoss describes which zones would take the requests of a lost zone.
func describeLoss(plan *Plan, zone string, demand map[string]float64, settings *Settings) (lines []string) {
	moved := 0.0
	fullest := ""
	fullestFraction := 0.0
	for _, pair := range plan.Pairs {
		if pair.From != zone || pair.To == zone {
			continue
		}
		moved += pair.Cap
		capacity := settings.ThreadsPerCore * plan.findZone(pair.To).Cores
		if fraction := (demand[pair.To] + pair.Cap) / max(1, capacity); fraction > fullestFraction {
			fullest = pair.To
			fullestFraction = fraction
		}
		lines = append(lines, fmt.Sprintf("%s to %s: %.0f threads, in addition to %.0f of its own, out of %.0f",
			zone, pair.To, pair.Cap, demand[pair.To], capacity))
	}
	lines = append(lines, fmt.Sprintf(
		"%s: its requests demand %.0f threads, %.0f find capacity elsewhere, for %.0f there is none: "+
			"the requests with the least value for their work are rejected",
		zone, demand[zone], moved, max(0, demand[zone]-moved)))
	if fullest != "" {
		lines = append(lines, fmt.Sprintf("%s fills first: %.0f%% of its capacity", fullest, 100*fullestFraction))
	}
	return lines
}

// describeLostKinds names the kinds of a zone's executors that no remaining zone has.
func (m *Monitor) describeLostKinds(plan *Plan, zone string, lost map[string]bool) (lines []string) {
	for _, kind := range m.plan.findZone(zone).Kinds {
		isElsewhere := func(z Zone) bool { return !lost[z.Name] && slices.Contains(z.Kinds, kind) }
		if !slices.ContainsFunc(plan.Zones, isElsewhere) {
			lines = append(lines, fmt.Sprintf("%s alone has executors of kind %s: requests that need this kind are rejected "+
				"with a retry time", zone, kind))
		}
	}
	return lines
}
