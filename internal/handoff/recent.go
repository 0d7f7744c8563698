package handoff

// recentRequest is an idempotent request that is copied if it takes long.
type recentRequest struct {
	arrivedAt float64
	copy      Copy
}

// trackRecent remembers an idempotent request that may have to be copied.
func (m *Manager) trackRecent(c *Copy) {
	if m.copyAfterMS > 0 && m.hasPlacement() && len(m.recent) < m.maxCopies {
		m.recent = append(m.recent, recentRequest{m.now, *c})
		m.recentOpen[c.ID] = struct{}{}
	}
}

// copyLongRunning sends copies of idempotent requests that have taken long, and forgets arrivals that the retry budget no longer counts.
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
	m.arrivals = after(m.arrivals, m.now-m.retryBudget.WindowMS)
}

// copyRecent sends copies of an idempotent request that is still open. Nothing waits for them.
func (m *Manager) copyRecent(c *Copy) {
	key := KeyOf("", c.ID)
	if _, open := m.recentOpen[c.ID]; !open || m.owned[key] != nil || len(m.owned) >= m.maxCopies {
		return
	}
	delete(m.recentOpen, c.ID)
	req := &ownedRequest{Copy: *c, key: key, phase: phaseActive, bestEffort: true, startedAt: m.now, sentAt: m.now}
	req.Owner = m.self
	req.Sequence = 1
	req.Complete = true
	req.Idempotent = true
	m.addOwned(req)
	m.sendForRequest(req, m.currentItem(req))
	req.sends = 1
}

// after drops the times before one from an ascending list; of an empty list nothing is retained.
func after(times []float64, at float64) []float64 {
	n := 0
	for n < len(times) && times[n] < at {
		n++
	}
	if n == len(times) {
		return nil
	}
	return times[n:]
}
