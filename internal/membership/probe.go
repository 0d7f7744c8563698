package membership

import "slices"

const (
	maxProbes         = 8   // own probes in flight
	maxIndirectProbes = 256 // probes in flight on behalf of others
	indirectProbers   = 3   // members that are asked to probe on this controller's behalf
	nackShare         = 0.8 // share of the time for an indirect probe after which a negative answer is sent

	// The probe interval is shorter while there are this many suspects and they are this share of the live members, as
	// members often fail together.
	fastProbeMinSuspects  = 2
	fastProbeSuspectShare = 0.05
	fastProbeFactor       = 3.0 // divides the probe interval

	maxLocalHealth = 5
)

// probe is a probe by this controller that is in flight.
type probe struct {
	target     *member
	sequence   uint64
	indirect   bool // whether other members have been asked to probe the target, too
	nacks      int  // negative answers of those members
	answered   bool
	indirectAt float64 // when other members are asked
	deadline   float64
}

// indirectProbe is a probe in flight on behalf of another member.
type indirectProbe struct {
	requesterAddress  string
	requesterSequence uint64 // sequence number of the request
	expiresAt         float64
	nackAt            float64 // when a negative answer is due; 0 once it was sent
}

// scaleByHealth lengthens a timeout according to the local health score.
func (v *View) scaleByHealth(ms float64) float64 { return ms * float64(1+v.localHealth) }

// adjustHealth adds to the local health score, within its bounds.
func (v *View) adjustHealth(delta int) {
	if !v.settings.IgnoreOwnHealth {
		v.localHealth = min(maxLocalHealth, max(0, v.localHealth+delta))
	}
}

// probeNext probes the next live member of the ring and schedules the next probe. The ring is shuffled after each
// round.
func (v *View) probeNext() {
	v.probeAt = v.now + v.scaleByHealth(v.settings.ProbeMS)
	suspects := len(v.suspects)
	if suspects >= fastProbeMinSuspects && float64(suspects) >= fastProbeSuspectShare*float64(v.livePeers) {
		v.probeAt = v.now + v.scaleByHealth(v.settings.ProbeMS/fastProbeFactor)
	}
	for range len(v.ring) + 1 {
		if v.ringPos >= len(v.ring) {
			v.ringPos = 0
			v.shuffleRing()
			if len(v.ring) == 0 {
				return
			}
		}
		m := v.ring[v.ringPos]
		v.ringPos++
		if m.State.IsLive() && v.startProbe(m) {
			return
		}
	}
}

// shuffleRing puts the probe ring into a random order.
func (v *View) shuffleRing() {
	for k := len(v.ring) - 1; k > 0; k-- {
		other := int(v.random() * float64(k+1))
		v.ring[k], v.ring[other] = v.ring[other], v.ring[k]
	}
}

// startProbe probes a member. It returns false if a probe of the member is in flight already or too many others are.
func (v *View) startProbe(m *member) bool {
	if len(v.probes) >= maxProbes || slices.ContainsFunc(v.probes, func(p probe) bool { return p.target == m }) {
		return false
	}
	sequence := v.nextSequence()
	v.counts.Probes++
	v.probes = append(v.probes, probe{target: m, sequence: sequence,
		indirectAt: v.now + v.scaleByHealth(v.settings.AnswerMS),
		deadline:   v.now + v.scaleByHealth(v.settings.ProbeMS)})
	v.send(m, &message{kind: kindPing, sequence: sequence, target: m.Name, incarnation: m.Incarnation,
		members: v.suspectRecords()}, m)
	return true
}

// updateProbes starts the indirect probes that are due and removes probes that were answered or timed out. A timeout
// makes the target Suspect.
func (v *View) updateProbes() {
	for k := 0; k < len(v.probes); k++ {
		p := v.probes[k]
		live := p.target.State.IsLive()
		if !p.answered && live && v.now < p.deadline {
			if !p.indirect && v.now >= p.indirectAt {
				v.requestIndirectProbes(&v.probes[k])
			}
			continue
		}
		v.probes = append(v.probes[:k], v.probes[k+1:]...)
		k--
		if p.answered || !live {
			continue
		}
		v.counts.Unanswered++
		if p.nacks == 0 { // without negative answers from indirect probers, this controller may be the slow one
			v.adjustHealth(1)
		}
		v.addEvidence(p.target, "no answer to a direct or indirect probe", v.self.Name)
		v.applyInput(p.target, probeTimedOut, &Member{Name: p.target.Name, Incarnation: p.target.Incarnation,
			Refutation: p.target.Refutation, State: Suspect, AccusedBy: v.self.Name})
	}
}

