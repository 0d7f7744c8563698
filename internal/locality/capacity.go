package locality

import (
	"cmp"
	"math"
	"slices"
)

const (
	demandSmoothing  = 0.4 // weight of the latest demand in the moving average
	standingFraction = 0.5 // of a zone's spare capacity that the other zones of its region may use at any time
	minKeptCapRatio  = 0.7 // a cap is kept if the new one is more than this multiple of it
	maxKeptCapRatio  = 1.2 // and less than this one
)

// Tiers of other zones by their distance, as in scheduler.ZoneReach.
const (
	tierSameRegion  = 1
	tierOtherRegion = 2
)

// zoneLoad is the capacity and demand of a zone while a plan is computed, in threads.
type zoneLoad struct {
	zone     *Zone
	capacity float64 // of the executors that are reachable
	demand   float64 // of the zone's own controllers
	unmet    float64 // part of the demand that has been given no capacity yet
	spare    float64 // capacity that other zones may still be given
}

// tierBetween returns the tier of one zone for the controllers of the other.
func tierBetween(a, b *Zone) int {
	if a.Region == b.Region {
		return tierSameRegion
	}
	return tierOtherRegion
}

// allocate computes the caps and shares of a plan, and revokes shares of the previous plan that are too large now.
func (p *planner) allocate(previous, plan *Plan, in *planInput) {
	loads := make([]zoneLoad, len(plan.Zones))
	available := map[string]float64{} // by zone of the executors: the sum that all pairs may be given
	for k := range plan.Zones {
		zone := &plan.Zones[k]
		load := p.newZoneLoad(zone, in)
		fraction, openToOthers := zone.openFraction()
		own := load.capacity * fraction
		load.unmet = max(0, load.demand-own)
		if openToOthers {
			load.spare = in.settings.SpillShare * max(0, load.capacity-load.demand)
			available[zone.Name] = load.spare
		} else {
			available[zone.Name] = own
			plan.Pairs = append(plan.Pairs, ZonePair{From: zone.Name, To: zone.Name, Cap: math.Floor(own)})
			p.explain("zone %s to itself: %.0f of %.0f threads, because its state is %s", zone.Name, own, load.capacity,
				zone.State)
		}
		loads[k] = load
	}
	for k := range loads {
		allocateStandingCaps(&loads[k], loads, previous, plan)
	}
	for tier := tierSameRegion; tier <= tierOtherRegion; tier++ {
		for k := range loads {
			p.allocateSpare(&loads[k], loads, tier, previous, plan)
		}
	}
	slices.SortFunc(plan.Pairs, func(a, b ZonePair) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	p.assignShares(previous, plan, available, in)
}

// newZoneLoad returns a zone's capacity and smoothed demand, and records the demand in the zone's history.
func (p *planner) newZoneLoad(zone *Zone, in *planInput) zoneLoad {
	history := p.histories[zone.Name]
	if !history.demandIsAssumed {
		history.demand += demandSmoothing * (demandOf(in, zone) - history.demand)
		history.recordPeak(in.now)
	}
	capacity := in.settings.ThreadsPerCore * zone.Cores * reachableFraction(zone, in)
	return zoneLoad{zone: zone, capacity: capacity, demand: history.demand}
}

// allocateStandingCaps gives the other zones of a region a part of a zone's spare capacity before they need it, so that
// their requests can fail over before a new plan is agreed on.
func allocateStandingCaps(to *zoneLoad, loads []zoneLoad, previous, plan *Plan) {
	neighbors := 0.0
	for k := range loads {
		if from := &loads[k]; from.zone != to.zone && tierBetween(from.zone, to.zone) == tierSameRegion {
			neighbors++
		}
	}
	most := standingFraction * to.spare / max(1, neighbors)
	for k := range loads {
		from := &loads[k]
		if from.zone == to.zone || tierBetween(from.zone, to.zone) != tierSameRegion {
			continue
		}
		threads := keepCapIfSimilar(previous.Pair(from.zone.Name, to.zone.Name), math.Floor(most), most)
		if threads < 1 {
			continue
		}
		plan.Pairs = append(plan.Pairs, ZonePair{From: from.zone.Name, To: to.zone.Name, Cap: threads})
		from.unmet -= min(from.unmet, threads)
		to.spare -= threads
	}
}

// keepCapIfSimilar returns the old cap if the new one hardly differs from it and the old one is allowed. Changing a cap
// may revoke shares, whose threads no other controller gets for a lease duration.
func keepCapIfSimilar(old *ZonePair, threads, most float64) float64 {
	if old == nil || old.Cap > most {
		return threads
	}
	if threads > minKeptCapRatio*old.Cap && threads < maxKeptCapRatio*old.Cap {
		return old.Cap
	}
	return threads
}

// allocateSpare divides a zone's spare capacity among the zones of a tier, in proportion to their unmet demand.
func (p *planner) allocateSpare(to *zoneLoad, loads []zoneLoad, tier int, previous, plan *Plan) {
	totalUnmet := 0.0
	for k := range loads {
		if from := &loads[k]; from.zone != to.zone && tierBetween(from.zone, to.zone) == tier {
			totalUnmet += from.unmet
		}
	}
	if to.spare < 1 || totalUnmet == 0 {
		return
	}
	spare := to.spare
	for k := range loads {
		from := &loads[k]
		if from.zone == to.zone || tierBetween(from.zone, to.zone) != tier || from.unmet == 0 {
			continue
		}
		pair := plan.Pair(from.zone.Name, to.zone.Name)
		standing := 0.0
		if pair != nil {
			standing = pair.Cap
		}
		threads := math.Floor(min(spare*from.unmet/totalUnmet, from.unmet))
		old := previous.Pair(from.zone.Name, to.zone.Name)
		threads = keepCapIfSimilar(old, standing+threads, standing+to.spare) - standing
		if threads < 1 {
			continue
		}
		if pair == nil {
			plan.Pairs = append(plan.Pairs, ZonePair{From: from.zone.Name, To: to.zone.Name})
			pair = &plan.Pairs[len(plan.Pairs)-1]
		}
		pair.Cap += threads
		p.explain("zone %s to %s: cap %.0f threads; %.0f were spare there (its own controllers need %.0f of %.0f), "+
			"the unmet demand is %.0f",
			from.zone.Name, to.zone.Name, pair.Cap, to.spare, to.demand, to.capacity, from.unmet)
		from.unmet -= min(from.unmet, threads)
		to.spare -= threads
	}
}
