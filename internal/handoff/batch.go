package handoff

import "slices"

// The reasons in replies are part of the wire format and must not change.
const (
	reasonNotReady   = "new here"      // this replica has not copied the partition yet: its reply does not count
	reasonNoLease    = "no lease"      // this replica may have been declared lost and replaced
	reasonBusy       = "busy"          // the batch asks for more than fits into its reply
	reasonNotReplica = "not here"      // this controller is not a replica of the partition
	reasonOwnerLost  = "lost"          // the sender's incarnation has been declared lost
	reasonIncomplete = "nothing in it" // the copy lacks what a successor needs
	reasonFull       = "full"          // this replica stores as many copies as it may
	reasonNotClaimed = "not claimed"   // the sender has not claimed the partition that it adopts from
	reasonExpired    = "late"          // the message came after the time until which it could be stored
)

// refusal returns the reply that refuses a message for a reason.
func refusal(reason string) Item { return Item{Op: OpRefused, Reason: reason} }

// handleBatch handles a batch from another member and replies to it. Where the two members know different placements,
// no item is handled: the reply says so, and this controller fetches the placement if its own may be the older one.
func (m *Manager) handleBatch(ev *Event) {
	batch := ev.Batch
	reply := &Batch{From: m.self, Clock: m.now}
	if m.table != nil {
		reply.Version = m.table.Version
		reply.PlacementStep = m.table.Step
	}
	switch {
	case !m.hasPlacement(), batch.Version > m.table.Version, batch.PlacementStep > m.table.Step:
		m.emit(Effect{Kind: RefreshPlacement})
		reply.StalePlacement = true
	case batch.Version < m.table.Version:
		reply.StalePlacement = true
	default:
		reply.Items = m.handleItems(batch)
	}
	m.emit(Effect{Kind: ReplyBatch, Token: ev.Token, Batch: reply})
}

// handleItems handles the items of a batch and returns the replies. A page that does not fit into the reply is refused
// as busy; its receiver asks for it again.
func (m *Manager) handleItems(batch *Batch) (replies []Item) {
	remainingBytes := maxReplyPages * maxPageBytes
	for i := range batch.Items {
		reply := m.handleItem(batch, &batch.Items[i])
		if reply.Op == OpPage {
			for k := range reply.Copies {
				remainingBytes -= len(reply.Copies[k].Body) + len(reply.Copies[k].Answer)
			}
			if remainingBytes < 0 {
				reply = refusal(reasonBusy)
			}
		}
		replies = append(replies, reply)
	}
	return replies
}

// handleItem handles one item and returns the reply, which is marked with reasonNotReady if this replica may lack
// copies of the partition.
func (m *Manager) handleItem(batch *Batch, item *Item) Item {
	before := len(m.effects)
	reply := m.applyItem(batch, item)
	if reply.Op == OpStored && item.attemptWaits() {
		m.persistConfirmed(item.Key, m.effects[before:])
	}
	if reply.Op != OpRefused && !m.isReady(item.targetPartition()) {
		reply.Reason = reasonNotReady
	}
	return reply
}

// attemptWaits reports whether an attempt may wait for the reply to a message. Nothing waits for ends and withdrawals
// to be on disk: a copy that is restored from disk never causes an attempt.
func (item *Item) attemptWaits() bool {
	return item.Op == OpRegister || item.Op == OpAttempt || item.Op == OpAdopt
}

// persistConfirmed persists the copy that a reply confirms, unless the effects of the item do. The item repeats an
// earlier one then, whose copy may not be on disk yet, or may have been refused by the disk.
func (m *Manager) persistConfirmed(key Key, effects []Effect) {
	persisted := slices.ContainsFunc(effects, func(effect Effect) bool {
		return effect.Kind == PersistCopy && effect.Key == key
	})
	if stored := m.copies[key]; !persisted && stored != nil && !stored.idMapping {
		m.persist(stored)
	}
}

// targetPartition returns the partition that a message is about.
func (item *Item) targetPartition() int {
	if item.Op == OpFetch {
		return item.Partition
	}
	return item.Key.Partition()
}

// effectiveSender returns the incarnation on whose behalf a message was sent: the sender's current one or, for a
// request that an earlier incarnation of the same member owned, that earlier one.
func (item *Item) effectiveSender(from Member) Member {
	if item.From.Name == from.Name && item.Op != OpAdopt && item.Op != OpFetch {
		return item.From
	}
	return from
}

// applyItem applies one item to the copies stored here and returns the reply. Without the lease it refuses: this
// replica may have been declared lost and replaced, so that its reply must not count towards a quorum.
func (m *Manager) applyItem(batch *Batch, item *Item) Item {
	from := batch.From
	partition := item.targetPartition()
	if partition < 0 || partition >= len(m.table.Partitions) || !m.isReplica(partition) {
		return refusal(reasonNotReplica)
	}
	if !m.leaseHeld {
		return refusal(reasonNoLease)
	}
	if item.expired(m.now, batch) {
		m.counts.RecordsExpired++
		return refusal(reasonExpired)
	}
	stored := m.copies[item.Key]
	switch item.Op {
	case OpQuery:
		return describe(stored)
	case OpFetch:
		return m.readPage(item)
	}
	owner := item.effectiveSender(from)
	if m.isLost(owner) {
		return m.applyItemFromLost(stored, owner, item)
	}
	switch item.Op {
	case OpRegister:
		return m.registerCopy(stored, owner, item)
	case OpAdopt:
		return m.adoptCopy(stored, from, item)
	case OpMapID:
		return m.storeIDMapping(stored, item)
	}
	return m.updateCopy(stored, owner, item)
}

// applyItemFromLost handles an item of an incarnation that has been declared lost. The only such message that still
// changes anything is the report that a request succeeded.
func (m *Manager) applyItemFromLost(stored *storedCopy, owner Member, item *Item) Item {
	if stored == nil {
		return refusal(reasonOwnerLost)
	}
	if item.Op != OpClose || item.Outcome != Succeeded {
		return describe(stored)
	}
	if stored.Owner == owner && stored.state.awaitsAdoption() && item.Sequence > stored.Sequence {
		m.counts.LateSuccesses++
		return m.closeCopy(stored, item)
	}
	if item.Copy != nil && stored.ID == item.Copy.ID && stored.state == stateSettled && stored.Outcome == Failed {
		// The request succeeded under its owner's lease, which the successor that recorded a failure could not know.
		m.counts.LateSuccesses++
		stored.Sequence = max(stored.Sequence, item.Sequence)
		stored.Outcome = Succeeded
		stored.Answer = item.Answer
		stored.RunState = Ran
		m.persist(stored)
		return Item{Op: OpStored}
	}
	return describe(stored)
}
