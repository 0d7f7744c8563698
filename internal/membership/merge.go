package membership

import "slices"

const (
	// retainDeadMS is how long a member that is not live any more is kept. Until then, late records of an old incarnation
	// are recognized as such.
	retainDeadMS    = 2 * 3600e3
	pruneIntervalMS = 5000
	maxEvidence     = 12 // entries for each member
)

// merge applies a record about a member that the member reporter sent, and reports whether the member's state or flags
// changed.
func (v *View) merge(record *Member, reporter string) (changed bool) {
	if record.Name == v.self.Name {
		v.handleReportAboutSelf(record, reporter)
		return false
	}
	known := v.byName[record.Name]
	if known == nil {
		known = v.insert(record)
	}
	if known == nil || record.Incarnation < known.Incarnation {
		return false // the view is full, or the record is of an old incarnation
	}
	if record.Incarnation > known.Incarnation {
		if known.State.IsLive() && known.Address != record.Address && record.State.IsLive() && known.State != Suspect {
			v.addEvidence(known, "a later incarnation, at "+record.Address, reporter)
		}
		v.resetIncarnation(known, record)
	} else if isOutdated(record, known) {
		return false
	}
	in := inputFor[record.State]
	if in <= announcedAlive && record.Refutation == known.Refutation && known.State != Unknown {
		return false // this announcement is known already
	}
	if record.State == Suspect || record.State == Dead {
		v.recordAccusation(known, record, reporter)
	}
	return v.applyInput(known, in, record)
}

// isOutdated reports whether a record is older than what is known of the same incarnation. Between records of equal
// age, the one with the lower address wins, so that all views converge.
func isOutdated(record *Member, m *member) bool {
	return record.Refutation < m.Refutation || record.Refutation == m.Refutation && record.Address > m.Address
}

// recordAccusation adds evidence of which member reported m as Suspect or Dead.
func (v *View) recordAccusation(m *member, record *Member, reporter string) {
	if m.State == record.State {
		return
	}
	accuser := record.AccusedBy
	if accuser == "" {
		accuser = reporter
	}
	v.addEvidence(m, "reported "+record.State.String()+", received from "+reporter, accuser)
}

// applyInput moves a member to its next state by the transition table and reports whether its state or flags changed.
// The record is the one that the input was derived from.
func (v *View) applyInput(target *member, cause input, record *Member) bool {
	row := findTransition(target.State, cause)
	if row == nil {
		return false
	}
	before := target.Member
	target.Refutation = max(target.Refutation, record.Refutation)
	if cause <= announcedLeft || before.State == Unknown {
		target.Flags = record.Flags
		target.Version = record.Version
		target.Address = record.Address
		target.Zone = record.Zone
		target.Region = record.Region
	}
	target.State = row.next
	if row.action != nil {
		row.action(v, target, record)
	}
	if target.State != before.State {
		v.afterStateChange(target, before.State)
	}
	if target.State != Suspect {
		target.AccusedBy = ""
		target.accusers = nil
		target.expedited = false
	}
	changed := target.State != before.State || target.Flags != before.Flags
	if changed || target.Refutation != before.Refutation {
		v.rehash(target)
		v.enqueueGossip(target)
	}
	if changed {
		v.emit(Effect{Kind: MemberChanged, Member: target.Member, From: before.State, Reason: reasonFor(target)})
	}
	return changed
}

// afterStateChange updates the view's lists and counters for a member's new state.
func (v *View) afterStateChange(m *member, before State) {
	m.Since = v.now
	if m.State == Suspect && !slices.Contains(v.suspects, m) {
		v.suspects = append(v.suspects, m)
	}
	v.livePeers += boolToInt(m.State.IsLive()) - boolToInt(before.IsLive())
	if m.State.IsLive() && !before.IsLive() {
		v.addToRing(m)
	}
}

// reasonFor returns the newest evidence about a member that is Suspect or Dead, and "" for other states.
func reasonFor(m *member) string {
	if len(m.evidence) == 0 || m.State != Suspect && m.State != Dead {
		return ""
	}
	newest := m.evidence[len(m.evidence)-1]
	return newest.Observation + " (" + newest.Reporter + ")"
}

// addEvidence appends an observation about a member and drops the oldest one past maxEvidence.
func (v *View) addEvidence(m *member, observation, reporter string) {
	if len(m.evidence) >= maxEvidence {
		m.evidence = append(m.evidence[:0], m.evidence[1:]...)
	}
	m.evidence = append(m.evidence, Evidence{At: v.now, Observation: observation, Reporter: reporter})
}

// insert adds a member that was not known. It returns nil if the view is full and all its members are live.
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

// evictOldest removes the member that has not been live for longest. It returns false if all members are live.
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

// remove deletes a member from the view, its probe ring and its hash.
func (v *View) remove(m *member) {
	delete(v.byName, m.Name)
	if at, found := slices.BinarySearch(v.names, m.Name); found {
		v.names = slices.Delete(v.names, at, at+1)
	}
	v.hash ^= m.hash
	m.transmitsLeft = 0 // drops its record from the gossip queue
	if at := slices.Index(v.ring, m); at >= 0 {
		v.ring = slices.Delete(v.ring, at, at+1)
	}
}

// addToRing inserts a member at a random position of the probe ring, unless it is there already.
func (v *View) addToRing(m *member) {
	if !slices.Contains(v.ring, m) {
		v.ring = slices.Insert(v.ring, int(v.random()*float64(len(v.ring)+1)), m)
	}
}

// resetIncarnation discards what is known of a member, whose name has a later incarnation now.
func (v *View) resetIncarnation(m *member, record *Member) {
	v.livePeers -= boolToInt(m.State.IsLive())
	v.ring = slices.DeleteFunc(v.ring, func(other *member) bool { return other == m })
	v.hash ^= m.hash
	m.hash = 0
	m.Member = Member{Name: record.Name, Incarnation: record.Incarnation, Address: record.Address}
	m.accusers = nil
	m.expedited = false
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool { return p.target == m })
}

// rehash updates the view's hash after a change of a member. Members that are not live are left out, as views remove
// them at different times.
func (v *View) rehash(m *member) {
	v.hash ^= m.hash
	m.hash = 0
	if m.State.IsLive() {
		m.hash = hashMember(&m.Member)
	}
	v.hash ^= m.hash
}

// prune removes members that have not been live for retainDeadMS.
func (v *View) prune() {
	v.pruneAt = v.now + pruneIntervalMS
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
