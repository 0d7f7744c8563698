package handoff

import (
	"slices"

	"liftshift/internal/placement"
)

// storedCopy is a copy that this controller stores as a replica.
type storedCopy struct {
	Copy
	key       Key
	state     copyState
	expiresAt float64
	previous  *Copy // what the key stood for before, which counts again if this one is withdrawn
	adopting  bool  // a successor has adopted it, and not yet gone on with it
	attempts  uint64
	idMapping bool // its ID stands for its IdempotencyKey, nothing more
	bytes     int  // of its body and answer, as counted
}

// ownerCopies are the open copies of one incarnation, by partition.
type ownerCopies struct {
	partitions [placement.PartitionCount]map[Key]*storedCopy
	notified   [placement.PartitionCount]lossNotice
	count      int
}

// lossNotice is what all copies of an owner in a partition have been notified of.
type lossNotice uint8

const (
	noticeNone lossNotice = iota
	noticeLost
	noticeClaimed
)

var lossNoticeNames = [...]string{"none", "lost", "claimed"}

// String returns the name of the notice.
func (n lossNotice) String() string { return lossNoticeNames[n] }

func noticeFor(claimed bool) lossNotice {
	if claimed {
		return noticeClaimed
	}
	return noticeLost
}

// in returns the copies in a partition. A nil set has none.
func (o *ownerCopies) in(partition int) map[Key]*storedCopy {
	if o == nil {
		return nil
	}
	return o.partitions[partition]
}

// mask returns the partitions in which there are copies, as bits.
func (o *ownerCopies) mask() (mask uint32) {
	for partition := range placement.PartitionCount {
		if len(o.in(partition)) > 0 {
			mask |= 1 << partition
		}
	}
	return mask
}

// indexOpen lists a copy among the open ones of its owner.
func (m *Manager) indexOpen(stored *storedCopy) {
	set := m.openByOwner[stored.Owner]
	if set == nil {
		set = &ownerCopies{}
		m.openByOwner[stored.Owner] = set
	}
	partition := stored.key.Partition()
	if set.partitions[partition] == nil {
		set.partitions[partition] = map[Key]*storedCopy{}
	}
	if _, listed := set.partitions[partition][stored.key]; !listed {
		set.count++
	}
	set.partitions[partition][stored.key] = stored
	set.notified[partition] = noticeNone
}

func (m *Manager) unindexOpen(stored *storedCopy) {
	set := m.openByOwner[stored.Owner]
	partition := stored.key.Partition()
	if set == nil || set.partitions[partition][stored.key] == nil {
		return
	}
	delete(set.partitions[partition], stored.key)
	set.count--
	if set.count == 0 {
		delete(m.openByOwner, stored.Owner)
	}
}

// describe returns what is known of a copy, without its body.
func describe(stored *storedCopy) Item {
	if stored == nil || stored.state == stateDropped {
		return Item{Op: OpUnknown}
	}
	if stored.idMapping {
		return Item{Op: OpKnown, Copy: &Copy{RequestData: RequestData{ID: stored.ID, IdempotencyKey: stored.IdempotencyKey}, Outcome: Unknown}}
	}
	c := stored.Copy
	c.Body = nil
	c.Complete = false
	return Item{Op: OpKnown, Copy: &c}
}

// addCopy stores a copy that no index lists yet.
func (m *Manager) addCopy(key Key, c *Copy) *storedCopy {
	stored := &storedCopy{Copy: *c, key: key}
	m.copies[key] = stored
	return stored
}

// openCopy counts and lists a copy as open.
func (m *Manager) openCopy(stored *storedCopy) {
	m.counts.CopiesReceived++
	m.refreshOpen(stored)
}

// refreshOpen lists, prolongs and persists an open copy.
func (m *Manager) refreshOpen(stored *storedCopy) {
	m.indexOpen(stored)
	m.refresh(stored)
}

// refresh prolongs and persists a copy.
func (m *Manager) refresh(stored *storedCopy) {
	m.prolong(stored)
	m.persist(stored)
}

// persist has a copy written to disk where this replica does so. Idempotent requests are not worth it: they may simply run again.
func (m *Manager) persist(stored *storedCopy) {
	if !stored.Idempotent {
		m.emit(Effect{Kind: PersistCopy, Key: stored.key, Copy: &stored.Copy, Version: uint64(stored.expiresAt)})
	}
}

// dropCopy forgets a copy.
func (m *Manager) dropCopy(stored *storedCopy) {
	if m.openByOwner[stored.Owner].in(stored.key.Partition())[stored.key] == stored {
		m.unindexOpen(stored)
		m.counts.Dropped++
	}
	delete(m.copies, stored.key)
	m.copyBytes -= stored.bytes
	if !stored.Idempotent {
		m.emit(Effect{Kind: PersistCopy, Key: stored.key})
	}
}

