package membership

import "slices"

const (
	stallMS    = 400  // by which a tick is late only if the whole process was paused
	distrustMS = 1000 // after a pause, until the view judges others again
)

// handleStall is called when this controller was paused. No member is judged by what was not received meanwhile.
func (v *View) handleStall(ms float64) {
	v.counts.Stalls++
	v.emit(Effect{Kind: SelfStalled, MS: ms})
	if v.settings.IgnoreOwnHealth {
		return
	}
	v.probes = v.probes[:0]
	v.localHealth = min(maxLocalHealth, v.localHealth+1+int(ms/v.settings.ProbeMS))
	for _, m := range v.suspect {
		if m.State == Suspect {
			m.suspectUntil += ms
			m.suspectedAt += ms
		}
	}
	v.trustSelfAt = v.now + distrustMS
	if ms >= v.settings.SuspectMS/2 && v.self.State != Leaving { // others may have declared it dead: refuted at once
		v.self.Refutation++
		v.setFlags(v.self.Flags | Stalled)
		v.enqueueGossip(v.self)
		v.startRapidExchanges()
	}
}

// raiseRefutation makes this controller's own record later than any other about it.
func (v *View) raiseRefutation() {
	v.self.Refutation++
	v.rehash(v.self)
	v.enqueueGossip(v.self)
}

// setFlags sets this controller's own flags.
func (v *View) setFlags(flags Flags) {
	if flags == v.self.Flags {
		return
	}
	v.self.Flags = flags
	v.raiseRefutation()
	v.emit(Effect{Kind: MemberChanged, Member: v.self.Member, From: v.self.State, Reason: "its own word"})
}

// announce sets this controller's own state. Left is final, and a controller that leaves does not become Alive again.
func (v *View) announce(state State) {
	before := v.self.State
	if before == state || before == Left || before == Leaving && state == Alive {
		return
	}
	v.self.State = state
	v.self.Since = v.now
	v.raiseRefutation()
	v.emit(Effect{Kind: MemberChanged, Member: v.self.Member, From: before, Reason: "its own word"})
}

// sendFarewell tells some members at once that this controller has left.
func (v *View) sendFarewell() {
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

// raiseIncarnation takes on a later incarnation than the fleet knows.
func (v *View) raiseIncarnation(incarnation uint64) {
	v.self.Incarnation = incarnation
	v.raiseRefutation()
	v.emit(Effect{Kind: SelfIncarnationRaised, Member: v.self.Member})
}

// handleReportOnSelf refutes what other members conclude about this controller.
func (v *View) handleReportOnSelf(record *Member, reporter string) {
	if record.Incarnation != v.self.Incarnation || record.Address != v.self.Address {
		v.handleDuplicate(record, false)
		return
	}
	accused := record.State == Suspect || record.State == Dead
	if record.Refutation < v.self.Refutation || !accused && record.Refutation == v.self.Refutation || v.self.State == Left {
		return
	}
	v.counts.Refuted++
	if record.State == Dead {
		v.counts.ReportedDead++
	}
	v.addEvidence(v.self, "said to be "+record.State.String()+", refuted", reporter)
	v.adjustHealth(1)
	v.self.Refutation = record.Refutation
	v.raiseRefutation()
}
