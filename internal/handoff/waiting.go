package handoff

import "slices"

// waitingRequest is a suspended request whose key another request has: it waits for what becomes of that one.
type waitingRequest struct {
	Copy
	key       Key
	startedAt float64
	pollAt    float64
	polledAt  float64  // 0: not polled yet
	free      []Member // replicas by whose latest replies nobody has the key
	known     *Copy    // the most recent of what replicas have
}

// waitingFor returns a request that waits for the owner of its key. Its sequence is above that of its withdrawn registration, messages of
// which may still be in transit.
func waitingFor(req *ownedRequest, startedAt float64) *waitingRequest {
	w := &waitingRequest{Copy: req.Copy, key: req.key, startedAt: startedAt, known: req.known}
	w.Sequence = req.Sequence + 1
	return w
}

// wait has a request wait for the one that has its key.
func (m *Manager) wait(w *waitingRequest) {
	m.counts.Waited++
	w.pollAt = m.now + m.jitter()
	w.free = nil
	m.waiting = append(m.waiting, w)
}

// answerFromCopy answers a request by what is known of its key, if that includes the answer.
func (m *Manager) answerFromCopy(w *waitingRequest, known *Copy) bool {
	if known == nil || known.Outcome != Succeeded || known.Answer == nil {
		return false
	}
	m.counts.AnsweredFromCopy++
	m.emit(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: Succeeded, Answer: known.Answer})
	return true
}

// pollWaiting asks the replicas again what became of the keys that requests wait for, and answers requests whose time is over.
func (m *Manager) pollWaiting() {
	waiting := m.waiting
	m.waiting = nil
	var remaining []*waitingRequest
	for _, w := range waiting {
		if m.waitIsOver(w) {
			m.emit(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: w.expiredOutcome(), AfterMS: min(pollMS, m.maxRetryAfterMS)})
			continue
		}
		if m.now >= w.pollAt {
			m.poll(w)
		}
		remaining = append(remaining, w)
	}
	m.waiting = append(remaining, m.waiting...)
}

func (m *Manager) waitIsOver(w *waitingRequest) bool {
	return m.now >= w.Deadline-answerMarginMS || m.shuttingDown && m.now >= m.shutdownAt+shutdownGraceMS
}

// expiredOutcome is what a request is answered whose time is over: it fails if the one that it waited for may have run.
func (w *waitingRequest) expiredOutcome() Outcome {
	if w.known != nil && w.known.RunState != NotRun {
		return Failed
	}
	return Rejected
}

func (m *Manager) poll(w *waitingRequest) {
	if req := m.owned[w.key]; req == nil || req.phase == phaseClosing {
		w.free = w.free[:0]
		w.polledAt = m.now
		m.sendToReplicas(Item{Op: OpQuery, Key: w.key})
	}
	w.pollAt = m.now + pollMS + m.jitter()
}

// failWaiting fails all waiting requests where no replica can be asked any more.
func (m *Manager) failWaiting() {
	for _, w := range m.waiting {
		m.emit(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: Failed})
	}
	m.waiting = nil
}

// handleQueryReply takes what a replica knows of a key that requests wait for, or that a client asked about.
func (m *Manager) handleQueryReply(from Member, sent, reply *Item) {
	m.updateQueries(from, sent, reply)
	waiting := m.waiting
	m.waiting = nil
	for i, w := range waiting {
		if w.key != sent.Key || w.polledAt == 0 {
			m.waiting = append(m.waiting, w)
			continue
		}
		if m.updateWaiting(w, from, reply) {
			continue
		}
		if m.hasQuorum(sent.Key.Partition(), w.free) && m.owned[w.key] == nil {
			m.waiting = append(m.waiting, waiting[i+1:]...) // the others wait for this one then
			w.polledAt = 0
			m.register(w)
			return
		}
		m.waiting = append(m.waiting, w)
	}
}

// updateWaiting takes a replica's reply for one waiting request, and reports whether that answered it.
func (m *Manager) updateWaiting(w *waitingRequest, from Member, reply *Item) (answered bool) {
	if reply.Op != OpKnown && reply.Op != OpUnknown {
		return false
	}
	if reply.Op == OpKnown && reply.Copy != nil {
		if w.known == nil || moreRecent(reply.Copy, w.known) {
			w.known = reply.Copy
		}
		if m.answerFromCopy(w, reply.Copy) {
			return true
		}
		if reply.Copy.Outcome == Open {
			return false
		}
	}
	if reply.Reason != reasonNotReady && !slices.Contains(w.free, from) {
		w.free = append(w.free, from)
	}
	return false
}

// handleClientLeft drops a request whose client left before the decision module had it.
func (m *Manager) handleClientLeft(id string) {
	m.pacer.forget(id)
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waitingRequest) bool { return w.ID == id })
	if req := m.ownedByID[id]; req != nil && req.phase == phaseRegistering {
		m.withdraw(req)
		m.removeOwned(req)
	}
}
