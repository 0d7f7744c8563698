package handoff

import "slices"

// caller is a search whose key another has: it waits for what becomes of that.
type caller struct {
	Copy
	key   Key
	began float64
	askAt float64
	asked float64
	nones []Member
	open  bool // by the latest answers
	known *Copy
}

// wait has a search wait for what becomes of the one that another has.
func (e *Manager) wait(w *caller) {
	e.counts.Waited++
	w.askAt = e.now + e.drawSpread()
	w.nones, w.open = nil, true
	e.line = append(e.line, w)
}

// tells answers a search by what is known of its key, if that has its answer.
func (e *Manager) tells(w *caller, c *Copy) bool {
	if c == nil || c.Outcome != Succeeded || c.Answer == nil {
		return false
	}
	e.counts.AnsweredFromCopy++
	e.do(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: Succeeded, Answer: c.Answer})
	return true
}

// poll asks again what becomes of what searches wait for.
func (e *Manager) poll() {
	line := e.line
	e.line = nil
	var rest []*caller
	for _, w := range line {
		switch {
		case e.now >= w.Deadline-lastMS, e.leaving && e.now >= e.leftAt+stopMS:
			out := Rejected
			if w.known != nil && w.known.RunState != NotRun {
				out = Failed // it may have run
			}
			e.do(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: out, AfterMS: min(askMS, e.away)})
			continue
		case e.now >= w.askAt:
			if m := e.mine[w.key]; m == nil || m.phase == finishing {
				w.nones, w.open, w.asked = w.nones[:0], false, e.now
				e.spread(Item{Op: OpQuery, Key: w.key})
			}
			w.askAt = e.now + askMS + e.drawSpread()
		}
		rest = append(rest, w)
	}
	e.line = append(rest, e.line...)
}

// endLine answers what waits where nobody can be asked any more.
func (e *Manager) endLine() {
	for _, w := range e.line {
		e.do(Effect{Kind: AnswerSuspended, ID: w.ID, Outcome: Failed})
	}
	e.line = nil
}

// heard takes what a chair knows of a key that searches wait for, or that was asked for.
func (e *Manager) heard(by Member, word, back *Item) {
	e.told(by, word, back)
	line := e.line
	e.line = nil
	for n, w := range line {
		if w.key != word.Key || w.asked == 0 {
			e.line = append(e.line, w)
			continue
		}
		if back.Op == OpKnown && back.Copy != nil && (w.known == nil || better(back.Copy, w.known)) {
			w.known = back.Copy
		}
		switch {
		case back.Op == OpKnown && e.tells(w, back.Copy):
			continue
		case back.Op == OpKnown && back.Copy != nil && back.Copy.Outcome == Open:
			w.open = true
		case back.Reason == newHere:
		case back.Op == OpKnown || back.Op == OpUnknown:
			if !slices.Contains(w.nones, by) {
				w.nones = append(w.nones, by)
			}
		}
		if e.quorum(word.Key.Partition(), w.nones) && e.mine[w.key] == nil {
			e.line = append(e.line, line[n+1:]...) // it is to be had: the others wait for it, then
			w.asked = 0
			e.enterWith(w)
			return
		}
		e.line = append(e.line, w)
	}
}
