package handoff

import "slices"

// waitingRequest is a suspended request that waits for the outcome of another request with the same key.
type waitingRequest struct {
	Copy
	key                  Key
	arrivalIncarnation   uint64 // of this controller when the request arrived
	startedAt            float64
	nextPollAt           float64
	lastPolledAt         float64  // 0: not polled since the last registration
	replicasWithoutOwner []Member // replicas whose replies to the latest poll show no open request with the key
	reportedCopy         *Copy    // the most recent copy that replicas reported
}

// waitingFor returns a waiting request for a request whose registration was withdrawn. Its sequence is above that of
// the registration, messages of which may still be in transit.
func waitingFor(req *ownedRequest, startedAt float64) *waitingRequest {
	waiter := &waitingRequest{
		Copy:               req.Copy,
		key:                req.key,
		arrivalIncarnation: req.arrivalIncarnation,
		startedAt:          startedAt,
		reportedCopy:       req.reportedCopy,
	}
	waiter.Sequence = req.Sequence + 1
	return waiter
}

// addWaiting lists a request as waiting for another request with the same key.
func (m *Manager) addWaiting(waiter *waitingRequest) {
	m.counts.Waited++
	waiter.nextPollAt = m.now + m.jitter()
	waiter.replicasWithoutOwner = nil
	m.waiting = append(m.waiting, waiter)
}

// settleOrAwait answers a request whose key another request has if the copy that replicas reported of that one allows
// it. Otherwise it lists the request as waiting.
func (m *Manager) settleOrAwait(waiter *waitingRequest) {
	if !m.settleFromCopy(waiter, waiter.reportedCopy) {
		m.addWaiting(waiter)
	}
}

// settleFromCopy answers a request from a copy of its key: with the copy's answer, or with a failure if the copy shows
// that the request's id belongs to another request. It reports whether it did.
func (m *Manager) settleFromCopy(waiter *waitingRequest, known *Copy) bool {
	if known != nil && m.isOtherRequest(waiter, known) {
		m.emit(Effect{Kind: AnswerSuspended, ID: waiter.ID, Outcome: Failed})
		return true
	}
	return m.answerFromCopy(waiter, known)
}

// isOtherRequest reports whether a copy of the key of a suspended request shows that another request has the same id. A
// client never uses an id twice, not even for a retry, so neither request must get the other's answer.
//
// The copy may be of the suspended request itself if this controller has registered that, or if a successor has adopted
// it after this controller was declared lost. A successor sends no request without an idempotency key, though.
func (m *Manager) isOtherRequest(waiter *waitingRequest, known *Copy) bool {
	if known.ID != waiter.ID {
		return false
	}
	if waiter.IdempotencyKey == "" && known.Outcome == Succeeded {
		return true
	}
	neverLost := m.leaseHeld && waiter.arrivalIncarnation == m.self.Incarnation
	return neverLost && known.Owner.Name != m.self.Name
}

// isAwaited reports whether a request waits for the outcome of another with this key.
func (m *Manager) isAwaited(key Key) bool {
	return slices.ContainsFunc(m.waiting, func(waiter *waitingRequest) bool { return waiter.key == key })
}

// answerFromCopy answers a request from a copy of its key if the copy has a successful answer. It reports whether it
// did.
func (m *Manager) answerFromCopy(waiter *waitingRequest, known *Copy) bool {
	if known == nil || known.Outcome != Succeeded || known.Answer == nil {
		return false
	}
	m.counts.AnsweredFromCopy++
	m.emit(Effect{Kind: AnswerSuspended, ID: waiter.ID, Outcome: Succeeded, Answer: known.Answer})
	return true
}

// pollWaiting queries the replicas again for the keys that requests wait for, and answers requests whose waiting time
// is over.
func (m *Manager) pollWaiting() {
	waiting := m.waiting
	m.waiting = nil
	var remaining []*waitingRequest
	for _, waiter := range waiting {
		if m.waitIsOver(waiter) {
			outcome, retryAfterMS := waiter.expiredOutcome(), min(pollMS, m.maxRetryAfterMS)
			m.emit(Effect{Kind: AnswerSuspended, ID: waiter.ID, Outcome: outcome, AfterMS: retryAfterMS})
			continue
		}
		if m.now >= waiter.nextPollAt {
			m.poll(waiter)
		}
		remaining = append(remaining, waiter)
	}
	m.waiting = append(remaining, m.waiting...)
}

