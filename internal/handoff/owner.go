package handoff

import (
	"math"
	"slices"

	"liftshift/scheduler"
)

// phase is where a search stands with the one that has it.
type phase uint8

const (
	asking    phase = iota // the others are asked whether anybody has it
	taking                 // it is being adopted
	having                 // the module has it
	finishing              // it has ended, and the others are told
	finished
)

// mine is a search that this controller has in hand, or wants to.
type mine struct {
	Copy
	key     Key
	phase   phase
	from    Member // whose it was, if it is adopted
	adopted bool
	began   float64
	saidAt  float64
	tries   int
	acks    []Member // that keep the last word
	nays    []Member
	known   *Copy // what those said who did not
	prior   Item  // the strongest of what was before
	unsure  int   // shots that may have run, or are out
	out     uint8
	holds   []hold
	alone   bool // nobody else knows of it
	back    *ending
	light   bool
	listed  bool // among those whose words have not been answered by all
}

// hold is a shot that waits for the others.
type hold struct {
	shot   int
	number uint64
	since  float64
}

// ending is an answer that waits until the others know of it.
type ending struct {
	outcome Outcome
	answer  []byte
	since   float64
	late    bool
}

// young is a redoable search that is copied if it takes long.
type young struct {
	at   float64
	copy Copy
}

func (e *Manager) drawSpread() float64 { return spreadMS * e.chance() }

// arrives says what becomes of a search that comes in: it goes on as it is, or waits until the others were asked.
func (e *Manager) arrives(ev *Event) {
	c, of := ev.Copy, e.numbered(ev.Copy.Class)
	if of < 0 {
		e.do(Effect{Kind: Admit})
		return
	}
	o := &e.offerings[of]
	e.takes = append(e.takes, e.now)
	e.pace.opens(e.now, c.ID, of, o.recorded())
	if !o.recorded() {
		if e.lag > 0 && e.chaired() && len(e.young) < e.most {
			e.young = append(e.young, young{e.now, *c})
			e.fresh[c.ID] = struct{}{}
		}
		e.do(Effect{Kind: Admit})
		return
	}
	key := KeyOf(c.IdempotencyKey, c.ID)
	e.do(Effect{Kind: Suspend, ID: c.ID})
	w := &caller{Copy: *c, key: key, began: e.now}
	w.Owner, w.Complete = e.self, true
	e.enterWith(w)
}

// enterWith asks the others for a search, or has it wait for the one of its key that is in hand here.
func (e *Manager) enterWith(w *caller) {
	switch {
	case e.mine[w.key] != nil:
		e.wait(w)
	case !e.held, !e.chaired(), !e.reachable(w.key.Partition()), len(e.mine) >= e.most:
		e.noWord(w)
	default:
		m := &mine{Copy: w.Copy, key: w.key, began: w.began}
		m.Sequence = max(1, m.Sequence)
		e.mine[w.key], e.byID[w.ID] = m, m
		e.say(m)
	}
}

// noWord has a search go on alone, or be denied: the others can't be asked.
func (e *Manager) noWord(w *caller) {
	if e.alone && e.held {
		m := &mine{Copy: w.Copy, key: w.key, began: e.now, phase: having, alone: true}
		e.mine[w.key], e.byID[w.ID] = m, m
		e.do(Effect{Kind: Resume, ID: w.ID})
		return
	}
	e.counts.Refused++
	e.do(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: Rejected, AfterMS: min(registerMS, e.away)})
}

// item is the last word of a search, as it stands.
func (e *Manager) item(m *mine) Item {
	it := Item{Key: m.key, Sequence: m.Sequence, RunState: m.RunState, FirstAttemptAt: m.FirstAttemptAt, Zone: m.Zone, Cell: m.Cell, From: m.Owner}
	as := func() *Copy { c := m.Copy; return &c } // as it is now: a word must not bear the number of a later one in the same step
	switch m.phase {
	case asking:
		it.Op, it.Copy = OpRegister, as()
	case taking:
		it.Op, it.Copy, it.From = OpAdopt, as(), m.from
	case having:
		it.Op = OpAttempt
		if m.light && m.tries == 0 {
			it.Op, it.Copy = OpRegister, as()
		}
	default:
		it.Op, it.Outcome, it.Answer = OpClose, m.Outcome, m.Answer
		if m.Owner != e.self {
			it.Copy = as() // another may have ended it meanwhile as what it had to hold it for
		}
	}
	return it
}

