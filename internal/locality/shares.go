package locality

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
)

// maxShareMembers is the number of controllers of a zone that may have shares of a cap.
const maxShareMembers = 1024

// route is from the controllers of one zone to the executors of another.
type route struct{ from, to string }

// usage is what controllers may be using by now, in threads.
type usage struct {
	byMember map[route]map[string]float64
	byRoute  map[route]float64
	byTarget map[string]float64
}

// assignShares divides caps into shares. A controller keeps its share as far as it is due; what is revoked is granted to another one only
// once it can't be in use any more. So what may be in use of a cap stays within it, or within the one before as long as that may be in use.
func (p *planner) assignShares(previous, plan *Plan, available map[string]float64, in *planInput) {
	unit := max(1, in.settings.MinShare)
	members := membersByZone(in.members)
	desired := make([]map[string]float64, len(plan.Pairs))
	for k := range plan.Pairs {
		pair := &plan.Pairs[k]
		names := members[pair.From]
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(rank(a, pair.To), rank(b, pair.To)), cmp.Compare(a, b))
		})
		desired[k] = divide(names, previous.Pair(pair.From, pair.To), math.Floor(pair.Cap/unit), unit)
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

func membersByZone(list []Member) map[string][]string {
	names := map[string][]string{}
	for _, m := range list {
		if m.Live && len(names[m.Zone]) < maxShareMembers {
			names[m.Zone] = append(names[m.Zone], m.Name)
		}
	}
	return names
}

// revokeShares notes the shares of the previous plan that are larger than what is desired now.
func (p *planner) revokeShares(previous, plan *Plan, desired []map[string]float64, in *planInput) {
	for _, old := range previous.Pairs {
		k := slices.IndexFunc(plan.Pairs, func(pair Pair) bool { return pair.From == old.From && pair.To == old.To })
		for _, share := range old.Shares {
			if k >= 0 && desired[k][share.Name] >= share.Threads {
				continue
			}
			revoked := RevokedShare{From: old.From, To: old.To, Name: share.Name, Threads: share.Threads}
			p.revoked = append(p.revoked, timedRevocation{revoked, in.now + in.settings.LeaseMS})
		}
	}
}

// currentUsage returns what may be in use by now: revoked shares, and the parts of desired shares that the previous plan had granted.
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
	for r, members := range u.byMember {
		for _, threads := range members {
			u.byRoute[r] += threads
			u.byTarget[r.to] += threads
		}
	}
	return u
}

// grant returns a member's share: what it may be using already, and more as far as the cap and the target's capacity allow.
func (u *usage) grant(pair *Pair, name string, desired, available, unit float64) float64 {
	r := route{pair.From, pair.To}
	inUse := u.byMember[r][name]
	room := math.Floor(min(pair.Cap-u.byRoute[r], available-u.byTarget[r.to])/unit) * unit
	if extra := min(desired-inUse, room); extra > 0 {
		u.byRoute[r] += extra
		u.byTarget[r.to] += extra
		inUse += extra
	}
	return math.Floor(min(desired, inUse)/unit) * unit
}

// rank orders members for a zone: differently for each zone, and equally on each controller.
func rank(name, zone string) uint32 { return crc32.ChecksumIEEE([]byte(zone + "\x00" + name)) }

// divide gives each member the same number of units. Those that are left over go to the members that had most before, then by the order
// of the names.
func divide(names []string, old *Pair, units, unit float64) map[string]float64 {
	shares := map[string]float64{}
	if len(names) == 0 || units < 1 {
		return shares
	}
	each := math.Floor(units / float64(len(names)))
	rest := int(units) - int(each)*len(names)
	ordered := slices.Clone(names)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return -cmp.Compare(min(old.threadsOf(a), (each+1)*unit), min(old.threadsOf(b), (each+1)*unit))
	})
	for k, name := range ordered {
		shares[name] = each * unit
		if k < rest {
			shares[name] += unit
		}
	}
	return shares
}
