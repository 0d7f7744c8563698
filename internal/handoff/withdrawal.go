package handoff

import "slices"

// withdrawal revokes the registration or adoption of a request that was not executed under it. It is resent until all
// replicas have acknowledged it; otherwise later requests with the same key would wait for a request without an owner.
type withdrawal struct {
	id     withdrawalID
	owner  Member // the incarnation that sent the revoked message
	sentAt float64
	sends  int
	acks   []string // names of the replicas that acknowledged the withdrawal
}

// withdrawalID identifies the message that a withdrawal revokes.
type withdrawalID struct {
	key      Key
	sequence uint64
}

// withdraw revokes the latest message of a request. If too many withdrawals are pending, the oldest is given up.
func (m *Manager) withdraw(req *ownedRequest) {
	if len(m.withdrawals) >= maxWithdrawals {
		delete(m.withdrawalsByID, m.withdrawals[0].id)
		m.withdrawals = append(m.withdrawals[:0], m.withdrawals[1:]...)
	}
	pending := &withdrawal{id: withdrawalID{req.key, req.Sequence}, owner: req.Owner}
	m.withdrawals = append(m.withdrawals, pending)
	m.withdrawalsByID[pending.id] = pending
	m.sendWithdrawal(pending)
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

// handleWithdrawReply records a replica's acknowledgement of a withdrawal. Replies of replicas without a lease, and of
// replicas that are not ready, do not count.
func (m *Manager) handleWithdrawReply(from Member, sent, reply *Item) {
	w := m.withdrawalsByID[withdrawalID{sent.Key, sent.Sequence}]
	if w == nil || reply.Reason == reasonNotReady || reply.Reason == reasonNoLease {
		return
	}
	if !slices.Contains(w.acks, from.Name) {
		w.acks = append(w.acks, from.Name)
	}
}

// resendWithdrawals resends withdrawals that not all replicas have acknowledged, up to maxCloseSends times.
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

// acknowledgedByAll reports whether all live replicas have acknowledged a withdrawal and are enough for a quorum.
func (m *Manager) acknowledgedByAll(w *withdrawal) bool {
	partition := w.id.key.Partition()
	for _, name := range m.replicaNames(partition) {
		if !slices.Contains(w.acks, name) {
			return false
		}
	}
	return m.quorumReachable(partition)
}
