package handoff

import (
	"bytes"
	"slices"

	"liftshift/internal/placement"
)

// partitionTransfer copies a partition to this controller, a new replica of it.
type partitionTransfer struct {
	fetches []*fetch
}

// fetch copies what one replica of a partition stores, a page at a time.
type fetch struct {
	from Member
	next Key
	done bool
	at   float64
}

// completed returns the members whose fetches are done.
func completed(fetches []*fetch) (members []Member) {
	for _, f := range fetches {
		if f.done {
			members = append(members, f.from)
		}
	}
	return members
}

// runTransfers copies the partitions that this controller is a new replica of, and proposes it as ready once a majority of the previous
// replicas has been copied.
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
		if isMajority(previous, completed(transfer.fetches)) {
			ready |= 1 << partition
			running--
		}
	}
	if ready != 0 {
		m.propose(ProposalReady, m.ownClaim(ready), m.table.Version)
	}
}

// ownClaim names partitions of this controller in a proposal.
func (m *Manager) ownClaim(partitions uint32) placement.AdoptionClaim {
	return placement.AdoptionClaim{Name: m.self.Name, Incarnation: m.self.Incarnation, Partitions: partitions}
}

// fetchPages asks all replicas of a partition for the next page of what they store: of one owner's open requests, or of all.
func (m *Manager) fetchPages(fetches []*fetch, partition int, owner Member) []*fetch {
	for _, name := range m.replicaNames(partition) {
		i := slices.IndexFunc(fetches, func(f *fetch) bool { return f.from.Name == name })
		if i < 0 {
			fetches = append(fetches, &fetch{from: Member{name, m.members[name].Incarnation}, at: neverFetched})
			i = len(fetches) - 1
		}
		if f := fetches[i]; !f.done && m.now >= f.at+2*resendMS {
			f.at = m.now
			m.send(name, Item{Op: OpFetch, Partition: partition, After: f.next, From: owner})
		}
	}
	return fetches
}

// fetchesFor returns the fetches that an OpFetch belongs to.
func (m *Manager) fetchesFor(sent *Item) []*fetch {
	if sent.From.Name == "" {
		if transfer := m.transfers[sent.Partition]; transfer != nil {
			return transfer.fetches
		}
		return nil
	}
	if in := m.findInherited(sent.From, sent.Partition); in != nil {
		return in.fetches
	}
	return nil
}

// handlePage takes a page that a replica sent.
func (m *Manager) handlePage(from Member, sent, reply *Item) {
	if reply.Op != OpPage {
		return
	}
	fetches := m.fetchesFor(sent)
	i := slices.IndexFunc(fetches, func(f *fetch) bool { return f.from == from })
	if i < 0 || fetches[i].next != sent.After || fetches[i].done {
		return // a repeat
	}
	for k := range reply.Copies {
		m.mergeCopy(&reply.Copies[k])
	}
	if reply.Reason == reasonNotReady {
		return // it is asked again once it has all
	}
	f := fetches[i]
	f.done = !reply.More
	f.at = neverFetched
	if reply.More {
		f.next = reply.After
	}
	if sent.From.Name == "" {
		m.runTransfers()
		return
	}
	m.gatherInherited()
	m.adoptQueued()
}

// readPage returns copies of a partition in the order of their keys.
func (m *Manager) readPage(it *Item) Item {
	reply := Item{Op: OpPage, Partition: it.Partition}
	size := 0
	for n, key := range m.keysAfter(it) {
		stored := m.copies[key]
		size += pageItemBytes + len(stored.Body) + len(stored.Answer)
		if n > 0 && (n >= pageItems || size > pageBytes) {
			reply.More = true
			break
		}
		reply.Copies = append(reply.Copies, stored.Copy)
		reply.After = key
	}
	return reply
}

// keysAfter returns the keys that an OpFetch asks for: of one owner's open requests, or of all copies.
func (m *Manager) keysAfter(it *Item) (keys []Key) {
	if it.From.Name != "" {
		for key := range m.openByOwner[it.From].in(it.Partition) {
			if key.compare(it.After) > 0 {
				keys = append(keys, key)
			}
		}
	} else {
		for key, stored := range m.copies {
			if key.Partition() == it.Partition && !stored.idMapping && key.compare(it.After) > 0 {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}

func (k Key) compare(other Key) int { return bytes.Compare(k[:], other[:]) }

// mergeCopy takes a copy that another replica stores, where it says more than this one's.
func (m *Manager) mergeCopy(c *Copy) {
	key := KeyOf(c.IdempotencyKey, c.ID)
	stored := m.copies[key]
	if stored != nil && !moreRecent(c, &stored.Copy) {
		if stored.Owner == c.Owner && stored.Sequence == c.Sequence && c.RunState != NotRun {
			stored.FirstAttemptAt = min(stored.FirstAttemptAt, c.FirstAttemptAt) // a replica that was notified late takes it for younger than it is
		}
		return
	}
	if stored != nil && stored.state.open() && !m.isLost(stored.Owner) && m.isLost(c.Owner) {
		return // a live owner has it by now, with all that counted
	}
	m.counts.CopiesFetched++
	if stored == nil {
		stored = m.addCopy(key, c)
	} else {
		m.overwriteCopy(stored, c)
	}
	if c.Outcome != Open {
		stored.state = stateSettled
		m.refresh(stored)
		return
	}
	stored.state = stateHeld
	m.openCopy(stored)
	if m.isLost(stored.Owner) {
		m.transition(stored, inputOwnerLost)
	}
}

// overwriteCopy replaces a stored copy by another replica's; an open one retains the body that it has.
func (m *Manager) overwriteCopy(stored *storedCopy, c *Copy) {
	if stored.state.open() {
		m.unindexOpen(stored)
		m.counts.Dropped++ // it is counted anew as what it is by now
	}
	body := stored.Body
	stored.Copy = *c
	stored.previous = nil
	if !stored.Complete && body != nil && c.Outcome == Open {
		stored.Body = body
		stored.Complete = true
	}
}

// restoreCopy takes a copy from this replica's disk. Nobody knows how long ago it was written: it proves what has run, and is never a
// reason to send anything.
func (m *Manager) restoreCopy(c *Copy) {
	c.Deadline = m.now
	if c.RunState != NotRun {
		c.FirstAttemptAt = unknownAttemptTime
	}
	m.mergeCopy(c)
}

// reinitializePartitions proposes to begin partitions anew that lost their quorum, once no key of theirs can come again.
func (m *Manager) reinitializePartitions() {
	var mask uint32
	found := 0
	for partition := range placement.PartitionCount {
		if m.quorumReachable(partition) || m.ownReplica(partition) == nil {
			if _, known := m.quorumLostAt[partition]; known {
				delete(m.quorumLostAt, partition)
				m.assumeAttempted(partition)
			}
			continue
		}
		at, known := m.quorumLostAt[partition]
		switch {
		case !known:
			m.quorumLostAt[partition] = m.now
			found++
		case m.now > at+m.quorumLossMS:
			mask |= 1 << partition
		}
	}
	if found > 0 {
		m.emit(Effect{Kind: LogMessage, Text: "partitions lost their quorum: their requests are rejected until their idempotency keys have expired", Count: found})
	}
	if mask != 0 {
		m.propose(ProposalReinitialize, m.ownClaim(mask), m.table.Version)
	}
}

// assumeAttempted marks all open requests of a reinitialized partition as possibly run: the replicas that knew better are lost.
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
