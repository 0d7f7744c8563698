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

func (e *Estate) drawSpread() float64 { return spreadMS * e.chance() }

// arrives says what becomes of a search that comes in: it goes on as it is, or waits until the others were asked.
func (e *Estate) arrives(ev *Event) {
	c, of := ev.Copy, e.numbered(ev.Copy.Offering)
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
	key := KeyOf(c.Mark, c.ID)
	e.do(Effect{Kind: Await, ID: c.ID})
	w := &caller{Copy: *c, key: key, began: e.now}
	w.Owner, w.Whole = e.self, true
	e.enterWith(w)
}

// enterWith asks the others for a search, or has it wait for the one of its key that is in hand here.
func (e *Estate) enterWith(w *caller) {
	switch {
	case e.mine[w.key] != nil:
		e.wait(w)
	case !e.held, !e.chaired(), !e.reachable(w.key.Part()), len(e.mine) >= e.most:
		e.noWord(w)
	default:
		m := &mine{Copy: w.Copy, key: w.key, began: w.began}
		m.Number = max(1, m.Number)
		e.mine[w.key], e.byID[w.ID] = m, m
		e.say(m)
	}
}

// noWord has a search go on alone, or be denied: the others can't be asked.
func (e *Estate) noWord(w *caller) {
	if e.alone && e.held {
		m := &mine{Copy: w.Copy, key: w.key, began: e.now, phase: having, alone: true}
		e.mine[w.key], e.byID[w.ID] = m, m
		e.do(Effect{Kind: Resume, ID: w.ID})
		return
	}
	e.counts.Refused++
	e.do(Effect{Kind: Settle, ID: w.ID, Outcome: Denied, AfterMS: min(registerMS, e.away)})
}

// item is the last word of a search, as it stands.
func (e *Estate) item(m *mine) Item {
	it := Item{Key: m.key, Number: m.Number, Standing: m.Standing, First: m.First, Place: m.Place, Cell: m.Cell, From: m.Owner}
	as := func() *Copy { c := m.Copy; return &c } // as it is now: a word must not bear the number of a later one in the same step
	switch m.phase {
	case asking:
		it.Op, it.Copy = Register, as()
	case taking:
		it.Op, it.Copy, it.From = Take, as(), m.from
	case having:
		it.Op = Shoot
		if m.light && m.tries == 0 {
			it.Op, it.Copy = Register, as()
		}
	default:
		it.Op, it.Outcome, it.Answer = Close, m.Outcome, m.Answer
		if m.Owner != e.self {
			it.Copy = as() // another may have ended it meanwhile as what it had to hold it for
		}
	}
	return it
}

// say tells the others where a search stands now.
func (e *Estate) say(m *mine) {
	m.acks, m.nays, m.known, m.saidAt = m.acks[:0], m.nays[:0], nil, e.now
	m.tries++
	if !m.listed {
		m.listed = true
		e.pending = append(e.pending, m)
	}
	e.sayTo(m, e.item(m))
}

func (e *Estate) sayTo(m *mine, it Item) {
	names := e.sitting(m.key.Part())
	if m.light { // so many others are enough: nothing rests on it
		names = slices.DeleteFunc(names, func(n string) bool { return n == e.self.Name })
		names = names[:min(len(names), max(1, e.table.Copies))]
	}
	for _, name := range names {
		e.tell(name, it)
	}
}

