package membership

import (
	"fmt"
	"math"
	"slices"
)

// merge takes what somebody says of a member.
func (v *View) merge(m *Member, by string) (changed bool) {
	if m.Name == v.self.Name {
		v.ofMyself(m, by)
		return false
	}
	h := v.byName[m.Name]
	if h == nil {
		if h = v.enter(m); h == nil {
			return false
		}
	}
	if m.Incarnation < h.Incarnation {
		return false // an old life never comes back
	}
	if m.Incarnation > h.Incarnation {
		if h.State.IsLive() && h.Address != m.Address && m.State.IsLive() && h.State != Suspect {
			v.note(h, "a later life of it, at "+m.Address, by)
		}
		v.reset(h, m)
	} else if m.Refutation < h.Refutation || m.Refutation == h.Refutation && m.Address > h.Address {
		return false
	}
	in := inputs[m.State]
	if own := in <= saysHere; own && m.Refutation == h.Refutation && h.State != Unknown {
		return false // known
	}
	if m.State == Suspect || m.State == Dead {
		who := m.AccusedBy
		if who == "" {
			who = by
		}
		if h.State != m.State {
			v.note(h, "said to be "+m.State.String()+", by way of "+by, who)
		}
	}
	return v.input(h, in, m)
}

// input plays an input on a member, with the news that it comes from.
func (v *View) input(h *member, in input, m *Member) bool {
	r := find(h.State, in)
	if r == nil {
		return false
	}
	was, marks, inc := h.State, h.Flags, h.Refutation
	h.Refutation = max(h.Refutation, m.Refutation)
	if in <= saysLeft || was == Unknown {
		h.Flags, h.Version, h.Address, h.Zone, h.Region = m.Flags, m.Version, m.Address, m.Zone, m.Region
	}
	if h.State = r.next; r.do != nil {
		r.do(v, h, m)
	}
	if h.State != was {
		if h.Since = v.now; h.State == Suspect && !slices.Contains(v.accused, h) {
			v.accused = append(v.accused, h)
		}
		v.living += count(h.State.IsLive()) - count(was.IsLive())
		if h.State.IsLive() && !was.IsLive() {
			v.seat(h)
		}
	}
	if h.State != Suspect {
		h.AccusedBy, h.accusers, h.hurried = "", nil, false
	}
	moved := h.State != was || h.Flags != marks
	if moved || h.Refutation != inc {
		v.rehash(h)
		v.tellAll(h)
	}
	if moved {
		v.effects = append(v.effects, Effect{Kind: MemberChanged, Member: h.Member, From: was, Reason: v.why(h)})
	}
	return moved
}

// why is the newest evidence of a member that is accused or gone.
func (v *View) why(h *member) string {
	if len(h.evidence) == 0 || h.State != Suspect && h.State != Dead {
		return ""
	}
	e := h.evidence[len(h.evidence)-1]
	return e.Observation + " (" + e.Reporter + ")"
}

// note keeps evidence of a member that somebody complains of.
func (v *View) note(h *member, what, who string) {
	if len(h.evidence) >= keptEvidence {
		h.evidence = append(h.evidence[:0], h.evidence[1:]...)
	}
	h.evidence = append(h.evidence, Evidence{At: v.now, Observation: what, Reporter: who})
}

// enter makes room for one that was not known.
func (v *View) enter(m *Member) *member {
	if len(v.byName) >= v.most && !v.makeRoom() {
		v.counts.Crowded++
		return nil
	}
	h := &member{Member: Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address}}
	v.byName[m.Name] = h
	at, _ := slices.BinarySearch(v.names, m.Name)
	v.names = slices.Insert(v.names, at, m.Name)
	return h
}

// makeRoom forgets the one that has been gone for longest.
func (v *View) makeRoom() bool {
	var old *member
	for _, h := range v.byName {
		if !h.State.IsLive() && h != v.self && (old == nil || h.Since < old.Since || h.Since == old.Since && h.Name < old.Name) {
			old = h
		}
	}
	if old != nil {
		v.forget(old)
	}
	return old != nil
}

func (v *View) forget(h *member) {
	delete(v.byName, h.Name)
	if at, in := slices.BinarySearch(v.names, h.Name); in {
		v.names = slices.Delete(v.names, at, at+1)
	}
	v.hash ^= h.hash
	h.tells = 0
	if k := slices.Index(v.ring, h); k >= 0 {
		v.ring = slices.Delete(v.ring, k, k+1)
	}
}

// seat puts a member at a place of the ring that is drawn.
func (v *View) seat(h *member) {
	if !slices.Contains(v.ring, h) {
		v.ring = slices.Insert(v.ring, int(v.chance()*float64(len(v.ring)+1)), h)
	}
}

