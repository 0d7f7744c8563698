package membership

import "slices"

const (
	stallThresholdMS = 400  // delay of an event beyond which the whole process is taken to have been paused
	expiryPauseMS    = 1000 // time after such a pause in which no suspicion expires
)

// reasonOwnAnnouncement is the reason of a MemberChanged effect about this controller itself.
const reasonOwnAnnouncement = "announced by the member itself"

// handleStall handles a pause of this process of the given length. Messages that could not be received in that time
// must not count against other members: probes are cancelled and suspicions extended.
func (v *View) handleStall(ms float64) {
	v.counts.Stalls++
	v.emit(Effect{Kind: SelfStalled, StallMS: ms})
	if v.settings.IgnoreOwnHealth {
		return
	}
	v.probes = v.probes[:0]
	v.localHealth = min(maxLocalHealth, v.localHealth+1+int(ms/v.settings.ProbeMS))
	for _, m := range v.suspects {
		if m.State == Suspect {
			m.suspectUntil += ms
			m.suspectedAt += ms
		}
	}
	v.expiryPausedUntil = v.now + expiryPauseMS
	if ms >= v.settings.SuspectMS/2 && v.self.State != Leaving { // others may have declared this controller dead
		v.self.Refutation++
		v.setFlags(v.self.Flags | Stalled)
		v.enqueueGossip(v.self)
		v.startRapidExchanges()
	}
}

// raiseRefutation raises this controller's refutation number, so that its own record supersedes all others about it,
// and queues the record for gossip.
func (v *View) raiseRefutation() {
	v.self.Refutation++
	v.rehash(v.self)
	v.enqueueGossip(v.self)
}

// setFlags sets this controller's own flags and queues its record for gossip if they changed.
func (v *View) setFlags(flags Flags) {
	if flags == v.self.Flags {
		return
	}
	v.self.Flags = flags
	v.raiseRefutation()
	v.emit(Effect{Kind: MemberChanged, Member: v.self.Member, From: v.self.State, Reason: reasonOwnAnnouncement})
}

// announce sets this controller's own state and queues its record for gossip. Left is final, and a leaving controller
// does not become Alive again.
func (v *View) announce(state State) {
	before := v.self.State
	if before == state || before == Left || before == Leaving && state == Alive {
		return
	}
	v.self.State = state
	v.self.Since = v.now
	v.raiseRefutation()
	v.emit(Effect{Kind: MemberChanged, Member: v.self.Member, From: before, Reason: reasonOwnAnnouncement})
}

// sendLeaveMessages sends this controller's record, which is Left by now, to a few members without waiting for the next
// gossip round.
func (v *View) sendLeaveMessages() {
	var notified []*member
	for range 2 * gossipFanout {
		m := v.randomMember(func(m *member) bool { return slices.Contains(notified, m) })
		if m == nil {
			continue
		}
		notified = append(notified, m)
		v.send(m, &message{kind: kindGossip}, nil)
	}
}

// raiseIncarnation continues under the given incarnation, which is later than any that the fleet knows.
func (v *View) raiseIncarnation(incarnation uint64) {
	v.self.Incarnation = incarnation
	v.raiseRefutation()
	v.emit(Effect{Kind: SelfIncarnationRaised, Member: v.self.Member})
}

// handleReportAboutSelf handles a record about this controller from another member. It refutes the record if that makes
// this controller Suspect or Dead, and supersedes it if it is later than this controller's own.
func (v *View) handleReportAboutSelf(record *Member, reporter string) {
	if record.Incarnation != v.self.Incarnation || record.Address != v.self.Address {
		v.handleDuplicate(record, false)
		return
	}
	accused := record.State == Suspect || record.State == Dead
	if record.Refutation < v.self.Refutation || !accused && record.Refutation == v.self.Refutation ||
		v.self.State == Left {
		return
	}
	v.counts.Refuted++
	if record.State == Dead {
		v.counts.ReportedDead++
	}
	v.addEvidence(v.self, "reported "+record.State.String()+", refuted", reporter)
	v.adjustHealth(1)
	v.self.Refutation = record.Refutation
	v.raiseRefutation()
}
