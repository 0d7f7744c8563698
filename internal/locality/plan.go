package locality

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

// seen is all that a plan is made of.
type seen struct {
	now     float64
	reports map[string]Report  // by the zone of those who see
	cores   map[string]float64 // by zone, as this member's list has them; nil: it is out of reach
	kinds   map[string][]string
	members []Member
	orders  []Order
	bounds  *Settings
}

// planner makes plans, where this member leads.
type planner struct {
	memos map[string]*memo
	held  []heldUntil
	Lines []string // why the latest plan is as it is

	careless bool // for tests alone: what is taken from one is another\'s at once
}

type heldUntil struct {
	RevokedShare
	until float64
}

// begin has a planner take up a plan that another made: all that it grants, or holds, may be in use for as long as a part is valid.
func (p *planner) begin(now float64, plan *Plan, b *Settings) {
	p.memos, p.held = map[string]*memo{}, nil
	for _, h := range plan.Revoked {
		p.held = append(p.held, heldUntil{h, now + b.LeaseMS})
	}
	for k := range plan.Zones {
		z := &plan.Zones[k]
		p.memos[z.Name] = &memo{since: now, last: fine}
	}
}

// next makes the plan that is to follow one, and tells whether it is another.
func (p *planner) next(prev *Plan, in *seen) (plan Plan, changed bool) {
	plan = Plan{Number: prev.Number + 1}
	p.Lines = p.Lines[:0]
	p.held = slices.DeleteFunc(p.held, func(h heldUntil) bool { return in.now >= h.until || p.careless })
	for _, name := range p.names(prev, in) {
		z := Zone{Name: name}
		if old := prev.zone(name); old != nil {
			z = *old
		}
		if changed = p.look(&z, in) || changed; z.Name != "" {
			plan.Zones = append(plan.Zones, z)
		}
	}
	changed = changed || len(plan.Zones) != len(prev.Zones)
	p.grant(prev, &plan, in)
	if !changed && samePairs(prev.Pairs, plan.Pairs) && len(prev.Revoked) == len(p.held) {
		return plan, false
	}
	for _, h := range p.held {
		one := h.RevokedShare
		one.LeftMS = math.Ceil(h.until - in.now)
		plan.Revoked = append(plan.Revoked, one)
	}
	return plan, true
}

func samePairs(a, b []Pair) bool {
	return slices.EqualFunc(a, b, func(x, y Pair) bool { return x.From == y.From && x.To == y.To && slices.Equal(x.Shares, y.Shares) })
}

// names gives all zones that are known, in order.
func (p *planner) names(prev *Plan, in *seen) []string {
	set := map[string]bool{}
	for k := range prev.Zones {
		set[prev.Zones[k].Name] = true
	}
	for name, cores := range in.cores {
		if cores > 0 {
			set[name] = true
		}
	}
	names := slices.Sorted(maps.Keys(set))
	return names[:min(len(names), mostZones)]
}