// reset makes room for a later life of a name.
func (v *View) reset(h *member, m *Member) {
	v.living -= count(h.State.IsLive())
	v.ring = slices.DeleteFunc(v.ring, func(o *member) bool { return o == h })
	v.hash ^= h.hash
	h.hash = 0
	h.Member = Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address}
	h.accusers, h.hurried = nil, false
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool { return p.of == h })
}

// rehash counts a member's new state into the view's hash. What is not living counts by its life alone: it is forgotten at
// different times.
func (v *View) rehash(h *member) {
	v.hash ^= h.hash
	h.hash = 0
	if h.State.IsLive() {
		h.hash = hashOf(&h.Member)
	}
	v.hash ^= h.hash
}

// tellAll lines up news of a member, ahead of older ones.
func (v *View) tellAll(h *member) {
	h.tells = newsLogs * int(math.Ceil(math.Log10(float64(v.living+2))))
	v.calmAt = v.now + calmMS
	if !h.queued {
		h.queued = true
		v.news = append(v.news, nil)
		copy(v.news[1:], v.news)
		v.news[0] = h
	}
}

// pack writes a message with as much news as fits. First is who goes ahead of all, if anybody: the one who is told of itself what
// is held against it.
func (v *View) pack(m *message, first *member) []byte {
	b := v.header(m)
	put := func(n *Member) bool {
		with := appendRecord(b, n)
		if len(with) > mostDatagram {
			return false
		}
		b = with
		return true
	}
	for k := range m.news {
		put(&m.news[k])
	}
	if first != nil && first.State != Alive && first.State != Joining && first.State != Unknown {
		put(&first.Member)
	}
	told := 0
	for ; told < len(v.news); told++ {
		h := v.news[told]
		if h == v.self || h == first {
			h.tells--
			continue // stands in front
		}
		if h.tells <= 0 {
			continue
		}
		if !put(&h.Member) {
			break
		}
		h.tells--
	}
	done := append([]*member(nil), v.news[:told]...)
	v.news = append(v.news[:0], v.news[told:]...)
	for _, h := range done {
		if h.tells > 0 {
			v.news = append(v.news, h)
		} else {
			h.queued = false
		}
	}
	return b
}

func (v *View) send(to *member, m *message, first *member) { v.sendTo(to.Address, m, first) }

func (v *View) sendTo(address string, m *message, first *member) {
	data := v.pack(m, first)
	v.counts.Sent++
	v.counts.SentBytes += uint64(len(data))
	v.effects = append(v.effects, Effect{Kind: Send, To: address, Data: data})
}

// held gives some of those that this view holds for suspect. They go with each probe, so that whoever has heard from them since says
// so: a view that missed the news of it would give them up alone.
func (v *View) held() (list []Member) {
	for _, h := range v.accused {
		if h.State == Suspect && len(list) < mostHeld {
			list = append(list, h.Member)
		}
	}
	return list
}

// inquire asks others after those that are about to be given up: nobody is buried by one who missed that it spoke.
func (v *View) inquire() {
	var near []Member
	for _, h := range v.accused {
		if h.State == Suspect && h.until-v.now < inquireMS && len(near) < mostInquire {
			near = append(near, h.Member)
		}
	}
	for k := 0; k < inquireOf && len(near) > 0; k++ {
		if m := v.anyone(func(m *member) bool { return m.State != Alive }); m != nil {
			v.numbers++
			v.send(m, &message{kind: ping, number: v.numbers, target: m.Name, life: m.Incarnation, news: near}, m)
		}
	}
}

// correct appends what is known here of one that another holds for suspect or gone by an older word of it.
func (v *View) correct(list []Member, m *Member) []Member {
	h := v.byName[m.Name]
	if h == nil || m.State != Suspect && m.State != Dead || len(list) >= mostInquire || !h.State.IsLive() ||
		h.Incarnation < m.Incarnation || h.Incarnation == m.Incarnation && h.Refutation <= m.Refutation {
		return list
	}
	return append(list, h.Member)
}

// spread tells news to some at once, not only with probes.
func (v *View) spread() {
	for k := 0; k < gossipTo && len(v.news) > 0; k++ {
		if m := v.anyone(nil); m != nil {
			v.send(m, &message{kind: gossip}, nil)
		}
	}
}

// ---- what is said of this controller

