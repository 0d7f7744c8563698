package locality

import (
	"cmp"
	"math"
	"slices"
)

const (
	demandSmoothing = 0.4 // weight of the latest observation
	standingShare   = 0.5 // of a zone's spare capacity that the other zones of its region may use at any time
	capKeepLow      = 0.7 // a cap stays while the new one is at least this share of it,
	capKeepHigh     = 1.2 // and at most this one
)

// Tiers of distance between zones.
const (
	tierSameRegion  = 1
	tierOtherRegion = 2
)

// zoneFlow is the capacity and demand of a zone while a plan is made, in threads.
type zoneFlow struct {
	zone     *Zone
	capacity float64
	demand   float64 // of its own controllers
	unmet    float64 // the part of the demand that finds no capacity yet
	spare    float64 // what other zones may still get
}

func tierBetween(a, b *Zone) int {
	if a.Region == b.Region {
		return tierSameRegion
	}
	return tierOtherRegion
}

// allocate computes the caps and shares of a plan, and revokes shares of the plan before it.
func (p *planner) allocate(previous, plan *Plan, in *planInput) {
	flows := make([]zoneFlow, len(plan.Zones))
	available := map[string]float64{} // by zone, for all of its pairs
	for k := range plan.Zones {
		z := &plan.Zones[k]
		f := p.newFlow(z, in)
		share, openToOthers := z.openShare()
		own := f.capacity * share
		f.unmet = max(0, f.demand-own)
		if openToOthers {
			f.spare = in.settings.SpillShare * max(0, f.capacity-f.demand)
			available[z.Name] = f.spare
		} else {
			available[z.Name] = own
			plan.Pairs = append(plan.Pairs, Pair{From: z.Name, To: z.Name, Cap: math.Floor(own)})
			p.explain("zone %s to itself: %.0f of %.0f threads, as it is %s", z.Name, own, f.capacity, z.State)
		}
		flows[k] = f
	}
	for k := range flows {
		allocateStanding(&flows[k], flows, previous, plan)
	}
	for tier := tierSameRegion; tier <= tierOtherRegion; tier++ {
		for k := range flows {
			p.allocateSpare(&flows[k], flows, tier, previous, plan)
		}
	}
	slices.SortFunc(plan.Pairs, func(a, b Pair) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	p.assignShares(previous, plan, available, in)
}

// newFlow returns a zone's capacity and smoothed demand.
func (p *planner) newFlow(z *Zone, in *planInput) zoneFlow {
	m := p.memories[z.Name]
	if !m.demandIsGiven {
		m.demand += demandSmoothing * (demandOf(in, z) - m.demand)
		m.recordPeak(in.now)
	}
	return zoneFlow{zone: z, capacity: in.settings.ThreadsPerCore * z.Cores * reachableShare(z, in), demand: m.demand}
}

// allocateStanding gives the other zones of a region a share of a zone's spare capacity before they need it, so that failover waits for
// no plan.
func allocateStanding(to *zoneFlow, flows []zoneFlow, previous, plan *Plan) {
	neighbors := 0.0
	for k := range flows {
		if f := &flows[k]; f.zone != to.zone && tierBetween(f.zone, to.zone) == tierSameRegion {
			neighbors++
		}
	}
	most := standingShare * to.spare / max(1, neighbors)
	for k := range flows {
		f := &flows[k]
		if f.zone == to.zone || tierBetween(f.zone, to.zone) != tierSameRegion {
			continue
		}
		threads := keepSimilar(previous.Pair(f.zone.Name, to.zone.Name), math.Floor(most), most)
		if threads < 1 {
			continue
		}
		plan.Pairs = append(plan.Pairs, Pair{From: f.zone.Name, To: to.zone.Name, Cap: threads})
		f.unmet -= min(f.unmet, threads)
		to.spare -= threads
	}
}

// keepSimilar returns the old cap where the new one hardly differs and the old one is allowed: a change revokes a share, which takes time.
func keepSimilar(old *Pair, threads, most float64) float64 {
	if old == nil || old.Cap > most {
		return threads
	}
	if threads > capKeepLow*old.Cap && threads < capKeepHigh*old.Cap {
		return old.Cap
	}
	return threads
}

// allocateSpare gives a zone's spare capacity to the zones of a tier with unmet demand, in proportion to that.
func (p *planner) allocateSpare(to *zoneFlow, flows []zoneFlow, tier int, previous, plan *Plan) {
	totalUnmet := 0.0
	for k := range flows {
		if f := &flows[k]; f.zone != to.zone && tierBetween(f.zone, to.zone) == tier {
			totalUnmet += f.unmet
		}
	}
	if to.spare < 1 || totalUnmet == 0 {
		return
	}
	spare := to.spare
	for k := range flows {
		f := &flows[k]
		if f.zone == to.zone || tierBetween(f.zone, to.zone) != tier || f.unmet == 0 {
			continue
		}
		pair := plan.Pair(f.zone.Name, to.zone.Name)
		standing := 0.0
		if pair != nil {
			standing = pair.Cap
		}
		threads := math.Floor(min(spare*f.unmet/totalUnmet, f.unmet))
		threads = keepSimilar(previous.Pair(f.zone.Name, to.zone.Name), standing+threads, standing+to.spare) - standing
		if threads < 1 {
			continue
		}
		if pair == nil {
			plan.Pairs = append(plan.Pairs, Pair{From: f.zone.Name, To: to.zone.Name})
			pair = &plan.Pairs[len(plan.Pairs)-1]
		}
		pair.Cap += threads
		p.explain("zone %s to %s: %.0f threads, %.0f are left there (%.0f of %.0f in use by its own), %.0f more needed", f.zone.Name, to.zone.Name,
			pair.Cap, to.spare, to.demand, to.capacity, f.unmet)
		f.unmet -= min(f.unmet, threads)
		to.spare -= threads
	}
}
