package locality

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	maxZones            = 32 // in a plan or a report
	maxExplanations     = 4 * maxZones
	inputConfirmations  = 2     // consecutive reviews with the same input before a zone's state changes
	forgetLostMS        = 180e3 // after which a lost zone without executors and controllers is removed from the plan
	unreachableFraction = 0.2   // a zone counts as unreachable below this fraction of its cores
	degradedFraction    = 0.8   // a zone counts as degraded below this fraction of its cores
)

// planInput is the data from which a plan is computed.
type planInput struct {
	now      float64
	reports  map[string]Report   // by the zone of the observers
	cores    map[string]float64  // by zone, in this controller's endpoint list; nil: the list is unavailable
	kinds    map[string][]string // kinds of executors by zone, in the same list; sorted
	members  []Member
	orders   []Order // in force
	settings *Settings
}

// planner computes plans on the leader.
type planner struct {
	histories    map[string]*zoneHistory // by zone
	revoked      []timedRevocation
	explanations []string // of the latest plan

	skipRevocationWait bool // for tests only: grant revoked shares to other controllers immediately
}

// timedRevocation is a revoked share with the time until which it may still be in use.
type timedRevocation struct {
	RevokedShare
	until float64
}

// start prepares for planning from the plan of another leader. The shares that the plan lists as revoked may be in use
// for a whole lease duration, because it is unknown how long they have been revoked.
func (p *planner) start(now float64, plan *Plan, settings *Settings) {
	p.histories = map[string]*zoneHistory{}
	p.revoked = nil
	for _, r := range plan.Revoked {
		p.revoked = append(p.revoked, timedRevocation{r, now + settings.LeaseMS})
	}
	for k := range plan.Zones {
		p.historyOf(plan.Zones[k].Name, now)
	}
}

// historyOf returns the history of a zone, which it creates if there is none.
func (p *planner) historyOf(zone string, now float64) *zoneHistory {
	history := p.histories[zone]
	if history == nil {
		history = &zoneHistory{since: now, lastInput: inputHealthy}
		p.histories[zone] = history
	}
	return history
}

// nextPlan computes the plan that follows the previous one, and reports whether they differ.
func (p *planner) nextPlan(previous *Plan, in *planInput) (plan Plan, changed bool) {
	plan = Plan{Number: previous.Number + 1}
	p.explanations = p.explanations[:0]
	p.revoked = slices.DeleteFunc(p.revoked, func(r timedRevocation) bool {
		return in.now >= r.until || p.skipRevocationWait
	})
	for _, name := range zoneNames(previous, in) {
		zone := Zone{Name: name}
		if old := previous.findZone(name); old != nil {
			zone = *old
		}
		zoneChanged, abandoned := p.reviewZone(&zone, in)
		changed = changed || zoneChanged
		if !abandoned {
			plan.Zones = append(plan.Zones, zone)
		}
	}
	changed = changed || len(plan.Zones) != len(previous.Zones)
	p.allocate(previous, &plan, in)
	if !changed && equalShares(previous.Pairs, plan.Pairs) && len(previous.Revoked) == len(p.revoked) {
		return plan, false
	}
	for _, r := range p.revoked {
		revoked := r.RevokedShare
		revoked.LeftMS = math.Ceil(r.until - in.now)
		plan.Revoked = append(plan.Revoked, revoked)
	}
	return plan, true
}

// equalShares reports whether two plans have the same pairs with the same shares. Caps may differ.
func equalShares(a, b []ZonePair) bool {
	return slices.EqualFunc(a, b, func(x, y ZonePair) bool {
		return x.From == y.From && x.To == y.To && slices.Equal(x.Shares, y.Shares)
	})
}

// zoneNames returns the sorted names of the zones in a plan or in the endpoint list, at most maxZones.
func zoneNames(plan *Plan, in *planInput) []string {
	set := map[string]bool{}
	for k := range plan.Zones {
		set[plan.Zones[k].Name] = true
	}
	for name, cores := range in.cores {
		if cores > 0 {
			set[name] = true
		}
	}
	names := slices.Sorted(maps.Keys(set))
	return names[:min(len(names), maxZones)]
}

