package handoff

import "slices"

// heldAttempt is an attempt that waits for a quorum of replicas.
type heldAttempt struct {
	attempt int
	since   float64
}

// gateAttempt decides whether an attempt may leave: only under the lease, within the dedup window, and once a quorum of replicas knows of it.
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

func (m *Manager) blockAttempt(req *ownedRequest, attempt int) {
	m.counts.Withheld++
	m.emit(Effect{Kind: BlockAttempt, ID: req.ID, Attempt: attempt})
}

func (m *Manager) failAttempt(req *ownedRequest, attempt int) {
	m.counts.Withheld++
	m.emit(Effect{Kind: FailAttempt, ID: req.ID, Attempt: attempt})
}

// releaseAttempts lets the held attempts leave, which a quorum of replicas knows of.
func (m *Manager) releaseAttempts(req *ownedRequest) {
	for _, h := range req.heldAttempts {
		if m.leaseHeld {
			m.emit(Effect{Kind: ReleaseAttempt, ID: req.ID, Attempt: h.attempt})
		} else {
			m.failAttempt(req, h.attempt)
		}
	}
	req.heldAttempts = req.heldAttempts[:0]
}

// expireHeldAttempts fails attempts that have been held for too long.
func (m *Manager) expireHeldAttempts(req *ownedRequest) {
	held := req.heldAttempts[:0]
	for _, h := range req.heldAttempts {
		if m.now > h.since+holdTimeoutMS {
			m.failAttempt(req, h.attempt)
			continue
		}
		held = append(held, h)
	}
	req.heldAttempts = held
}

// handleAttemptEnded records the end of an attempt. Once none of them can have run, the request counts as not run again.
func (m *Manager) handleAttemptEnded(ev *Event) {
	req := m.ownedByID[ev.ID]
	if req == nil || ev.Attempt >= maxTrackedAttempts || req.attemptsInFlight&(1<<ev.Attempt) == 0 {
		return
	}
	req.attemptsInFlight &^= 1 << ev.Attempt
	req.heldAttempts = slices.DeleteFunc(req.heldAttempts, func(h heldAttempt) bool { return h.attempt == ev.Attempt })
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
