package handoff

import (
	"math"

	"liftshift/scheduler"
)

func (m *Manager) jitter() float64 { return jitterMS * m.random() }

// handleArrival decides what becomes of an arriving request: it is admitted, or suspended until replicas have registered it.
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
	w := &waitingRequest{Copy: *c, key: KeyOf(c.IdempotencyKey, c.ID), startedAt: m.now}
	w.Owner = m.self
	w.Complete = true
	m.register(w)
}

// register asks the replicas to register a request. It waits instead where this controller owns one of its key.
func (m *Manager) register(w *waitingRequest) {
	if m.owned[w.key] != nil {
		m.wait(w)
		return
	}
	if !m.canRegister(w.key) {
		m.admitUnreplicated(w)
		return
	}
	req := &ownedRequest{Copy: w.Copy, key: w.key, startedAt: w.startedAt}
	req.Sequence = max(1, req.Sequence)
	m.addOwned(req)
	m.replicate(req)
}

func (m *Manager) canRegister(key Key) bool {
	return m.leaseHeld && m.hasPlacement() && m.quorumReachable(key.Partition()) && len(m.owned) < m.maxCopies
}

// admitUnreplicated admits a request that cannot be registered where the settings allow that, and rejects it otherwise.
func (m *Manager) admitUnreplicated(w *waitingRequest) {
	if m.sendWithoutReplicas && m.leaseHeld {
		m.addOwned(&ownedRequest{Copy: w.Copy, key: w.key, startedAt: m.now, phase: phaseActive, unreplicated: true})
		m.emit(Effect{Kind: Resume, ID: w.ID})
		return
	}
	m.counts.Refused++
	m.emit(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: Rejected, AfterMS: min(registrationTimeoutMS, m.maxRetryAfterMS)})
}

// completeRegistration resumes a request that a quorum has registered, with what may have run before. Where a repeat might run again, it
// is answered by what is known.
func (m *Manager) completeRegistration(req *ownedRequest) {
	if m.resolveEarlierAttempt(req) {
		return
	}
	m.counts.Registered++
	req.phase = phaseActive
	if req.IdempotencyKey != "" {
		m.mapIDToKey(req)
	}
	if class := m.class(req.Class); class != nil && class.effect != scheduler.Keyed {
		req.Confirmed = true // a successor must not send what was never confirmed: its client was answered that it would not be
		req.Sequence++
		m.replicate(req)
	}
	f := Effect{Kind: Resume, ID: req.ID}
	if req.RunState != NotRun {
		f.Prior = priorAttempt(&req.Copy)
	}
	m.emit(f)
}

// resolveEarlierAttempt takes over what replicas know of an attempt under an earlier registration of the key. It reports whether that
// ended the request.
func (m *Manager) resolveEarlierAttempt(req *ownedRequest) (ended bool) {
	if req.earlier.RunState == NotRun {
		return false
	}
	req.setAttempt(req.earlier.attempt())
	req.uncertainAttempts = 1
	if m.withinDedupWindow(&req.Copy) {
		return false
	}
	outcome := Failed
	if req.earlier.RunState == Ran {
		outcome = Succeeded // without its answer, which is gone
	}
	req.Outcome = outcome
	m.counts.AnsweredFromCopy++
	m.emit(Effect{Kind: AnswerSuspended, ID: req.ID, Outcome: outcome})
	m.closeOwned(req, outcome, nil)
	return true
}

// mapIDToKey tells replicas which key an id stands for, so that queries by id find it.
func (m *Manager) mapIDToKey(req *ownedRequest) {
	id := KeyOf("", req.ID)
	it := Item{Op: OpMapID, Key: id, Copy: &Copy{
		RequestData: RequestData{ID: req.ID, IdempotencyKey: req.IdempotencyKey, Class: req.Class},
		Deadline:    req.Deadline,
		Idempotent:  true,
	}}
	names := m.replicaNames(id.Partition())
	for _, name := range names[:min(len(names), idReplicas)] {
		m.send(name, it)
	}
}

// yieldToOwner withdraws the registration of a request that another controller owns. The request waits for that one, or is answered by
// what is known of it.
func (m *Manager) yieldToOwner(req *ownedRequest) {
	m.withdraw(req)
	m.removeOwned(req)
	w := waitingFor(req, req.startedAt)
	if m.answerFromCopy(w, req.known) {
		return
	}
	m.wait(w)
}

// expireRegistration ends a registration that no quorum answered in time.
func (m *Manager) expireRegistration(req *ownedRequest) {
	m.withdraw(req)
	m.removeOwned(req)
	if req.known != nil && req.known.Outcome == Open && m.now < req.Deadline-answerMarginMS {
		m.wait(waitingFor(req, m.now))
		return
	}
	m.admitUnreplicated(&waitingRequest{Copy: req.Copy, key: req.key})
}

// registrationExpired reports whether a registration has taken too long.
func (m *Manager) registrationExpired(req *ownedRequest) bool {
	return req.phase == phaseRegistering && (m.now > req.startedAt+registrationTimeoutMS || m.now > req.Deadline-answerMarginMS)
}

// renewRegistrations goes on with registrations of an incarnation that is over: no replica has them under that one.
func (m *Manager) renewRegistrations() {
	for _, req := range m.owned {
		if req.phase == phaseRegistering && req.Owner != m.self {
			req.Owner = m.self
		}
	}
}

// withinDedupWindow reports whether endpoints surely drop repeats of a request that is sent now.
func (m *Manager) withinDedupWindow(c *Copy) bool {
	class := m.class(c.Class)
	return class != nil && m.now+sendAllowanceMS <= c.FirstAttemptAt+class.dedupWindowMS
}

// priorAttempt returns what the decision module needs to know of an attempt that may have run.
func priorAttempt(c *Copy) scheduler.PriorAttempt {
	p := scheduler.PriorAttempt{At: c.FirstAttemptAt, Zone: c.Zone, Cell: c.Cell}
	if p.At == 0 || math.IsInf(p.At, 0) {
		p.At = -math.MaxFloat64
	}
	return p
}