// say tells the others where a search stands now.
func (e *Manager) say(m *mine) {
	m.acks, m.nays, m.known, m.saidAt = m.acks[:0], m.nays[:0], nil, e.now
	m.tries++
	if !m.listed {
		m.listed = true
		e.pending = append(e.pending, m)
	}
	e.sayTo(m, e.item(m))
}

func (e *Manager) sayTo(m *mine, it Item) {
	names := e.sitting(m.key.Partition())
	if m.light { // so many others are enough: nothing rests on it
		names = slices.DeleteFunc(names, func(n string) bool { return n == e.self.Name })
		names = names[:min(len(names), max(1, e.table.Copies))]
	}
	for _, name := range names {
		e.tell(name, it)
	}
}

// answers takes what came back of what was said to another member.
func (e *Manager) answers(ev *Event) {
	if ev.Batch == nil || !e.chaired() {
		e.counts.MessagesLost++
		return
	}
	if b := ev.Batch; b.StalePlacement || b.Version != e.table.Version {
		if b.Version > e.table.Version || b.PlacementStep > e.table.Step {
			e.do(Effect{Kind: RefreshPlacement})
		}
		return
	}
	if len(ev.Batch.Items) != len(ev.Sent.Items) {
		return
	}
	for k := range ev.Sent.Items {
		e.answered(ev.Batch.From, &ev.Sent.Items[k], &ev.Batch.Items[k])
	}
}

// answered takes what a chair said to one word.
func (e *Manager) answered(by Member, word, back *Item) {
	switch word.Op {
	case OpQuery:
		e.heard(by, word, back)
		return
	case OpFetch:
		e.paged(by, word, back)
		return
	case OpWithdraw:
		e.tookBack(by, word, back)
		return
	case OpMapID:
		return
	}
	m := e.mine[word.Key]
	if m == nil || word.Sequence != m.Sequence || m.phase == finished {
		return
	}
	switch back.Op {
	case OpStored:
		if back.Reason == newHere {
			return
		}
		if back.RunState > m.prior.RunState || back.RunState == m.prior.RunState && back.RunState != NotRun && back.FirstAttemptAt < m.prior.FirstAttemptAt {
			m.prior = *back
		}
		if !slices.Contains(m.acks, by) {
			m.acks = append(m.acks, by)
		}
	case OpNeedCopy:
		whole := Item{Op: OpRegister, Key: m.key, Sequence: m.Sequence, Copy: &m.Copy, From: m.Owner}
		if m.Complete && m.phase == having {
			e.tell(by.Name, whole)
		} else if m.phase == finishing {
			last := e.item(m)
			last.Copy = &m.Copy
			e.tell(by.Name, last)
		}
		return
	case OpNeedHigher:
		if m.phase == asking {
			m.Sequence = max(m.Sequence, back.Sequence) + 1
			e.say(m)
		}
		return
	case OpKnown:
		if c := back.Copy; c != nil && (m.known == nil || better(c, m.known)) {
			m.known = c
		}
		if c := back.Copy; c != nil && c.Outcome == Open && m.adopted && c.Owner == m.from && m.phase != taking { // it missed who has taken it
			over := m.Copy
			over.Sequence, over.Outcome, over.Complete = m.Sequence-1, Open, m.phase == having
			e.tell(by.Name, Item{Op: OpAdopt, Key: m.key, Sequence: over.Sequence, Copy: &over, From: m.from, More: true})
			return // the last word is said again after it
		}
		if c := back.Copy; c != nil && c.Outcome == Open && m.phase == finishing && word.Copy == nil && e.lost(c.Owner) && c.Sequence < m.Sequence {
			last := e.item(m) // it missed that this one came after
			last.Copy = &m.Copy
			e.tell(by.Name, last)
			return
		}
		if c := back.Copy; c != nil && c.Outcome == Failed && c.ID == m.ID && m.phase == finishing && m.Outcome == Succeeded && word.Copy == nil {
			last := e.item(m) // its heir could not know that it was handled under the lease that it had then
			last.Copy = &m.Copy
			e.tell(by.Name, last)
			return
		}
		m.nays = append(m.nays, by)
	default:
		if back.Reason != noLease { // it may have one in a moment
			m.nays = append(m.nays, by)
		}
	}
	e.weigh(m)
}

