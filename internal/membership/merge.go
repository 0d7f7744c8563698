package membership

import "slices"

const (
	retainDeadMS = 2 * 3600e3 // how long the name of a member that is gone is kept, so that an old incarnation is recognized
	pruneMS      = 5000       // between two prunings
	maxEvidence  = 12         // for each member
)

// merge takes a record about a member that another member sent, and reports whether the member changed.
func (v *View) merge(record *Member, reporter string) (changed bool) {
	if record.Name == v.self.Name {
		v.handleReportOnSelf(record, reporter)
		return false
	}
	m := v.byName[record.Name]
	if m == nil {
		m = v.insert(record)
	}
	if m == nil || record.Incarnation < m.Incarnation {
		return false // no room, or an old incarnation
	}
	if record.Incarnation > m.Incarnation {
		if m.State.IsLive() && m.Address != record.Address && record.State.IsLive() && m.State != Suspect {
			v.addEvidence(m, "a later life of it, at "+record.Address, reporter)
		}
		v.resetIncarnation(m, record)
	} else if isOutdated(record, m) {
		return false
	}
	in := inputFor[record.State]
	if in <= announcedAlive && record.Refutation == m.Refutation && m.State != Unknown {
		return false // known already
	}
	if record.State == Suspect || record.State == Dead {
		v.recordAccusation(m, record, reporter)
	}
	return v.applyInput(m, in, record)
}

// isOutdated reports whether a record of the same incarnation is older than what is known. Between equals, the lower address counts.
func isOutdated(record *Member, m *member) bool {
	return record.Refutation < m.Refutation || record.Refutation == m.Refutation && record.Address > m.Address
}

// recordAccusation keeps evidence of who holds a member for Suspect or Dead.
func (v *View) recordAccusation(m *member, record *Member, reporter string) {
	if m.State == record.State {
		return
	}
	accuser := record.AccusedBy
	if accuser == "" {
		accuser = reporter
	}
	v.addEvidence(m, "said to be "+record.State.String()+", by way of "+reporter, accuser)
}

// applyInput moves a member by the transition table, with the record that the input comes from.
func (v *View) applyInput(m *member, in input, record *Member) bool {
	t := findTransition(m.State, in)
	if t == nil {
		return false
	}
	before := m.Member
	m.Refutation = max(m.Refutation, record.Refutation)
	if in <= announcedLeft || before.State == Unknown {
		m.Flags = record.Flags
		m.Version = record.Version
		m.Address = record.Address
		m.Zone = record.Zone
		m.Region = record.Region
	}
	m.State = t.next
	if t.action != nil {
		t.action(v, m, record)
	}
	if m.State != before.State {
		v.afterStateChange(m, before.State)
	}
	if m.State != Suspect {
		m.AccusedBy = ""
		m.accusers = nil
		m.expedited = false
	}
	changed := m.State != before.State || m.Flags != before.Flags
	if changed || m.Refutation != before.Refutation {
		v.rehash(m)
		v.enqueueGossip(m)
	}
	if changed {
		v.emit(Effect{Kind: MemberChanged, Member: m.Member, From: before.State, Reason: reasonFor(m)})
	}
	return changed
}

// afterStateChange brings the view's lists and counts in line with a member's new state.
func (v *View) afterStateChange(m *member, before State) {
	m.Since = v.now
	if m.State == Suspect && !slices.Contains(v.suspect, m) {
		v.suspect = append(v.suspect, m)
	}
	v.live += boolToInt(m.State.IsLive()) - boolToInt(before.IsLive())
	if m.State.IsLive() && !before.IsLive() {
		v.addToRing(m)
	}
}

// reasonFor returns the newest evidence about a member that is Suspect or Dead.
func reasonFor(m *member) string {
	if len(m.evidence) == 0 || m.State != Suspect && m.State != Dead {
		return ""
	}
	newest := m.evidence[len(m.evidence)-1]
	return newest.Observation + " (" + newest.Reporter + ")"
}

// addEvidence keeps an observation about a member.
func (v *View) addEvidence(m *member, observation, reporter string) {
	if len(m.evidence) >= maxEvidence {
		m.evidence = append(m.evidence[:0], m.evidence[1:]...)
	}
	m.evidence = append(m.evidence, Evidence{At: v.now, Observation: observation, Reporter: reporter})
}

// insert adds a member that was not known, or returns nil where there is no room.
func (v *View) insert(record *Member) *member {
	if len(v.byName) >= v.settings.MaxMembers && !v.evictOldest() {
		v.counts.RejectedForSpace++
		return nil
	}
	m := &member{Member: Member{Name: record.Name, Incarnation: record.Incarnation, Address: record.Address}}
	v.byName[record.Name] = m
	at, _ := slices.BinarySearch(v.names, record.Name)
	v.names = slices.Insert(v.names, at, record.Name)
	return m
}

// evictOldest removes the member that has been gone for longest, if there is one.
func (v *View) evictOldest() bool {
	var oldest *member
	for _, m := range v.byName {
		if m.State.IsLive() || m == v.self {
			continue
		}
		if oldest == nil || m.Since < oldest.Since || m.Since == oldest.Since && m.Name < oldest.Name {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	v.remove(oldest)
	return true
}

func (v *View) remove(m *member) {
	delete(v.byName, m.Name)
	if at, found := slices.BinarySearch(v.names, m.Name); found {
		v.names = slices.Delete(v.names, at, at+1)
	}
	v.hash ^= m.hash
	m.transmitsLeft = 0
	if at := slices.Index(v.ring, m); at >= 0 {
		v.ring = slices.Delete(v.ring, at, at+1)
	}
}

// addToRing inserts a member at a random place of the probe ring.
func (v *View) addToRing(m *member) {
	if !slices.Contains(v.ring, m) {
		v.ring = slices.Insert(v.ring, int(v.random()*float64(len(v.ring)+1)), m)
	}
}

// resetIncarnation prepares a member for a later incarnation of its name.
func (v *View) resetIncarnation(m *member, record *Member) {
	v.live -= boolToInt(m.State.IsLive())
	v.ring = slices.DeleteFunc(v.ring, func(other *member) bool { return other == m })
	v.hash ^= m.hash
	m.hash = 0
	m.Member = Member{Name: record.Name, Incarnation: record.Incarnation, Address: record.Address}
	m.accusers = nil
	m.expedited = false
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool { return p.target == m })
}

// rehash updates the view's hash for a member. Members that are not live are left out, as views forget them at different times.
func (v *View) rehash(m *member) {
	v.hash ^= m.hash
	m.hash = 0
	if m.State.IsLive() {
		m.hash = hashMember(&m.Member)
	}
	v.hash ^= m.hash
}

// prune removes members that have been gone for long.
func (v *View) prune() {
	v.pruneAt = v.now + pruneMS
	var expired []*member
	for _, m := range v.byName {
		if m != v.self && !m.State.IsLive() && v.now-m.Since > retainDeadMS {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		v.remove(m)
	}
	v.ring = slices.DeleteFunc(v.ring, func(m *member) bool { return m.State == Left })
}
