package handoff

import (
	"bytes"
	"slices"

	"liftshift/internal/placement"
)

// partitionTransfer copies a partition to this controller, which is a new replica of it.
type partitionTransfer struct {
	fetches []*fetch
}

// fetch copies what one replica of a partition stores, page by page.
type fetch struct {
	from   Member
	after  Key // last key of the latest page received
	done   bool
	sentAt float64 // when the next page was last asked for
}

// completedMembers returns the members whose fetches are done.
func completedMembers(fetches []*fetch) (members []Member) {
	for _, f := range fetches {
		if f.done {
			members = append(members, f.from)
		}
	}
	return members
}

// runTransfers copies the partitions that this controller is a new replica of. Once it has copied a partition from a
// majority of the previous replicas, it proposes its own replica as ready.
func (m *Manager) runTransfers() {
	var ready uint32
	running := 0
	for partition := range placement.PartitionCount {
		previous := m.table.Partitions[partition].Previous
		replica := m.ownReplica(partition)
		if replica == nil || replica.Ready || previous == nil {
			delete(m.transfers, partition)
			continue
		}
		transfer := m.transfers[partition]
		if transfer == nil {
			if running >= maxTransfers {
				continue
			}
			transfer = &partitionTransfer{}
			m.transfers[partition] = transfer
		}
		running++
		transfer.fetches = m.fetchPages(transfer.fetches, partition, Member{})
		if isMajority(previous, completedMembers(transfer.fetches)) {
			ready |= 1 << partition
			running--
		}
	}
	if ready != 0 {
		m.propose(ProposalReady, m.ownPartitions(ready), m.table.Version)
	}
}

// ownPartitions returns the part of a proposal that names partitions of this controller itself rather than of a lost
// owner.
func (m *Manager) ownPartitions(partitions uint32) placement.AdoptionClaim {
	return placement.AdoptionClaim{Name: m.self.Name, Incarnation: m.self.Incarnation, Partitions: partitions}
}

// fetchPages asks all replicas of a partition for the next page of what they store and repeats requests that were not
// answered in time. With an owner it asks for that owner's open requests only, with an empty one for all copies. It
// returns the fetches, with those of replicas that were not asked before.
func (m *Manager) fetchPages(fetches []*fetch, partition int, owner Member) []*fetch {
	for _, name := range m.replicaNames(partition) {
		i := slices.IndexFunc(fetches, func(f *fetch) bool { return f.from.Name == name })
		if i < 0 {
			fetches = append(fetches, &fetch{from: Member{name, m.members[name].Incarnation}, sentAt: neverFetched})
			i = len(fetches) - 1
		}
		if f := fetches[i]; !f.done && m.now >= f.sentAt+2*resendMS {
			f.sentAt = m.now
			m.send(name, Item{Op: OpFetch, Partition: partition, After: f.after, From: owner})
		}
	}
	return fetches
}

// fetchesFor returns the fetches that an OpFetch belongs to: those of a transfer, or those of a claimed partition.
func (m *Manager) fetchesFor(sent *Item) []*fetch {
	if sent.From.Name == "" {
		if transfer := m.transfers[sent.Partition]; transfer != nil {
			return transfer.fetches
		}
		return nil
	}
	if claimed := m.findClaimedPartition(sent.From, sent.Partition); claimed != nil {
		return claimed.fetches
	}
	return nil
}

// handlePage handles a replica's reply to an OpFetch: it merges the copies of the page and asks for the next one.
func (m *Manager) handlePage(from Member, sent, reply *Item) {
	if reply.Op != OpPage {
		return
	}
	fetches := m.fetchesFor(sent)
	i := slices.IndexFunc(fetches, func(f *fetch) bool { return f.from == from })
	if i < 0 || fetches[i].after != sent.After || fetches[i].done {
		return // a repeated reply
	}
	for k := range reply.Copies {
		m.mergeCopy(&reply.Copies[k])
	}
	if reply.Reason == reasonNotReady {
		return // the replica is asked again until it is ready
	}
	current := fetches[i]
	current.done = !reply.More
	current.sentAt = neverFetched
	if reply.More {
		current.after = reply.After
	}
	if sent.From.Name == "" {
		m.runTransfers()
		return
	}
	m.fetchClaimedPartitions()
	m.adoptQueued()
}

// readPage returns a page of copies of a partition in the order of their keys. It has at least one copy, if there is
// any, however large.
func (m *Manager) readPage(item *Item) Item {
	reply := Item{Op: OpPage, Partition: item.Partition}
	size := 0
	for n, key := range m.keysAfter(item) {
		stored := m.copies[key]
		size += pageItemOverheadBytes + len(stored.Body) + len(stored.Answer)
		if n > 0 && (n >= maxPageItems || size > maxPageBytes) {
			reply.More = true
			break
		}
		reply.Copies = append(reply.Copies, stored.Copy)
		reply.After = key
	}
	return reply
}