// weigh does what follows from who has answered so far.
func (e *Manager) weigh(m *mine) {
	part := m.key.Partition()
	switch {
	case m.phase == asking && e.quorum(part, m.acks):
		e.registered(m)
	case m.phase == asking && e.barredBy(part, m.nays):
		e.conflict(m)
	case m.phase == taking && e.quorum(part, m.acks):
		e.adoptedIs(m)
	case m.phase == taking && e.barredBy(part, m.nays):
		e.yield(m)
	case m.phase == having && e.quorum(part, m.acks):
		e.letGo(m)
	case m.phase == finishing:
		e.settling(m)
	}
}

// inside tells whether the group of a mark surely drops repeats of it still.
func (e *Manager) inside(c *Copy) bool {
	o := e.offering(c.Class)
	return o != nil && e.now+leavesMS <= c.FirstAttemptAt+o.window
}

// prior is what the module is told of what may have run.
func priorOf(c *Copy) scheduler.PriorAttempt {
	p := scheduler.PriorAttempt{At: c.FirstAttemptAt, Zone: c.Zone, Cell: c.Cell}
	if p.At == 0 || math.IsInf(p.At, 0) {
		p.At = -math.MaxFloat64
	}
	return p
}

// registered has it that the others keep a search: it goes to the module, with what was before, or is told what became of that.
func (e *Manager) registered(m *mine) {
	if p := &m.prior; p.RunState != NotRun {
		m.RunState, m.FirstAttemptAt, m.Zone, m.Cell = p.RunState, p.FirstAttemptAt, p.Zone, p.Cell
		m.unsure = 1
		if !e.inside(&m.Copy) {
			out := Failed
			if p.RunState == Ran {
				out = Succeeded // its answer is gone
			}
			m.Outcome = out
			e.counts.AnsweredFromCopy++
			e.do(Effect{Kind: AnswerSuspended, ID: m.ID, Outcome: out})
			e.finishAs(m, out, nil)
			return
		}
	}
	e.counts.Registered++
	m.phase = having
	if m.IdempotencyKey != "" { // so that a question by its id finds it
		id := KeyOf("", m.ID)
		it := Item{Op: OpMapID, Key: id, Copy: &Copy{RequestData: RequestData{ID: m.ID, IdempotencyKey: m.IdempotencyKey, Class: m.Class}, Deadline: m.Deadline, Idempotent: true}}
		for n, name := range e.sitting(id.Partition()) {
			if n < 2 {
				e.tell(name, it)
			}
		}
	}
	if o := e.offering(m.Class); o != nil && o.effect != scheduler.Keyed {
		m.Confirmed = true // what was never more than asked for must not be sent by an heir: its client was told that it would not be
		m.Sequence++
		e.say(m)
	}
	f := Effect{Kind: Resume, ID: m.ID}
	if m.RunState != NotRun {
		f.Prior = priorOf(&m.Copy)
	}
	e.do(f)
}

// conflict has it that another has the search: what was asked for is taken back, and it waits, or is told what is known.
func (e *Manager) conflict(m *mine) {
	e.takeBack(m)
	e.forget(m)
	w := &caller{Copy: m.Copy, key: m.key, began: m.began, known: m.known}
	w.Sequence = m.Sequence + 1 // what was said under the one before may still be on its way
	if e.tells(w, m.known) {
		return
	}
	e.wait(w)
}

// takeBack has a search that was never more than asked for known to nobody any more: it is said until all that sit have heard, or those
// that come again with its mark would wait for one that nobody has.
func (e *Manager) takeBack(m *mine) {
	if len(e.back) >= mostBack {
		delete(e.backBy, e.back[0].word())
		e.back = append(e.back[:0], e.back[1:]...)
	}
	t := &taken{key: m.key, number: m.Sequence, from: m.Owner}
	e.back = append(e.back, t)
	e.backBy[t.word()] = t
	e.sayBack(t)
}

// taken is a word that is being taken back.
type taken struct {
	key    Key
	number uint64
	from   Member
	saidAt float64
	tries  int
	acks   []string
}