// answers takes what came back of what was said to another member.
func (e *Estate) answers(ev *Event) {
	if ev.Batch == nil || !e.chaired() {
		e.counts.Lost++
		return
	}
	if b := ev.Batch; b.Behind || b.Version != e.table.Version {
		if b.Version > e.table.Version || b.Step > e.table.Step {
			e.do(Effect{Kind: Refresh})
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
func (e *Estate) answered(by Member, word, back *Item) {
	switch word.Op {
	case Ask:
		e.heard(by, word, back)
		return
	case Pull:
		e.paged(by, word, back)
		return
	case Withdraw:
		e.tookBack(by, word, back)
		return
	case Mind:
		return
	}
	m := e.mine[word.Key]
	if m == nil || word.Number != m.Number || m.phase == finished {
		return
	}
	switch back.Op {
	case Kept:
		if back.Why == newHere {
			return
		}
		if back.Standing > m.prior.Standing || back.Standing == m.prior.Standing && back.Standing != Clear && back.First < m.prior.First {
			m.prior = *back
		}
		if !slices.Contains(m.acks, by) {
			m.acks = append(m.acks, by)
		}
	case Lacking:
		whole := Item{Op: Register, Key: m.key, Number: m.Number, Copy: &m.Copy, From: m.Owner}
		if m.Whole && m.phase == having {
			e.tell(by.Name, whole)
		} else if m.phase == finishing {
			last := e.item(m)
			last.Copy = &m.Copy
			e.tell(by.Name, last)
		}
		return
	case Higher:
		if m.phase == asking {
			m.Number = max(m.Number, back.Number) + 1
			e.say(m)
		}
		return
	case Known:
		if c := back.Copy; c != nil && (m.known == nil || better(c, m.known)) {
			m.known = c
		}
		if c := back.Copy; c != nil && c.Outcome == Open && m.adopted && c.Owner == m.from && m.phase != taking { // it missed who has taken it
			over := m.Copy
			over.Number, over.Outcome, over.Whole = m.Number-1, Open, m.phase == having
			e.tell(by.Name, Item{Op: Take, Key: m.key, Number: over.Number, Copy: &over, From: m.from, More: true})
			return // the last word is said again after it
		}
		if c := back.Copy; c != nil && c.Outcome == Open && m.phase == finishing && word.Copy == nil && e.lost(c.Owner) && c.Number < m.Number {
			last := e.item(m) // it missed that this one came after
			last.Copy = &m.Copy
			e.tell(by.Name, last)
			return
		}
		if c := back.Copy; c != nil && c.Outcome == WrittenOff && c.ID == m.ID && m.phase == finishing && m.Outcome == Handled && word.Copy == nil {
			last := e.item(m) // its heir could not know that it was handled under the lease that it had then
			last.Copy = &m.Copy
			e.tell(by.Name, last)
			return
		}
		m.nays = append(m.nays, by)
	default:
		if back.Why != noLease { // it may have one in a moment
			m.nays = append(m.nays, by)
		}
	}
	e.weigh(m)
}

// weigh does what follows from who has answered so far.
func (e *Estate) weigh(m *mine) {
	part := m.key.Part()
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
func (e *Estate) inside(c *Copy) bool {
	o := e.offering(c.Offering)
	return o != nil && e.now+leavesMS <= c.First+o.window
}

// prior is what the module is told of what may have run.
func priorOf(c *Copy) scheduler.Prior {
	p := scheduler.Prior{At: c.First, Place: c.Place, Cell: c.Cell}
	if p.At == 0 || math.IsInf(p.At, 0) {
		p.At = -math.MaxFloat64
	}
	return p
}

// registered has it that the others keep a search: it goes to the module, with what was before, or is told what became of that.
func (e *Estate) registered(m *mine) {
	if p := &m.prior; p.Standing != Clear {
		m.Standing, m.First, m.Place, m.Cell = p.Standing, p.First, p.Place, p.Cell
		m.unsure = 1
		if !e.inside(&m.Copy) {
			out := WrittenOff
			if p.Standing == Ran {
				out = Handled // its answer is gone
			}
			m.Outcome = out
			e.counts.Told++
			e.do(Effect{Kind: Settle, ID: m.ID, Outcome: out})
			e.finishAs(m, out, nil)
			return
		}
	}
	e.counts.Registered++
	m.phase = having
	if m.Mark != "" { // so that a question by its id finds it
		id := KeyOf("", m.ID)
		it := Item{Op: Mind, Key: id, Copy: &Copy{Work: Work{ID: m.ID, Mark: m.Mark, Offering: m.Offering}, Until: m.Until, Light: true}}
		for n, name := range e.sitting(id.Part()) {
			if n < 2 {
				e.tell(name, it)
			}
		}
	}
	if o := e.offering(m.Offering); o != nil && o.effect != "labelled" {
		m.Sure = true // what was never more than asked for must not be sent by an heir: its client was told that it would not be
		m.Number++
		e.say(m)
	}
	f := Effect{Kind: Resume, ID: m.ID}
	if m.Standing != Clear {
		f.Prior = priorOf(&m.Copy)
	}
	e.do(f)
}

// conflict has it that another has the search: what was asked for is taken back, and it waits, or is told what is known.
func (e *Estate) conflict(m *mine) {
	e.takeBack(m)
	e.forget(m)
	w := &caller{Copy: m.Copy, key: m.key, began: m.began, known: m.known}
	w.Number = m.Number + 1 // what was said under the one before may still be on its way
	if e.tells(w, m.known) {
		return
	}
	e.wait(w)
}

// takeBack has a search that was never more than asked for known to nobody any more: it is said until all that sit have heard, or those
// that come again with its mark would wait for one that nobody has.
func (e *Estate) takeBack(m *mine) {
	if len(e.back) >= mostBack {
		delete(e.backBy, e.back[0].word())
		e.back = append(e.back[:0], e.back[1:]...)
	}
	t := &taken{key: m.key, number: m.Number, from: m.Owner}
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

func (e *Estate) sayBack(t *taken) {
	t.saidAt = e.now
	t.tries++
	for _, name := range e.sitting(t.key.Part()) {
		if !slices.Contains(t.acks, name) {
			e.tell(name, Item{Op: Withdraw, Key: t.key, Number: t.number, From: t.from})
		}
	}
}

// tookBack books who has heard of one. A chair that may not answer now, or is still learning from those that have not heard, has not.
func (e *Estate) tookBack(by Member, word, back *Item) {
	t := e.backBy[takenWord{word.Key, word.Number}]
	if t != nil && back.Why != newHere && back.Why != noLease && !slices.Contains(t.acks, by.Name) {
		t.acks = append(t.acks, by.Name)
	}
}

// repeatBack says again what was not heard by all.
func (e *Estate) repeatBack() {
	rest := e.back[:0]
	for _, t := range e.back {
		heard := !slices.ContainsFunc(e.sitting(t.key.Part()), func(name string) bool { return !slices.Contains(t.acks, name) })
		if heard && e.reachable(t.key.Part()) || t.tries > closeTries {
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
func (e *Estate) forget(m *mine) {
	m.phase = finished
	if e.mine[m.key] == m {
		delete(e.mine, m.key)
	}
	if e.byID[m.ID] == m {
		delete(e.byID, m.ID)
	}
}

// finish ends what this controller does for a search that is another's, or over.
func (e *Estate) finish(m *mine) {
	if m.phase == taking && e.chaired() {
		e.takeBack(m) // those that let it be taken are not to hold it for this one's
	}
	if m.adopted {
		e.inHand--
		if m.phase == having {
			e.do(Effect{Kind: Recall, ID: m.ID})
		}
	}
	e.forget(m)
}

// gone has it that the client of a search left before that was with the module.
func (e *Estate) gone(id string) {
	delete(e.pace.began, id)
	e.line = slices.DeleteFunc(e.line, func(w *caller) bool { return w.ID == id })
	if m := e.byID[id]; m != nil && m.phase == asking {
		e.takeBack(m)
		e.forget(m)
	}
}

// firing puts a shot on record with the others before it leaves.
func (e *Estate) firing(ev *Event) {
	m := e.byID[ev.ID]
	switch {
	case m == nil || m.light:
		return // it may simply run again
	case !e.held || m.Owner != e.self:
		e.counts.Withheld++
		e.do(Effect{Kind: Forbid, ID: m.ID, Shot: ev.Shot})
		return
	case m.alone:
		e.counts.Alone++
		return
	case m.Standing != Clear && !e.inside(&m.Copy):
		e.counts.Withheld++ // nobody would surely drop it any more
		e.do(Effect{Kind: Forbid, ID: m.ID, Shot: ev.Shot})
		return
	}
	if m.Standing == Clear {
		m.First, m.Place, m.Cell, m.Standing = e.now, ev.Place, ev.Cell, Doubt
	}
	m.unsure++
	m.out |= 1 << ev.Shot
	m.Number++
	m.holds = append(m.holds, hold{ev.Shot, m.Number, e.now})
	e.do(Effect{Kind: Hold, ID: m.ID, Shot: ev.Shot})
	e.say(m)
}

// letGo lets shots leave that the others know of.
func (e *Estate) letGo(m *mine) {
	for _, h := range m.holds {
		if e.held {
			e.do(Effect{Kind: Release, ID: m.ID, Shot: h.shot})
		} else {
			e.counts.Withheld++
			e.do(Effect{Kind: Withhold, ID: m.ID, Shot: h.shot})
		}
	}
	m.holds = m.holds[:0]
}

// shotOver books a shot's outcome. One that never ran clears the search of it.
func (e *Estate) shotOver(ev *Event) {
	m := e.byID[ev.ID]
	if m == nil || ev.Shot >= 8 || m.out&(1<<ev.Shot) == 0 {
		return
	}
	m.out &^= 1 << ev.Shot
	m.holds = slices.DeleteFunc(m.holds, func(h hold) bool { return h.shot == ev.Shot })
	if !ev.Unrun || m.phase != having {
		return
	}
	if m.unsure--; m.unsure == 0 {
		m.Standing, m.First, m.Place, m.Cell = Clear, 0, "", 0
		m.Number++
		e.say(m)
	}
}

// ending says whether an answer must wait until the others know of it: where this controller's lease is over, or the life under which
// it took the search, another may be going on with it; and a denial of what may not run twice must not be followed by an heir's shot.
func (e *Estate) ending(ev *Event) {
	m := e.byID[ev.ID]
	if m == nil || m.alone || m.light || m.adopted || m.phase != having || ev.Outcome == Left {
		return
	}
	o := e.offering(m.Offering)
	mineStill := e.held && m.Owner == e.self
	if mineStill && !(ev.Outcome == Denied && o != nil && o.effect != "labelled") {
		return
	}
	m.back = &ending{outcome: ev.Outcome, answer: ev.Answer, since: e.now, late: !mineStill}
	e.do(Effect{Kind: KeepBack, ID: m.ID})
}

// closed books the final answer of a search, and tells the others.
func (e *Estate) closed(ev *Event) {
	e.pace.ended(e.now, ev.ID, ev.Outcome == Handled)
	if m := e.byID[ev.ID]; m != nil && m.phase == having {
		if m.alone {
			e.forget(m)
			return
		}
		out := ev.Outcome
		if e.leaving && out == WrittenOff && m.adopted || e.leaving && out == WrittenOff && m.Standing == Doubt && m.Mark != "" {
			e.finish(m) // it stays open with the others: an heir has more time
			return
		}
		e.finishAs(m, out, ev.Answer)
	}
	delete(e.fresh, ev.ID)
}

// finishAs ends a search with an outcome, and has the others know of it.
func (e *Estate) finishAs(m *mine, out Outcome, answer []byte) {
	if m.adopted && m.phase != finishing {
		e.inHand--
		e.counts.TakenDone++
	}
	m.phase, m.Outcome, m.Number, m.tries = finishing, out, m.Number+1, 0
	if out == Handled {
		m.Standing = Ran
		if m.First == 0 {
			m.First = e.now
		}
		if len(answer) <= e.answer {
			m.Answer = append([]byte{}, answer...)
		}
	}
	if out == Denied && m.unsure == 0 {
		m.Standing = Clear
	}
	m.Body = nil
	e.say(m)
}

// settling looks at an end that the others are being told of.
func (e *Estate) settling(m *mine) {
	part := m.key.Part()
	enough := e.quorum(part, m.acks)
	if k := e.copies[m.key]; enough && k != nil && k.Owner == m.Owner && k.state.open() {
		it := e.item(m) // its own chair did not take the word of a life that is over; the others had
		e.end(k, &it)
	}
	if b := m.back; b != nil {
		switch {
		case enough:
			m.back = nil
			e.do(Effect{Kind: LetGo, ID: m.ID, Outcome: b.outcome, Answer: b.answer})
		case m.known != nil && m.known.Outcome != Open && m.known.Outcome != Withdrawn:
			m.back = nil // it is said elsewhere what became of it
			e.do(Effect{Kind: LetGo, ID: m.ID, Outcome: m.known.Outcome, Answer: m.known.Answer})
		case b.late && e.now < m.Until-lastMS, !b.late && e.now < b.since+holdMS:
			return
		default:
			m.back = nil
			e.do(Effect{Kind: LetGo, ID: m.ID, Outcome: WrittenOff})
		}
	}
	stale := m.Owner != e.self && (m.Outcome != Handled || m.known != nil && m.known.Outcome == Handled || m.tries > 2*closeTries)
	if m.back == nil && e.barredBy(part, m.nays) && (stale || m.known != nil && m.known.Number > m.Number) {
		e.forget(m) // it is another's by now, or a later search of its mark is known
		return
	}
	if e.heardByAll(m) || m.Owner != e.self && enough || m.light || m.tries >= closeTries && enough || m.tries >= 4*closeTries {
		e.forget(m)
	}
}

// heardByAll tells whether all that sit have the last word of a search. Others may have answered, that sat before.
func (e *Estate) heardByAll(m *mine) bool {
	return !slices.ContainsFunc(e.sitting(m.key.Part()), func(name string) bool {
		return !slices.Contains(m.acks, Member{name, e.places[name].Life})
	})
}

// repeat says again what was not answered, and gives up shots that have waited for too long.
func (e *Estate) repeat() {
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
				e.do(Effect{Kind: Withhold, ID: m.ID, Shot: h.shot})
				continue
			}
			late = append(late, h)
		}
		m.holds = late
		if m.phase == asking && e.now > m.began+registerMS || m.phase == asking && e.now > m.Until-lastMS {
			e.giveUp(m)
			continue
		}
		if m.phase == taking && e.inheriting(m.from, m.key.Part()) == nil {
			e.finish(m) // it is another's by now
			continue
		}
		if m.phase == having && (m.light || m.tries > 3 && e.quorum(m.key.Part(), m.acks)) {
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
			for _, name := range e.sitting(m.key.Part()) {
				if !slices.Contains(m.acks, Member{name, e.places[name].Life}) && !m.light {
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
func (e *Estate) giveUp(m *mine) {
	e.takeBack(m)
	e.forget(m)
	if m.known != nil && m.known.Outcome == Open && e.now < m.Until-lastMS {
		w := &caller{Copy: m.Copy, key: m.key, began: e.now, known: m.known}
		w.Number = m.Number + 1
		e.wait(w)
		return
	}
	e.noWord(&caller{Copy: m.Copy, key: m.key})
}

// age copies redoable searches that take long.
func (e *Estate) age() {
	n := 0
	for ; n < len(e.young) && e.now >= e.young[n].at+e.lag; n++ {
		c := e.young[n].copy
		key := KeyOf("", c.ID)
		if _, open := e.fresh[c.ID]; !open || e.mine[key] != nil || len(e.mine) >= e.most {
			continue
		}
		delete(e.fresh, c.ID)
		m := &mine{Copy: c, key: key, phase: having, light: true, began: e.now}
		m.Owner, m.Number, m.Whole, m.Light = e.self, 1, true, true
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
