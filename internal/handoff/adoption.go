package handoff

import (
	"cmp"
	"slices"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// claimedPartition tracks the adoption of a lost owner's open requests in one partition that this controller has
// claimed.
type claimedPartition struct {
	owner     Member
	partition int
	fetches   []*fetch
	since     float64 // when the claim became known here
	complete  bool    // the owner's open requests were fetched from a quorum of replicas
	scannedAt float64 // when its requests were last queued for adoption; 0: never
}

// orphanedRequest is an open request of a lost owner that is queued for adoption.
type orphanedRequest struct {
	key   Key
	owner Member
	copy  Copy
}

// updateClaimedPartitions follows the agreed claims of this controller: it drops partitions that are no longer claimed
// and adds new ones.
func (m *Manager) updateClaimedPartitions() {
	m.claimedPartitions = slices.DeleteFunc(m.claimedPartitions, func(claimed *claimedPartition) bool {
		owner := claimed.owner
		name, incarnation, found := m.table.SuccessorOf(owner.Name, owner.Incarnation, claimed.partition)
		return !found || name != m.self.Name || incarnation != m.self.Incarnation
	})
	for i := range m.table.Claims {
		if claim := &m.table.Claims[i]; m.isOwnClaim(claim) {
			m.addClaimedPartitions(claim)
		}
	}
}

// addClaimedPartitions starts to track the partitions of a claim that are not tracked yet.
func (m *Manager) addClaimedPartitions(claim *placement.AdoptionClaim) {
	owner := Member{claim.Name, claim.Incarnation}
	for partition := range placement.PartitionCount {
		if claim.Partitions&(1<<partition) != 0 && m.findClaimedPartition(owner, partition) == nil {
			m.claimedPartitions = append(m.claimedPartitions,
				&claimedPartition{owner: owner, partition: partition, since: m.now})
			m.counts.AdoptionClaims++
		}
	}
}

// findClaimedPartition returns the partition of a lost owner if this controller has claimed it, or nil.
func (m *Manager) findClaimedPartition(owner Member, partition int) *claimedPartition {
	for _, claimed := range m.claimedPartitions {
		if claimed.owner == owner && claimed.partition == partition {
			return claimed
		}
	}
	return nil
}

// fetchClaimedPartitions fetches the lost owners' open requests in claimed partitions and queues them for adoption. It
// fetches from a quorum of replicas, as this controller may have missed requests that a quorum stored.
func (m *Manager) fetchClaimedPartitions() {
	running := 0
	for _, claimed := range m.claimedPartitions {
		if !claimed.complete {
			running++
			if running > maxTransfers {
				break
			}
			claimed.fetches = m.fetchPages(claimed.fetches, claimed.partition, claimed.owner)
			claimed.complete = m.hasQuorum(claimed.partition, completedMembers(claimed.fetches))
			if !claimed.complete {
				continue
			}
		}
		if claimed.scannedAt == 0 || m.now > claimed.scannedAt+adoptionScanMS {
			claimed.scannedAt = m.now
			m.queueOrphans(claimed)
		}
	}
	m.settleClaims()
}

// queueOrphans queues a lost owner's open requests in a claimed partition for adoption, nearest deadline first.
func (m *Manager) queueOrphans(claimed *claimedPartition) {
	added := 0
	for key, stored := range m.openByOwner[claimed.owner].inPartition(claimed.partition) {
		_, queued := m.queuedForAdoption[key]
		if queued || !stored.state.open() || !adoptableDespite(m.owned[key]) {
			continue
		}
		m.queuedForAdoption[key] = struct{}{}
		m.adoptionQueue = append(m.adoptionQueue, &orphanedRequest{key, claimed.owner, stored.Copy})
		added++
	}
	if added == 0 {
		return
	}
	m.emit(Effect{Kind: LogMessage, Text: "adopting", ID: claimed.owner.Name, Count: added})
	slices.SortFunc(m.adoptionQueue, func(a, b *orphanedRequest) int {
		return cmp.Or(cmp.Compare(a.copy.Deadline, b.copy.Deadline), a.key.compare(b.key))
	})
}

// adoptableDespite reports whether an orphaned request may be queued for adoption although this controller owns req, a
// request with the same key, or nil: one that is still registering or already closing gives way.
func adoptableDespite(req *ownedRequest) bool {
	return req == nil || req.phase == phaseRegistering || req.phase == phaseClosing
}

// adoptQueued starts the adoption of queued requests up to the pacer's limit.
func (m *Manager) adoptQueued() {
	if !m.leaseHeld || m.shuttingDown || m.stillFetching() {
		return
	}
	for len(m.adoptionQueue) > 0 && m.adoptionsInFlight < int(m.pacer.limit) {
		orphan := m.adoptionQueue[0]
		m.adoptionQueue = m.adoptionQueue[1:]
		delete(m.queuedForAdoption, orphan.key)
		m.startAdoption(orphan)
	}
}

// stillFetching reports whether adoption waits for recently claimed partitions that are still being fetched: the
// request with the nearest deadline may be in one of them.
func (m *Manager) stillFetching() bool {
	return slices.ContainsFunc(m.claimedPartitions, func(claimed *claimedPartition) bool {
		return !claimed.complete && m.now < claimed.since+adoptionFetchWaitMS
	})
}

// startAdoption asks the replicas to record this controller as the owner of an orphaned request, unless the request has
// ended or changed its owner since it was queued.
func (m *Manager) startAdoption(orphan *orphanedRequest) {
	stored := m.copies[orphan.key]
	if m.findClaimedPartition(orphan.owner, orphan.key.Partition()) == nil {
		return
	}
	if stored == nil || stored.Owner != orphan.owner || !stored.state.open() {
		return
	}
	switch req := m.owned[orphan.key]; {
	case req == nil:
	case req.phase == phaseRegistering: // a repeat from a client waits for the adopted request
		known := stored.Copy
		req.reportedCopy = &known
		m.yieldToOwner(req)
	case m.mayBeReplacedBy(req, stored):
		m.removeOwned(req)
	default:
		return // a later scan queues it again
	}
	adopted := &ownedRequest{
		Copy:          stored.Copy,
		key:           orphan.key,
		phase:         phaseAdopting,
		previousOwner: orphan.owner,
		baseSequence:  stored.Sequence,
		adopted:       true,
		startedAt:     m.now,
	}
	adopted.Owner = m.self
	adopted.Sequence = stored.Sequence + 1 + stored.adoptionAttempts
	stored.adoptionAttempts++ // a withdrawal of an earlier adoption must not match this one's sequence
	if adopted.RunState != NotRun {
		adopted.uncertainAttempts = 1
	}
	m.owned[orphan.key] = adopted
	m.adoptionsInFlight++
	m.replicate(adopted)
}

// cancelAdoption ends an adoption that the replicas refuse because the request has ended or another controller owns it.
// It updates this replica's copy by what the others know.
func (m *Manager) cancelAdoption(req *ownedRequest) {
	m.abandonOwned(req)
	stored, known := m.copies[req.key], req.reportedCopy
	if stored == nil || known == nil || stored.Owner != req.previousOwner || !stored.state.open() {
		return
	}
	if known.Outcome != Open {
		item := Item{Sequence: known.Sequence, Outcome: known.Outcome, Answer: known.Answer}
		item.setAttempt(known.attempt())
		m.closeCopy(stored, &item)
		return
	}
	if known.Owner != req.previousOwner {
		m.transition(stored, inputRetired) // the copy is out of date; the new owner sends a complete one
	}
}

// completeAdoption has a request dispatched here once a quorum has recorded its adoption. A request that must not be
// sent is closed instead.
func (m *Manager) completeAdoption(req *ownedRequest) {
	m.counts.AdoptionsStarted++
	req.phase = phaseActive
	class := m.class(req.Class)
	if outcome := m.adoptionOutcome(req, class); outcome != Open {
		m.closeOwned(req, outcome, nil)
		return
	}
	m.ownedByID[req.ID] = req
	m.pacer.start(m.now, req.ID, m.classIndex(req.Class), true)
	effect := Effect{Kind: Adopt, Copy: &req.Copy}
	if req.RunState != NotRun && class.replicated() {
		effect.Prior = priorAttempt(&req.Copy)
	}
	m.emit(effect)
}

// adoptionOutcome returns Open if an adopted request may be sent, otherwise the outcome that it is closed with:
// Rejected if it surely has not run, Failed otherwise.
func (m *Manager) adoptionOutcome(req *ownedRequest, class *requestClass) Outcome {
	replicated := class != nil && class.replicated()
	switch {
	case m.canContinue(req, class):
		return Open
	case replicated && req.RunState == NotRun:
		return Rejected
	default:
		return Failed
	}
}

// canContinue reports whether an adopted request may be sent. An idempotent request counts against the retry budget, as
// it may run twice.
func (m *Manager) canContinue(req *ownedRequest, class *requestClass) bool {
	if class == nil || !req.Complete || !class.adoptable {
		return false
	}
	if m.now >= req.Deadline-answerMarginMS {
		return false
	}
	return class.effect == scheduler.Keyed || m.takeFromRetryBudget()
}

// takeFromRetryBudget reports whether the retry budget allows one more idempotent request to run again, and if so
// counts it.
func (m *Manager) takeFromRetryBudget() bool {
	m.reruns = timesSince(m.reruns, m.now-m.retryBudget.WindowMS)
	if float64(len(m.reruns)+1) > m.retryBudget.Floor+m.retryBudget.Share*float64(len(m.arrivals)) {
		return false
	}
	m.reruns = append(m.reruns, m.now)
	return true
}
