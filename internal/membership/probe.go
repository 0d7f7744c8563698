package membership

import "slices"

const (
	maxProbes         = 8   // under way at a time
	maxIndirectProbes = 256 // on behalf of others
	indirectProbers   = 3   // members that are asked to probe on this controller's behalf
	nackShare         = 0.8 // of the time left, after which an indirect prober reports that it has no answer yet

	// From this many suspects on, probes follow one another faster: members often fail together.
	manySuspects      = 2
	manySuspectsShare = 0.05 // of the live members
	fasterFactor      = 3.0

	maxLocalHealth = 5
)

// probe is a direct probe that this controller has under way.
type probe struct {
	target     *member
	sequence   uint64
	indirect   bool // others have been asked, too
	nacks      int
	answered   bool
	indirectAt float64
	deadline   float64
}

// indirectProbe is a probe under way on behalf of another member.
type indirectProbe struct {
	requester string // address
	sequence  uint64 // the requester's
	expiresAt float64
	nackAt    float64 // 0: it has been sent
}

// scaleByHealth stretches a time while this controller itself is slow.
func (v *View) scaleByHealth(ms float64) float64 { return ms * float64(1+v.localHealth) }

// adjustHealth changes this controller's judgement of its own slowness.
func (v *View) adjustHealth(steps int) {
	if !v.settings.IgnoreOwnHealth {
		v.localHealth = min(maxLocalHealth, max(0, v.localHealth+steps))
	}
}

// probeNext probes the next live member of the ring.
func (v *View) probeNext() {
	v.probeAt = v.now + v.scaleByHealth(v.settings.ProbeMS)
	if n := len(v.suspect); n >= manySuspects && float64(n) >= manySuspectsShare*float64(v.live) {
		v.probeAt = v.now + v.scaleByHealth(v.settings.ProbeMS/fasterFactor)
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

func (v *View) shuffleRing() {
	for k := len(v.ring) - 1; k > 0; k-- {
		other := int(v.random() * float64(k+1))
		v.ring[k], v.ring[other] = v.ring[other], v.ring[k]
	}
}

// startProbe probes a member unless a probe of it is under way.
func (v *View) startProbe(m *member) bool {
	if len(v.probes) >= maxProbes || slices.ContainsFunc(v.probes, func(p probe) bool { return p.target == m }) {
		return false
	}
	sequence := v.nextSequence()
	v.counts.Probes++
	v.probes = append(v.probes, probe{target: m, sequence: sequence, indirectAt: v.now + v.scaleByHealth(v.settings.AnswerMS),
		deadline: v.now + v.scaleByHealth(v.settings.ProbeMS)})
	v.send(m, &message{kind: kindPing, sequence: sequence, target: m.Name, incarnation: m.Incarnation, members: v.someSuspects()}, m)
	return true
}

// updateProbes starts indirect probes that are due and ends probes that were answered or timed out.
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
		if p.nacks == 0 { // a negative answer of an indirect prober would show that this controller is reachable
			v.adjustHealth(1)
		}
		v.addEvidence(p.target, "no answer to a probe, nor by way of others", v.self.Name)
		v.applyInput(p.target, probeTimedOut, &Member{Name: p.target.Name, Incarnation: p.target.Incarnation,
			Refutation: p.target.Refutation, State: Suspect, AccusedBy: v.self.Name})
	}
}

// requestIndirectProbes asks other members to probe one that has not answered.
func (v *View) requestIndirectProbes(p *probe) {
	p.indirect = true
	v.counts.Indirect++
	var asked []*member
	unsuited := func(m *member) bool { return m == p.target || m.State != Alive || slices.Contains(asked, m) }
	for range indirectProbers {
		m := v.randomMember(unsuited)
		if m == nil {
			continue
		}
		asked = append(asked, m)
		v.send(m, &message{kind: kindPingRequest, sequence: p.sequence, target: p.target.Address, incarnation: p.target.Incarnation}, p.target)
	}
}

// randomMember draws a live member that is not Suspect and not excluded, or returns nil.
func (v *View) randomMember(excluded func(*member) bool) *member {
	const scanLimit = 64 // members in a row that don't fit, after which another place of the ring is drawn
	if v.live == 0 {
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

// handlePingRequest probes a member on behalf of another.
func (v *View) handlePingRequest(from string, msg *message) {
	if len(v.indirectProbes) >= maxIndirectProbes {
		return
	}
	sequence := v.nextSequence()
	left := v.scaleByHealth(v.settings.ProbeMS - v.settings.AnswerMS)
	v.indirectProbes[sequence] = indirectProbe{requester: from, sequence: msg.sequence, expiresAt: v.now + 2*left,
		nackAt: v.now + nackShare*left/2}
	v.sendTo(msg.target, &message{kind: kindPing, sequence: sequence, incarnation: msg.incarnation}, nil)
}

// expireIndirectProbes ends probes on behalf of others and sends the negative answers that are due.
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
	slices.Sort(due) // effects do not depend on the order of a map
	for _, sequence := range due {
		p := v.indirectProbes[sequence]
		p.nackAt = 0
		v.indirectProbes[sequence] = p
		v.sendTo(p.requester, &message{kind: kindNack, sequence: p.sequence}, nil)
	}
}

func (v *View) findProbe(sequence uint64) *probe {
	for k := range v.probes {
		if v.probes[k].sequence == sequence {
			return &v.probes[k]
		}
	}
	return nil
}

// handleAck takes the answer to a probe of this controller, or to one on behalf of another member.
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
		v.sendTo(p.requester, &message{kind: kindAck, sequence: p.sequence, members: []Member{from.Member}}, nil)
		return
	}
	if from != nil && v.self.State == Joining {
		v.startExchange(from.Address)
	}
	v.counts.Stale++
}