// registerCopy stores the copy of a request that its owner registers.
func (m *Manager) registerCopy(stored *storedCopy, owner Member, it *Item) Item {
	if it.Copy == nil || !it.Copy.Complete {
		return refusal(reasonIncomplete)
	}
	if stored == nil {
		return m.registerNew(owner, it)
	}
	if stored.Owner == owner && stored.state.open() {
		if it.Copy.Sequence > stored.Sequence {
			m.replaceCopy(stored, owner, it.Copy)
		}
		reply := Item{Op: OpStored} // with the attempts again: the first reply may have been lost
		reply.setAttempt(stored.attempt())
		return reply
	}
	if stored.state.open() || stored.RunState == Ran && stored.Answer != nil {
		return describe(stored)
	}
	if it.Copy.Sequence <= stored.Sequence {
		return Item{Op: OpNeedHigher, Sequence: stored.Sequence}
	}
	return m.reopenCopy(stored, owner, it.Copy)
}

func (m *Manager) registerNew(owner Member, it *Item) Item {
	if len(m.copies) >= m.maxCopies || m.copyBytes+len(it.Copy.Body) > maxCopyBytes {
		return refusal(reasonFull)
	}
	stored := m.addCopy(it.Key, it.Copy)
	stored.Owner = owner
	m.openCopy(stored)
	return Item{Op: OpStored}
}

// reopenCopy registers a new request in place of one of its key that has ended. The reply tells of the attempts of that one.
func (m *Manager) reopenCopy(stored *storedCopy, owner Member, c *Copy) Item {
	ended := stored.Copy
	ended.Body = nil
	reply := Item{Op: OpStored, Sequence: ended.Sequence}
	reply.setAttempt(ended.attempt())
	stored.idMapping = false
	stored.previous = &ended
	stored.Copy = *c
	stored.Owner = owner
	if ended.RunState > stored.RunState {
		stored.setAttempt(ended.attempt())
	}
	m.transition(stored, inputReopened)
	return reply
}

// replaceCopy takes a later whole copy of its owner.
func (m *Manager) replaceCopy(stored *storedCopy, owner Member, c *Copy) {
	m.unindexOpen(stored)
	stored.Copy = *c
	stored.Owner = owner
	if stored.adopting {
		stored.adopting = false
		stored.previous = nil
	}
	if p := stored.previous; p != nil && p.RunState > stored.RunState { // its owner may not know of that yet
		stored.setAttempt(p.attempt())
	}
	m.refreshOpen(stored)
}

// updateCopy takes a later message of a request: an attempt, its end, or its withdrawal.
func (m *Manager) updateCopy(stored *storedCopy, owner Member, it *Item) Item {
	if stored == nil {
		if it.Op == OpWithdraw {
			return Item{Op: OpStored}
		}
		return m.closeUnknown(nil, owner, it)
	}
	if !stored.state.open() && it.Sequence <= stored.Sequence {
		return Item{Op: OpStored}
	}
	if stored.state.open() && stored.Owner != owner && !m.closesAfterLost(stored, it) {
		return describe(stored)
	}
	if stored.Owner != owner || !stored.state.open() {
		return m.closeUnknown(stored, owner, it)
	}
	switch {
	case it.Op == OpClose:
		return m.closeCopy(stored, it)
	case it.Sequence < stored.Sequence: // overtaken
	case it.Op == OpWithdraw:
		m.withdrawCopy(stored, it)
	case it.Sequence > stored.Sequence:
		m.updateAttempt(stored, it)
	}
	return Item{Op: OpStored}
}

// closesAfterLost reports whether a message ends a later request than the open one of a lost owner that is stored.
func (m *Manager) closesAfterLost(stored *storedCopy, it *Item) bool {
	return m.isLost(stored.Owner) && it.Op == OpClose && it.Copy != nil && it.Sequence > stored.Sequence
}

// closeUnknown takes the end of a request that is not stored here, or in place of which another is.
func (m *Manager) closeUnknown(stored *storedCopy, owner Member, it *Item) Item {
	if it.Op != OpClose || it.Copy == nil {
		return Item{Op: OpNeedCopy}
	}
	if stored == nil {
		stored = m.addCopy(it.Key, it.Copy)
	} else {
		if stored.state.open() { // a quorum knows of the later one
			m.unindexOpen(stored)
			m.counts.Dropped++
		}
		stored.Copy = *it.Copy
		stored.previous = nil
	}
	stored.Owner = owner
	stored.state = stateHeld
	m.openCopy(stored)
	return m.closeCopy(stored, it)
}

// updateAttempt takes what its owner says of the attempts of a request.
func (m *Manager) updateAttempt(stored *storedCopy, it *Item) {
	stored.Confirmed = true
	if stored.adopting {
		stored.adopting = false
		stored.previous = nil
	}
	stored.Sequence = it.Sequence
	stored.setAttempt(it.attempt())
	m.persist(stored)
}

// closeCopy takes the outcome of a request.
func (m *Manager) closeCopy(stored *storedCopy, it *Item) Item {
	stored.Sequence = max(stored.Sequence, it.Sequence)
	if !stored.state.open() {
		return Item{Op: OpStored}
	}
	m.unindexOpen(stored)
	stored.Outcome = it.Outcome
	stored.Answer = it.Answer
	stored.previous = nil
	stored.adopting = false
	stored.setAttempt(it.attempt())
	stored.Body = nil
	stored.Complete = false
	m.transition(stored, inputClosed)
	if req := m.owned[stored.key]; req != nil && req.adopted && req.phase != phaseClosing && req.Owner != stored.Owner {
		m.abandonOwned(req) // it is being adopted here, and has ended
	}
	m.refresh(stored)
	return Item{Op: OpStored}
}

