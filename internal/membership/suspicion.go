package membership

import (
	"fmt"
	"math"
	"slices"
)

const (
	// A suspicion lasts at least suspicionLogFactor probe intervals times the decimal logarithm of the number of
	// members, as a refutation needs that long to spread.
	suspicionLogFactor      = 2.0
	maxSuspicionFactor      = 6.0 // length of a suspicion with a single accuser, as a multiple of the minimum
	accusersForMinSuspicion = 3   // accusers that shorten a suspicion to the minimum
	verifyingProbers        = 5.0 // expected number of members that probe a suspect which another member reported

	maxSuspectsPerProbe = 4   // records of suspects that a probe carries
	verifyBeforeMS      = 900 // time before the expiry of a suspicion from which on later records are asked for
	verifyTargets       = 2   // members that are asked in each gossip round
	maxVerifiedSuspects = 16  // records of suspects in one such message, and corrections in an answer

	// A partition is suspected once partitionMinDeaths members, or partitionShare of the live members if that is more,
	// become Dead within partitionWindowMS.
	partitionWindowMS  = 5000
	partitionShare     = 0.1
	partitionMinDeaths = 3
)

// minSuspicionMS returns the minimum length of a suspicion. It grows with the number of members, as a refutation takes
// longer to spread.
func (v *View) minSuspicionMS() float64 {
	return max(v.settings.SuspectMS, suspicionLogFactor*v.settings.ProbeMS*math.Log10(float64(v.livePeers+1)))
}

// suspectCount returns the number of members that are Suspect.
func (v *View) suspectCount() (n int) {
	for _, m := range v.suspects {
		n += boolToInt(m.State == Suspect)
	}
	return n
}

// suspicionMS returns how long a member's suspicion lasts. It shrinks with the number of accusers, from
// maxSuspicionFactor times the minimum to the minimum.
func (v *View) suspicionMS(m *member) float64 {
	shortest := v.minSuspicionMS()
	longest := shortest * maxSuspicionFactor
	needed := min(accusersForMinSuspicion, v.livePeers-v.suspectCount())
	if m.expedited || needed <= 1 || len(m.accusers) >= needed {
		return shortest
	}
	return max(shortest, longest-(longest-shortest)*math.Log(float64(len(m.accusers)))/math.Log(float64(needed)))
}

// startSuspicion is the action for a member that becomes Suspect. If another member reported it, a few members of the
// fleet, chosen at random, probe the suspect themselves.
func (v *View) startSuspicion(m *member, record *Member) {
	m.suspectedAt = v.now
	m.AccusedBy = record.AccusedBy
	m.accusers = append(m.accusers[:0], record.AccusedBy)
	m.suspectUntil = v.now + v.suspicionMS(m)
	if record.AccusedBy != v.self.Name && v.random()*float64(v.livePeers) < verifyingProbers {
		v.startProbe(m)
	}
}

// startExpeditedSuspicion starts a suspicion of the minimum length for a member that another member reported as Dead:
// that member's suspicion has expired already.
func (v *View) startExpeditedSuspicion(m *member, record *Member) {
	v.startSuspicion(m, record)
	m.expedited = true
	m.suspectUntil = v.now + v.suspicionMS(m)
}

// confirmSuspicion adds an accuser to a suspicion, which may shorten it. The record is gossiped again, as other members
// count accusers, too.
func (v *View) confirmSuspicion(m *member, record *Member) {
	if record.AccusedBy == "" || len(m.accusers) >= accusersForMinSuspicion ||
		slices.Contains(m.accusers, record.AccusedBy) {
		return
	}
	m.accusers = append(m.accusers, record.AccusedBy)
	m.AccusedBy = record.AccusedBy
	m.suspectUntil = min(m.suspectUntil, max(v.now, m.suspectedAt+v.suspicionMS(m)))
	v.enqueueGossip(m)
}

// clearSuspicion is the action for a member that refuted a suspicion or announced its shutdown.
func (v *View) clearSuspicion(m *member, _ *Member) { m.accusers = nil }

// recordRefutation adds evidence that a Dead member refuted its death.
func (v *View) recordRefutation(m *member, record *Member) {
	v.addEvidence(m, fmt.Sprintf("refuted its death, refutation %d", record.Refutation), m.Name)
}

// recordDeath is the action for a member that becomes Dead. If many members do within partitionWindowMS, this
// controller may be the one that is partitioned. It raises its refutation number, so that records by which the others
// declare it dead in the meantime are outdated when the partition ends.
func (v *View) recordDeath(m *member, record *Member) {
	if record.AccusedBy == "" {
		v.addEvidence(m, "did not refute the suspicion in time", v.self.Name)
	}
	if v.now > v.partitionWindowStart+partitionWindowMS {
		v.partitionWindowStart = v.now
		v.deathsInWindow = 0
	}
	v.deathsInWindow++
	if v.deathsInWindow == max(partitionMinDeaths, int(partitionShare*float64(v.livePeers))) {
		v.emit(Effect{Kind: PartitionSuspected})
		v.raiseRefutation()
	}
}

// expireSuspicions declares members dead that did not refute in time. After a pause of this process it does nothing
// until expiryPausedUntil, so that refutations which arrived during the pause are read first.
func (v *View) expireSuspicions() {
	if v.now < v.expiryPausedUntil {
		return
	}
	if v.self.Flags&Stalled != 0 {
		v.setFlags(v.self.Flags &^ Stalled)
	}
	remaining := v.suspects[:0]
	for _, m := range v.suspects {
		// Fewer accusers suffice once fewer members are left.
		m.suspectUntil = min(m.suspectUntil, m.suspectedAt+v.suspicionMS(m))
		if m.State == Suspect && v.now >= m.suspectUntil {
			v.applyInput(m, suspicionExpired,
				&Member{Name: m.Name, Incarnation: m.Incarnation, Refutation: m.Refutation})
		}
		if m.State == Suspect {
			remaining = append(remaining, m)
		}
	}
	clear(v.suspects[len(remaining):])
	v.suspects = remaining
}

// suspectRecords returns the records of some suspects for a probe to carry. The recipient answers with its own record
// of a suspect if that is later.
func (v *View) suspectRecords() (list []Member) {
	for _, m := range v.suspects {
		if m.State == Suspect && len(list) < maxSuspectsPerProbe {
			list = append(list, m.Member)
		}
	}
	return list
}

// verifySuspects asks other members for later records of the suspects whose suspicion is about to expire.
func (v *View) verifySuspects() {
	var expiring []Member
	for _, m := range v.suspects {
		if m.State == Suspect && m.suspectUntil-v.now < verifyBeforeMS && len(expiring) < maxVerifiedSuspects {
			expiring = append(expiring, m.Member)
		}
	}
	for k := 0; k < verifyTargets && len(expiring) > 0; k++ {
		m := v.randomMember(func(m *member) bool { return m.State != Alive })
		if m == nil {
			continue
		}
		v.send(m, &message{kind: kindPing, sequence: v.nextSequence(), target: m.Name, incarnation: m.Incarnation,
			members: expiring}, m)
	}
}

// appendCorrection appends this view's record of a member if it is later than a received record by which the member is
// Suspect or Dead.
func (v *View) appendCorrection(list []Member, record *Member) []Member {
	m := v.byName[record.Name]
	if m == nil || record.State != Suspect && record.State != Dead || len(list) >= maxVerifiedSuspects ||
		!m.State.IsLive() {
		return list
	}
	if m.Incarnation < record.Incarnation || m.Incarnation == record.Incarnation && m.Refutation <= record.Refutation {
		return list
	}
	return append(list, m.Member)
}
