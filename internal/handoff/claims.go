package handoff

import (
	"cmp"
	"slices"

	"liftshift/internal/placement"
)

// ProposalKind says what is to be agreed on. Its values go to the consensus log: they do not change.
type ProposalKind string

// The kinds of proposals.
const (
	ProposalReady        ProposalKind = "ready"   // this controller's replicas have all that those before them had
	ProposalClaim        ProposalKind = "claim"   // this controller adopts what a lost owner left in some partitions
	ProposalSettled      ProposalKind = "settled" // nothing of a claim is left to adopt
	ProposalReinitialize ProposalKind = "anew"    // partitions that lost their quorum begin anew
)

// updateLostOwners tells copies that their owners are lost, and whether a successor has claimed them.
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

// orphanedPartitions returns the lost owners of open copies that are stored here, in order, and the partitions of these copies.
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

// claimOrphans claims what lost owners left in the partitions whose first ready replica this controller is. The next replicas do so
// later, should that one not.
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

// claimable returns those of a lost owner's partitions that are unclaimed, and this controller's turn to claim.
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

// readyRank returns this controller's place among the ready live replicas of a partition, or -1.
func (m *Manager) readyRank(partition int) int {
	rank := 0
	for _, r := range m.table.Partitions[partition].Current {
		if !r.Ready || !m.isLive(r) {
			continue
		}
		if r.Name == m.self.Name {
			return rank
		}
		rank++
	}
	return -1
}

func (m *Manager) proposeClaim(owner Member, partitions uint32) {
	m.propose(ProposalClaim, placement.AdoptionClaim{
		Name:                 owner.Name,
		Incarnation:          owner.Incarnation,
		Successor:            m.self.Name,
		SuccessorIncarnation: m.self.Incarnation,
		Partitions:           partitions,
	}, 0)
}

// claimOnRequest claims all that a lost member left and nobody has claimed, as an operator asks.
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

// isOwnClaim reports whether a claim is this incarnation's.
func (m *Manager) isOwnClaim(c *placement.AdoptionClaim) bool {
	return c.Successor == m.self.Name && c.SuccessorIncarnation == m.self.Incarnation
}

// settleClaims proposes to end the claims of which nothing is left to adopt.
func (m *Manager) settleClaims() {
	for _, claim := range m.table.Claims {
		if !m.isOwnClaim(&claim) {
			continue
		}
		owner := Member{claim.Name, claim.Incarnation}
		settled := claim.Partitions &^ m.unsettled(owner)
		if settled != 0 {
			claim.Partitions = settled
			m.propose(ProposalSettled, claim, 0)
		}
	}
}

// unsettled returns the partitions in which something of a lost owner is still to be adopted, or not yet acknowledged by replicas.
func (m *Manager) unsettled(owner Member) (mask uint32) {
	for _, in := range m.inherited {
		if in.owner == owner && in.scannedAt == 0 {
			mask |= 1 << in.partition
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

// adoptionUnacknowledged reports whether replicas that answer have yet to learn who adopted a request.
func (m *Manager) adoptionUnacknowledged(req *ownedRequest) bool {
	if req.phase == phaseDone || len(req.acks) >= len(m.replicaNames(req.key.Partition())) {
		return false
	}
	return req.phase == phaseAdopting || m.now < req.startedAt+claimRetentionMS
}