// look judges a zone, by what the looks say two times in a row, and tells whether it stands otherwise now. One that has neither executors
// nor controllers any more, and is not lost, has been renamed: it is forgotten.
func (p *planner) look(z *Zone, in *seen) (changed bool) {
	m := p.memos[z.Name]
	if m == nil {
		m = &memo{since: in.now, last: fine}
		p.memos[z.Name] = m
	}
	before := *z
	z.Members = 0
	for _, x := range in.members {
		if x.Zone == z.Name && x.Living {
			z.Members++
			z.Region = cmp.Or(x.Region, z.Region)
		}
	}
	says, why := p.says(z, in)
	if says == m.last {
		m.times++
	} else {
		m.last, m.times = says, 1
	}
	l := &looked{zone: z, memo: m, now: in.now}
	order := orderOf(in.orders, z.Name)
	switch {
	case order == Evacuate:
		says, why = ordered, "an operator wants it empty"
		l.play(says)
	case z.State == Evacuated:
		says, why = open, "the order to empty it is over"
		l.play(says)
	case m.times >= agree:
		l.play(says)
	}
	if says == fine || says == thin && z.State == Lost {
		m.good = cmp.Or(m.good, in.now)
	} else {
		m.good = 0
	}
	p.advance(l, in, order)
	if z.State == Healthy && says == fine {
		if c := in.cores[z.Name]; in.cores != nil && c > 0 {
			z.Cores, z.Kinds = c, in.kinds[z.Name]
		}
	}
	if z.State != before.State || z.Stage != before.Stage {
		z.Reason = why
		p.line("zone %s: %s, stage %d (was %s, stage %d): %s", z.Name, z.State, z.Stage, before.State, before.Stage, why)
	}
	if in.cores != nil && in.cores[z.Name] == 0 && z.Members == 0 && (z.State == Healthy && z.Cores == 0 || z.State == Lost && in.now > m.since+forgetMS) {
		delete(p.memos, z.Name)
		z.Name = ""
		return true
	}
	return z.State != before.State || z.Stage != before.Stage || z.Cores != before.Cores || z.Members != before.Members || z.Region != before.Region ||
		!slices.Equal(z.Kinds, before.Kinds)
}

// advance has a zone that waits begin its return, and one that returns gain a stage, once there have been good signs for long enough.
func (p *planner) advance(l *looked, in *seen, order OrderKind) {
	z, m := l.zone, l.memo
	if order == Hold || m.good == 0 {
		return
	}
	good := in.now - max(m.good, m.since)
	switch {
	case z.State == Lost && (good >= z.waits(in.bounds) || order == Return):
		l.play(due)
	case z.State == Recovering && good >= in.bounds.StageMS:
		if m.good = in.now; z.Stage+1 >= len(stages) {
			l.play(done)
		} else {
			l.play(due)
		}
	}
}

// orderOf gives the latest of the orders in force for a zone.
func orderOf(orders []Order, zone string) (kind OrderKind) {
	for _, o := range orders {
		if o.Zone == zone {
			kind = o.Kind
		}
	}
	return kind
}

// says weighs the signs of a zone. Its own controllers use its executors, and know; alone they may be those that are cut off. So it is
// gone only if another place says so, too: others' voices, the list, or the view, which has no controller of it.
func (p *planner) says(z *Zone, in *seen) (input, string) {
	var own, far Observation
	ownVoices, farVoices, deaf := 0, 0, 0
	for _, zone := range slices.Sorted(maps.Keys(in.reports)) {
		r := in.reports[zone]
		deaf += r.WithoutList
		for _, s := range r.Observations {
			switch {
			case s.Zone != z.Name:
			case zone == z.Name:
				own.Healthy, own.Degraded, own.Unreachable = own.Healthy+s.Healthy, own.Degraded+s.Degraded, own.Unreachable+s.Unreachable
				ownVoices = s.Healthy + s.Degraded + s.Unreachable
			default:
				far.Healthy, far.Degraded, far.Unreachable = far.Healthy+s.Healthy, far.Degraded+s.Degraded, far.Unreachable+s.Unreachable
				farVoices += s.Healthy + s.Degraded + s.Unreachable
			}
		}
	}
	listed := -1.0 // share of its cores that the list still has; below 0: that is not known
	if in.cores != nil && z.Cores > 0 {
		listed = in.cores[z.Name] / z.Cores
	}
	ownGone, farGone := ownVoices > 0 && 2*own.Unreachable > ownVoices, farVoices > 0 && 2*far.Unreachable > farVoices
	unseen := z.Members == 0
	switch {
	case listed >= 0 && listed < goneShare && (ownGone || ownVoices == 0 || unseen):
		return gone, fmt.Sprintf("the list has %.0f%% of its cores, and %d of %d of its own controllers see it gone", 100*listed, own.Unreachable, ownVoices)
	case ownGone && (farGone || unseen):
		return gone, fmt.Sprintf("%d of %d of its own controllers and %d of %d others see it gone", own.Unreachable, ownVoices, far.Unreachable, farVoices)
	case ownGone && farVoices == 0 && deaf > 0:
		return doubt, fmt.Sprintf("%d of %d of its own controllers see it gone; the list is out of reach", own.Unreachable, ownVoices)
	case ownGone && 5*own.Unreachable > 4*ownVoices && farVoices == 0:
		return gone, fmt.Sprintf("%d of %d of its own controllers see it gone, and nobody else sees it", own.Unreachable, ownVoices)
	case unseen && ownVoices == 0 && farGone:
		return gone, fmt.Sprintf("no controller of it is there, and %d of %d others see it gone", far.Unreachable, farVoices)
	case unseen && ownVoices == 0 && z.Cores > 0 && farVoices == 0:
		return gone, "no controller of it is there, and nobody sees its executors"
	case ownGone || farGone || own.Unreachable > 0 && 5*own.Unreachable > ownVoices:
		return doubt, fmt.Sprintf("%d of %d of its own controllers and %d of %d others see it gone", own.Unreachable, ownVoices, far.Unreachable, farVoices)
	case listed >= 0 && listed < thinShare || 2*(own.Degraded+own.Unreachable) > ownVoices && ownVoices > 0:
		return thin, fmt.Sprintf("the list has %.0f%% of its cores, %d of %d of its own controllers see much of it gone", 100*max(0, listed), own.Degraded+own.Unreachable, ownVoices)
	}
	return fine, fmt.Sprintf("%d of %d of its own controllers reach it", own.Healthy, ownVoices)
}

