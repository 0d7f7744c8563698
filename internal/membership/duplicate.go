package membership

// duplicateTimeoutMS is how long another process with this controller's name is remembered without a message from it.
const duplicateTimeoutMS = 5000

// handleDuplicate takes a record with this controller's name and another incarnation or address: a former incarnation, or another
// process with the same name. A direct record was sent by that process itself.
func (v *View) handleDuplicate(record *Member, direct bool) {
	if !direct {
		v.handleReportedDuplicate(record)
		return
	}
	if record.Address == v.self.Address {
		if record.Incarnation > v.self.Incarnation {
			v.raiseIncarnation(record.Incarnation + 1)
		}
		return // an echo of a former incarnation, or of this one
	}
	v.duplicate = *record
	if v.self.Flags&Duplicated == 0 {
		v.counts.DuplicateNames++
		v.emit(Effect{Kind: DuplicateName, Member: *record, Reason: "another process bears this name"})
		v.setFlags(v.self.Flags | Duplicated)
	}
	v.duplicate.Since = v.now
	v.duplicate.State = Alive
}

// handleReportedDuplicate takes such a record from a third member. The other process is probed before anything is concluded.
func (v *View) handleReportedDuplicate(record *Member) {
	if record.Incarnation <= v.self.Incarnation || record.State == Left {
		return // a former incarnation
	}
	if record.Address == v.self.Address {
		v.raiseIncarnation(record.Incarnation + 1) // it was this controller, while its clock was ahead
		return
	}
	if v.now < v.duplicateCheckAt {
		return
	}
	v.duplicateCheckAt = v.now + v.settings.ProbeMS
	v.sendTo(record.Address, &message{kind: kindPing, sequence: v.nextSequence()}, nil)
	if v.duplicate.Incarnation < record.Incarnation {
		v.duplicate = *record
		v.duplicate.Since = v.now
	}
}

// checkDuplicate probes the other process with this controller's name, and forgets it once it is silent.
func (v *View) checkDuplicate() {
	if v.duplicate.Incarnation == 0 && v.duplicate.Address == "" {
		return
	}
	if v.now-v.duplicate.Since < duplicateTimeoutMS {
		v.sendTo(v.duplicate.Address, &message{kind: kindPing, sequence: v.nextSequence()}, nil)
		return
	}
	former := v.duplicate
	v.duplicate = Member{}
	if former.Incarnation >= v.self.Incarnation { // others know only the later incarnation
		v.raiseIncarnation(former.Incarnation + 1)
	}
	if v.self.Flags&Duplicated != 0 {
		v.emit(Effect{Kind: DuplicateName, Member: former, Reason: "it is not heard of any more"})
		v.setFlags(v.self.Flags &^ Duplicated)
	}
}
