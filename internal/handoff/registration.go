package handoff

import (
	"math"

	"liftshift/scheduler"
)

// jitter returns a random delay of up to jitterMS.
func (m *Manager) jitter() float64 { return jitterMS * m.random() }

// handleArrival admits an arriving request, or suspends it until a quorum of replicas has registered it.
func (m *Manager) handleArrival(ev *Event) {
	c := ev.Copy
	index := m.classIndex(c.Class)
	if index < 0 {
		m.emit(Effect{Kind: Admit})
		return
	}
	class := &m.classes[index]
	m.arrivals = append(m.arrivals, m.now)
	m.pacer.start(m.now, c.ID, index, class.replicated())
	if !class.replicated() {
		m.trackRecent(c)
		m.emit(Effect{Kind: Admit})
		return
	}
	m.emit(Effect{Kind: Suspend, ID: c.ID})
	waiter := &waitingRequest{
		Copy:               *c,
		key:                KeyOf(c.IdempotencyKey, c.ID),
		arrivalIncarnation: m.self.Incarnation,
		startedAt:          m.now,
	}
	waiter.Owner = m.self
	waiter.Complete = true
	if m.isAwaited(waiter.key) { // a registration would hold up the one that the earlier request waits for
		m.addWaiting(waiter)
		return
	}
	m.register(waiter)
}

// register asks the replicas to register a request. If this controller already owns a request with the same key, the
// new one waits for it instead, unless a quorum knows that it has ended.
func (m *Manager) register(waiter *waitingRequest) {
	if earlier := m.owned[waiter.key]; earlier != nil {
		if !m.hasEndedForQuorum(earlier) {
			m.addWaiting(waiter)
			return
		}
		waiter.Sequence = max(waiter.Sequence, earlier.Sequence+1)
		m.removeOwned(earlier) // replicas that missed its end replace it by the new request
	}
	if !m.canRegister(waiter.key) {
		m.admitOrRejectUnreplicated(waiter)
		return
	}
	req := &ownedRequest{
		Copy:               waiter.Copy,
		key:                waiter.key,
		arrivalIncarnation: waiter.arrivalIncarnation,
		startedAt:          waiter.startedAt,
	}
	req.Sequence = max(1, req.Sequence)
	m.addOwned(req)
	m.replicate(req)
}

// hasEndedForQuorum reports whether a quorum of replicas has stored the end of a request of this controller, and nothing
// but the acknowledgements of others is missing.
func (m *Manager) hasEndedForQuorum(req *ownedRequest) bool {
	return req.phase == phaseClosing && req.withheld == nil && req.Owner == m.self &&
		m.hasQuorum(req.key.Partition(), req.acks)
}

// canRegister reports whether a request with this key can be registered: that takes the lease, a reachable quorum of
// replicas, and room for another owned request.
func (m *Manager) canRegister(key Key) bool {
	return m.leaseHeld && m.hasPlacement() && m.quorumReachable(key.Partition()) && len(m.owned) < m.maxCopies
}

// admitOrRejectUnreplicated admits a request that cannot be registered if the settings allow that, and rejects it
// otherwise.
func (m *Manager) admitOrRejectUnreplicated(waiter *waitingRequest) {
	if m.sendWithoutReplicas && m.leaseHeld {
		m.addOwned(&ownedRequest{
			Copy:         waiter.Copy,
			key:          waiter.key,
			startedAt:    m.now,
			phase:        phaseActive,
			unreplicated: true,
		})
		m.emit(Effect{Kind: Resume, ID: waiter.ID})
		return
	}
	m.counts.Refused++
	retryAfterMS := min(registrationTimeoutMS, m.maxRetryAfterMS)
	m.emit(Effect{Kind: AnswerSuspended, ID: waiter.ID, Outcome: Rejected, AfterMS: retryAfterMS})
}