// requestIndirectProbes asks other members to probe a member that has not answered.
func (v *View) requestIndirectProbes(p *probe) {
	p.indirect = true
	v.counts.Indirect++
	var asked []*member
	excluded := func(m *member) bool { return m == p.target || m.State != Alive || slices.Contains(asked, m) }
	for range indirectProbers {
		m := v.randomMember(excluded)
		if m == nil {
			continue
		}
		asked = append(asked, m)
		v.send(m, &message{kind: kindPingRequest, sequence: p.sequence, target: p.target.Address,
			incarnation: p.target.Incarnation}, p.target)
	}
}

// randomMember returns a random live member that is neither Suspect nor excluded, or nil if it finds none. A nil
// function excludes no member.
func (v *View) randomMember(excluded func(*member) bool) *member {
	const scanLimit = 64 // members scanned from one position of the ring before further positions are random
	if v.livePeers == 0 {
		return nil
	}
	start := int(v.random() * float64(len(v.ring)))
	for k := range v.ring {
		m := v.ring[(start+k)%len(v.ring)]
		if m.State.IsLive() && m.State != Suspect && (excluded == nil || !excluded(m)) {
			return m
		}
		if k > scanLimit {
			start = int(v.random() * float64(len(v.ring)))
		}
	}
	return nil
}

// handlePingRequest probes a member on behalf of the sender. Requests past maxIndirectProbes are dropped.
func (v *View) handlePingRequest(from string, msg *message) {
	if len(v.indirectProbes) >= maxIndirectProbes {
		return
	}
	sequence := v.nextSequence()
	timeLeft := v.scaleByHealth(v.settings.ProbeMS - v.settings.AnswerMS)
	v.indirectProbes[sequence] = indirectProbe{requesterAddress: from, requesterSequence: msg.sequence,
		expiresAt: v.now + 2*timeLeft, nackAt: v.now + nackShare*timeLeft/2}
	v.sendTo(msg.target, &message{kind: kindPing, sequence: sequence, incarnation: msg.incarnation}, nil)
}

// expireIndirectProbes removes expired probes on behalf of others and sends the negative answers that are due.
func (v *View) expireIndirectProbes() {
	for sequence, p := range v.indirectProbes {
		if v.now >= p.expiresAt {
			delete(v.indirectProbes, sequence)
		}
	}
	if len(v.indirectProbes) == 0 {
		return
	}
	var due []uint64
	for sequence, p := range v.indirectProbes {
		if p.nackAt > 0 && v.now >= p.nackAt {
			due = append(due, sequence)
		}
	}
	slices.Sort(due) // effects must not depend on the iteration order of a map
	for _, sequence := range due {
		p := v.indirectProbes[sequence]
		p.nackAt = 0
		v.indirectProbes[sequence] = p
		v.sendTo(p.requesterAddress, &message{kind: kindNack, sequence: p.requesterSequence}, nil)
	}
}

// findProbe returns the probe with a sequence number, or nil.
func (v *View) findProbe(sequence uint64) *probe {
	for k := range v.probes {
		if v.probes[k].sequence == sequence {
			return &v.probes[k]
		}
	}
	return nil
}

// handleAck handles the answer to a probe by this controller, or to one on behalf of another member.
func (v *View) handleAck(msg *message, from *member) {
	if p := v.findProbe(msg.sequence); p != nil {
		if !p.answered {
			p.answered = true
			v.adjustHealth(-1)
		}
		v.exchangeIfDifferent(msg.viewHash, from)
		return
	}
	if p, ok := v.indirectProbes[msg.sequence]; ok && from != nil {
		delete(v.indirectProbes, msg.sequence)
		v.sendTo(p.requesterAddress, &message{kind: kindAck, sequence: p.requesterSequence,
			members: []Member{from.Member}}, nil)
		return
	}
	if from != nil && v.self.State == Joining {
		v.startExchange(from.Address)
	}
	v.counts.Stale++
}