// waitIsOver reports whether a waiting request must be answered, because of its deadline or a shutdown.
func (m *Manager) waitIsOver(waiter *waitingRequest) bool {
	return m.now >= m.answerDue(waiter.Deadline) || m.shuttingDown && m.now >= m.shutdownAt+shutdownGraceMS
}

// expiredOutcome returns the outcome of a request whose waiting time is over: Failed if the request that it waited for
// may have run, and Rejected otherwise.
func (w *waitingRequest) expiredOutcome() Outcome {
	if w.reportedCopy != nil && w.reportedCopy.RunState != NotRun {
		return Failed
	}
	return Rejected
}

// poll queries the replicas for the key of a waiting request, unless this controller itself owns an open request with
// the key.
func (m *Manager) poll(waiter *waitingRequest) {
	if req := m.owned[waiter.key]; req == nil || req.phase == phaseClosing {
		waiter.replicasWithoutOwner = waiter.replicasWithoutOwner[:0]
		waiter.lastPolledAt = m.now
		m.sendToReplicas(Item{Op: OpQuery, Key: waiter.key})
	}
	waiter.nextPollAt = m.now + pollMS + m.jitter()
}

// failWaiting fails all waiting requests when there are no replicas left to query.
func (m *Manager) failWaiting() {
	for _, waiter := range m.waiting {
		m.emit(Effect{Kind: AnswerSuspended, ID: waiter.ID, Outcome: Failed})
	}
	m.waiting = nil
}

// handleQueryReply processes a replica's reply to a query for a key, on which a client or requests that wait here may
// depend. Once a quorum of replicas reports no open request with the key, the first waiting request is registered.
func (m *Manager) handleQueryReply(from Member, sent, reply *Item) {
	m.updateQueries(from, sent, reply)
	waiting := m.waiting
	m.waiting = nil
	for i, waiter := range waiting {
		if waiter.key != sent.Key || waiter.lastPolledAt == 0 {
			m.waiting = append(m.waiting, waiter)
			continue
		}
		if m.updateWaiting(waiter, from, reply) {
			continue
		}
		owned := m.owned[waiter.key]
		isFree := owned == nil || m.hasEndedForQuorum(owned)
		if isFree && m.hasQuorum(sent.Key.Partition(), waiter.replicasWithoutOwner) {
			m.waiting = append(m.waiting, waiting[i+1:]...) // other requests with the key now wait for this one
			waiter.lastPolledAt = 0
			m.register(waiter)
			return
		}
		m.waiting = append(m.waiting, waiter)
	}
}

// updateWaiting records a replica's reply for one waiting request, and reports whether the reply answered the request.
func (m *Manager) updateWaiting(waiter *waitingRequest, from Member, reply *Item) (answered bool) {
	if reply.Op != OpKnown && reply.Op != OpUnknown {
		return false
	}
	if reply.Op == OpKnown && reply.Copy != nil {
		if waiter.reportedCopy == nil || moreRecent(reply.Copy, waiter.reportedCopy) {
			waiter.reportedCopy = reply.Copy
		}
		if m.settleFromCopy(waiter, reply.Copy) {
			return true
		}
		if reply.Copy.Outcome == Open {
			return false
		}
	}
	if reply.Reason != reasonNotReady && !slices.Contains(waiter.replicasWithoutOwner, from) {
		waiter.replicasWithoutOwner = append(waiter.replicasWithoutOwner, from)
	}
	return false
}

// handleClientLeft drops a request whose client disconnected before the request was dispatched.
func (m *Manager) handleClientLeft(id string) {
	m.pacer.forget(id)
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waitingRequest) bool { return w.ID == id })
	if req := m.ownedByID[id]; req != nil && req.phase == phaseRegistering {
		m.withdraw(req)
		m.removeOwned(req)
	}
}