// ofMyself answers what others say of this controller.
func (v *View) ofMyself(m *Member, by string) {
	if m.Incarnation != v.self.Incarnation || m.Address != v.self.Address {
		v.heardTwin(m, false)
		return
	}
	if m.State != Suspect && m.State != Dead && m.Refutation <= v.self.Refutation || m.Refutation < v.self.Refutation || v.self.State == Left {
		return
	}
	v.counts.Refuted++
	if m.State == Dead {
		v.counts.Condemned++
	}
	v.note(v.self, "said to be "+m.State.String()+", refuted", by)
	v.trust(1)
	v.self.Refutation = m.Refutation + 1
	v.rehash(v.self)
	v.tellAll(v.self)
}

// ---- suspicion

// leastSuspicion is the time in which a suspect may say that it is here.
func (v *View) leastSuspicion() float64 {
	return max(v.suspectMS, suspectLogs*v.probeMS*math.Log10(float64(v.living+1)))
}

// suspects counts who is Suspect.
func (v *View) suspects() (n int) {
	for _, h := range v.accused {
		n += count(h.State == Suspect)
	}
	return n
}

// span is how long a suspicion lasts with so many who accuse.
func (v *View) span(h *member) float64 {
	least := v.leastSuspicion()
	most, need := least*suspectMost, min(accusers, v.living-v.suspects())
	if h.hurried || need <= 1 || len(h.accusers) >= need {
		return least
	}
	return max(least, most-(most-least)*math.Log(float64(len(h.accusers)))/math.Log(float64(need)))
}

func (v *View) accuse(h *member, m *Member) {
	h.accusedAt, h.AccusedBy = v.now, m.AccusedBy
	h.accusers = append(h.accusers[:0], m.AccusedBy)
	h.until = v.now + v.span(h)
	if m.AccusedBy != v.self.Name && v.chance()*float64(v.living) < lookers {
		v.probeOf(h)
	}
}

// confirm adds one more who accuses; news of it is told on, as others wait for it, too.
func (v *View) confirm(h *member, m *Member) {
	if m.AccusedBy == "" || len(h.accusers) >= accusers || slices.Contains(h.accusers, m.AccusedBy) {
		return
	}
	h.accusers = append(h.accusers, m.AccusedBy)
	h.AccusedBy = m.AccusedBy
	h.until = min(h.until, max(v.now, h.accusedAt+v.span(h)))
	v.tellAll(h)
}

// hasten starts a suspicion of the least length: others have waited already.
func (v *View) hasten(h *member, m *Member) {
	v.accuse(h, m)
	h.hurried = true
	h.until = v.now + v.span(h)
}

// acquit ends a suspicion: its subject spoke.
func (v *View) acquit(h *member, _ *Member) { h.accusers = nil }

// welcome takes back one that was given up.
func (v *View) welcome(h *member, m *Member) {
	v.note(h, fmt.Sprintf("says that it is here, incarnation %d", m.Refutation), h.Name)
}

// bury gives a member up. Where many go at once, it may be this controller that is cut off: it raises its incarnation, so that
// what the others say of it meanwhile is refuted before they meet again.
func (v *View) bury(h *member, m *Member) {
	if m.AccusedBy == "" {
		v.note(h, "did not say in time that it is here", v.self.Name)
	}
	if v.now > v.cutAt+cutMS {
		v.cutAt, v.gones = v.now, 0
	}
	v.gones++
	if v.gones == max(cutLeast, int(cutShare*float64(v.living))) {
		v.effects = append(v.effects, Effect{Kind: PartitionSuspected})
		v.self.Refutation++
		v.rehash(v.self)
		v.tellAll(v.self)
	}
}

// endSuspicions gives up who has not spoken in time. One that stood still itself waits until it hears again.
func (v *View) endSuspicions() {
	if v.now < v.trustAt {
		return
	}
	if v.self.Flags&Stalled != 0 {
		v.mark(v.self.Flags &^ Stalled)
	}
	kept := v.accused[:0]
	for _, h := range v.accused {
		h.until = min(h.until, h.accusedAt+v.span(h)) // where hardly anybody is left to accuse, fewer do
		if h.State == Suspect && v.now >= h.until {
			v.input(h, expired, &Member{Name: h.Name, Incarnation: h.Incarnation, Refutation: h.Refutation})
		}
		if h.State == Suspect {
			kept = append(kept, h)
		}
	}
	clear(v.accused[len(kept):])
	v.accused = kept
}

// ---- exchanges

// exchange begins one: the hash first, whole views only where it differs.
func (v *View) exchange(address string) {
	v.counts.Exchanges++
	v.effects = append(v.effects, Effect{Kind: Exchange, To: address, Data: v.header(&message{kind: digest})})
}

// fullState is all that the view holds, as a message.
func (v *View) fullState() []byte {
	b := v.header(&message{kind: full})
	for _, m := range v.Members() {
		if m.Name != v.self.Name && m.State != Unknown {
			b = appendRecord(b, &m)
		}
	}
	return b
}