// keysAfter returns the sorted keys that an OpFetch asks for: of one owner's open requests, those included that a
// successor has begun to adopt, or of all copies.
func (m *Manager) keysAfter(item *Item) (keys []Key) {
	if item.From.Name != "" {
		for _, set := range m.openByOwner {
			for key, stored := range set.inPartition(item.Partition) {
				if stored.belongsTo(item.From) && key.compare(item.After) > 0 {
					keys = append(keys, key)
				}
			}
		}
	} else {
		for key, stored := range m.copies {
			if key.Partition() == item.Partition && !stored.idMapping && key.compare(item.After) > 0 {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}

// compare orders keys by their bytes.
func (k Key) compare(other Key) int { return bytes.Compare(k[:], other[:]) }

// mergeCopy stores a copy that another replica sent if it is more recent than the one stored here.
func (m *Manager) mergeCopy(received *Copy) {
	key := KeyOf(received.IdempotencyKey, received.ID)
	stored := m.copies[key]
	if stored != nil && !moreRecent(received, &stored.Copy) {
		if stored.Owner == received.Owner && stored.Sequence == received.Sequence && received.RunState != NotRun {
			// The earlier time is the right one: a replica that was notified late records a later time.
			stored.FirstAttemptAt = min(stored.FirstAttemptAt, received.FirstAttemptAt)
		}
		return
	}
	if stored != nil && stored.state.open() && !m.isLost(stored.Owner) && m.isLost(received.Owner) {
		return // a live owner has registered or adopted the request since
	}
	m.counts.CopiesFetched++
	if stored == nil {
		stored = m.addCopy(key, received)
	} else {
		m.overwriteCopy(stored, received)
	}
	if received.Outcome != Open {
		stored.state = stateSettled
		m.extendAndPersist(stored)
		return
	}
	stored.state = stateHeld
	m.openCopy(stored)
	if m.isLost(stored.Owner) {
		m.transition(stored, inputOwnerLost)
	}
}

// overwriteCopy replaces a stored copy by that of another replica. If the request is open, it keeps a body that the
// other copy lacks.
func (m *Manager) overwriteCopy(stored *storedCopy, received *Copy) {
	if stored.state.open() {
		m.unindexOpen(stored)
		m.counts.Dropped++ // the caller counts the new copy
	}
	body := stored.Body
	stored.Copy = *received
	stored.previous = nil
	if !stored.Complete && body != nil && received.Outcome == Open {
		stored.Body = body
		stored.Complete = true
	}
}

// restoreCopy merges a copy from this replica's disk. The time since it was written is not known, so its deadline is
// taken as past and its attempt as made at an unknown time: the copy proves what has run, but never causes an attempt.
func (m *Manager) restoreCopy(restored *Copy) {
	restored.Deadline = m.now
	if restored.RunState != NotRun {
		restored.FirstAttemptAt = unknownAttemptTime
	}
	m.mergeCopy(restored)
}

// reinitializePartitions proposes to reinitialize partitions that lost their quorum so long ago that their idempotency
// keys have expired. When such a partition has a quorum again, its open requests are marked as possibly run.
func (m *Manager) reinitializePartitions() {
	var mask uint32
	newlyLost := 0
	for partition := range placement.PartitionCount {
		if m.quorumReachable(partition) || m.ownReplica(partition) == nil {
			if _, known := m.quorumLostAt[partition]; known {
				delete(m.quorumLostAt, partition)
				m.assumeAttempted(partition)
			}
			continue
		}
		lostAt, known := m.quorumLostAt[partition]
		switch {
		case !known:
			m.quorumLostAt[partition] = m.now
			newlyLost++
		case m.now > lostAt+m.quorumLossMS:
			mask |= 1 << partition
		}
	}
	if newlyLost > 0 {
		m.emit(Effect{
			Kind:  LogMessage,
			Text:  "partitions lost their quorum: their requests are rejected until their idempotency keys have expired",
			Count: newlyLost,
		})
	}
	if mask != 0 {
		m.propose(ProposalReinitialize, m.ownPartitions(mask), m.table.Version)
	}
}

// assumeAttempted marks all open requests of a partition as possibly run after its quorum was lost: the replicas that
// knew of their attempts may be lost.
func (m *Manager) assumeAttempted(partition int) {
	var copies []*storedCopy
	for _, set := range m.openByOwner {
		for _, stored := range set.partitions[partition] {
			if stored.RunState == NotRun {
				copies = append(copies, stored)
			}
		}
	}
	sortByKey(copies)
	for _, stored := range copies {
		stored.RunState = MayHaveRun
		stored.FirstAttemptAt = unknownAttemptTime
		m.persist(stored)
	}
}
