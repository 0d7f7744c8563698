package handoff

import (
	"slices"
)

// handleReplies processes the reply to a batch that was sent to another member, or records that none came.
func (m *Manager) handleReplies(ev *Event) {
	reply := ev.Batch
	if reply == nil || !m.hasPlacement() {
		m.counts.MessagesLost++
		return
	}
	m.observePeerClock(ev.Sent, reply)
	if reply.StalePlacement || reply.Version != m.table.Version {
		if reply.Version > m.table.Version || reply.PlacementStep > m.table.Step {
			m.emit(Effect{Kind: RefreshPlacement})
		}
		return
	}
	if len(reply.Items) != len(ev.Sent.Items) {
		return
	}
	for i := range ev.Sent.Items {
		m.handleReply(reply.From, &ev.Sent.Items[i], &reply.Items[i])
	}
}

// handleReply processes a replica's reply to one item. Replies to an outdated message of a request are ignored.
func (m *Manager) handleReply(from Member, sent, reply *Item) {
	switch sent.Op {
	case OpQuery:
		m.handleQueryReply(from, sent, reply)
		return
	case OpFetch:
		m.handlePage(from, sent, reply)
		return
	case OpWithdraw:
		m.handleWithdrawReply(from, sent, reply)
		return
	case OpMapID:
		return
	}
	req := m.owned[sent.Key]
	if req == nil || sent.Sequence != req.Sequence || req.phase == phaseDone {
		return
	}
	if m.recordReply(req, from, sent, reply) {
		m.advanceOnQuorum(req)
	}
}

// recordReply records a replica's reply to the latest message of a request. It reports whether the reply counts towards
// or against a quorum.
func (m *Manager) recordReply(req *ownedRequest, from Member, sent, reply *Item) bool {
	switch reply.Op {
	case OpStored:
		return recordAck(req, from, reply)
	case OpNeedCopy:
		m.sendCopy(req, from)
		return false
	case OpNeedHigher:
		if req.phase == phaseRegistering {
			req.Sequence = max(req.Sequence, reply.Sequence) + 1
			m.replicate(req)
		}
		return false
	case OpKnown:
		if reply.Copy != nil && (req.reportedCopy == nil || moreRecent(reply.Copy, req.reportedCopy)) {
			req.reportedCopy = reply.Copy
		}
		if reply.Copy != nil && m.correctReplica(req, from, sent, reply.Copy) {
			return false
		}
		if reply.Copy != nil && m.endByKnownCopy(req, reply.Copy) {
			return false
		}
		req.refusals = append(req.refusals, from)
	default:
		if reply.Reason == reasonExpired {
			m.sendToReplica(req, from.Name, m.currentItem(req))
			return false
		}
		if reply.Reason != reasonNoLease { // a replica without a lease may regain it and accept the message
			req.refusals = append(req.refusals, from)
		}
	}
	return true
}

// endByKnownCopy ends a registration or an adoption that a single replica shows to be void, however many others accept
// it: the key has an answer, or the adopted request or a later one with its key has ended. It reports whether it did.
// The end of an adoption is closed rather than withdrawn, as the adoption may still reach replicas after a withdrawal.
func (m *Manager) endByKnownCopy(req *ownedRequest, known *Copy) bool {
	answered := known.Outcome == Succeeded && known.Answer != nil
	switch {
	case req.phase == phaseRegistering && answered:
		m.yieldToOwner(req)
	case req.phase == phaseAdopting && known.Outcome != Open:
		req.setAttempt(known.attempt())
		req.uncertainAttempts = 0
		m.counts.AdoptionsStarted++
		m.closeOwned(req, known.Outcome, known.Answer)
	default:
		return false
	}
	return true
}

// recordAck records that a replica has stored the latest message, along with the earlier attempt that it reports.
func recordAck(req *ownedRequest, from Member, reply *Item) bool {
	if reply.Reason == reasonNotReady {
		return false
	}
	earlier := &req.earlierAttempt
	older := reply.RunState == earlier.RunState && reply.RunState != NotRun &&
		reply.FirstAttemptAt < earlier.FirstAttemptAt
	if reply.RunState > earlier.RunState || older {
		*earlier = *reply
	}
	if !slices.Contains(req.acks, from) {
		req.acks = append(req.acks, from)
	}
	return true
}

// sendCopy sends the complete copy of a request to a replica that has no copy of it.
func (m *Manager) sendCopy(req *ownedRequest, to Member) {
	switch {
	case req.Complete && req.phase == phaseActive:
		c := req.snapshot()
		c.Confirmed = true // an active request is registered or adopted by a quorum
		item := Item{Op: OpRegister, Key: req.key, Sequence: req.Sequence, Copy: c, From: req.Owner}
		m.sendToReplica(req, to.Name, item)
	case req.phase == phaseClosing:
		m.send(to.Name, m.currentItemWithCopy(req))
	}
}

