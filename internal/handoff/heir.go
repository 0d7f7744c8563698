package handoff

import (
	"bytes"
	"cmp"
	"slices"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// learning is a part whose former copies this controller takes over as a chair.
type learning struct {
	pulls []*pulling
}

// pulling is what one chair was asked for.
type pulling struct {
	name string
	life uint64
	next Key
	done bool
	at   float64
}

// inheritance is a lost one's work in a part that this controller has claimed.
type inheritance struct {
	owner Member
	part  int
	pulls []*pulling
	since float64
	whole bool    // all of it is known
	lined float64 // when it was lined up last; 0: not yet
}

// orphan is a search to be adopted.
type orphan struct {
	key  Key
	from Member
	copy Copy
}

// mourn has copies know what became of their owners, and of their owners' heirs.
func (e *Manager) mourn() {
	for owner, set := range e.owners {
		if !e.lost(owner) {
			continue
		}
		if e.noted[owner] == 0 {
			e.noted[owner] = e.now
		}
		for part := range set.parts {
			_, _, claim := e.table.SuccessorOf(owner.Name, owner.Incarnation, part)
			if set.told[part] == told(claim) {
				continue // all that are there have heard it
			}
			set.told[part] = told(claim)
			for _, k := range set.parts[part] {
				e.play(k, loses)
				if claim {
					e.play(k, claims)
				} else {
					e.play(k, lapses)
				}
			}
		}
	}
	for owner := range e.noted {
		if e.owners[owner] == nil {
			delete(e.noted, owner)
		}
	}
	e.inherits = slices.DeleteFunc(e.inherits, func(i *inheritance) bool {
		heir, life, claim := e.table.SuccessorOf(i.owner.Name, i.owner.Incarnation, i.part)
		return !claim || heir != e.self.Name || life != e.self.Incarnation
	})
	for k := range e.table.Claims {
		c := &e.table.Claims[k]
		if c.Successor != e.self.Name || c.SuccessorIncarnation != e.self.Incarnation {
			continue
		}
		owner := Member{c.Name, c.Incarnation}
		for part := range placement.PartitionCount {
			has := func(i *inheritance) bool { return i.owner == owner && i.part == part }
			if c.Partitions&(1<<part) != 0 && !slices.ContainsFunc(e.inherits, has) {
				e.inherits = append(e.inherits, &inheritance{owner: owner, part: part, since: e.now})
				e.counts.AdoptionClaims++
			}
		}
	}
	// Where this controller's own life is over, what it had is another's, or nobody's.
	for _, m := range e.mine {
		if m.phase == asking && m.Owner != e.self {
			m.Owner = e.self // nobody had it under that life yet
		}
	}
}

// ---- as a chair

// learn has a chair that is new to a part take over what those before it know.
func (e *Manager) learn() {
	var mask uint32
	under := 0
	for part := range placement.PartitionCount {
		c := e.chair(part)
		if c == nil || c.Ready || e.table.Partitions[part].Previous == nil {
			delete(e.learns, part)
			continue
		}
		l := e.learns[part]
		if l == nil {
			if under >= mostPulls {
				continue
			}
			l = &learning{}
			e.learns[part] = l
		}
		under++
		l.pulls = e.pull(l.pulls, part, Member{})
		var done []Member
		for _, p := range l.pulls {
			if p.done {
				done = append(done, Member{p.name, p.life})
			}
		}
		if most(e.table.Partitions[part].Previous, done) {
			mask |= 1 << part
			under--
		}
	}
	if mask != 0 {
		e.move("ready", placement.AdoptionClaim{Name: e.self.Name, Incarnation: e.self.Incarnation, Partitions: mask}, e.table.Version)
	}
}

// pull asks all that sit in a part for what they keep, a page at a time.
func (e *Manager) pull(list []*pulling, part int, of Member) []*pulling {
	for _, name := range e.sitting(part) {
		i := slices.IndexFunc(list, func(p *pulling) bool { return p.name == name })
		if i < 0 {
			list = append(list, &pulling{name: name, life: e.places[name].Incarnation, at: -1e9})
			i = len(list) - 1
		}
		if p := list[i]; !p.done && e.now >= p.at+2*againMS {
			p.at = e.now
			e.tell(name, Item{Op: OpFetch, Partition: part, After: p.next, From: of})
		}
	}
	return list
}

// paged takes a page.
func (e *Manager) paged(by Member, word, back *Item) {
	if back.Op != OpPage {
		return
	}
	var list []*pulling
	if word.From.Name == "" {
		if l := e.learns[word.Partition]; l != nil {
			list = l.pulls
		}
	} else if i := e.inheriting(word.From, word.Partition); i != nil {
		list = i.pulls
	}
	i := slices.IndexFunc(list, func(p *pulling) bool { return p.name == by.Name && p.life == by.Incarnation })
	if i < 0 || list[i].next != word.After || list[i].done {
		return // it came twice
	}
	for k := range back.Copies {
		e.absorb(&back.Copies[k])
	}
	p := list[i]
	if back.Reason == newHere {
		return // it is asked again once it knows all
	}
	if p.done, p.at = !back.More, -1e9; back.More {
		p.next = back.After
	}
	if word.From.Name == "" {
		e.learn()
	} else {
		e.inherit()
		e.adopt()
	}
}

// renew has parts begin anew whose chairs were lost beyond a quorum, once no mark of theirs can be asked for any more.
func (e *Manager) renew() {
	var mask uint32
	found := 0
	for part := range placement.PartitionCount {
		if e.reachable(part) || e.chair(part) == nil {
			if _, was := e.bereft[part]; was {
				delete(e.bereft, part)
				e.doubtAll(part)
			}
			continue
		}
		if at, known := e.bereft[part]; !known {
			e.bereft[part] = e.now
			found++
		} else if e.now > at+e.longest {
			mask |= 1 << part
		}
	}
	if found > 0 {
		e.do(Effect{Kind: LogMessage, Text: "parts have lost their chairs beyond a quorum: their searches are denied until their marks are past", Count: found})
	}
	if mask != 0 {
		e.move("anew", placement.AdoptionClaim{Name: e.self.Name, Incarnation: e.self.Incarnation, Partitions: mask}, e.table.Version)
	}
}

// doubtAll holds all that is open in a part that began anew for what may have run: those that knew better are lost.
func (e *Manager) doubtAll(part int) {
	for _, set := range e.owners {
		for _, k := range set.parts[part] {
			if k.RunState == NotRun {
				k.RunState, k.FirstAttemptAt = MayHaveRun, longAgo
				e.save(k)
			}
		}
	}
}

// ---- as an heir

func (e *Manager) inheriting(owner Member, part int) *inheritance {
	for _, i := range e.inherits {
		if i.owner == owner && i.part == part {
			return i
		}
	}
	return nil
}

// orphans gives the parts in which copies of a lost one's open work are kept here, by owner, in order.
func (e *Manager) orphans() (owners []Member, masks map[Member]uint32) {
	masks = map[Member]uint32{}
	for owner, set := range e.owners {
		if !e.lost(owner) {
			continue
		}
		masks[owner] = set.mask()
		owners = append(owners, owner)
	}
	slices.SortFunc(owners, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return owners, masks
}

// claimAll claims what lost ones left in parts in which this controller is the first to know all; the next ones do so later, should
// that one not.
func (e *Manager) claimAll() {
	if !e.held || e.leaving {
		return
	}
	owners, masks := e.orphans()
	for _, owner := range owners {
		var mask uint32
		for part := range placement.PartitionCount {
			if masks[owner]&(1<<part) == 0 {
				continue
			}
			if _, _, claim := e.table.SuccessorOf(owner.Name, owner.Incarnation, part); claim {
				continue
			}
			if n := e.turn(part); n >= 0 && e.now >= e.noted[owner]+float64(n)*claimMS {
				mask |= 1 << part
			}
		}
		if mask != 0 {
			e.move("claim", placement.AdoptionClaim{Name: owner.Name, Incarnation: owner.Incarnation, Successor: e.self.Name, SuccessorIncarnation: e.self.Incarnation, Partitions: mask}, 0)
		}
	}
}

// claim claims all that a lost one left and nobody has claimed, as an operator wants it.
func (e *Manager) claim(name string) {
	owners, masks := e.orphans()
	n := 0
	for _, owner := range owners {
		if owner.Name == name && e.chaired() {
			n++
			e.move("claim", placement.AdoptionClaim{Name: owner.Name, Incarnation: owner.Incarnation, Successor: e.self.Name, SuccessorIncarnation: e.self.Incarnation, Partitions: masks[owner]}, 0)
		}
	}
	e.do(Effect{Kind: LogMessage, Text: "claimed as an operator wants it", ID: name, Count: n})
}

// turn is which of those that sit in a part and know all this controller is; below 0: none.
func (e *Manager) turn(part int) int {
	n := 0
	for _, c := range e.table.Partitions[part].Current {
		if !c.Ready || !e.sits(c) {
			continue
		}
		if c.Name == e.self.Name {
			return n
		}
		n++
	}
	return -1
}

// inherit finds out all that a lost one left in claimed parts: what it sent under may stand with any quorum.
func (e *Manager) inherit() {
	under := 0
	for _, i := range e.inherits {
		if !i.whole {
			if under++; under > mostPulls {
				break
			}
			i.pulls = e.pull(i.pulls, i.part, i.owner)
			var done []Member
			for _, p := range i.pulls {
				if p.done {
					done = append(done, Member{p.name, p.life})
				}
			}
			if i.whole = e.quorum(i.part, done); !i.whole {
				continue
			}
		}
		if i.lined == 0 || e.now > i.lined+adoptAgainMS {
			i.lined = e.now
			e.enqueue(i)
		}
	}
	e.settleClaims()
}

// enqueue lines up all that a lost one left in a part, the nearest hard limit first.
func (e *Manager) enqueue(i *inheritance) {
	before := len(e.queue)
	for key, k := range e.owners[i.owner].of(i.part) {
		_, lined := e.lined[key]
		if m := e.mine[key]; k.state.open() && !lined && (m == nil || m.phase == asking || m.phase == finishing) {
			e.lined[key] = struct{}{}
			e.queue = append(e.queue, &orphan{key, i.owner, k.Copy})
		}
	}
	if n := len(e.queue) - before; n > 0 {
		e.do(Effect{Kind: LogMessage, Text: "taking over", ID: i.owner.Name, Count: n})
	} else {
		return
	}
	slices.SortFunc(e.queue, func(a, b *orphan) int {
		return cmp.Or(cmp.Compare(a.copy.Deadline, b.copy.Deadline), bytes.Compare(a.key[:], b.key[:]))
	})
}

// adopt goes on with what is lined up, as far as there is room.
func (e *Manager) adopt() {
	unknown := func(i *inheritance) bool { return !i.whole && e.now < i.since+gatherMS }
	if !e.held || e.leaving || slices.ContainsFunc(e.inherits, unknown) {
		return // what is most urgent may be among what is not known yet
	}
	for len(e.queue) > 0 && e.inHand < int(e.pace.room) {
		o := e.queue[0]
		e.queue = e.queue[1:]
		delete(e.lined, o.key)
		k := e.copies[o.key]
		if e.inheriting(o.from, o.key.Partition()) == nil || k == nil || k.Owner != o.from || !k.state.open() {
			continue
		}
		switch m := e.mine[o.key]; {
		case m == nil:
		case m.phase == asking:
			e.conflict(m) // a client came again here: it waits for what becomes of this
		case m.phase == finishing && m.back == nil && (m.Owner != e.self || m.Sequence < k.Sequence || e.quorum(o.key.Partition(), m.acks)):
			e.forget(m) // the end of an earlier one
		default:
			continue // it is looked at again
		}
		m := &mine{Copy: k.Copy, key: o.key, phase: taking, from: o.from, adopted: true, began: e.now}
		m.Owner, m.Sequence, m.unsure = e.self, k.Sequence+1+k.tries, 0
		k.tries++ // what is taken back of an earlier try must not be taken for a word on this one
		if m.RunState != NotRun {
			m.unsure = 1
		}
		e.mine[o.key] = m
		e.inHand++
		e.say(m)
	}
}

// yield has it that a search is not to be adopted: it has ended, or another has it.
func (e *Manager) yield(m *mine) {
	e.finish(m)
	k, c := e.copies[m.key], m.known
	if k == nil || c == nil || k.Owner != m.from || !k.state.open() {
		return
	}
	if c.Outcome != Open {
		e.end(k, &Item{Sequence: c.Sequence, Outcome: c.Outcome, Answer: c.Answer, RunState: c.RunState, FirstAttemptAt: c.FirstAttemptAt, Zone: c.Zone, Cell: c.Cell})
	} else if c.Owner != m.from {
		e.play(k, retires) // what is kept here is out of date; its owner tells the whole again
	}
}

// adoptedIs has it that the others know who goes on with a search. What can't be gone on with is ended.
func (e *Manager) adoptedIs(m *mine) {
	e.counts.AdoptionsStarted++
	m.phase = having
	o := e.offering(m.Class)
	out := Open
	switch {
	case o == nil || !m.Complete || !o.adopts || !o.recorded() && !e.mayRunAgain():
		out = Failed
	case e.now >= m.Deadline-lastMS:
		out = Failed
	}
	if out == Open && o.recorded() && o.effect != scheduler.Keyed && !m.Confirmed {
		out = Failed
	}
	if out == Failed && m.RunState == NotRun && o != nil && o.recorded() {
		out = Rejected // no shot of it has left
	}
	if out != Open {
		e.finishAs(m, out, nil)
		return
	}
	e.byID[m.ID] = m
	e.pace.opens(e.now, m.ID, e.numbered(m.Class), true)
	f := Effect{Kind: Adopt, Copy: &m.Copy}
	if m.RunState != NotRun && o.recorded() {
		f.Prior = priorOf(&m.Copy)
	}
	e.do(f)
}

// mayRunAgain tells whether one more redoable search may be run again, and counts it.
func (e *Manager) mayRunAgain() bool {
	e.again = e.again[behind(e.again, e.now-e.spanMS):]
	if float64(len(e.again)+1) > e.floor+e.share*float64(len(e.takes)) {
		return false
	}
	e.again = append(e.again, e.now)
	return true
}

// settleClaims gives claims back of which nothing is left.
func (e *Manager) settleClaims() {
	for _, c := range e.table.Claims {
		if c.Successor != e.self.Name || c.SuccessorIncarnation != e.self.Incarnation {
			continue
		}
		owner := Member{c.Name, c.Incarnation}
		mask := c.Partitions
		for _, i := range e.inherits {
			if i.owner == owner && i.lined == 0 {
				mask &^= 1 << i.part
			}
		}
		mask &^= e.owners[owner].mask()
		for _, m := range e.pending { // all that sit are to know who has taken what, as long as they answer
			if m.adopted && m.from == owner && m.phase != finished && len(m.acks) < len(e.sitting(m.key.Partition())) &&
				(m.phase == taking || e.now < m.began+tellsMS) {
				mask &^= 1 << m.key.Partition()
			}
		}
		if mask != 0 {
			c.Partitions = mask
			e.move("settled", c, 0)
		}
	}
}
