package handoff

import "slices"

// withdrawal takes back the registration or adoption of a request that was never carried out. It is repeated until all replicas have
// acknowledged it: else later requests of its key would wait for one that nobody has.
type withdrawal struct {
	id     withdrawalID
	owner  Member
	sentAt float64
	sends  int
	acks   []string
}

// withdrawalID is the message that a withdrawal takes back.
type withdrawalID struct {
	key      Key
	sequence uint64
}

// withdraw takes the latest message of a request back.
func (m *Manager) withdraw(req *ownedRequest) {
	if len(m.withdrawals) >= maxWithdrawals {
		delete(m.withdrawalsByID, m.withdrawals[0].id)
		m.withdrawals = append(m.withdrawals[:0], m.withdrawals[1:]...)
	}
	w := &withdrawal{id: withdrawalID{req.key, req.Sequence}, owner: req.Owner}
	m.withdrawals = append(m.withdrawals, w)
	m.withdrawalsByID[w.id] = w
	m.sendWithdrawal(w)
}

func (m *Manager) sendWithdrawal(w *withdrawal) {
	w.sentAt = m.now
	w.sends++
	for _, name := range m.replicaNames(w.id.key.Partition()) {
		if !slices.Contains(w.acks, name) {
			m.send(name, Item{Op: OpWithdraw, Key: w.id.key, Sequence: w.id.sequence, From: w.owner})
		}
	}
}

// handleWithdrawReply records a replica's reply. That of a replica without a lease, or of one that is not ready, does not count.
func (m *Manager) handleWithdrawReply(from Member, sent, reply *Item) {
	w := m.withdrawalsByID[withdrawalID{sent.Key, sent.Sequence}]
	if w == nil || reply.Reason == reasonNotReady || reply.Reason == reasonNoLease {
		return
	}
	if !slices.Contains(w.acks, from.Name) {
		w.acks = append(w.acks, from.Name)
	}
}

// resendWithdrawals repeats withdrawals that not all replicas have acknowledged.
func (m *Manager) resendWithdrawals() {
	remaining := m.withdrawals[:0]
	for _, w := range m.withdrawals {
		if m.acknowledgedByAll(w) || w.sends > maxCloseSends {
			delete(m.withdrawalsByID, w.id)
			continue
		}
		if m.now >= w.sentAt+resendBackoffMS(w.sends) {
			m.sendWithdrawal(w)
		}
		remaining = append(remaining, w)
	}
	clear(m.withdrawals[len(remaining):])
	m.withdrawals = remaining
}

func (m *Manager) acknowledgedByAll(w *withdrawal) bool {
	partition := w.id.key.Partition()
	for _, name := range m.replicaNames(partition) {
		if !slices.Contains(w.acks, name) {
			return false
		}
	}
	return m.quorumReachable(partition)
}