// exchanged takes a part of an exchange, the asker's or the reply.
func (v *View) exchanged(ev *Event, asked bool) {
	m, ok := v.read(ev.Data)
	if !ok {
		return
	}
	reply := func(data []byte) {
		if asked {
			v.effects = append(v.effects, Effect{Kind: Reply, Data: data})
		}
	}
	if m.own.Name == v.self.Name {
		v.heardTwin(&m.own, m.own.Address != v.self.Address)
		reply(v.header(&message{kind: same}))
		return
	}
	changes := count(v.merge(&m.own, m.own.Name))
	for k := range m.news {
		changes += count(v.merge(&m.news[k], m.own.Name))
	}
	if len(m.news) > 0 {
		v.counts.Merged++
	}
	if v.self.State == Joining && !asked {
		v.say(Alive)
	}
	switch {
	case m.kind == digest && m.hash == v.hash:
		reply(v.header(&message{kind: same}))
	case m.kind == digest:
		reply(v.fullState())
	case m.kind == full && asked:
		reply(v.header(&message{kind: same}))
	case m.kind == full && m.hash != v.hash: // it lacks something that is known here
		v.effects = append(v.effects, Effect{Kind: Exchange, To: ev.From, Data: v.fullState()})
	}
	if changes >= hotChanges {
		v.warm()
	}
}

// warm has exchanges follow one another for a while: two halves meet.
func (v *View) warm() {
	v.hot = hotRounds
	v.exchangeAt = min(v.exchangeAt, v.now+v.probeMS*(0.3+0.7*v.chance()))
}

// quieten ends all news once several in a row hold the same view: there is nothing in it that they do not know. Who accuses a suspect is
// no part of a view, so while there is one it is told on.
func (v *View) quieten(hash uint64) {
	if hash != v.hash {
		v.equal = 0
		return
	}
	if v.equal++; v.equal < equalViews || len(v.news) == 0 || v.suspects() > 0 {
		return
	}
	for _, h := range v.news {
		h.tells, h.queued = 0, false
	}
	clear(v.news)
	v.news = v.news[:0]
}

// compare begins an exchange with one whose view has been another for a while, though there is no news.
func (v *View) compare(hash uint64, with *member) {
	if hash != v.hash && with != nil && with.State.IsLive() && len(v.news) == 0 && v.now >= v.calmAt {
		v.calmAt = v.now + calmMS*(0.5+v.chance())
		v.exchange(with.Address)
	}
}

// seekLost tries a seed that nobody living is at, or one that is gone: halves that were parted meet again by it.
func (v *View) seekLost() {
	v.watchTwin()
	if v.self.State == Leaving {
		return
	}
	var at []string
	for _, s := range v.seeds {
		if !slices.ContainsFunc(v.ring, func(h *member) bool { return h.Address == s && h.State.IsLive() }) {
			at = append(at, s)
		}
	}
	if v.self.State == Joining {
		if m := v.anyone(nil); m != nil { // somebody found this one first: all seeds may be gone
			v.exchange(m.Address)
		} else if len(at) > 0 {
			v.exchange(at[int(v.chance()*float64(len(at)))])
		}
		v.returnAt = v.now + v.probeMS
		return
	}
	var gone []*member
	for _, h := range v.ring {
		if h.State == Dead {
			gone = append(gone, h)
		}
	}
	if v.living < len(v.seeds) { // hardly anybody to do it beside this one
		for _, s := range at {
			v.numbers++
			v.sendTo(s, &message{kind: ping, number: v.numbers}, nil)
		}
		at = nil
	}
	if n := len(at) + len(gone); n > 0 {
		v.numbers++
		if k := int(v.chance() * float64(n)); k < len(at) {
			v.sendTo(at[k], &message{kind: ping, number: v.numbers}, nil)
		} else {
			h := gone[k-len(at)]
			v.send(h, &message{kind: ping, number: v.numbers}, h)
		}
	}
}

// sweep forgets who has been gone for long. Its name is kept that long so that an old life is known when it is heard of again.
func (v *View) sweep() {
	v.sweepAt = v.now + cutMS
	var old []*member
	for _, h := range v.byName {
		if h != v.self && !h.State.IsLive() && v.now-h.Since > forgetMS {
			old = append(old, h)
		}
	}
	for _, h := range old {
		v.forget(h)
	}
	for k := len(v.ring) - 1; k >= 0; k-- {
		if v.ring[k].State == Left {
			v.ring = slices.Delete(v.ring, k, k+1)
		}
	}
}
