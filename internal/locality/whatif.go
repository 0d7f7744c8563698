package locality

import (
	"fmt"
	"maps"
	"slices"
)

// WhatIf describes what would follow if a zone, or all zones of a region, were lost now: where requests would go, which zone would fill up
// first, and how many threads would find no capacity. It uses the rules of a plan with the present demand or, with peak, with each zone's
// highest demand in the last hour. Nothing changes by it.
func (m *Monitor) WhatIf(name string, peak bool) ([]string, error) {
	plan, lost := m.planWithout(name)
	if len(lost) == 0 {
		return nil, fmt.Errorf("no zone or region %q", name)
	}
	in := m.planInput()
	p := planner{memories: map[string]*zoneMemory{}}
	demand := map[string]float64{}
	for _, z := range plan.Zones {
		demand[z.Name] = demandOf(in, &z)
		if memory := m.planner.memories[z.Name]; peak && memory != nil {
			demand[z.Name] = memory.peak()
		}
		p.memories[z.Name] = &zoneMemory{since: m.now, demand: demand[z.Name], demandIsGiven: true}
	}
	p.allocate(&Plan{}, &plan, in)
	var lines []string
	for _, zone := range slices.Sorted(maps.Keys(lost)) {
		lines = append(lines, describeLoss(&plan, zone, demand, in.settings)...)
		lines = append(lines, m.describeLostKinds(&plan, zone, lost)...)
	}
	return lines, nil
}

// planWithout returns the present zones with those of a name or region lost.
func (m *Monitor) planWithout(name string) (plan Plan, lost map[string]bool) {
	lost = map[string]bool{}
	for _, z := range m.plan.Zones {
		z.Kinds = slices.Clone(z.Kinds)
		if z.Name == name || z.Region == name && name != "" {
			lost[z.Name] = true
			z.State = Lost
			z.Stage = 0
		}
		plan.Zones = append(plan.Zones, z)
	}
	return plan, lost
}

// describeLoss describes where a lost zone's requests go.
func describeLoss(plan *Plan, zone string, demand map[string]float64, settings *Settings) (lines []string) {
	moved := 0.0
	fullest := ""
	fullestShare := 0.0
	for _, pair := range plan.Pairs {
		if pair.From != zone || pair.To == zone {
			continue
		}
		moved += pair.Cap
		capacity := settings.ThreadsPerCore * plan.findZone(pair.To).Cores
		if share := (demand[pair.To] + pair.Cap) / max(1, capacity); share > fullestShare {
			fullest = pair.To
			fullestShare = share
		}
		lines = append(lines, fmt.Sprintf("%s to %s: %.0f threads, beside %.0f of its own, of %.0f", zone, pair.To, pair.Cap, demand[pair.To], capacity))
	}
	lines = append(lines, fmt.Sprintf("%s: its requests demand %.0f threads, %.0f find capacity elsewhere, for %.0f there is none: the least value for work is rejected",
		zone, demand[zone], moved, max(0, demand[zone]-moved)))
	if fullest != "" {
		lines = append(lines, fmt.Sprintf("%s fills first: %.0f%% of its capacity", fullest, 100*fullestShare))
	}
	return lines
}

// describeLostKinds describes the kinds of executors that only lost zones have.
func (m *Monitor) describeLostKinds(plan *Plan, zone string, lost map[string]bool) (lines []string) {
	for _, kind := range m.plan.findZone(zone).Kinds {
		isElsewhere := func(z Zone) bool { return !lost[z.Name] && slices.Contains(z.Kinds, kind) }
		if !slices.ContainsFunc(plan.Zones, isElsewhere) {
			lines = append(lines, fmt.Sprintf("%s alone has executors of kind %s: what runs on nothing else is denied with a time to return", zone, kind))
		}
	}
	return lines
}
