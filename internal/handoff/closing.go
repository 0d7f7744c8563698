package handoff

import "liftshift/scheduler"

// withheldAnswer is an answer that is not delivered until a quorum of replicas has stored the outcome.
type withheldAnswer struct {
	outcome       Outcome
	answer        []byte
	since         float64
	ownershipLost bool // this controller lost its lease, or the incarnation that owned the request has ended
}

// gateAnswer decides whether an answer must wait until a quorum of replicas has stored the outcome. It must if this
// controller lost its lease or the owning incarnation has ended, because a successor may have continued the request. A
// rejection of a non-idempotent request must wait as well, because a successor of an earlier version may send an attempt
// after it.
//
// If this controller is no longer the owner and no time is left to wait, the answer is replaced by a failure, which
// promises nothing.
func (m *Manager) gateAnswer(ev *Event) {
	req := m.ownedByID[ev.ID]
	if req == nil || ev.Outcome == Abandoned || req.phase != phaseActive {
		return
	}
	if req.unreplicated || req.bestEffort || req.adopted || m.leftToSuccessor(req, ev.Outcome) {
		return
	}
	ownershipLost := !m.leaseHeld || req.Owner != m.self
	class := m.class(req.Class)
	unsafeRejection := ev.Outcome == Rejected && class != nil && class.effect != scheduler.Keyed
	if !ownershipLost && !unsafeRejection {
		return
	}
	req.withheld = &withheldAnswer{
		outcome:       ev.Outcome,
		answer:        ev.Answer,
		since:         m.now,
		ownershipLost: ownershipLost,
	}
	if ownershipLost && !m.mayKeepWithholding(req) {
		req.withheld = nil
		m.emit(Effect{Kind: FailAnswer, ID: req.ID})
		return
	}
	m.emit(Effect{Kind: WithholdAnswer, ID: req.ID})
}

// handleClosed records the final outcome of a request and sends it to the replicas.
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
		answer := ev.Answer
		if answer == nil {
			answer = []byte{}
		}
		m.closeOwned(req, ev.Outcome, answer)
	}
	delete(m.recentOpen, ev.ID)
}

// leftToSuccessor reports whether a request that failed during the shutdown of this controller stays open on the
// replicas, so that a successor can continue it. The successor has more time for it than this controller.
func (m *Manager) leftToSuccessor(req *ownedRequest, outcome Outcome) bool {
	if !m.shuttingDown || outcome != Failed {
		return false
	}
	return req.adopted || req.RunState == MayHaveRun && req.IdempotencyKey != ""
}

// closeOwned ends a request with an outcome and sends the outcome to the replicas. A nil answer is not known here.
func (m *Manager) closeOwned(req *ownedRequest, outcome Outcome, answer []byte) {
	if req.adopted && req.phase != phaseClosing {
		m.adoptionsInFlight--
		m.counts.AdoptionsDone++
	}
	req.phase = phaseClosing
	req.recordUntil = 0
	req.Outcome = outcome
	req.Sequence++
	req.sends = 0
	switch {
	case outcome == Succeeded:
		req.RunState = Ran
		if req.FirstAttemptAt == 0 {
			req.FirstAttemptAt = m.now
		}
		if answer != nil && len(answer) <= m.maxAnswerBytes {
			req.Answer = append([]byte{}, answer...)
		}
	case outcome == Rejected && req.uncertainAttempts == 0:
		req.RunState = NotRun
	}
	req.Body = nil
	m.replicate(req)
}

// settleClose advances a closing request: it delivers a withheld answer where that is allowed, and removes the request
// once no replica has to be notified any more.
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

// closeOwnReplica closes the copy stored by this controller's own replica once a quorum has accepted the close. The
// replica itself refuses messages of an earlier incarnation of this controller.
func (m *Manager) closeOwnReplica(req *ownedRequest, quorum bool) {
	stored := m.copies[req.key]
	if !quorum || stored == nil || stored.Owner != req.Owner || !stored.state.open() {
		return
	}
	item := m.currentItem(req)
	m.closeCopy(stored, &item)
}

// settleWithheld delivers a withheld answer if a quorum has stored it, or a successor's answer if replicas report one.
// When the time for withholding is over, it answers with a failure. It reports whether it answered.
func (m *Manager) settleWithheld(req *ownedRequest, quorum bool) bool {
	withheld, known := req.withheld, req.reportedCopy
	effect := Effect{Kind: DeliverAnswer, ID: req.ID, Outcome: Failed}
	switch {
	case quorum:
		effect.Outcome, effect.Answer = withheld.outcome, withheld.answer
	case known != nil && known.Outcome != Open && known.Outcome != Withdrawn: // a successor has ended the request
		effect.Outcome, effect.Answer = known.Outcome, known.Answer
	case m.mayKeepWithholding(req):
		return false
	}
	req.withheld = nil
	m.emit(effect)
	return true
}

// mayKeepWithholding reports whether a withheld answer may wait longer for a quorum.
func (m *Manager) mayKeepWithholding(req *ownedRequest) bool {
	if req.withheld.ownershipLost {
		return m.now < m.answerDue(req.Deadline)
	}
	return m.now < min(req.withheld.since+holdTimeoutMS, req.Deadline, m.shutdownDeadline)
}

// answerDue returns the time from which a request with a deadline is answered, whatever it waits for: a margin before
// its deadline, or before the time by which a shutdown wants all requests answered.
func (m *Manager) answerDue(deadline float64) float64 {
	return min(deadline, m.shutdownDeadline) - answerMarginMS
}

// superseded reports whether replicas refuse a close because another controller owns the request by now, or because a
// later request with the same key exists.
func (m *Manager) superseded(req *ownedRequest) bool {
	if !m.quorumImpossible(req.key.Partition(), req.refusals) {
		return false
	}
	known := req.reportedCopy
	if known != nil && known.Sequence > req.Sequence {
		return true
	}
	if req.Owner == m.self {
		return false
	}
	return req.Outcome != Succeeded || known != nil && known.Outcome == Succeeded || req.sends > 2*maxCloseSends
}

// closeAcknowledged reports whether enough replicas have stored a close, or it has been sent often enough.
func (m *Manager) closeAcknowledged(req *ownedRequest, quorum bool) bool {
	if req.bestEffort || req.sends >= 4*maxCloseSends {
		return true
	}
	if quorum && (req.Owner != m.self || req.sends >= maxCloseSends) {
		return true
	}
	return len(m.notAcknowledged(req.key.Partition(), req.acks)) == 0
}
