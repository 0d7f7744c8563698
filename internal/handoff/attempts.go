package handoff

import "slices"

// heldAttempt is an attempt that is not sent until a quorum of replicas has stored it.
type heldAttempt struct {
	attempt     int
	since       float64
	zone        string
	cell        int64
	inDoubt     bool // another process may get it and run it in another zone or cell
	replicating bool // the replicas have been told of it, so the request counts as one that may have run
}

// gateAttempt decides whether an attempt may be sent: only while this controller holds the lease, which it may regain,
// within the deduplication window if an earlier attempt may have run, and after a quorum of replicas has stored it. The
// replicas are told of it only when nothing else holds it: if this controller is lost before, its successor may send the
// request.
func (m *Manager) gateAttempt(ev *Event) {
	req := m.ownedByID[ev.ID]
	switch {
	case req == nil || req.bestEffort:
		return
	case req.Owner != m.self:
		m.blockAttempt(req, ev.Attempt)
		return
	case !m.leaseHeld:
		m.postponeAttempt(req, ev.Attempt)
		return
	case req.unreplicated:
		m.counts.AttemptsUnreplicated++
		return
	case req.RunState != NotRun && !m.withinDedupWindow(&req.Copy):
		m.blockAttempt(req, ev.Attempt)
		return
	}
	req.heldAttempts = append(req.heldAttempts, heldAttempt{
		attempt: ev.Attempt,
		since:   m.now,
		zone:    ev.Zone,
		cell:    ev.Cell,
		inDoubt: ev.LocationInDoubt,
	})
	m.emit(Effect{Kind: HoldAttempt, ID: req.ID, Attempt: ev.Attempt})
}

// replicateAttempt sends the replicas the record of a held attempt that may leave once a quorum has stored it.
func (m *Manager) replicateAttempt(ev *Event) {
	req := m.ownedByID[ev.ID]
	if req == nil || req.phase != phaseActive {
		return
	}
	held := req.heldAttempt(ev.Attempt)
	if held == nil || held.replicating {
		return
	}
	if !m.leaseHeld || req.Owner != m.self {
		m.failAttempt(req, ev.Attempt)
		return
	}
	held.replicating = true
	req.recordUntil = max(req.recordUntil, held.since+holdTimeoutMS)
	if req.RunState == NotRun {
		req.setAttempt(attemptState{runState: MayHaveRun, firstAt: m.now, zone: held.zone, cell: held.cell})
	}
	if held.inDoubt { // no executor is known to drop a repeat, as after the window
		req.FirstAttemptAt = unknownAttemptTime
	}
	req.uncertainAttempts++
	req.attemptsInFlight |= 1 << ev.Attempt
	req.Sequence++
	m.replicate(req)
}

// heldAttempt returns the held attempt with a number, or nil.
func (r *ownedRequest) heldAttempt(attempt int) *heldAttempt {
	for i := range r.heldAttempts {
		if r.heldAttempts[i].attempt == attempt {
			return &r.heldAttempts[i]
		}
	}
	return nil
}

// blockAttempt rejects an attempt that has not been held, and all later ones of its request.
func (m *Manager) blockAttempt(req *ownedRequest, attempt int) {
	m.counts.AttemptsWithheld++
	m.emit(Effect{Kind: BlockAttempt, ID: req.ID, Attempt: attempt})
}

// postponeAttempt rejects an attempt that has not been held. A later one may be sent.
func (m *Manager) postponeAttempt(req *ownedRequest, attempt int) {
	m.counts.AttemptsWithheld++
	m.emit(Effect{Kind: PostponeAttempt, ID: req.ID, Attempt: attempt})
}

// failAttempt rejects an attempt that has been held.
func (m *Manager) failAttempt(req *ownedRequest, attempt int) {
	m.counts.AttemptsWithheld++
	m.emit(Effect{Kind: FailAttempt, ID: req.ID, Attempt: attempt})
}

// releaseAttempts releases the held attempts that a quorum of replicas has stored. It fails them if this controller no
// longer holds the lease.
func (m *Manager) releaseAttempts(req *ownedRequest) {
	remaining := req.heldAttempts[:0]
	for _, held := range req.heldAttempts {
		switch {
		case !held.replicating:
			remaining = append(remaining, held)
		case m.leaseHeld:
			req.recordUntil = 0
			m.emit(Effect{Kind: ReleaseAttempt, ID: req.ID, Attempt: held.attempt})
		default:
			m.failAttempt(req, held.attempt)
		}
	}
	req.heldAttempts = remaining
}

// expireHeldAttempts fails attempts that replicas have not acknowledged within holdTimeoutMS of their start. Whatever
// else holds an attempt has a time limit of its own.
func (m *Manager) expireHeldAttempts(req *ownedRequest) {
	remaining := req.heldAttempts[:0]
	for _, held := range req.heldAttempts {
		if held.replicating && m.now > held.since+holdTimeoutMS {
			m.failAttempt(req, held.attempt)
			continue
		}
		remaining = append(remaining, held)
	}
	req.heldAttempts = remaining
}

// handleAttemptEnded records the end of an attempt. When no attempt of the request can have run any more, the request
// is marked as not run again.
func (m *Manager) handleAttemptEnded(ev *Event) {
	req := m.ownedByID[ev.ID]
	if req == nil {
		return
	}
	req.heldAttempts = slices.DeleteFunc(req.heldAttempts, func(held heldAttempt) bool {
		return held.attempt == ev.Attempt
	})
	if !slices.ContainsFunc(req.heldAttempts, func(held heldAttempt) bool { return held.replicating }) {
		req.recordUntil = 0
	}
	if ev.Attempt >= maxTrackedAttempts || req.attemptsInFlight&(1<<ev.Attempt) == 0 {
		return // replicas have not been told of it
	}
	req.attemptsInFlight &^= 1 << ev.Attempt
	if !ev.NeverRan || req.phase != phaseActive {
		return
	}
	req.uncertainAttempts--
	if req.uncertainAttempts == 0 {
		req.setAttempt(attemptState{})
		req.Sequence++
		m.replicate(req)
	}
}
