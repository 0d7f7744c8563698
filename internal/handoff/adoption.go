package handoff

import (
	"cmp"
	"slices"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// inheritedPartition is a lost owner's work in a partition that this controller has claimed.
type inheritedPartition struct {
	owner     Member
	partition int
	fetches   []*fetch
	since     float64
	complete  bool    // all of it is known
	scannedAt float64 // when it was last queued for adoption; 0: not yet
}

// orphanedRequest is a request to be adopted.
type orphanedRequest struct {
	key   Key
	owner Member
	copy  Copy
}

// updateInherited takes the agreed claims of this controller.
func (m *Manager) updateInherited() {
	m.inherited = slices.DeleteFunc(m.inherited, func(in *inheritedPartition) bool {
		name, incarnation, claimed := m.table.SuccessorOf(in.owner.Name, in.owner.Incarnation, in.partition)
		return !claimed || name != m.self.Name || incarnation != m.self.Incarnation
	})
	for i := range m.table.Claims {
		if claim := &m.table.Claims[i]; m.isOwnClaim(claim) {
			m.inherit(claim)
		}
	}
}

func (m *Manager) inherit(claim *placement.AdoptionClaim) {
	owner := Member{claim.Name, claim.Incarnation}
	for partition := range placement.PartitionCount {
		if claim.Partitions&(1<<partition) != 0 && m.findInherited(owner, partition) == nil {
			m.inherited = append(m.inherited, &inheritedPartition{owner: owner, partition: partition, since: m.now})
			m.counts.AdoptionClaims++
		}
	}
}

func (m *Manager) findInherited(owner Member, partition int) *inheritedPartition {
	for _, in := range m.inherited {
		if in.owner == owner && in.partition == partition {
			return in
		}
	}
	return nil
}

// gatherInherited fetches all that lost owners left in claimed partitions, as any quorum of replicas may have it, and queues it.
func (m *Manager) gatherInherited() {
	running := 0
	for _, in := range m.inherited {
		if !in.complete {
			running++
			if running > maxTransfers {
				break
			}
			in.fetches = m.fetchPages(in.fetches, in.partition, in.owner)
			in.complete = m.hasQuorum(in.partition, completed(in.fetches))
			if !in.complete {
				continue
			}
		}
		if in.scannedAt == 0 || m.now > in.scannedAt+adoptionScanMS {
			in.scannedAt = m.now
			m.queueInherited(in)
		}
	}
	m.settleClaims()
}

// queueInherited queues all that a lost owner left in a partition. The queue is ordered by deadline.
func (m *Manager) queueInherited(in *inheritedPartition) {
	added := 0
	for key, stored := range m.openByOwner[in.owner].in(in.partition) {
		_, queued := m.queuedForAdoption[key]
		if queued || !stored.state.open() || !adoptableBeside(m.owned[key]) {
			continue
		}
		m.queuedForAdoption[key] = struct{}{}
		m.adoptionQueue = append(m.adoptionQueue, &orphanedRequest{key, in.owner, stored.Copy})
		added++
	}
	if added == 0 {
		return
	}
	m.emit(Effect{Kind: LogMessage, Text: "adopting", ID: in.owner.Name, Count: added})
	slices.SortFunc(m.adoptionQueue, func(a, b *orphanedRequest) int {
		return cmp.Or(cmp.Compare(a.copy.Deadline, b.copy.Deadline), a.key.compare(b.key))
	})
}

// adoptableBeside reports whether an orphaned request may be adopted while this controller owns one of its key.
func adoptableBeside(req *ownedRequest) bool {
	return req == nil || req.phase == phaseRegistering || req.phase == phaseClosing
}

// adoptQueued adopts queued requests as far as the pacer has room.
func (m *Manager) adoptQueued() {
	if !m.leaseHeld || m.shuttingDown || m.gathering() {
		return
	}
	for len(m.adoptionQueue) > 0 && m.adoptionsInFlight < int(m.pacer.limit) {
		orphan := m.adoptionQueue[0]
		m.adoptionQueue = m.adoptionQueue[1:]
		delete(m.queuedForAdoption, orphan.key)
		m.startAdoption(orphan)
	}
}

// gathering reports whether the most urgent request may be among those that are not known yet.
func (m *Manager) gathering() bool {
	return slices.ContainsFunc(m.inherited, func(in *inheritedPartition) bool {
		return !in.complete && m.now < in.since+adoptionGatherMS
	})
}

// startAdoption asks replicas to let a request be adopted, if it is still there to be adopted.
func (m *Manager) startAdoption(orphan *orphanedRequest) {
	stored := m.copies[orphan.key]
	if m.findInherited(orphan.owner, orphan.key.Partition()) == nil {
		return
	}
	if stored == nil || stored.Owner != orphan.owner || !stored.state.open() {
		return
	}
	switch req := m.owned[orphan.key]; {
	case req == nil:
	case req.phase == phaseRegistering:
		m.yieldToOwner(req) // a client came again here: it waits for the adopted one
	case m.mayBeReplacedBy(req, stored):
		m.removeOwned(req)
	default:
		return // a later scan finds it again
	}
	adopted := &ownedRequest{Copy: stored.Copy, key: orphan.key, phase: phaseAdopting, previousOwner: orphan.owner, adopted: true, startedAt: m.now}
	adopted.Owner = m.self
	adopted.Sequence = stored.Sequence + 1 + stored.attempts
	stored.attempts++ // the withdrawal of an earlier adoption must not be taken for this one's
	if adopted.RunState != NotRun {
		adopted.uncertainAttempts = 1
	}
	m.owned[orphan.key] = adopted
	m.adoptionsInFlight++
	m.replicate(adopted)
}

// cancelAdoption ends an adoption that replicas refuse: the request has ended, or another controller has it.
func (m *Manager) cancelAdoption(req *ownedRequest) {
	m.abandonOwned(req)
	stored, known := m.copies[req.key], req.known
	if stored == nil || known == nil || stored.Owner != req.previousOwner || !stored.state.open() {
		return
	}
	if known.Outcome != Open {
		it := Item{Sequence: known.Sequence, Outcome: known.Outcome, Answer: known.Answer}
		it.setAttempt(known.attempt())
		m.closeCopy(stored, &it)
		return
	}
	if known.Owner != req.previousOwner {
		m.transition(stored, inputRetired) // it is out of date; its owner sends the whole again
	}
}

// completeAdoption goes on with a request once a quorum knows that it is adopted. One that cannot be gone on with is closed.
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
	f := Effect{Kind: Adopt, Copy: &req.Copy}
	if req.RunState != NotRun && class.replicated() {
		f.Prior = priorAttempt(&req.Copy)
	}
	m.emit(f)
}

// adoptionOutcome returns the outcome of a request that cannot be gone on with, or Open.
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

// canContinue reports whether an adopted request may be sent. It takes from the retry budget where the request runs again.
func (m *Manager) canContinue(req *ownedRequest, class *requestClass) bool {
	if class == nil || !req.Complete || !class.adoptable {
		return false
	}
	if !class.replicated() && !m.takeRerun() {
		return false
	}
	if m.now >= req.Deadline-answerMarginMS {
		return false
	}
	return !class.replicated() || class.effect == scheduler.Keyed || req.Confirmed
}

// takeRerun reports whether the retry budget lets one more idempotent request run again, and counts it.
func (m *Manager) takeRerun() bool {
	m.reruns = after(m.reruns, m.now-m.retryBudget.WindowMS)
	if float64(len(m.reruns)+1) > m.retryBudget.Floor+m.retryBudget.Share*float64(len(m.arrivals)) {
		return false
	}
	m.reruns = append(m.reruns, m.now)
	return true
}