// withdrawCopy takes back the registration or adoption of a request.
func (m *Manager) withdrawCopy(stored *storedCopy, it *Item) {
	switch {
	case stored.state == stateHeld && (stored.RunState == NotRun || stored.previous != nil):
		m.withdrawRegistration(stored)
	case stored.state == stateAdopted && stored.adopting && it.Sequence == stored.Sequence:
		m.withdrawAdoption(stored)
	}
}

// withdrawRegistration has what the key stood for before count again.
func (m *Manager) withdrawRegistration(stored *storedCopy) {
	if m.revertCopy(stored) {
		stored.state = stateSettled
		m.refresh(stored)
	}
}

// withdrawAdoption has the copy of the lost owner count again.
func (m *Manager) withdrawAdoption(stored *storedCopy) {
	if !m.revertCopy(stored) {
		return
	}
	stored.adopting = false
	stored.state = stateHeld
	m.openCopy(stored)
	if !m.isLost(stored.Owner) {
		return
	}
	m.transition(stored, inputOwnerLost)
	if _, _, claimed := m.table.SuccessorOf(stored.Owner.Name, stored.Owner.Incarnation, stored.key.Partition()); claimed {
		m.transition(stored, inputClaimed)
	}
}

// revertCopy reverts a copy to what its key stood for before, and reports whether there was anything; else the copy is retired.
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

// adoptCopy takes the adoption of a request by the successor that has claimed it.
func (m *Manager) adoptCopy(stored *storedCopy, from Member, it *Item) Item {
	name, incarnation, claimed := m.table.SuccessorOf(it.From.Name, it.From.Incarnation, it.Key.Partition())
	if !claimed || name != from.Name || incarnation != from.Incarnation || it.Copy == nil {
		return refusal(reasonNotClaimed)
	}
	switch {
	case stored == nil:
		stored = m.addCopy(it.Key, it.Copy)
		stored.Owner = from
		stored.state = stateAdopted
		stored.adopting = true
		m.openCopy(stored)
	case stored.Owner == from && stored.state.open(): // a repeat
	case stored.state.open() && stored.Owner == it.From:
		if moreRecent(&stored.Copy, it.Copy) && stored.Sequence >= it.Copy.Sequence && !it.More {
			return describe(stored)
		}
		m.adoptOpen(stored, from, it.Copy)
	case stored.state == stateSettled && adoptionIsLater(&stored.Copy, it.Copy):
		stored.Copy = *it.Copy
		stored.Owner = from
		stored.state = stateAdopted
		m.openCopy(stored)
	default:
		return describe(stored)
	}
	return Item{Op: OpStored}
}

// adoptOpen replaces the copy of a lost owner by its successor's.
func (m *Manager) adoptOpen(stored *storedCopy, from Member, c *Copy) {
	m.unindexOpen(stored)
	before := stored.Copy
	stored.previous = &before
	stored.adopting = true
	stored.Copy = *c
	stored.Owner = from
	if !stored.Complete {
		stored.RequestData = before.RequestData
		stored.Complete = true
	}
	m.indexOpen(stored)
	m.transition(stored, inputAdopted)
	m.refresh(stored)
}

// adoptionIsLater reports whether an adopted copy is of a later request than the one of its key that has ended.
func adoptionIsLater(ended, adopted *Copy) bool {
	return ended.Sequence+1 < adopted.Sequence && !(ended.RunState == Ran && adopted.RunState != Ran)
}

// storeIDMapping stores which idempotency key an id stands for.
func (m *Manager) storeIDMapping(stored *storedCopy, it *Item) Item {
	if stored == nil && it.Copy != nil && len(m.copies) < m.maxCopies {
		stored = m.addCopy(it.Key, it.Copy)
		stored.idMapping = true
		stored.state = stateSettled
		stored.Idempotent = false
		m.prolong(stored)
	}
	return Item{Op: OpStored}
}

// releaseOrphan records orphaned requests of an id or key as failed: an operator has given them up.
func (m *Manager) releaseOrphan(name string) {
	var orphans []*storedCopy
	for _, stored := range m.copies {
		if (stored.ID == name || stored.IdempotencyKey == name) && stored.state.awaitsAdoption() {
			orphans = append(orphans, stored)
		}
	}
	sortByKey(orphans)
	for _, stored := range orphans {
		it := Item{Sequence: stored.Sequence + 1, Outcome: Failed}
		it.setAttempt(stored.attempt())
		m.closeCopy(stored, &it)
	}
	m.emit(Effect{Kind: LogMessage, Text: "released by an operator", ID: name, Count: len(orphans)})
}

// sortByKey puts copies that were found in the order of a map into one that does not change from run to run.
func sortByKey(copies []*storedCopy) {
	slices.SortFunc(copies, func(a, b *storedCopy) int { return a.key.compare(b.key) })
}
