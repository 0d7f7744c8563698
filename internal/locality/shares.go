package locality

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
)

// maxShareMembers limits the number of controllers of a zone that get shares of a cap.
const maxShareMembers = 1024

// route is the direction of requests from the controllers of one zone to the executors of another, or of the same one.
type route struct{ from, to string }

// usage is the number of threads that controllers may be using already when a plan is computed.
type usage struct {
	byMember map[route]map[string]float64 // by name of the controller
	byRoute  map[route]float64
	byTarget map[string]float64 // by zone of the executors
}

// assignShares divides caps into shares. A controller keeps its share up to the size that it should have now. Threads
// that are revoked from a controller are granted to another one only after the lease of the first has ended. So the
// threads in use stay within a cap, or within the previous cap as long as shares of that may be in use. The map
// available has the threads that all pairs to a zone may have together.
func (p *planner) assignShares(previous, plan *Plan, available map[string]float64, in *planInput) {
	unit := max(1, in.settings.MinShare)
	members := membersByZone(in.members)
	desired := make([]map[string]float64, len(plan.Pairs))
	for k := range plan.Pairs {
		pair := &plan.Pairs[k]
		names := members[pair.From]
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(memberHash(a, pair.To), memberHash(b, pair.To)), cmp.Compare(a, b))
		})
		desired[k] = divideUnits(names, previous.Pair(pair.From, pair.To), math.Floor(pair.Cap/unit), unit)
	}
	p.revokeShares(previous, plan, desired, in)
	used := p.currentUsage(previous, plan, desired)
	for k := range plan.Pairs {
		pair := &plan.Pairs[k]
		for _, name := range members[pair.From] {
			threads := used.grant(pair, name, desired[k][name], available[pair.To], unit)
			if threads > 0 {
				pair.Shares = append(pair.Shares, Share{name, threads})
			}
		}
		slices.SortFunc(pair.Shares, func(a, b Share) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// membersByZone returns the names of the live members of each zone, at most maxShareMembers.
func membersByZone(list []Member) map[string][]string {
	names := map[string][]string{}
	for _, m := range list {
		if m.Live && len(names[m.Zone]) < maxShareMembers {
			names[m.Zone] = append(names[m.Zone], m.Name)
		}
	}
	return names
}

// revokeShares records the shares of the previous plan that are larger than the desired ones as revoked.
func (p *planner) revokeShares(previous, plan *Plan, desired []map[string]float64, in *planInput) {
	for _, old := range previous.Pairs {
		k := slices.IndexFunc(plan.Pairs, func(pair ZonePair) bool { return pair.From == old.From && pair.To == old.To })
		for _, share := range old.Shares {
			if k >= 0 && desired[k][share.Name] >= share.Threads {
				continue
			}
			revoked := RevokedShare{From: old.From, To: old.To, Name: share.Name, Threads: share.Threads}
			p.revoked = append(p.revoked, timedRevocation{revoked, in.now + in.settings.LeaseMS})
		}
	}
}

// currentUsage returns the threads that may be in use already: revoked shares, and desired shares as far as the
// previous plan granted them.
func (p *planner) currentUsage(previous, plan *Plan, desired []map[string]float64) usage {
	u := usage{byMember: map[route]map[string]float64{}, byRoute: map[route]float64{}, byTarget: map[string]float64{}}
	add := func(r route, name string, threads float64) {
		if u.byMember[r] == nil {
			u.byMember[r] = map[string]float64{}
		}
		u.byMember[r][name] = max(u.byMember[r][name], threads)
	}
	for _, r := range p.revoked {
		add(route{r.From, r.To}, r.Name, r.Threads)
	}
	for k := range plan.Pairs {
		pair := &plan.Pairs[k]
		old := previous.Pair(pair.From, pair.To)
		for name, threads := range desired[k] {
			add(route{pair.From, pair.To}, name, min(threads, old.threadsOf(name)))
		}
	}
	for r, threadsByMember := range u.byMember {
		for _, threads := range threadsByMember {
			u.byRoute[r] += threads
			u.byTarget[r.to] += threads
		}
	}
	return u
}

// grant returns a controller's share of a pair: the threads that it may be using already, and more up to the desired
// ones as far as the cap of the pair and the capacity available in the target zone allow.
func (u *usage) grant(pair *ZonePair, name string, desired, available, unit float64) float64 {
	r := route{pair.From, pair.To}
	inUse := u.byMember[r][name]
	free := math.Floor(min(pair.Cap-u.byRoute[r], available-u.byTarget[r.to])/unit) * unit
	if extra := min(desired-inUse, free); extra > 0 {
		u.byRoute[r] += extra
		u.byTarget[r.to] += extra
		inUse += extra
	}
	return math.Floor(min(desired, inUse)/unit) * unit
}

// memberHash returns the hash by which the controllers are sorted for a zone. The order is the same on each controller
// and differs between zones, so that the remainders of all caps do not go to the same controllers.
func memberHash(name, zone string) uint32 { return crc32.ChecksumIEEE([]byte(zone + "\x00" + name)) }

// divideUnits divides units of a cap evenly among controllers and returns their threads by name. The remainder goes to
// the controllers with the largest previous shares, and among equal ones to the first in names.
func divideUnits(names []string, old *ZonePair, units, unit float64) map[string]float64 {
	shares := map[string]float64{}
	if len(names) == 0 || units < 1 {
		return shares
	}
	each := math.Floor(units / float64(len(names)))
	remainder := int(units) - int(each)*len(names)
	ordered := slices.Clone(names)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return -cmp.Compare(min(old.threadsOf(a), (each+1)*unit), min(old.threadsOf(b), (each+1)*unit))
	})
	for k, name := range ordered {
		shares[name] = each * unit
		if k < remainder {
			shares[name] += unit
		}
	}
	return shares
}
