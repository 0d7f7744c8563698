package membership

// duplicateTimeoutMS is the time without a message from another process with this controller's name after which that
// process is taken to have ended.
const duplicateTimeoutMS = 5000

// handleDuplicate handles a record with this controller's name and another incarnation or address. It belongs to a
// previous incarnation of this controller, or to another process with the same name. A direct record was sent by that
// process itself.
func (v *View) handleDuplicate(record *Member, direct bool) {
	if !direct {
		v.handleReportedDuplicate(record)
		return
	}
	if record.Address == v.self.Address {
		if record.Incarnation > v.self.Incarnation {
			v.raiseIncarnation(record.Incarnation + 1)
		}
		return // a delayed message of a previous incarnation, or of this one
	}
	v.duplicate = *record
	if v.self.Flags&Duplicated == 0 {
		v.counts.DuplicateNames++
		v.emit(Effect{Kind: DuplicateName, Member: *record, Reason: "another process has the same name"})
		v.setFlags(v.self.Flags | Duplicated)
	}
	v.duplicate.Since = v.now
	v.duplicate.State = Alive
}

// handleReportedDuplicate handles a record with this controller's name that a third member sent. The other process is
// probed first: only its own answer sets the Duplicated flag.
func (v *View) handleReportedDuplicate(record *Member) {
	if record.Incarnation <= v.self.Incarnation || record.State == Left {
		return // a previous incarnation of this controller
	}
	if record.Address == v.self.Address {
		v.raiseIncarnation(record.Incarnation + 1) // a previous start of this controller, when its clock was ahead
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

// checkDuplicate probes the other process with this controller's name, if there is one, and clears the Duplicated flag
// once that process has not answered for duplicateTimeoutMS.
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
	if former.Incarnation >= v.self.Incarnation { // other members accept only a record of a later incarnation
		v.raiseIncarnation(former.Incarnation + 1)
	}
	if v.self.Flags&Duplicated != 0 {
		v.emit(Effect{Kind: DuplicateName, Member: former, Reason: "the other process does not answer any more"})
		v.setFlags(v.self.Flags &^ Duplicated)
	}
}
