package handoff

// adoptCopy handles OpAdopt: it records the sender as the owner of a lost owner's request if the sender has claimed the
// partition.
func (m *Manager) adoptCopy(stored *storedCopy, from Member, item *Item) Item {
	name, incarnation, claimed := m.table.SuccessorOf(item.From.Name, item.From.Incarnation, item.Key.Partition())
	if !claimed || name != from.Name || incarnation != from.Incarnation || item.Copy == nil {
		return refusal(reasonNotClaimed)
	}
	switch {
	case stored == nil:
		stored = m.addCopy(item.Key, item.Copy)
		stored.Owner = from
		stored.state = stateAdopted
		stored.adoptionUnconfirmed = true
		m.openCopy(stored)
	case stored.Owner == from && stored.state.open(): // adopted already
	case stored.state.open() && (stored.Owner == item.From || m.supersedesOrphan(stored, item)):
		if moreRecent(&stored.Copy, item.Copy) && stored.Sequence >= item.Copy.Sequence && !item.More {
			return describe(stored)
		}
		m.adoptOpen(stored, from, item.Copy)
	case stored.state == stateSettled && adoptsLaterRequest(&stored.Copy, item):
		stored.Copy = *item.Copy
		stored.Owner = from
		stored.state = stateAdopted
		m.openCopy(stored)
	default:
		return describe(stored)
	}
	return Item{Op: OpStored}
}

// supersedesOrphan reports whether an adoption is of a lost successor's copy, and this replica still stores that of the
// owner before, which is lost as well.
func (m *Manager) supersedesOrphan(stored *storedCopy, item *Item) bool {
	return m.isLost(stored.Owner) && stored.Sequence < item.BaseSequence && !moreRecent(&stored.Copy, item.Copy)
}

// adoptOpen replaces the open copy of a lost owner by that of its successor, which may lack the request data.
func (m *Manager) adoptOpen(stored *storedCopy, from Member, adopted *Copy) {
	m.unindexOpen(stored)
	before := stored.Copy
	stored.previous = &before
	stored.adoptionUnconfirmed = true
	stored.Copy = *adopted
	stored.Owner = from
	if !stored.Complete {
		stored.RequestData = before.RequestData
		stored.Complete = true
	}
	m.indexOpen(stored)
	m.transition(stored, inputAdopted)
	m.extendAndPersist(stored)
}

// adoptsLaterRequest reports whether an adoption is of a later request than the ended one with the same key. An ended
// request that ran is not replaced by one that is not known to have run.
func adoptsLaterRequest(ended *Copy, item *Item) bool {
	base := item.BaseSequence
	if base == 0 { // the sender is of a version that does not send it
		base = item.Copy.Sequence - 1
	}
	return ended.Sequence < base && !(ended.RunState == Ran && item.Copy.RunState != Ran)
}
