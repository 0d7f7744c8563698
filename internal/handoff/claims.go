package handoff

import (
	"cmp"
	"slices"

	"liftshift/internal/placement"
)

// ProposalKind is the kind of a change that the consensus group is asked to agree on. Its values are stored in the
// consensus log and must not change.
type ProposalKind string

// The kinds of proposals.
const (
	ProposalReady        ProposalKind = "ready"   // this controller's replicas of some partitions are ready
	ProposalClaim        ProposalKind = "claim"   // this controller adopts a lost owner's requests in some partitions
	ProposalSettled      ProposalKind = "settled" // nothing is left to adopt in some partitions of a claim
	ProposalReinitialize ProposalKind = "anew"    // partitions that lost their quorum resume without it
)

// updateLostOwners marks the open copies of lost owners as orphaned or claimed, and records when each loss became
// known.
func (m *Manager) updateLostOwners() {
	for owner, set := range m.openByOwner {
		if !m.isLost(owner) {
			continue
		}
		if m.lostOwners[owner] == 0 {
			m.lostOwners[owner] = m.now
		}
		for partition := range set.partitions {
			_, _, claimed := m.table.SuccessorOf(owner.Name, owner.Incarnation, partition)
			if notice := noticeFor(claimed); set.notified[partition] != notice {
				set.notified[partition] = notice
				m.notifyCopies(set.partitions[partition], claimed)
			}
		}
	}
	for owner := range m.lostOwners {
		if m.openByOwner[owner] == nil {
			delete(m.lostOwners, owner)
		}
	}
}

// notifyCopies moves open copies of a lost owner to the orphaned state, or to the claimed one if a successor has
// claimed their partition.
func (m *Manager) notifyCopies(copies map[Key]*storedCopy, claimed bool) {
	input := inputUnclaimed
	if claimed {
		input = inputClaimed
	}
	for _, stored := range copies {
		m.transition(stored, inputOwnerLost)
		m.transition(stored, input)
	}
}

// orphanedPartitions returns the lost owners of open copies stored here, sorted, and for each the partitions of its
// copies as a bit mask.
func (m *Manager) orphanedPartitions() (owners []Member, partitions map[Member]uint32) {
	partitions = map[Member]uint32{}
	for owner, set := range m.openByOwner {
		if m.isLost(owner) {
			partitions[owner] = set.mask()
			owners = append(owners, owner)
		}
	}
	slices.SortFunc(owners, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return owners, partitions
}

// claimOrphans proposes to claim the requests of lost owners. The first ready replica of a partition claims at once;
// each further replica follows only if those before it have not claimed the partition within their time.
func (m *Manager) claimOrphans() {
	if !m.leaseHeld || m.shuttingDown {
		return
	}
	owners, partitions := m.orphanedPartitions()
	for _, owner := range owners {
		if mask := m.claimable(owner, partitions[owner]); mask != 0 {
			m.proposeClaim(owner, mask)
		}
	}
}

// claimable returns which of a lost owner's partitions are unclaimed and due to be claimed by this controller, as a bit
// mask.
func (m *Manager) claimable(owner Member, partitions uint32) (mask uint32) {
	for partition := range placement.PartitionCount {
		if partitions&(1<<partition) == 0 {
			continue
		}
		if _, _, claimed := m.table.SuccessorOf(owner.Name, owner.Incarnation, partition); claimed {
			continue
		}
		rank := m.readyRank(partition)
		if rank >= 0 && m.now >= m.lostOwners[owner]+float64(rank)*proposalRetryMS {
			mask |= 1 << partition
		}
	}
	return mask
}

// readyRank returns the index of this controller among the ready live replicas of a partition, or -1 if it is not one
// of them.
func (m *Manager) readyRank(partition int) int {
	rank := 0
	for _, replica := range m.table.Partitions[partition].Current {
		if !replica.Ready || !m.isLive(replica) {
			continue
		}
		if replica.Name == m.self.Name {
			return rank
		}
		rank++
	}
	return -1
}

// proposeClaim proposes that this controller adopts the requests of a lost owner in the partitions of a bit mask.
func (m *Manager) proposeClaim(owner Member, partitions uint32) {
	m.propose(ProposalClaim, placement.AdoptionClaim{
		Name:                 owner.Name,
		Incarnation:          owner.Incarnation,
		Successor:            m.self.Name,
		SuccessorIncarnation: m.self.Incarnation,
		Partitions:           partitions,
	}, 0)
}

// claimOnRequest handles an operator's request to claim the open requests of all lost incarnations of a member.
// Partitions that another live successor has claimed stay with it.
func (m *Manager) claimOnRequest(name string) {
	owners, partitions := m.orphanedPartitions()
	claimed := 0
	for _, owner := range owners {
		if owner.Name == name && m.hasPlacement() {
			claimed++
			m.proposeClaim(owner, partitions[owner])
		}
	}
	m.emit(Effect{Kind: LogMessage, Text: "claimed on an operator's request", ID: name, Count: claimed})
}

// isOwnClaim reports whether the successor of a claim is this incarnation.
func (m *Manager) isOwnClaim(claim *placement.AdoptionClaim) bool {
	return claim.Successor == m.self.Name && claim.SuccessorIncarnation == m.self.Incarnation
}

// settleClaims proposes to end this controller's claims on partitions in which nothing is left to adopt.
func (m *Manager) settleClaims() {
	for _, claim := range m.table.Claims {
		if !m.isOwnClaim(&claim) {
			continue
		}
		owner := Member{claim.Name, claim.Incarnation}
		settled := claim.Partitions &^ m.unsettledPartitions(owner)
		if settled != 0 {
			claim.Partitions = settled
			m.propose(ProposalSettled, claim, 0)
		}
	}
}

// unsettledPartitions returns the partitions in which requests of a lost owner are still to be adopted, or their
// adoption is still to be acknowledged by replicas, as a bit mask.
func (m *Manager) unsettledPartitions(owner Member) (mask uint32) {
	for _, claimed := range m.claimedPartitions {
		if claimed.owner == owner && claimed.scannedAt == 0 {
			mask |= 1 << claimed.partition
		}
	}
	mask |= m.openByOwner[owner].mask()
	for _, req := range m.unacknowledged {
		if req.adopted && req.previousOwner == owner && m.adoptionUnacknowledged(req) {
			mask |= 1 << req.key.Partition()
		}
	}
	return mask
}

// adoptionUnacknowledged reports whether live replicas have yet to acknowledge an adopted request. Those that stay
// silent are waited for only for claimRetentionMS.
func (m *Manager) adoptionUnacknowledged(req *ownedRequest) bool {
	if req.phase == phaseDone || len(req.acks) >= len(m.replicaNames(req.key.Partition())) {
		return false
	}
	return req.phase == phaseAdopting || m.now < req.startedAt+claimRetentionMS
}