// completeRegistration resumes a request that a quorum has registered, together with the earlier attempt that may have
// run. If executors might not drop a repeat any more, the request is answered with the earlier outcome instead.
func (m *Manager) completeRegistration(req *ownedRequest) {
	if m.resolveEarlierAttempt(req) {
		return
	}
	m.counts.Registered++
	req.phase = phaseActive
	if req.IdempotencyKey != "" {
		m.mapIDToKey(req)
	}
	effect := Effect{Kind: Resume, ID: req.ID}
	if req.RunState != NotRun {
		effect.Prior = priorAttempt(&req.Copy)
	}
	m.emit(effect)
}

// resolveEarlierAttempt copies into a request the attempt that replicas stored under an earlier registration of its
// key. If a repeat of that attempt might run again, it ends the request. It reports whether it did.
func (m *Manager) resolveEarlierAttempt(req *ownedRequest) (ended bool) {
	if req.earlierAttempt.RunState == NotRun {
		return false
	}
	req.setAttempt(req.earlierAttempt.attempt())
	req.uncertainAttempts = 1
	if m.withinDedupWindow(&req.Copy) {
		return false
	}
	outcome := Failed
	if req.earlierAttempt.RunState == Ran {
		outcome = Succeeded // without the answer, which no replica has
	}
	req.Outcome = outcome
	m.counts.AnsweredFromCopy++
	m.emit(Effect{Kind: AnswerSuspended, ID: req.ID, Outcome: outcome})
	m.closeOwned(req, outcome, nil)
	return true
}

// mapIDToKey sends replicas the idempotency key that belongs to a request's id, so that queries by id find the request.
func (m *Manager) mapIDToKey(req *ownedRequest) {
	id := KeyOf("", req.ID)
	item := Item{Op: OpMapID, Key: id, Copy: &Copy{
		RequestData: RequestData{ID: req.ID, IdempotencyKey: req.IdempotencyKey, Class: req.Class},
		Deadline:    req.Deadline,
		Idempotent:  true,
	}}
	names := m.replicaNames(id.Partition())
	for _, name := range names[:min(len(names), idMappingReplicas)] {
		m.send(name, item)
	}
}

// yieldToOwner withdraws the registration of a request whose key another controller owns. The request is answered from
// the owner's copy if that allows it, and waits for the owner otherwise.
func (m *Manager) yieldToOwner(req *ownedRequest) {
	m.withdraw(req)
	m.removeOwned(req)
	m.settleOrAwait(waitingFor(req, req.startedAt))
}

// expireRegistration ends a registration that no quorum acknowledged in time. If another request with the same key is
// open, the request waits for that one.
func (m *Manager) expireRegistration(req *ownedRequest) {
	m.withdraw(req)
	m.removeOwned(req)
	if req.reportedCopy != nil && req.reportedCopy.Outcome == Open && m.now < m.answerDue(req.Deadline) {
		m.settleOrAwait(waitingFor(req, m.now))
		return
	}
	m.admitOrRejectUnreplicated(&waitingRequest{Copy: req.Copy, key: req.key})
}

// registrationExpired reports whether a registration timed out or its request must be answered.
func (m *Manager) registrationExpired(req *ownedRequest) bool {
	return req.phase == phaseRegistering &&
		(m.now > req.startedAt+registrationTimeoutMS || m.now >= m.answerDue(req.Deadline))
}

// renewRegistrations continues pending registrations of an earlier incarnation of this controller under the current
// incarnation.
func (m *Manager) renewRegistrations() {
	for _, req := range m.owned {
		if req.phase == phaseRegistering && req.Owner != m.self {
			req.Owner = m.self
		}
	}
}

// withinDedupWindow reports whether executors are sure to drop a repeat of the first attempt that is sent now.
func (m *Manager) withinDedupWindow(c *Copy) bool {
	class := m.class(c.Class)
	return class != nil && m.now+sendAllowanceMS <= c.FirstAttemptAt+class.dedupWindowMS
}

// priorAttempt returns the earlier attempt of a request, which may have run, in the form that the scheduler expects.
func priorAttempt(c *Copy) scheduler.PriorAttempt {
	p := scheduler.PriorAttempt{At: c.FirstAttemptAt, Zone: c.Zone, Cell: c.Cell}
	if p.At == 0 || math.IsInf(p.At, 0) {
		p.At = -math.MaxFloat64
	}
	return p
}
