package handoff

import "liftshift/scheduler"

// withheldAnswer is an answer that waits until a quorum of replicas knows of it.
type withheldAnswer struct {
	outcome Outcome
	answer  []byte
	since   float64
	late    bool // the lease, or the incarnation that owned the request, is over
}

// gateAnswer decides whether an answer must wait until replicas know of it. Where the lease or the owning incarnation is over, a successor
// may be going on with the request; and no successor may send an attempt after a non-idempotent request was rejected.
func (m *Manager) gateAnswer(ev *Event) {
	req := m.ownedByID[ev.ID]
	if req == nil || ev.Outcome == Abandoned || req.phase != phaseActive {
		return
	}
	if req.unreplicated || req.bestEffort || req.adopted {
		return
	}
	late := !m.leaseHeld || req.Owner != m.self
	class := m.class(req.Class)
	unsafeRejection := ev.Outcome == Rejected && class != nil && class.effect != scheduler.Keyed
	if !late && !unsafeRejection {
		return
	}
	req.withheld = &withheldAnswer{outcome: ev.Outcome, answer: ev.Answer, since: m.now, late: late}
	m.emit(Effect{Kind: WithholdAnswer, ID: req.ID})
}

// handleClosed records the final outcome of a request, and tells the replicas.
func (m *Manager) handleClosed(ev *Event) {
	m.pacer.finish(m.now, ev.ID, ev.Outcome == Succeeded)
	if req := m.ownedByID[ev.ID]; req != nil && req.phase == phaseActive {
		if req.unreplicated {
			m.removeOwned(req)
			return
		}
		if m.leftToSuccessor(req, ev.Outcome) {
			m.abandonOwned(req)
			return
		}
		m.closeOwned(req, ev.Outcome, ev.Answer)
	}
	delete(m.recentOpen, ev.ID)
}

// leftToSuccessor reports whether a request that fails as this controller shuts down stays open with the replicas: a successor has more
// time for it.
func (m *Manager) leftToSuccessor(req *ownedRequest, outcome Outcome) bool {
	if !m.shuttingDown || outcome != Failed {
		return false
	}
	return req.adopted || req.RunState == MayHaveRun && req.IdempotencyKey != ""
}

// closeOwned ends a request with an outcome, and tells the replicas.
func (m *Manager) closeOwned(req *ownedRequest, outcome Outcome, answer []byte) {
	if req.adopted && req.phase != phaseClosing {
		m.adoptionsInFlight--
		m.counts.AdoptionsDone++
	}
	req.phase = phaseClosing
	req.Outcome = outcome
	req.Sequence++
	req.sends = 0
	switch {
	case outcome == Succeeded:
		req.RunState = Ran
		if req.FirstAttemptAt == 0 {
			req.FirstAttemptAt = m.now
		}
		if len(answer) <= m.maxAnswerBytes {
			req.Answer = append([]byte{}, answer...)
		}
	case outcome == Rejected && req.uncertainAttempts == 0:
		req.RunState = NotRun
	}
	req.Body = nil
	m.replicate(req)
}

// settleClose looks at a request that closes: whether its answer may go out, and whether replicas still have to be notified.
func (m *Manager) settleClose(req *ownedRequest) {
	quorum := m.hasQuorum(req.key.Partition(), req.acks)
	m.closeOwnReplica(req, quorum)
	if req.withheld != nil && !m.settleWithheld(req, quorum) {
		return
	}
	if m.superseded(req) || m.closeAcknowledged(req, quorum) {
		m.removeOwned(req)
	}
}

// closeOwnReplica closes the copy of this controller's own replica, which refuses messages of an incarnation that is over, once the
// others have accepted them.
func (m *Manager) closeOwnReplica(req *ownedRequest, quorum bool) {
	stored := m.copies[req.key]
	if !quorum || stored == nil || stored.Owner != req.Owner || !stored.state.open() {
		return
	}
	it := m.currentItem(req)
	m.closeCopy(stored, &it)
}

// settleWithheld delivers a withheld answer, and reports whether it did.
func (m *Manager) settleWithheld(req *ownedRequest, quorum bool) bool {
	withheld, known := req.withheld, req.known
	f := Effect{Kind: DeliverAnswer, ID: req.ID, Outcome: Failed}
	switch {
	case quorum:
		f.Outcome, f.Answer = withheld.outcome, withheld.answer
	case known != nil && known.Outcome != Open && known.Outcome != Withdrawn: // its successor has answered it
		f.Outcome, f.Answer = known.Outcome, known.Answer
	case m.mayStillSettle(req):
		return false
	}
	req.withheld = nil
	m.emit(f)
	return true
}

// mayStillSettle reports whether there is time left for a withheld answer.
func (m *Manager) mayStillSettle(req *ownedRequest) bool {
	if req.withheld.late {
		return m.now < req.Deadline-answerMarginMS
	}
	return m.now < req.withheld.since+holdTimeoutMS
}

// superseded reports whether replicas refuse a close as the request is another controller's by now, or a later one of its key is known.
func (m *Manager) superseded(req *ownedRequest) bool {
	if !m.quorumImpossible(req.key.Partition(), req.refusals) {
		return false
	}
	known := req.known
	if known != nil && known.Sequence > req.Sequence {
		return true
	}
	if req.Owner == m.self {
		return false
	}
	return req.Outcome != Succeeded || known != nil && known.Outcome == Succeeded || req.sends > 2*maxCloseSends
}

// closeAcknowledged reports whether enough replicas know of a close, or no more are to be waited for.
func (m *Manager) closeAcknowledged(req *ownedRequest, quorum bool) bool {
	if req.bestEffort || req.sends >= 4*maxCloseSends {
		return true
	}
	if quorum && (req.Owner != m.self || req.sends >= maxCloseSends) {
		return true
	}
	return len(m.notAcknowledged(req.key.Partition(), req.acks)) == 0
}