// correctReplica sends a replica the message that it missed, if it refused the latest one because its copy is out of
// date. It reports whether it did; the refusal then does not count.
func (m *Manager) correctReplica(req *ownedRequest, to Member, sent *Item, known *Copy) bool {
	switch {
	case missedAdoption(req, known):
		c := req.Copy
		c.Sequence, c.Outcome, c.Complete = req.Sequence-1, Open, req.phase == phaseActive
		m.send(to.Name, Item{
			Op:           OpAdopt,
			Key:          req.key,
			Sequence:     c.Sequence,
			BaseSequence: req.baseSequence,
			Copy:         &c,
			From:         req.previousOwner,
			More:         true,
		})
	case m.missedRegistration(req, sent, known), assumedFailure(req, sent, known):
		m.send(to.Name, m.currentItemWithCopy(req))
	default:
		return false
	}
	return true
}

// missedAdoption reports whether a replica still stores an adopted request under its previous owner.
func missedAdoption(req *ownedRequest, known *Copy) bool {
	return known.Outcome == Open && req.adopted && known.Owner == req.previousOwner && req.phase != phaseAdopting
}

// missedRegistration reports whether a replica refuses a close because it still stores an open copy of a lost owner in
// place of the later request that is closing.
func (m *Manager) missedRegistration(req *ownedRequest, sent *Item, known *Copy) bool {
	return known.Outcome == Open && req.phase == phaseClosing && sent.Copy == nil &&
		m.isLost(known.Owner) && known.Sequence < req.Sequence
}

// assumedFailure reports whether a successor recorded a request as failed because it could not know that the request
// had succeeded while its owner held the lease.
func assumedFailure(req *ownedRequest, sent *Item, known *Copy) bool {
	return known.Outcome == Failed && known.ID == req.ID &&
		req.phase == phaseClosing && req.Outcome == Succeeded && sent.Copy == nil
}

// advanceOnQuorum moves a request to its next phase if a quorum has acknowledged its latest message or none can any
// more.
func (m *Manager) advanceOnQuorum(req *ownedRequest) {
	partition := req.key.Partition()
	switch req.phase {
	case phaseRegistering:
		if m.hasQuorum(partition, req.acks) {
			m.completeRegistration(req)
		} else if m.quorumImpossible(partition, req.refusals) {
			m.yieldToOwner(req)
		}
	case phaseAdopting:
		if m.hasQuorum(partition, req.acks) {
			m.completeAdoption(req)
		} else if m.quorumImpossible(partition, req.refusals) {
			m.cancelAdoption(req)
		}
	case phaseActive:
		if m.hasQuorum(partition, req.acks) {
			m.releaseAttempts(req)
		}
	case phaseClosing:
		m.settleClose(req)
	}
}

// resendUnacknowledged resends messages that replicas have not acknowledged, and ends requests that have timed out.
func (m *Manager) resendUnacknowledged() {
	remaining := m.unacknowledged[:0]
	for _, req := range m.unacknowledged {
		req.inUnacknowledged = false
		if m.advanceUnacknowledged(req) {
			req.inUnacknowledged = true
			remaining = append(remaining, req)
		}
	}
	clear(m.unacknowledged[len(remaining):])
	m.unacknowledged = remaining
}

// advanceUnacknowledged resends the latest message of a request if that is due, or ends the request if it has timed
// out. It reports whether acknowledgements are still expected.
func (m *Manager) advanceUnacknowledged(req *ownedRequest) bool {
	if req.phase == phaseClosing {
		m.settleClose(req)
	}
	if req.phase == phaseDone {
		return false
	}
	m.expireHeldAttempts(req)
	partition := req.key.Partition()
	switch {
	case m.registrationExpired(req):
		m.expireRegistration(req)
		return false
	case req.phase == phaseAdopting && m.findClaimedPartition(req.previousOwner, partition) == nil:
		m.abandonOwned(req) // this controller's claim has ended, so another successor may adopt the request
		return false
	case req.phase == phaseActive && (req.bestEffort || req.sends > 3 && m.hasQuorum(partition, req.acks)):
		return false
	case req.bestEffort && req.sends > 2:
		m.removeOwned(req)
		return false
	}
	if m.now >= req.sentAt+resendBackoffMS(req.sends) {
		m.resend(req)
	}
	return true
}

// resendBackoffMS returns the time until a message that was sent the given number of times is sent again.
func resendBackoffMS(sends int) float64 { return resendMS * float64(min(sends, 10)) }

func (m *Manager) resend(req *ownedRequest) {
	req.sentAt = m.now
	req.sends++
	req.refusals = req.refusals[:0]
	item := m.currentItem(req)
	if req.bestEffort {
		return
	}
	for _, name := range m.notAcknowledged(req.key.Partition(), req.acks) {
		m.sendToReplica(req, name, item)
	}
}

// sendToReplica sends a replica the latest message of a request. A record that attempts wait for may be stored only
// until the last of them fails, and is not sent after that.
func (m *Manager) sendToReplica(req *ownedRequest, replica string, item Item) {
	if req.recordUntil != 0 && m.now > req.recordUntil {
		return
	}
	item.StoreUntil = m.heldUntil(req, replica)
	m.send(replica, item)
}
