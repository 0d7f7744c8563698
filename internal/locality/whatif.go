package locality

import (
	"fmt"
	"maps"
	"slices"
)

// WhatIf tells what would follow if a zone, or all zones of a region, were lost now: who goes where, which zone fills first, and for how
// many threads there would be no room. It is made by the same rules as a plan, of what is wanted now or, at the peak, of the most that each zone
// wanted in the last hour; nothing comes of it.
func (w *Monitor) WhatIf(name string, peak bool) ([]string, error) {
	plan := Plan{}
	lost := map[string]bool{}
	for _, z := range w.plan.Zones {
		if z.Kinds = slices.Clone(z.Kinds); z.Name == name || z.Region == name && name != "" {
			lost[z.Name] = true
			z.State, z.Stage = Lost, 0
		}
		plan.Zones = append(plan.Zones, z)
	}
	if len(lost) == 0 {
		return nil, fmt.Errorf("no zone or region %q", name)
	}
	p, before := planner{memos: map[string]*memo{}}, map[string]float64{}
	in := &seen{now: w.now, reports: w.reports(), members: w.members, orders: w.inForce(), bounds: &w.bounds}
	for _, z := range plan.Zones {
		wants := wantsOf(in, &z)
		if m := w.planner.memos[z.Name]; peak && m != nil {
			wants = m.peak()
		}
		p.memos[z.Name], before[z.Name] = &memo{since: w.now, wants: wants, fixed: true}, wants
	}
	p.grant(&Plan{}, &plan, in)
	var lines []string
	for _, zone := range slices.Sorted(maps.Keys(lost)) {
		carried, fullest, share := 0.0, "", 0.0
		for _, x := range plan.Pairs {
			if x.From != zone || x.To == zone {
				continue
			}
			carried += x.Cap
			z := plan.zone(x.To)
			room := in.bounds.ThreadsPerCore * z.Cores
			if s := (before[x.To] + x.Cap) / max(1, room); s > share {
				fullest, share = x.To, s
			}
			lines = append(lines, fmt.Sprintf("%s to %s: %.0f threads, beside %.0f of its own, of %.0f", zone, x.To, x.Cap, before[x.To], room))
		}
		lines = append(lines, fmt.Sprintf("%s: its searches want %.0f threads, %.0f find room elsewhere, for %.0f there is none: the least gain for work is denied", zone,
			before[zone], carried, max(0, before[zone]-carried)))
		if fullest != "" {
			lines = append(lines, fmt.Sprintf("%s fills first: %.0f%% of its room", fullest, 100*share))
		}
		z := w.plan.zone(zone)
		for _, kind := range z.Kinds {
			if !slices.ContainsFunc(plan.Zones, func(o Zone) bool { return !lost[o.Name] && slices.Contains(o.Kinds, kind) }) {
				lines = append(lines, fmt.Sprintf("%s alone has executors of kind %s: what runs on nothing else is denied with a time to return", zone, kind))
			}
		}
	}
	return lines, nil
}
