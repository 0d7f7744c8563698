package handoff

import "slices"

// storedCopy is a copy of a request that this controller stores as a replica.
type storedCopy struct {
	Copy
	key                 Key
	state               copyState
	expiresAt           float64 // 0: not set yet
	previous            *Copy   // copy of the same key before this one; a withdrawal of this one restores it
	adoptionUnconfirmed bool    // a successor has adopted the request and has not reported on it since
	adoptionAttempts    uint64  // adoptions that this controller has tried, as the successor
	idMapping           bool    // it only maps its ID to its IdempotencyKey
	countedBytes        int     // size of body and answer as included in Manager.copyBytes
}

// describe returns the reply that tells what is known of a request: the stored copy without its body, or that nothing
// is known.
func describe(stored *storedCopy) Item {
	if stored == nil || stored.state == stateDropped {
		return Item{Op: OpUnknown}
	}
	if stored.idMapping {
		mapping := RequestData{ID: stored.ID, IdempotencyKey: stored.IdempotencyKey}
		return Item{Op: OpKnown, Copy: &Copy{
			RequestData: mapping,
			Outcome:     Unknown, // marks an id mapping
			Deadline:    stored.Deadline,
		}}
	}
	known := stored.Copy
	known.Body = nil
	known.Complete = false
	return Item{Op: OpKnown, Copy: &known}
}

// belongsTo reports whether an open copy is of an owner's request, or of one that a successor of that owner has begun to
// adopt.
func (s *storedCopy) belongsTo(owner Member) bool {
	return s.Owner == owner || s.adoptionUnconfirmed && s.previous != nil && s.previous.Owner == owner
}

// addCopy stores a copy in the initial state. The caller sets its state and adds it to the index of open copies.
func (m *Manager) addCopy(key Key, received *Copy) *storedCopy {
	stored := &storedCopy{Copy: *received, key: key}
	m.copies[key] = stored
	return stored
}

// openCopy counts a copy as received and adds it to the open ones.
func (m *Manager) openCopy(stored *storedCopy) {
	m.counts.CopiesReceived++
	m.indexAndPersist(stored)
}

// indexAndPersist adds a copy to the index of open copies, extends its expiry and persists it.
func (m *Manager) indexAndPersist(stored *storedCopy) {
	m.indexOpen(stored)
	m.extendAndPersist(stored)
}

// extendAndPersist extends the expiry of a copy and persists it.
func (m *Manager) extendAndPersist(stored *storedCopy) {
	m.extendExpiry(stored)
	m.persist(stored)
}

// persist asks for a copy to be written to disk; the Version of the effect is the time at which the copy expires.
// Copies of idempotent requests are not written, as such a request may simply run again.
func (m *Manager) persist(stored *storedCopy) {
	if !stored.Idempotent {
		m.emit(Effect{Kind: PersistCopy, Key: stored.key, Copy: &stored.Copy, Version: uint64(stored.expiresAt)})
	}
}

// dropCopy removes a copy from memory and disk.
func (m *Manager) dropCopy(stored *storedCopy) {
	if m.openByOwner[stored.Owner].inPartition(stored.key.Partition())[stored.key] == stored {
		m.unindexOpen(stored)
		m.counts.Dropped++
	}
	delete(m.copies, stored.key)
	m.copyBytes -= stored.countedBytes
	if !stored.Idempotent {
		m.emit(Effect{Kind: PersistCopy, Key: stored.key})
	}
}

// registerCopy handles OpRegister: it stores the copy of a request unless another request with the same key is open, or
// has succeeded and its answer is stored.
func (m *Manager) registerCopy(stored *storedCopy, owner Member, item *Item) Item {
	if item.Copy == nil || !item.Copy.Complete {
		return refusal(reasonIncomplete)
	}
	if stored == nil {
		return m.registerNewCopy(owner, item)
	}
	if stored.Owner == owner && stored.state.open() {
		if item.Copy.Sequence > stored.Sequence {
			m.replaceCopy(stored, owner, item.Copy)
		}
		reply := Item{Op: OpStored} // with the earlier attempts again: the first reply may have been lost
		reply.setAttempt(stored.attempt())
		return reply
	}
	if stored.state.open() || stored.RunState == Ran && stored.Answer != nil {
		return describe(stored)
	}
	if item.Copy.Sequence <= stored.Sequence {
		return Item{Op: OpNeedHigher, Sequence: stored.Sequence}
	}
	return m.reopenCopy(stored, owner, item.Copy)
}

