package handoff

// recentRequest is an idempotent request that is copied to replicas if it is still open after copyAfterMS.
type recentRequest struct {
	arrivedAt float64
	copy      Copy
}

// trackRecent records an arriving idempotent request, so that it can be copied later.
func (m *Manager) trackRecent(c *Copy) {
	if m.copyAfterMS > 0 && m.hasPlacement() && len(m.recent) < m.maxCopies {
		m.recent = append(m.recent, recentRequest{m.now, *c})
		m.recentOpen[c.ID] = struct{}{}
	}
}

// copyLongRunning sends copies of idempotent requests that have been open for copyAfterMS, and drops the arrival times
// that have left the window of the retry budget.
func (m *Manager) copyLongRunning() {
	due := 0
	for due < len(m.recent) && m.now >= m.recent[due].arrivedAt+m.copyAfterMS {
		m.copyRecent(&m.recent[due].copy)
		due++
	}
	clear(m.recent[:due])
	m.recent = m.recent[due:]
	if len(m.recent) == 0 {
		m.recent = nil
	}
	m.arrivals = timesSince(m.arrivals, m.now-m.retryBudget.WindowMS)
}

// copyRecent sends copies of an idempotent request to replicas if it is still open. Nothing waits for acknowledgements.
func (m *Manager) copyRecent(c *Copy) {
	key := KeyOf("", c.ID)
	if _, open := m.recentOpen[c.ID]; !open || m.owned[key] != nil || len(m.owned) >= m.maxCopies {
		return
	}
	delete(m.recentOpen, c.ID)
	req := &ownedRequest{
		Copy:       *c,
		key:        key,
		phase:      phaseActive,
		bestEffort: true,
		startedAt:  m.now,
		sentAt:     m.now,
	}
	req.Owner = m.self
	req.Sequence = 1
	req.Complete = true
	req.Idempotent = true
	m.addOwned(req)
	m.sendForRequest(req, m.currentItem(req))
	req.sends = 1
}

// timesSince returns the times of an ascending list that are not before the given one. It returns nil if there are
// none, so that the list's memory is freed.
func timesSince(times []float64, at float64) []float64 {
	n := 0
	for n < len(times) && times[n] < at {
		n++
	}
	if n == len(times) {
		return nil
	}
	return times[n:]
}
