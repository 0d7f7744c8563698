package locality

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	maxZones           = 32
	maxExplanations    = 4 * maxZones
	inputConfirmations = 2     // reviews in a row with the same input before a zone's state changes
	forgetLostMS       = 180e3 // after which a lost zone without executors and controllers is forgotten
	unreachableShare   = 0.2   // a zone with a smaller share of its cores is unreachable
	degradedShare      = 0.8   // a zone with a smaller share of its cores is degraded
)

// planInput is what a plan is made of.
type planInput struct {
	now      float64
	reports  map[string]Report  // by the observers' zone
	cores    map[string]float64 // by zone, in this member's endpoint list; nil: the list is unavailable
	kinds    map[string][]string
	members  []Member
	orders   []Order // in force
	settings *Settings
}

// planner makes plans on the leader.
type planner struct {
	memories     map[string]*zoneMemory
	revoked      []timedRevocation
	explanations []string // of the latest plan

	skipRevocation bool // for tests alone: a share that is revoked is granted to another controller at once
}

// timedRevocation is a revoked share with the time until which it may still be used.
type timedRevocation struct {
	RevokedShare
	until float64
}

// start takes over a plan of another leader. All shares that it has revoked may be in use for as long as a share is valid.
func (p *planner) start(now float64, plan *Plan, settings *Settings) {
	p.memories = map[string]*zoneMemory{}
	p.revoked = nil
	for _, r := range plan.Revoked {
		p.revoked = append(p.revoked, timedRevocation{r, now + settings.LeaseMS})
	}
	for k := range plan.Zones {
		p.memory(plan.Zones[k].Name, now)
	}
}

// memory returns the memory of a zone and creates it if need be.
func (p *planner) memory(zone string, now float64) *zoneMemory {
	m := p.memories[zone]
	if m == nil {
		m = &zoneMemory{since: now, lastInput: inputHealthy}
		p.memories[zone] = m
	}
	return m
}

// next makes the plan that follows another, and reports whether it differs.
func (p *planner) next(previous *Plan, in *planInput) (plan Plan, changed bool) {
	plan = Plan{Number: previous.Number + 1}
	p.explanations = p.explanations[:0]
	p.revoked = slices.DeleteFunc(p.revoked, func(r timedRevocation) bool { return in.now >= r.until || p.skipRevocation })
	for _, name := range zoneNames(previous, in) {
		z := Zone{Name: name}
		if old := previous.findZone(name); old != nil {
			z = *old
		}
		zoneChanged, forgotten := p.reviewZone(&z, in)
		changed = changed || zoneChanged
		if !forgotten {
			plan.Zones = append(plan.Zones, z)
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

func equalShares(a, b []Pair) bool {
	return slices.EqualFunc(a, b, func(x, y Pair) bool { return x.From == y.From && x.To == y.To && slices.Equal(x.Shares, y.Shares) })
}

// zoneNames returns the zones of a plan and of the endpoint list, sorted.
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

// reviewZone brings a zone's state up to date and reports whether the zone changed, or is to be forgotten.
func (p *planner) reviewZone(z *Zone, in *planInput) (changed, forgotten bool) {
	m := p.memory(z.Name, in.now)
	before := *z
	z.countMembers(in.members)
	sign, reason := classify(z, in)
	if sign == m.lastInput {
		m.repeats++
	} else {
		m.lastInput = sign
		m.repeats = 1
	}
	r := &zoneReview{zone: z, memory: m, now: in.now}
	order := orderFor(in.orders, z.Name)
	switch {
	case order == Evacuate:
		sign = inputEvacuate
		reason = "an operator wants it empty"
		r.apply(sign)
	case z.State == Evacuated:
		sign = inputEvacuationOver
		reason = "the order to empty it is over"
		r.apply(sign)
	case m.repeats >= inputConfirmations:
		r.apply(sign)
	}
	if sign == inputHealthy || sign == inputDegraded && z.State == Lost {
		m.goodSince = cmp.Or(m.goodSince, in.now)
	} else {
		m.goodSince = 0
	}
	r.advanceRecovery(in, order)
	if z.State == Healthy && sign == inputHealthy && in.cores[z.Name] > 0 {
		z.Cores = in.cores[z.Name]
		z.Kinds = in.kinds[z.Name]
	}
	if z.State != before.State || z.Stage != before.Stage {
		z.Reason = reason
		p.explain("zone %s: %s, stage %d (was %s, stage %d): %s", z.Name, z.State, z.Stage, before.State, before.Stage, reason)
	}
	if z.isAbandoned(in, m) {
		delete(p.memories, z.Name)
		return true, true
	}
	return z.differs(&before), false
}

// countMembers counts a zone's live controllers and takes its region from them.
func (z *Zone) countMembers(members []Member) {
	z.Members = 0
	for _, m := range members {
		if m.Zone == z.Name && m.Live {
			z.Members++
			z.Region = cmp.Or(m.Region, z.Region)
		}
	}
}

// isAbandoned reports whether a zone has neither executors nor controllers and was never used, or has been lost for long: it was renamed
// or given up.
func (z *Zone) isAbandoned(in *planInput, m *zoneMemory) bool {
	if in.cores == nil || in.cores[z.Name] != 0 || z.Members != 0 {
		return false
	}
	return z.State == Healthy && z.Cores == 0 || z.State == Lost && in.now > m.since+forgetLostMS
}

// differs reports whether a plan with one zone differs from a plan with the other.
func (z *Zone) differs(other *Zone) bool {
	return z.State != other.State || z.Stage != other.Stage || z.Cores != other.Cores || z.Members != other.Members ||
		z.Region != other.Region || !slices.Equal(z.Kinds, other.Kinds)
}

// advanceRecovery has a lost zone start to recover, or a recovering one gain a stage, once there have been no bad signs for long enough.
func (r *zoneReview) advanceRecovery(in *planInput, order OrderKind) {
	z := r.zone
	m := r.memory
	if order == Hold || m.goodSince == 0 {
		return
	}
	goodMS := in.now - max(m.goodSince, m.since)
	switch {
	case z.State == Lost && (goodMS >= z.recoveryWaitMS(in.settings) || order == Return):
		r.apply(inputStageDue)
	case z.State == Recovering && goodMS >= in.settings.StageMS:
		m.goodSince = in.now
		if z.Stage+1 >= len(recoveryStages) {
			r.apply(inputRecovered)
		} else {
			r.apply(inputStageDue)
		}
	}
}

// orderFor returns the latest of the orders for a zone, or "".
func orderFor(orders []Order, zone string) (kind OrderKind) {
	for _, o := range orders {
		if o.Zone == zone {
			kind = o.Kind
		}
	}
	return kind
}

// explain adds a line about why the plan is as it is. The control socket prints the lines.
func (p *planner) explain(format string, args ...any) {
	if len(p.explanations) < maxExplanations {
		p.explanations = append(p.explanations, fmt.Sprintf(format, args...))
	}
}
