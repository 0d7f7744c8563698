package membership

import (
	"fmt"
	"math"
	"slices"
)

const (
	suspicionLogFactor = 2.0 // probe intervals for each tenfold of members: a refutation needs that long to spread
	maxSuspicionFactor = 6.0 // of the least time, while there is a single accuser
	enoughAccusers     = 3   // bring a suspicion down to its least time
	verifyingProbers   = 5.0 // members, of all, that probe a reported suspect themselves

	maxSentSuspects = 4   // records of suspects that a probe carries
	verifyBeforeMS  = 900 // before a suspicion expires: others are asked for later records of the member
	verifyTargets   = 2   // members that are asked in each gossip round
	maxVerified     = 16  // suspects in a question, and corrections in an answer

	// Deaths within partitionWindowMS from which on this controller takes itself to be cut off.
	partitionWindowMS  = 5000
	partitionShare     = 0.1 // of the live members
	partitionMinDeaths = 3
)

// minSuspicionMS returns the least time in which a suspect may refute.
func (v *View) minSuspicionMS() float64 {
	return max(v.settings.SuspectMS, suspicionLogFactor*v.settings.ProbeMS*math.Log10(float64(v.live+1)))
}

func (v *View) suspectCount() (n int) {
	for _, m := range v.suspect {
		n += boolToInt(m.State == Suspect)
	}
	return n
}

// suspicionMS returns how long a member's suspicion lasts. It shrinks with the number of accusers.
func (v *View) suspicionMS(m *member) float64 {
	least := v.minSuspicionMS()
	most := least * maxSuspicionFactor
	needed := min(enoughAccusers, v.live-v.suspectCount())
	if m.expedited || needed <= 1 || len(m.accusers) >= needed {
		return least
	}
	return max(least, most-(most-least)*math.Log(float64(len(m.accusers)))/math.Log(float64(needed)))
}

func (v *View) startSuspicion(m *member, record *Member) {
	m.suspectedAt = v.now
	m.AccusedBy = record.AccusedBy
	m.accusers = append(m.accusers[:0], record.AccusedBy)
	m.suspectUntil = v.now + v.suspicionMS(m)
	if record.AccusedBy != v.self.Name && v.random()*float64(v.live) < verifyingProbers {
		v.startProbe(m)
	}
}

// startExpeditedSuspicion starts a suspicion of the least length: other members have waited already.
func (v *View) startExpeditedSuspicion(m *member, record *Member) {
	v.startSuspicion(m, record)
	m.expedited = true
	m.suspectUntil = v.now + v.suspicionMS(m)
}

// confirmSuspicion adds an accuser. The record is gossiped again, as other members count accusers, too.
func (v *View) confirmSuspicion(m *member, record *Member) {
	if record.AccusedBy == "" || len(m.accusers) >= enoughAccusers || slices.Contains(m.accusers, record.AccusedBy) {
		return
	}
	m.accusers = append(m.accusers, record.AccusedBy)
	m.AccusedBy = record.AccusedBy
	m.suspectUntil = min(m.suspectUntil, max(v.now, m.suspectedAt+v.suspicionMS(m)))
	v.enqueueGossip(m)
}

func (v *View) clearSuspicion(m *member, _ *Member) { m.accusers = nil }

// recordReturn keeps evidence that a member which was Dead refuted.
func (v *View) recordReturn(m *member, record *Member) {
	v.addEvidence(m, fmt.Sprintf("says that it is here, incarnation %d", record.Refutation), m.Name)
}

// recordDeath is the action for a member that becomes Dead. Where many do at once, this controller may be the one that is cut off: it
// raises its refutation number, so that what the others conclude meanwhile is refuted before they meet again.
func (v *View) recordDeath(m *member, record *Member) {
	if record.AccusedBy == "" {
		v.addEvidence(m, "did not say in time that it is here", v.self.Name)
	}
	if v.now > v.partitionWindowAt+partitionWindowMS {
		v.partitionWindowAt = v.now
		v.deathsInWindow = 0
	}
	v.deathsInWindow++
	if v.deathsInWindow == max(partitionMinDeaths, int(partitionShare*float64(v.live))) {
		v.emit(Effect{Kind: PartitionSuspected})
		v.raiseRefutation()
	}
}

// expireSuspicions declares members dead that did not refute in time. After a pause of its own, the view first waits for messages.
func (v *View) expireSuspicions() {
	if v.now < v.trustSelfAt {
		return
	}
	if v.self.Flags&Stalled != 0 {
		v.setFlags(v.self.Flags &^ Stalled)
	}
	remaining := v.suspect[:0]
	for _, m := range v.suspect {
		m.suspectUntil = min(m.suspectUntil, m.suspectedAt+v.suspicionMS(m)) // fewer accusers suffice once fewer members are left
		if m.State == Suspect && v.now >= m.suspectUntil {
			v.applyInput(m, suspicionExpired, &Member{Name: m.Name, Incarnation: m.Incarnation, Refutation: m.Refutation})
		}
		if m.State == Suspect {
			remaining = append(remaining, m)
		}
	}
	clear(v.suspect[len(remaining):])
	v.suspect = remaining
}

// someSuspects returns records of suspects to go with a probe, so that a member with a later record of one answers with it.
func (v *View) someSuspects() (list []Member) {
	for _, m := range v.suspect {
		if m.State == Suspect && len(list) < maxSentSuspects {
			list = append(list, m.Member)
		}
	}
	return list
}

// verifySuspects asks other members for later records of the suspects whose time is about to end.
func (v *View) verifySuspects() {
	var expiring []Member
	for _, m := range v.suspect {
		if m.State == Suspect && m.suspectUntil-v.now < verifyBeforeMS && len(expiring) < maxVerified {
			expiring = append(expiring, m.Member)
		}
	}
	for k := 0; k < verifyTargets && len(expiring) > 0; k++ {
		m := v.randomMember(func(m *member) bool { return m.State != Alive })
		if m == nil {
			continue
		}
		v.send(m, &message{kind: kindPing, sequence: v.nextSequence(), target: m.Name, incarnation: m.Incarnation, members: expiring}, m)
	}
}

// appendCorrection adds this view's record of a member that another holds for Suspect or Dead by an older one.
func (v *View) appendCorrection(list []Member, record *Member) []Member {
	m := v.byName[record.Name]
	if m == nil || record.State != Suspect && record.State != Dead || len(list) >= maxVerified || !m.State.IsLive() {
		return list
	}
	if m.Incarnation < record.Incarnation || m.Incarnation == record.Incarnation && m.Refutation <= record.Refutation {
		return list
	}
	return append(list, m.Member)
}