type takenWord struct {
	key    Key
	number uint64
}

func (t *taken) word() takenWord { return takenWord{t.key, t.number} }

func (e *Manager) sayBack(t *taken) {
	t.saidAt = e.now
	t.tries++
	for _, name := range e.sitting(t.key.Partition()) {
		if !slices.Contains(t.acks, name) {
			e.tell(name, Item{Op: OpWithdraw, Key: t.key, Sequence: t.number, From: t.from})
		}
	}
}

// tookBack books who has heard of one. A chair that may not answer now, or is still learning from those that have not heard, has not.
func (e *Manager) tookBack(by Member, word, back *Item) {
	t := e.backBy[takenWord{word.Key, word.Sequence}]
	if t != nil && back.Reason != newHere && back.Reason != noLease && !slices.Contains(t.acks, by.Name) {
		t.acks = append(t.acks, by.Name)
	}
}

// repeatBack says again what was not heard by all.
func (e *Manager) repeatBack() {
	rest := e.back[:0]
	for _, t := range e.back {
		heard := !slices.ContainsFunc(e.sitting(t.key.Partition()), func(name string) bool { return !slices.Contains(t.acks, name) })
		if heard && e.reachable(t.key.Partition()) || t.tries > closeTries {
			delete(e.backBy, t.word())
			continue
		}
		if e.now >= t.saidAt+againMS*float64(min(t.tries, 10)) {
			e.sayBack(t)
		}
		rest = append(rest, t)
	}
	clear(e.back[len(rest):])
	e.back = rest
}

// forget has a search no longer in hand here.
func (e *Manager) forget(m *mine) {
	m.phase = finished
	if e.mine[m.key] == m {
		delete(e.mine, m.key)
	}
	if e.byID[m.ID] == m {
		delete(e.byID, m.ID)
	}
}

// finish ends what this controller does for a search that is another's, or over.
func (e *Manager) finish(m *mine) {
	if m.phase == taking && e.chaired() {
		e.takeBack(m) // those that let it be taken are not to hold it for this one's
	}
	if m.adopted {
		e.inHand--
		if m.phase == having {
			e.do(Effect{Kind: CancelLocal, ID: m.ID})
		}
	}
	e.forget(m)
}

// gone has it that the client of a search left before that was with the module.
func (e *Manager) gone(id string) {
	delete(e.pace.began, id)
	e.line = slices.DeleteFunc(e.line, func(w *caller) bool { return w.ID == id })
	if m := e.byID[id]; m != nil && m.phase == asking {
		e.takeBack(m)
		e.forget(m)
	}
}

// firing puts a shot on record with the others before it leaves.
func (e *Manager) firing(ev *Event) {
	m := e.byID[ev.ID]
	switch {
	case m == nil || m.light:
		return // it may simply run again
	case !e.held || m.Owner != e.self:
		e.counts.Withheld++
		e.do(Effect{Kind: BlockAttempt, ID: m.ID, Attempt: ev.Attempt})
		return
	case m.alone:
		e.counts.AttemptsUnreplicated++
		return
	case m.RunState != NotRun && !e.inside(&m.Copy):
		e.counts.Withheld++ // nobody would surely drop it any more
		e.do(Effect{Kind: BlockAttempt, ID: m.ID, Attempt: ev.Attempt})
		return
	}
	if m.RunState == NotRun {
		m.FirstAttemptAt, m.Zone, m.Cell, m.RunState = e.now, ev.Zone, ev.Cell, MayHaveRun
	}
	m.unsure++
	m.out |= 1 << ev.Attempt
	m.Sequence++
	m.holds = append(m.holds, hold{ev.Attempt, m.Sequence, e.now})
	e.do(Effect{Kind: HoldAttempt, ID: m.ID, Attempt: ev.Attempt})
	e.say(m)
}

// letGo lets shots leave that the others know of.
func (e *Manager) letGo(m *mine) {
	for _, h := range m.holds {
		if e.held {
			e.do(Effect{Kind: ReleaseAttempt, ID: m.ID, Attempt: h.shot})
		} else {
			e.counts.Withheld++
			e.do(Effect{Kind: FailAttempt, ID: m.ID, Attempt: h.shot})
		}
	}
	m.holds = m.holds[:0]
}

