package handoff

const (
	// recordSlackMS is how much longer than two usual round trips an attempt record may take before its replica no longer
	// stores it.
	recordSlackMS = 15
	// roundTripWeight is the weight of one round trip in the average.
	roundTripWeight = 1.0 / 8
	// clockQueriesPerTick limits how many members are asked for their clock in one tick.
	clockQueriesPerTick = 8
)

// peerClock estimates the clock of another member from its replies. An attempt record says by the receiver's own clock
// how long it may be stored, so that a replica that was paused, or that a message reached late, does not report an
// attempt that its owner has given up, or was lost with, as one that may have run.
type peerClock struct {
	incarnation uint64  // of the member whose clock it is
	known       bool    // false: no reply was received, or the member is of a version that does not send its clock
	offset      float64 // lower bound of the member's clock minus this controller's
	roundTripMS float64 // average time from a batch to its reply
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
	// A single reply that took long, for instance because the member was paused, counts as twice the average.
	roundTrip = min(roundTrip, 2*c.roundTripMS+recordSlackMS)
	c.roundTripMS += roundTripWeight * (roundTrip - c.roundTripMS)
}

// observePeerClock updates the estimate of a member's clock with its reply to a batch.
func (m *Manager) observePeerClock(sent, reply *Batch) {
	if reply.Clock != 0 && sent.sentAt != 0 {
		m.peerClock(reply.From.Name).observe(m.now, sent, reply)
	}
}

// peerClock returns the estimate of a member's clock.
func (m *Manager) peerClock(name string) *peerClock {
	clock := m.peerClocks[name]
	if clock == nil {
		clock = &peerClock{}
		m.peerClocks[name] = clock
	}
	return clock
}

// learnClocks asks replicas whose clock has never been asked for, so that it is known before the first attempt.
func (m *Manager) learnClocks() {
	asked := 0
	for partition := range m.table.Partitions {
		for _, name := range m.replicaNames(partition) {
			clock, incarnation := m.peerClock(name), m.members[name].Incarnation
			if name == m.self.Name || clock.incarnation == incarnation {
				continue
			}
			if asked == clockQueriesPerTick {
				return
			}
			asked++
			*clock = peerClock{incarnation: incarnation}
			m.send(name, Item{Op: OpQuery}) // the reply matters for its clock alone
		}
	}
}

// storeUntil returns the time, by the clock of a replica, until which it may store the record of a request's attempts
// that is sent to it now. It is 0 if no attempt waits for the record, or the replica's clock is not known.
func (m *Manager) storeUntil(req *ownedRequest, replica string) float64 {
	clock, member := m.peerClocks[replica], m.members[replica]
	if req.recordUntil == 0 || clock == nil || member == nil || !clock.known || clock.incarnation != member.Incarnation {
		return 0
	}
	return clock.offset + min(req.recordUntil, m.now+2*clock.roundTripMS+recordSlackMS)
}