// reviewZone updates a zone's state. It reports whether the zone changed, and whether it is abandoned and must be
// removed from the plan.
func (p *planner) reviewZone(zone *Zone, in *planInput) (changed, abandoned bool) {
	history := p.historyOf(zone.Name, in.now)
	before := *zone
	zone.countMembers(in.members)
	stateInput, reason := classify(zone, in)
	if stateInput == history.lastInput {
		history.repeats++
	} else {
		history.lastInput = stateInput
		history.repeats = 1
	}
	review := &zoneReview{zone: zone, history: history, now: in.now}
	order := orderFor(in.orders, zone.Name)
	switch {
	case order == Evacuate:
		stateInput = inputEvacuate
		reason = "an operator's order evacuates it"
		review.apply(stateInput)
	case zone.State == Evacuated:
		stateInput = inputEvacuationOver
		reason = "the evacuation order has ended"
		review.apply(stateInput)
	case history.repeats >= inputConfirmations:
		review.apply(stateInput)
	}
	if stateInput == inputHealthy || stateInput == inputDegraded && zone.State == Lost {
		history.stableSince = cmp.Or(history.stableSince, in.now)
	} else {
		history.stableSince = 0
	}
	review.advanceRecovery(in, order)
	if zone.State == Healthy && stateInput == inputHealthy && in.cores[zone.Name] > 0 {
		zone.Cores = in.cores[zone.Name]
		zone.Kinds = in.kinds[zone.Name]
	}
	if zone.State != before.State || zone.Stage != before.Stage {
		zone.Reason = reason
		p.explain("zone %s: %s, stage %d (was %s, stage %d): %s", zone.Name, zone.State, zone.Stage, before.State,
			before.Stage, reason)
	}
	if zone.isAbandoned(in, history) {
		delete(p.histories, zone.Name)
		return true, true
	}
	return zone.differs(&before), false
}

// countMembers sets the number of a zone's live controllers, and its region to theirs.
func (z *Zone) countMembers(members []Member) {
	z.Members = 0
	for _, m := range members {
		if m.Zone == z.Name && m.Live {
			z.Members++
			z.Region = cmp.Or(m.Region, z.Region)
		}
	}
}

// isAbandoned reports whether a zone has neither executors nor controllers, and was never used or has been lost for
// forgetLostMS. It was probably renamed or removed by operators.
func (z *Zone) isAbandoned(in *planInput, history *zoneHistory) bool {
	if in.cores == nil || in.cores[z.Name] != 0 || z.Members != 0 {
		return false
	}
	return z.State == Healthy && z.Cores == 0 || z.State == Lost && in.now > history.since+forgetLostMS
}

// differs reports whether the zone differs from another one such that a new plan is needed.
func (z *Zone) differs(other *Zone) bool {
	return z.State != other.State || z.Stage != other.Stage || z.Cores != other.Cores || z.Members != other.Members ||
		z.Region != other.Region || !slices.Equal(z.Kinds, other.Kinds)
}

// advanceRecovery lets a lost zone start to recover, and a recovering one reach its next stage or the end of its
// recovery, once the zone has been stable for long enough.
func (r *zoneReview) advanceRecovery(in *planInput, order OrderKind) {
	zone := r.zone
	history := r.history
	if order == Hold || history.stableSince == 0 {
		return
	}
	stableMS := in.now - max(history.stableSince, history.since)
	switch {
	case zone.State == Lost && (stableMS >= zone.recoveryWaitMS(in.settings) || order == Return):
		r.apply(inputStageDue)
	case zone.State == Recovering && stableMS >= in.settings.StageMS:
		history.stableSince = in.now
		if zone.Stage+1 >= len(recoveryStages) {
			r.apply(inputRecovered)
		} else {
			r.apply(inputStageDue)
		}
	}
}

// orderFor returns the kind of the last order for a zone, or "" if there is none.
func orderFor(orders []Order, zone string) (kind OrderKind) {
	for _, o := range orders {
		if o.Zone == zone {
			kind = o.Kind
		}
	}
	return kind
}

// explain adds a line to the reasons for the plan, for operators.
func (p *planner) explain(format string, args ...any) {
	if len(p.explanations) < maxExplanations {
		p.explanations = append(p.explanations, fmt.Sprintf(format, args...))
	}
}