// shotOver books a shot's outcome. One that never ran clears the search of it.
func (e *Manager) shotOver(ev *Event) {
	m := e.byID[ev.ID]
	if m == nil || ev.Attempt >= 8 || m.out&(1<<ev.Attempt) == 0 {
		return
	}
	m.out &^= 1 << ev.Attempt
	m.holds = slices.DeleteFunc(m.holds, func(h hold) bool { return h.shot == ev.Attempt })
	if !ev.NeverRan || m.phase != having {
		return
	}
	if m.unsure--; m.unsure == 0 {
		m.RunState, m.FirstAttemptAt, m.Zone, m.Cell = NotRun, 0, "", 0
		m.Sequence++
		e.say(m)
	}
}

// ending says whether an answer must wait until the others know of it: where this controller's lease is over, or the life under which
// it took the search, another may be going on with it; and a denial of what may not run twice must not be followed by an heir's shot.
func (e *Manager) ending(ev *Event) {
	m := e.byID[ev.ID]
	if m == nil || m.alone || m.light || m.adopted || m.phase != having || ev.Outcome == Abandoned {
		return
	}
	o := e.offering(m.Class)
	mineStill := e.held && m.Owner == e.self
	if mineStill && !(ev.Outcome == Rejected && o != nil && o.effect != scheduler.Keyed) {
		return
	}
	m.back = &ending{outcome: ev.Outcome, answer: ev.Answer, since: e.now, late: !mineStill}
	e.do(Effect{Kind: WithholdAnswer, ID: m.ID})
}

// closed books the final answer of a search, and tells the others.
func (e *Manager) closed(ev *Event) {
	e.pace.ended(e.now, ev.ID, ev.Outcome == Succeeded)
	if m := e.byID[ev.ID]; m != nil && m.phase == having {
		if m.alone {
			e.forget(m)
			return
		}
		out := ev.Outcome
		if e.leaving && out == Failed && m.adopted || e.leaving && out == Failed && m.RunState == MayHaveRun && m.IdempotencyKey != "" {
			e.finish(m) // it stays open with the others: an heir has more time
			return
		}
		e.finishAs(m, out, ev.Answer)
	}
	delete(e.fresh, ev.ID)
}

// finishAs ends a search with an outcome, and has the others know of it.
func (e *Manager) finishAs(m *mine, out Outcome, answer []byte) {
	if m.adopted && m.phase != finishing {
		e.inHand--
		e.counts.AdoptionsDone++
	}
	m.phase, m.Outcome, m.Sequence, m.tries = finishing, out, m.Sequence+1, 0
	if out == Succeeded {
		m.RunState = Ran
		if m.FirstAttemptAt == 0 {
			m.FirstAttemptAt = e.now
		}
		if len(answer) <= e.answer {
			m.Answer = append([]byte{}, answer...)
		}
	}
	if out == Rejected && m.unsure == 0 {
		m.RunState = NotRun
	}
	m.Body = nil
	e.say(m)
}

// settling looks at an end that the others are being told of.
func (e *Manager) settling(m *mine) {
	part := m.key.Partition()
	enough := e.quorum(part, m.acks)
	if k := e.copies[m.key]; enough && k != nil && k.Owner == m.Owner && k.state.open() {
		it := e.item(m) // its own chair did not take the word of a life that is over; the others had
		e.end(k, &it)
	}
	if b := m.back; b != nil {
		switch {
		case enough:
			m.back = nil
			e.do(Effect{Kind: DeliverAnswer, ID: m.ID, Outcome: b.outcome, Answer: b.answer})
		case m.known != nil && m.known.Outcome != Open && m.known.Outcome != Withdrawn:
			m.back = nil // it is said elsewhere what became of it
			e.do(Effect{Kind: DeliverAnswer, ID: m.ID, Outcome: m.known.Outcome, Answer: m.known.Answer})
		case b.late && e.now < m.Deadline-lastMS, !b.late && e.now < b.since+holdMS:
			return
		default:
			m.back = nil
			e.do(Effect{Kind: DeliverAnswer, ID: m.ID, Outcome: Failed})
		}
	}
	stale := m.Owner != e.self && (m.Outcome != Succeeded || m.known != nil && m.known.Outcome == Succeeded || m.tries > 2*closeTries)
	if m.back == nil && e.barredBy(part, m.nays) && (stale || m.known != nil && m.known.Sequence > m.Sequence) {
		e.forget(m) // it is another's by now, or a later search of its mark is known
		return
	}
	if e.heardByAll(m) || m.Owner != e.self && enough || m.light || m.tries >= closeTries && enough || m.tries >= 4*closeTries {
		e.forget(m)
	}
}