func (p *planner) line(format string, args ...any) {
	if len(p.Lines) < 4*mostZones {
		p.Lines = append(p.Lines, fmt.Sprintf(format, args...))
	}
}

// ---- caps

// flow is what a zone has and wants.
type flow struct {
	zone  *Zone
	room  float64 // threads that its executors may have from all
	wants float64 // of its own controllers
	need  float64 // of that, what finds no room near
	left  float64 // what others may have of it
}

// grant fills in who may have how much where, and holds back what another may still be using.
func (p *planner) grant(prev, plan *Plan, in *seen) {
	flows, left := make([]flow, len(plan.Zones)), map[string]float64{}
	for k := range plan.Zones {
		z := &plan.Zones[k]
		share, all := z.share()
		f := &flows[k]
		m := p.memos[z.Name]
		if !m.fixed {
			m.wants += steady * (wantsOf(in, z) - m.wants)
			m.note(in.now)
		}
		f.zone, f.room, f.wants = z, in.bounds.ThreadsPerCore*z.Cores*p.reach(z, in), m.wants
		near := f.room * share
		f.need = max(0, f.wants-near)
		if all {
			f.left = in.bounds.SpillShare * max(0, f.room-f.wants)
			left[z.Name] = f.left
		} else {
			left[z.Name] = near
			plan.Pairs = append(plan.Pairs, Pair{From: z.Name, To: z.Name, Cap: math.Floor(near)})
			p.line("zone %s to itself: %.0f of %.0f threads, as it is %s", z.Name, near, f.room, z.State)
		}
	}
	for k := range flows {
		p.stand(&flows[k], flows, prev, plan)
	}
	for tier := 1; tier <= 2; tier++ {
		for k := range flows {
			p.fill(&flows[k], flows, tier, prev, plan)
		}
	}
	slices.SortFunc(plan.Pairs, func(a, b Pair) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	p.share(prev, plan, left, in)
}

// reach is the share of a zone's cores that its controllers reach, as far as that is told; a bad sign counts at once.
func (p *planner) reach(z *Zone, in *seen) float64 {
	share := 1.0
	if in.cores != nil && z.Cores > 0 {
		share = min(1, in.cores[z.Name]/z.Cores)
	}
	for _, s := range in.reports[z.Name].Observations {
		if n := s.Healthy + s.Degraded + s.Unreachable; s.Zone == z.Name && n > 0 {
			share = min(share, (float64(s.Healthy)+0.5*float64(s.Degraded))/float64(n))
		}
	}
	return share
}

// wantsOf is what the controllers of a zone want, held to what so many can want at most: a figure that is false by ten times must not
// open every door.
func wantsOf(in *seen, z *Zone) float64 {
	var each []float64
	for _, r := range in.reports {
		if r.Observers > 0 {
			each = append(each, r.DemandThreads/float64(r.Observers))
		}
	}
	r := in.reports[z.Name]
	if r.Observers == 0 || len(each) == 0 {
		return 0
	}
	slices.Sort(each)
	return min(r.DemandThreads, float64(r.Observers)*max(1, wantsMost*each[(len(each)-1)/2]))
}

// tierOf is how far a zone is from another: 1 in the same region, 2 in another.
func tierOf(a, b *Zone) int {
	if a.Region == b.Region {
		return 1
	}
	return 2
}

// stand gives each zone a part of what is left of the others in its region before it needs any: near ones come first all the same, and
// what it can't have near goes there at once, ahead of any plan.
func (p *planner) stand(to *flow, all []flow, prev, plan *Plan) {
	n := 0.0
	for k := range all {
		if f := &all[k]; f.zone != to.zone && tierOf(f.zone, to.zone) == 1 {
			n++
		}
	}
	most := standing * to.left / max(1, n)
	for k := range all {
		f := &all[k]
		if f.zone == to.zone || tierOf(f.zone, to.zone) != 1 {
			continue
		}
		if take := steadily(prev.Pair(f.zone.Name, to.zone.Name), math.Floor(most), most); take >= 1 {
			plan.Pairs = append(plan.Pairs, Pair{From: f.zone.Name, To: to.zone.Name, Cap: take})
			f.need -= min(f.need, take)
			to.left -= take
		}
	}
}

// steadily keeps a cap as it was where it hardly changes, and may be so: a change takes from somebody, and waits.
func steadily(old *Pair, take, most float64) float64 {
	if old != nil && take > steadyLow*old.Cap && take < steadyHigh*old.Cap && old.Cap <= most {
		return old.Cap
	}
	return take
}

// fill gives what is left of a zone to those of a tier that need it, each its part by what it needs.
func (p *planner) fill(to *flow, all []flow, tier int, prev, plan *Plan) {
	sum := 0.0
	for k := range all {
		if f := &all[k]; f.zone != to.zone && tierOf(f.zone, to.zone) == tier {
			sum += f.need
		}
	}
	if to.left < 1 || sum == 0 {
		return
	}
	left := to.left
	for k := range all {
		f := &all[k]
		if f.zone == to.zone || tierOf(f.zone, to.zone) != tier || f.need == 0 {
			continue
		}
		pair, had := plan.Pair(f.zone.Name, to.zone.Name), 0.0
		if pair != nil {
			had = pair.Cap
		}
		take := math.Floor(min(left*f.need/sum, f.need))
		take = steadily(prev.Pair(f.zone.Name, to.zone.Name), had+take, had+to.left) - had
		if take < 1 {
			continue
		}
		if pair == nil {
			plan.Pairs = append(plan.Pairs, Pair{From: f.zone.Name, To: to.zone.Name})
			pair = &plan.Pairs[len(plan.Pairs)-1]
		}
		pair.Cap += take
		p.line("zone %s to %s: %.0f threads, %.0f are left there (%.0f of %.0f in use by its own), %.0f more needed", f.zone.Name, to.zone.Name,
			pair.Cap, to.left, to.wants, to.room, f.need)
		f.need -= min(f.need, take)
		to.left -= take
	}
}

// way is from the controllers of one zone to the executors of another; use is what each controller may be using of it by now.
type way struct{ from, to string }

// share cuts caps into parts. Who has one keeps it as long as it is due to it; what is taken from one is another's only once nobody can
// be using it any more. So all that may be in use of a cap is within it, or within the one before as long as that may be in use.
func (p *planner) share(prev, plan *Plan, left map[string]float64, in *seen) {
	unit := max(1, in.bounds.MinShare)
	living := map[string][]string{}
	for _, m := range in.members {
		if m.Living && len(living[m.Zone]) < mostOf {
			living[m.Zone] = append(living[m.Zone], m.Name)
		}
	}
	wants := make([]map[string]float64, len(plan.Pairs))
	for k := range plan.Pairs {
		pair := &plan.Pairs[k]
		names := living[pair.From]
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(rank(a, pair.To), rank(b, pair.To)), cmp.Compare(a, b))
		})
		wants[k] = spread(names, prev.Pair(pair.From, pair.To), math.Floor(pair.Cap/unit), unit)
	}
	for _, old := range prev.Pairs { // what is taken away is held back
		k := slices.IndexFunc(plan.Pairs, func(x Pair) bool { return x.From == old.From && x.To == old.To })
		for _, x := range old.Shares {
			if k < 0 || wants[k][x.Name] < x.Threads {
				p.held = append(p.held, heldUntil{RevokedShare{From: old.From, To: old.To, Name: x.Name, Threads: x.Threads}, in.now + in.bounds.LeaseMS})
			}
		}
	}
	use := map[way]map[string]float64{} // by controller: as it may be by now
	add := func(w way, name string, threads float64) {
		if use[w] == nil {
			use[w] = map[string]float64{}
		}
		use[w][name] = max(use[w][name], threads)
	}
	for _, h := range p.held {
		add(way{h.From, h.To}, h.Name, h.Threads)
	}
	for k := range plan.Pairs {
		pair := &plan.Pairs[k]
		for name, want := range wants[k] {
			add(way{pair.From, pair.To}, name, min(want, prev.Pair(pair.From, pair.To).part(name)))
		}
	}
	of, into := map[way]float64{}, map[string]float64{}
	for w, by := range use {
		for _, t := range by {
			of[w] += t
			into[w.to] += t
		}
	}
	for k := range plan.Pairs {
		pair := &plan.Pairs[k]
		w := way{pair.From, pair.To}
		for _, name := range living[pair.From] {
			want, may := wants[k][name], use[w][name]
			room := math.Floor(min(pair.Cap-of[w], left[w.to]-into[w.to])/unit) * unit
			if extra := min(want-may, room); extra > 0 {
				of[w], into[w.to], may = of[w]+extra, into[w.to]+extra, may+extra
			}
			if t := math.Floor(min(want, may)/unit) * unit; t > 0 {
				pair.Shares = append(pair.Shares, Share{name, t})
			}
		}
		slices.SortFunc(pair.Shares, func(a, b Share) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// rank is the order in which members get what does not go round: another for each zone, the same everywhere.
func rank(name, zone string) uint32 { return crc32.ChecksumIEEE([]byte(zone + "\x00" + name)) }

// spread deals whole units among names: the same to all, and what does not go round to those that had more before, then by rank.
func spread(names []string, old *Pair, chunks, unit float64) map[string]float64 {
	want := map[string]float64{}
	if len(names) == 0 || chunks < 1 {
		return want
	}
	each := math.Floor(chunks / float64(len(names)))
	rest := int(chunks) - int(each)*len(names)
	first := slices.Clone(names)
	slices.SortStableFunc(first, func(a, b string) int {
		return -cmp.Compare(min(old.part(a), (each+1)*unit), min(old.part(b), (each+1)*unit))
	})
	for k, name := range first {
		want[name] = each * unit
		if k < rest {
			want[name] += unit
		}
	}
	return want
}