// registerNewCopy stores the first copy of a key, unless this replica is full.
func (m *Manager) registerNewCopy(owner Member, item *Item) Item {
	if len(m.copies) >= m.maxCopies || m.copyBytes+len(item.Copy.Body) > maxCopyBytes {
		return refusal(reasonFull)
	}
	stored := m.addCopy(item.Key, item.Copy)
	stored.Owner = owner
	m.openCopy(stored)
	return Item{Op: OpStored}
}

// reopenCopy registers a new request in place of an ended one with the same key. The reply carries the attempts of the
// ended request.
func (m *Manager) reopenCopy(stored *storedCopy, owner Member, registered *Copy) Item {
	ended := stored.Copy
	ended.Body = nil
	reply := Item{Op: OpStored, Sequence: ended.Sequence}
	reply.setAttempt(ended.attempt())
	stored.idMapping = false
	stored.previous = &ended
	stored.Copy = *registered
	stored.Owner = owner
	if ended.RunState > stored.RunState {
		stored.setAttempt(ended.attempt())
	}
	m.transition(stored, inputReopened)
	return reply
}

// replaceCopy replaces an open copy by a later complete one from the same owner.
func (m *Manager) replaceCopy(stored *storedCopy, owner Member, latest *Copy) {
	m.unindexOpen(stored)
	replaced := stored.Copy
	stored.Copy = *latest
	stored.Owner = owner
	if replaced.RunState > stored.RunState && !stored.Confirmed {
		stored.setAttempt(replaced.attempt()) // of an earlier request, whose end this replica has missed
	}
	if stored.adoptionUnconfirmed {
		stored.adoptionUnconfirmed = false
		stored.previous = nil
	}
	if previous := stored.previous; previous != nil && previous.RunState > stored.RunState {
		stored.setAttempt(previous.attempt()) // the owner may not know of the earlier attempt yet
	}
	m.indexAndPersist(stored)
}

// updateCopy handles OpAttempt, OpClose and OpWithdraw of a registered request.
func (m *Manager) updateCopy(stored *storedCopy, owner Member, item *Item) Item {
	if stored == nil {
		if item.Op == OpWithdraw {
			return Item{Op: OpStored}
		}
		return m.closeUnmatched(nil, owner, item)
	}
	if !stored.state.open() && item.Sequence <= stored.Sequence {
		return Item{Op: OpStored}
	}
	if stored.state.open() && stored.Owner != owner && !m.closesLaterRequest(stored, item) {
		return describe(stored)
	}
	if stored.Owner != owner || !stored.state.open() {
		return m.closeUnmatched(stored, owner, item)
	}
	switch {
	case item.Op == OpClose && item.Sequence > stored.Sequence:
		return m.closeCopy(stored, item)
	case item.Op == OpClose, item.Sequence < stored.Sequence: // overtaken by a later message
	case item.Op == OpWithdraw:
		m.withdrawCopy(stored, item)
	case item.Sequence > stored.Sequence:
		m.updateAttempt(stored, item)
	}
	return Item{Op: OpStored}
}

// closesLaterRequest reports whether a message closes a request that was registered after the stored one, which is
// still open here and whose owner is lost.
func (m *Manager) closesLaterRequest(stored *storedCopy, item *Item) bool {
	return m.isLost(stored.Owner) && item.Op == OpClose && item.Copy != nil && item.Sequence > stored.Sequence
}

// closeUnmatched handles a message on a request that is not stored here, or instead of which another is stored. A close
// that carries a copy is applied to that copy; any other message needs a copy first.
func (m *Manager) closeUnmatched(stored *storedCopy, owner Member, item *Item) Item {
	if item.Op != OpClose || item.Copy == nil {
		return Item{Op: OpNeedCopy}
	}
	if stored == nil {
		stored = m.addCopy(item.Key, item.Copy)
	} else {
		if stored.state.open() { // superseded by a later request, which a quorum has stored
			m.unindexOpen(stored)
			m.counts.Dropped++
		}
		stored.Copy = *item.Copy
		stored.previous = nil
	}
	stored.Owner = owner
	stored.state = stateHeld
	m.openCopy(stored)
	return m.closeCopy(stored, item)
}