// heardByAll tells whether all that sit have the last word of a search. Others may have answered, that sat before.
func (e *Manager) heardByAll(m *mine) bool {
	return !slices.ContainsFunc(e.sitting(m.key.Partition()), func(name string) bool {
		return !slices.Contains(m.acks, Member{name, e.places[name].Incarnation})
	})
}

// repeat says again what was not answered, and gives up shots that have waited for too long.
func (e *Manager) repeat() {
	rest := e.pending[:0]
	for _, m := range e.pending {
		m.listed = false // unless it stays
		if m.phase == finished {
			continue
		}
		if m.phase == finishing {
			if e.settling(m); m.phase == finished {
				continue
			}
		}
		late := m.holds[:0]
		for _, h := range m.holds {
			if e.now > h.since+holdMS {
				e.counts.Withheld++
				e.do(Effect{Kind: FailAttempt, ID: m.ID, Attempt: h.shot})
				continue
			}
			late = append(late, h)
		}
		m.holds = late
		if m.phase == asking && e.now > m.began+registerMS || m.phase == asking && e.now > m.Deadline-lastMS {
			e.giveUp(m)
			continue
		}
		if m.phase == taking && e.inheriting(m.from, m.key.Partition()) == nil {
			e.finish(m) // it is another's by now
			continue
		}
		if m.phase == having && (m.light || m.tries > 3 && e.quorum(m.key.Partition(), m.acks)) {
			continue
		}
		if m.light && m.tries > 2 {
			e.forget(m)
			continue
		}
		wait := againMS * float64(min(m.tries, 10))
		if e.now >= m.saidAt+wait {
			m.saidAt = e.now
			m.tries++
			m.nays = m.nays[:0]
			it := e.item(m)
			for _, name := range e.sitting(m.key.Partition()) {
				if !slices.Contains(m.acks, Member{name, e.places[name].Incarnation}) && !m.light {
					e.tell(name, it)
				}
			}
		}
		m.listed = true
		rest = append(rest, m)
	}
	clear(e.pending[len(rest):])
	e.pending = rest
}

// giveUp has it that nobody could be asked in time.
func (e *Manager) giveUp(m *mine) {
	e.takeBack(m)
	e.forget(m)
	if m.known != nil && m.known.Outcome == Open && e.now < m.Deadline-lastMS {
		w := &caller{Copy: m.Copy, key: m.key, began: e.now, known: m.known}
		w.Sequence = m.Sequence + 1
		e.wait(w)
		return
	}
	e.noWord(&caller{Copy: m.Copy, key: m.key})
}

// age copies redoable searches that take long.
func (e *Manager) age() {
	n := 0
	for ; n < len(e.young) && e.now >= e.young[n].at+e.lag; n++ {
		c := e.young[n].copy
		key := KeyOf("", c.ID)
		if _, open := e.fresh[c.ID]; !open || e.mine[key] != nil || len(e.mine) >= e.most {
			continue
		}
		delete(e.fresh, c.ID)
		m := &mine{Copy: c, key: key, phase: having, light: true, began: e.now}
		m.Owner, m.Sequence, m.Complete, m.Idempotent = e.self, 1, true, true
		e.mine[key], e.byID[c.ID] = m, m
		m.saidAt = e.now
		e.sayTo(m, e.item(m))
		m.tries = 1
	}
	clear(e.young[:n])
	if e.young = e.young[n:]; len(e.young) == 0 {
		e.young = nil
	}
	if e.takes = e.takes[behind(e.takes, e.now-e.spanMS):]; len(e.takes) == 0 {
		e.takes = nil
	}
}

// behind counts the times before one.
func behind(times []float64, at float64) (n int) {
	for n < len(times) && times[n] < at {
		n++
	}
	return n
}
