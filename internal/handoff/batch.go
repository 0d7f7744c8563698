package handoff

// The reasons in replies go over the wire: they do not change.
const (
	reasonNotReady   = "new here"      // this replica does not know yet all that those before it knew: its reply counts for nothing
	reasonNoLease    = "no lease"      // this replica may be lost, and its place taken
	reasonBusy       = "busy"          // the batch asks for more than fits into its reply
	reasonNotReplica = "not here"      // this controller is no replica of the partition
	reasonOwnerLost  = "lost"          // the sender's incarnation is over
	reasonIncomplete = "nothing in it" // the copy lacks what a successor needs
	reasonFull       = "full"
	reasonNotClaimed = "not claimed" // the sender has not claimed what it adopts
)

func refusal(reason string) Item { return Item{Op: OpRefused, Reason: reason} }

// handleBatch takes a batch of another member, and replies.
func (m *Manager) handleBatch(ev *Event) {
	batch := ev.Batch
	reply := &Batch{From: m.self}
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

// handleItems takes the items of a batch. Pages that do not fit into the reply are refused, and will be asked for again.
func (m *Manager) handleItems(batch *Batch) (replies []Item) {
	room := replyPages * pageBytes
	for i := range batch.Items {
		reply := m.handleItem(batch.From, &batch.Items[i])
		if reply.Op == OpPage {
			for k := range reply.Copies {
				room -= len(reply.Copies[k].Body) + len(reply.Copies[k].Answer)
			}
			if room < 0 {
				reply = refusal(reasonBusy)
			}
		}
		replies = append(replies, reply)
	}
	return replies
}

// handleItem takes one item and returns the reply, marked where it may be wrong as this replica is not ready.
func (m *Manager) handleItem(from Member, it *Item) Item {
	reply := m.process(from, it)
	if reply.Op != OpRefused && !m.isReady(it.targetPartition()) {
		reply.Reason = reasonNotReady
	}
	return reply
}

// targetPartition is the partition that a message is about.
func (it *Item) targetPartition() int {
	if it.Op == OpFetch {
		return it.Partition
	}
	return it.Key.Partition()
}

// sender is the incarnation that a message speaks for: the member that sent it, or one that it had before.
func (it *Item) sender(from Member) Member {
	if it.From.Name == from.Name && it.Op != OpAdopt && it.Op != OpFetch {
		return it.From
	}
	return from
}

// process takes one item. Refusals count for nothing: a replica whose lease is over may be one that is lost, whose place is taken.
func (m *Manager) process(from Member, it *Item) Item {
	partition := it.targetPartition()
	if partition < 0 || partition >= len(m.table.Partitions) || !m.isReplica(partition) {
		return refusal(reasonNotReplica)
	}
	if !m.leaseHeld {
		return refusal(reasonNoLease)
	}
	stored := m.copies[it.Key]
	switch it.Op {
	case OpQuery:
		return describe(stored)
	case OpFetch:
		return m.readPage(it)
	}
	owner := it.sender(from)
	if m.isLost(owner) {
		return m.processFromLost(stored, owner, it)
	}
	switch it.Op {
	case OpRegister:
		return m.registerCopy(stored, owner, it)
	case OpAdopt:
		return m.adoptCopy(stored, from, it)
	case OpMapID:
		return m.storeIDMapping(stored, it)
	}
	return m.updateCopy(stored, owner, it)
}

// processFromLost takes an item of an incarnation that is over. Only that a request succeeded still counts.
func (m *Manager) processFromLost(stored *storedCopy, owner Member, it *Item) Item {
	if stored == nil {
		return refusal(reasonOwnerLost)
	}
	if it.Op != OpClose || it.Outcome != Succeeded {
		return describe(stored)
	}
	if stored.Owner == owner && stored.state.awaitsAdoption() {
		m.counts.AdoptionsLate++
		return m.closeCopy(stored, it)
	}
	if it.Copy != nil && stored.ID == it.Copy.ID && stored.state == stateSettled && stored.Outcome == Failed {
		m.counts.AdoptionsLate++ // a successor could not know that it succeeded while its owner held its lease
		stored.Sequence = max(stored.Sequence, it.Sequence)
		stored.Outcome = Succeeded
		stored.Answer = it.Answer
		stored.RunState = Ran
		m.persist(stored)
		return Item{Op: OpStored}
	}
	return describe(stored)
}