// updateAttempt records the owner's latest report on the attempts of a request.
func (m *Manager) updateAttempt(stored *storedCopy, item *Item) {
	stored.Confirmed = true
	if stored.adoptionUnconfirmed {
		stored.adoptionUnconfirmed = false
		stored.previous = nil
	}
	stored.Sequence = item.Sequence
	stored.setAttempt(item.attempt())
	m.persist(stored)
}

// closeCopy records the outcome of a request and frees its body.
func (m *Manager) closeCopy(stored *storedCopy, item *Item) Item {
	stored.Sequence = max(stored.Sequence, item.Sequence)
	if !stored.state.open() {
		return Item{Op: OpStored}
	}
	m.unindexOpen(stored)
	stored.Outcome = item.Outcome
	stored.Answer = item.Answer
	stored.previous = nil
	stored.adoptionUnconfirmed = false
	stored.setAttempt(item.attempt())
	stored.Body = nil
	stored.Complete = false
	m.transition(stored, inputClosed)
	if req := m.owned[stored.key]; req != nil && req.adopted && req.phase != phaseClosing && req.Owner != stored.Owner {
		m.abandonOwned(req) // this controller adopts or has adopted a request that has ended
	}
	m.extendAndPersist(stored)
	return Item{Op: OpStored}
}

// withdrawCopy undoes the registration or adoption of a request that was never carried out.
func (m *Manager) withdrawCopy(stored *storedCopy, item *Item) {
	switch {
	case stored.state == stateHeld && (stored.RunState == NotRun || stored.previous != nil):
		m.withdrawRegistration(stored)
	case stored.state == stateAdopted && stored.adoptionUnconfirmed && item.Sequence == stored.Sequence:
		m.withdrawAdoption(stored)
	}
}

// withdrawRegistration restores the ended request that a registration replaced, if there was one.
func (m *Manager) withdrawRegistration(stored *storedCopy) {
	if m.revertCopy(stored) {
		stored.state = stateSettled
		m.extendAndPersist(stored)
	}
}

// withdrawAdoption restores the lost owner's copy that an adoption replaced, if there was one.
func (m *Manager) withdrawAdoption(stored *storedCopy) {
	if !m.revertCopy(stored) {
		return
	}
	stored.adoptionUnconfirmed = false
	stored.state = stateHeld
	m.openCopy(stored)
	if !m.isLost(stored.Owner) {
		return
	}
	m.transition(stored, inputOwnerLost)
	owner := stored.Owner
	if _, _, claimed := m.table.SuccessorOf(owner.Name, owner.Incarnation, stored.key.Partition()); claimed {
		m.transition(stored, inputClaimed)
	}
}

// revertCopy restores the copy that a stored one replaced. Without such a copy it drops the stored one and returns
// false.
func (m *Manager) revertCopy(stored *storedCopy) bool {
	if stored.previous == nil {
		m.transition(stored, inputRetired)
		return false
	}
	m.unindexOpen(stored)
	m.counts.Dropped++
	stored.Copy = *stored.previous
	stored.previous = nil
	return true
}

// storeIDMapping handles OpMapID: it stores the idempotency key of a request id, so that queries by id find the
// request. Where there is no room for it, the mapping is left out.
func (m *Manager) storeIDMapping(stored *storedCopy, item *Item) Item {
	if stored == nil && item.Copy != nil && len(m.copies) < m.maxCopies {
		stored = m.addCopy(item.Key, item.Copy)
		stored.idMapping = true
		stored.state = stateSettled
		stored.Idempotent = false
		m.extendExpiry(stored)
	}
	return Item{Op: OpStored}
}

// releaseOrphan handles an operator's request to give up the orphaned requests with an id or idempotency key: they are
// recorded as failed.
func (m *Manager) releaseOrphan(name string) {
	var orphans []*storedCopy
	for _, stored := range m.copies {
		if (stored.ID == name || stored.IdempotencyKey == name) && stored.state.awaitsAdoption() {
			orphans = append(orphans, stored)
		}
	}
	sortByKey(orphans)
	for _, stored := range orphans {
		item := Item{Sequence: stored.Sequence + 1, Outcome: Failed}
		item.setAttempt(stored.attempt())
		m.closeCopy(stored, &item)
	}
	m.emit(Effect{Kind: LogMessage, Text: "released by an operator", ID: name, Count: len(orphans)})
}

// sortByKey sorts copies collected from a map, so that the order of effects does not depend on the order of the map.
func sortByKey(copies []*storedCopy) {
	slices.SortFunc(copies, func(a, b *storedCopy) int { return a.key.compare(b.key) })
}
