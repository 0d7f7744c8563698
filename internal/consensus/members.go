package consensus

import "slices"

const (
	reviewIntervalMS       = 200 // time between two reviews of the members by the leader
	maxAdmissionsPerReview = 128 // keeps the simultaneous start of a large fleet from filling the log
)

// reviewMembers compares the record with the membership view and proposes entries for the differences. An admission is
// proposed on the view alone, as it can be revoked. A loss is proposed only once the member's lease has expired,
// whatever the view says.
func (g *Group) reviewMembers() {
	admissions := 0
	for _, name := range g.reviewedNames() {
		o, observed := g.observations[name]
		m, known := g.record.Members[name]
		switch {
		case (!known || m.Lost) && observed && o.isAdmissible(m.Incarnation):
			admissions++
			if admissions <= maxAdmissionsPerReview {
				g.propose(entry{Kind: EntryAdmit, Name: name, Incarnation: o.Incarnation, Address: o.Address, Zone: o.Zone})
			}
		case known && !m.Lost:
			g.reviewAdmittedMember(name, m, o, observed)
		}
	}
	if g.settings.Copies > 0 && g.settings.Copies != g.record.Placement.Copies {
		g.propose(entry{Kind: EntryCopies, Copies: g.settings.Copies})
	}
	for name, until := range g.grantedUntil {
		if until <= g.now && g.record.Members[name].Lost {
			delete(g.grantedUntil, name)
		}
	}
	if g.appliedIndex >= g.snapshotIndex { // the first entry of a new term has been applied
		g.reviewVoters()
	}
}

// isAdmissible reports whether an observed member may be admitted, given its last incarnation that was declared lost,
// or 0.
func (o *Observation) isAdmissible(lostIncarnation uint64) bool {
	return o.Alive && !o.Duplicated && o.Incarnation > lostIncarnation
}

// reviewedNames returns the names of all members in the record or the membership view, sorted.
func (g *Group) reviewedNames() []string {
	names := make([]string, 0, len(g.observations))
	for name := range g.observations {
		names = append(names, name)
	}
	for name := range g.record.Members {
		if _, observed := g.observations[name]; !observed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reviewAdmittedMember proposes to declare a member lost that has been unreachable for DeclareLostMS and whose lease
// has expired.
func (g *Group) reviewAdmittedMember(name string, m Member, o Observation, observed bool) {
	if observed && o.Incarnation == m.Incarnation && o.Alive {
		delete(g.unseenSince, name)
		return
	}
	since, known := g.unseenSince[name]
	if !known {
		since = g.now
		g.unseenSince[name] = since
	}
	delay := g.settings.DeclareLostMS
	if observed && o.Incarnation > m.Incarnation {
		delay = 0 // a later incarnation runs: only the lease of the earlier one has to expire
	}
	if g.now < since+delay || g.now < g.noLossUntil || g.now < g.grantedUntil[name] {
		return
	}
	if g.propose(entry{Kind: EntryLost, Name: name, Incarnation: m.Incarnation}) {
		g.proposedLost[name] = m.Incarnation // no lease is granted to this incarnation from now on
		g.emit(Effect{Kind: LossProposed, Name: name, Incarnation: m.Incarnation})
	}
}
