package handoff

import "slices"

// heldAttempt is an attempt that is not sent until a quorum of replicas has stored it.
type heldAttempt struct {
	attempt int
	since   float64
}

// gateAttempt decides whether an attempt may be sent: only while this controller holds the lease, within the
// deduplication window if an earlier attempt may have run, and after a quorum of replicas has stored the attempt.
func (m *Manager) gateAttempt(ev *Event) {
	req := m.ownedByID[ev.ID]
	switch {
	case req == nil || req.bestEffort:
		return
	case !m.leaseHeld || req.Owner != m.self:
		m.blockAttempt(req, ev.Attempt)
		return
	case req.unreplicated:
		m.counts.AttemptsUnreplicated++
		return
	case req.RunState != NotRun && !m.withinDedupWindow(&req.Copy):
		m.blockAttempt(req, ev.Attempt)
		return
	}
	if req.RunState == NotRun {
		req.setAttempt(attemptState{runState: MayHaveRun, firstAt: m.now, zone: ev.Zone, cell: ev.Cell})
	}
	req.uncertainAttempts++
	req.attemptsInFlight |= 1 << ev.Attempt
	req.Sequence++
	req.heldAttempts = append(req.heldAttempts, heldAttempt{attempt: ev.Attempt, since: m.now})
	m.emit(Effect{Kind: HoldAttempt, ID: req.ID, Attempt: ev.Attempt})
	m.replicate(req)
}

// blockAttempt rejects an attempt that has not been held.
func (m *Manager) blockAttempt(req *ownedRequest, attempt int) {
	m.counts.AttemptsWithheld++
	m.emit(Effect{Kind: BlockAttempt, ID: req.ID, Attempt: attempt})
}

// failAttempt rejects an attempt that has been held.
func (m *Manager) failAttempt(req *ownedRequest, attempt int) {
	m.counts.AttemptsWithheld++
	m.emit(Effect{Kind: FailAttempt, ID: req.ID, Attempt: attempt})
}

// releaseAttempts releases the held attempts once a quorum of replicas has stored them. It fails them if this
// controller no longer holds the lease.
func (m *Manager) releaseAttempts(req *ownedRequest) {
	for _, held := range req.heldAttempts {
		if m.leaseHeld {
			m.emit(Effect{Kind: ReleaseAttempt, ID: req.ID, Attempt: held.attempt})
		} else {
			m.failAttempt(req, held.attempt)
		}
	}
	req.heldAttempts = req.heldAttempts[:0]
}

// expireHeldAttempts fails attempts that have been held for longer than holdTimeoutMS.
func (m *Manager) expireHeldAttempts(req *ownedRequest) {
	remaining := req.heldAttempts[:0]
	for _, held := range req.heldAttempts {
		if m.now > held.since+holdTimeoutMS {
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
	if req == nil || ev.Attempt >= maxTrackedAttempts || req.attemptsInFlight&(1<<ev.Attempt) == 0 {
		return
	}
	req.attemptsInFlight &^= 1 << ev.Attempt
	req.heldAttempts = slices.DeleteFunc(req.heldAttempts, func(held heldAttempt) bool {
		return held.attempt == ev.Attempt
	})
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
