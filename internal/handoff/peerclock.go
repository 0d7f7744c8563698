package handoff

import "slices"

const (
	// transitSlackMS is how much longer than two usual round trips a batch may take before the attempt records in it are
	// late.
	transitSlackMS = 15
	// lateFactor is by how much the next batch may take longer after one whose records were late, up to maxLateReplies
	// times in a row.
	lateFactor     = 4
	maxLateReplies = 3
	// roundTripWeight is the weight of one round trip in the average.
	roundTripWeight = 1.0 / 8
	// clockQueriesPerTick limits how many members are asked for their clock in one tick.
	clockQueriesPerTick = 8
)

// peerClock estimates the clock of another member from its replies. A batch says by the receiver's own clock until when
// the attempt records in it may be stored, so that a replica that was paused, or that a message reached late, does not
// report an attempt that its owner has given up, or was lost with, as one that may have run.
type peerClock struct {
	incarnation uint64  // of the member whose clock it is
	known       bool    // false: no reply was received, or the member is of a version that does not send its clock
	offset      float64 // lower bound of the member's clock minus this controller's
	roundTripMS float64 // average time from a batch to its reply
	slowReplyAt float64 // when a reply last came that took far longer than the average
	lateReplies int     // replies in a row that refused records as late
}

// observe updates the estimate with a reply that has just been received.
func (c *peerClock) observe(now float64, sent, reply *Batch) {
	offset := reply.Clock - now
	roundTrip := now - sent.sentAt
	if !c.known || c.incarnation != reply.From.Incarnation {
		*c = peerClock{incarnation: reply.From.Incarnation, known: true, offset: offset, roundTripMS: roundTrip}
		return
	}
	// The reply that took the shortest time gives the highest bound, unless a later one proves that the clocks have
	// drifted apart since: no reply takes longer than its round trip.
	if offset > c.offset || c.offset > offset+roundTrip {
		c.offset = offset
	}
	c.observeRoundTrip(now, sent.sentAt, roundTrip)
}

// observeRoundTrip updates the average of the round trips. A pause of the member delays the replies to all batches that
// were sent meanwhile; it counts once, as little more than twice the average.
func (c *peerClock) observeRoundTrip(now, sentAt, roundTrip float64) {
	if sentAt < c.slowReplyAt {
		return
	}
	if longest := 2*c.roundTripMS + transitSlackMS; roundTrip > longest {
		roundTrip = longest
		c.slowReplyAt = now
	}
	c.roundTripMS += roundTripWeight * (roundTrip - c.roundTripMS)
}

// observeLateness counts replies in a row that refused records as late: the way to the member has become slower.
func (c *peerClock) observeLateness(sent, reply *Batch) {
	isLate := func(item Item) bool { return item.Op == OpRefused && item.Reason == reasonExpired }
	switch {
	case sent.StoreUntil == 0:
	case slices.ContainsFunc(reply.Items, isLate):
		c.lateReplies = min(c.lateReplies+1, maxLateReplies)
	default:
		c.lateReplies = 0
	}
}

// storeUntil returns the time by the member's clock until which records in a batch that is sent now may be stored.
func (c *peerClock) storeUntil(now float64) float64 {
	transitMS := 2*c.roundTripMS + transitSlackMS
	for range c.lateReplies {
		transitMS *= lateFactor
	}
	return now + c.offset + transitMS
}

// observePeerClock updates the estimate of a member's clock with its reply to a batch.
func (m *Manager) observePeerClock(sent, reply *Batch) {
	if reply.Clock == 0 || sent.sentAt == 0 {
		return
	}
	clock := m.peerClocks[reply.From.Name]
	if clock == nil {
		clock = &peerClock{}
		m.peerClocks[reply.From.Name] = clock
	}
	clock.observe(m.now, sent, reply)
	clock.observeLateness(sent, reply)
}

// knownClock returns the estimate of a member's clock, or nil if the clock of its current incarnation is not known.
func (m *Manager) knownClock(name string) *peerClock {
	clock, member := m.peerClocks[name], m.members[name]
	if clock == nil || !clock.known || member == nil || clock.incarnation != member.Incarnation {
		return nil
	}
	return clock
}

// updatePeerClocks forgets the clocks of members that have left, and lists the replicas whose clocks are to be learned,
// so that they are known before the first attempt.
func (m *Manager) updatePeerClocks() {
	for name := range m.peerClocks {
		if m.members[name] == nil {
			delete(m.peerClocks, name)
		}
	}
	m.clocksToLearn = m.clocksToLearn[:0]
	for partition := range m.table.Partitions {
		for _, name := range m.replicaNames(partition) {
			clock := m.peerClocks[name]
			asked := clock != nil && clock.incarnation == m.members[name].Incarnation
			if !asked && name != m.self.Name && !slices.Contains(m.clocksToLearn, name) {
				m.clocksToLearn = append(m.clocksToLearn, name)
			}
		}
	}
}

// learnClocks asks listed replicas for their clock.
func (m *Manager) learnClocks() {
	for range min(clockQueriesPerTick, len(m.clocksToLearn)) {
		name := m.clocksToLearn[0]
		m.clocksToLearn = m.clocksToLearn[1:]
		if member := m.members[name]; member != nil {
			m.peerClocks[name] = &peerClock{incarnation: member.Incarnation}
			m.send(name, Item{Op: OpQuery}) // the reply matters for its clock alone
		}
	}
}

// limitRecords limits how long the receiver of a batch may store the attempt records in it, if it has any.
func (m *Manager) limitRecords(to string, batch *Batch) {
	isLimited := func(item Item) bool { return item.StoreUntil != 0 }
	if clock := m.knownClock(to); clock != nil && slices.ContainsFunc(batch.Items, isLimited) {
		batch.StoreUntil = clock.storeUntil(m.now)
	}
}

// heldUntil returns the time by a replica's clock at which the last of the attempts that wait for a request's record
// fails. It is 0 if none waits, or the replica's clock is not known.
func (m *Manager) heldUntil(req *ownedRequest, replica string) float64 {
	clock := m.knownClock(replica)
	if clock == nil || req.recordUntil == 0 {
		return 0
	}
	return req.recordUntil + clock.offset
}
