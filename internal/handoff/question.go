package handoff

import (
	"slices"

	"liftshift/internal/placement"
)

const questionMS = 800 // until a question that is not answered by enough is said to be unknown

// question is what somebody wants to know of a search.
type question struct {
	token uint64
	key   Key
	began float64
	best  *Copy
	by    []Member
}

// ask asks those that keep a search what became of it: one hop.
func (e *Manager) ask(ev *Event) {
	q := &question{token: ev.Token, key: KeyOf(ev.IdempotencyKey, ev.ID), began: e.now}
	if !e.chaired() {
		e.do(Effect{Kind: ReplyOutcome, Token: q.token, Outcome: Unknown})
		return
	}
	e.asked = append(e.asked, q)
	e.spread(Item{Op: OpQuery, Key: q.key})
}

// told takes what a chair knows of what was asked for.
func (e *Manager) told(by Member, word, back *Item) {
	rest := e.asked[:0]
	for _, q := range e.asked {
		if q.key != word.Key || slices.Contains(q.by, by) || back.Op != OpKnown && back.Op != OpUnknown || back.Op == OpUnknown && back.Reason == newHere {
			rest = append(rest, q)
			continue
		}
		q.by = append(q.by, by)
		if c := back.Copy; back.Op == OpKnown && c != nil {
			if c.IdempotencyKey != "" && c.Outcome == Unknown { // its id stands for a mark
				q.key, q.by, q.best = KeyOf(c.IdempotencyKey, ""), nil, nil
				e.spread(Item{Op: OpQuery, Key: q.key})
				rest = append(rest, q)
				continue
			}
			if q.best == nil || better(c, q.best) {
				q.best = c
			}
		}
		// An id's mark is known to two of them alone: who says that there is nothing has heard all.
		if !e.quorum(q.key.Partition(), q.by) || q.best == nil && len(q.by) < len(e.sitting(q.key.Partition())) {
			rest = append(rest, q)
			continue
		}
		e.reply(q)
	}
	clear(e.asked[len(rest):])
	e.asked = rest
}

func (e *Manager) reply(q *question) {
	f := Effect{Kind: ReplyOutcome, Token: q.token, Outcome: Unknown}
	if c := q.best; c != nil && c.Outcome != Withdrawn {
		f.Outcome, f.Answer, f.Owner, f.AfterMS = c.Outcome, c.Answer, c.Owner.Name, max(0, e.now-c.FirstAttemptAt)
	}
	e.do(f)
}

// endQuestions says what is known by now to those who have waited.
func (e *Manager) endQuestions() {
	rest := e.asked[:0]
	for _, q := range e.asked {
		if e.now > q.began+questionMS {
			e.reply(q)
			continue
		}
		rest = append(rest, q)
	}
	clear(e.asked[len(rest):])
	e.asked = rest
}

// CopyStatus is how a search that is kept here stands, for the operators.
type CopyStatus struct {
	Copy         Copy
	State        string
	InFlightHere bool
}

// Explain gives what is known here of an id or a mark.
func (e *Manager) Explain(name string) (list []CopyStatus) {
	for _, key := range []Key{KeyOf("", name), KeyOf(name, "")} {
		if k := e.copies[key]; k != nil {
			list = append(list, CopyStatus{k.Copy, stateNames[k.state], e.mine[key] != nil})
		} else if m := e.mine[key]; m != nil {
			list = append(list, CopyStatus{m.Copy, "in hand here", true})
		}
	}
	return list
}

// Table is what is agreed, as far as it is known here; nil: nothing yet.
func (e *Manager) Table() *placement.Table { return e.table }

// OrphanedRequests counts open copies of lost ones, by owner's name.
func (e *Manager) OrphanedRequests() map[string]int {
	by := map[string]int{}
	for owner, set := range e.owners {
		if e.table != nil && e.lost(owner) {
			by[owner.Name] += set.n
		}
	}
	return by
}
