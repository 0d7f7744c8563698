package ledger

import (
	"crypto/sha256"
	"math"

	"liftshift/scheduler"
)

// search is what is remembered of a search.
type search struct {
	id, label string // the id and the mark
	mark      Key    // zero: it has none
	offering  int
	state     state
	at        float64 // log time of its taking, then of its end
	until     float64
	out       uint8 // shots that are out, a bit each
	ran       bool  // a shot that has ended may have run
}

// mark is what is remembered of a mark.
type mark struct {
	label    string
	first    float64 // log time of the first shot that may have run; far in the past where its age is not known
	last     float64
	executor uint32
	place    string
	cell     int64
	offering int
	unsure   int // shots that may have run, or are out
	ran      bool
	body     []byte // the answer, where it is short; nil: it was not kept
}

// keyOf makes keys that nobody can make two texts collide on. What a key is of stands in front of it.
func keyOf(of byte, text string) (k Key) {
	var room [96]byte
	sum := sha256.Sum256(append(append(room[:0], of), text...))
	copy(k[:], sum[:])
	return k
}

func searchKey(id string) Key { return keyOf('s', id) }
func markKey(label string) Key {
	if label == "" {
		return Key{}
	}
	return keyOf('m', label)
}

// take says what becomes of a search that comes in: it goes on, with what may have run under its mark, or it is
// answered by what is on record, or nothing may be sent for it now.
func (l *Ledger) take(ev *Event) {
	n, o := l.offering(ev.Class)
	k := searchKey(ev.ID)
	if s := l.searches.Get(k); s != nil {
		l.tell(s)
		return
	}
	if o == nil {
		l.do(Effect{Kind: Admit})
		return
	}
	verdict, m := fresh, (*mark)(nil)
	if ev.IdempotencyKey != "" && o.recorded() {
		l.inherit(ev, n, o)
		if m = l.marks.Get(markKey(ev.IdempotencyKey)); m != nil {
			verdict = judge(m.standing(), l.inside(m))
		}
	}
	switch verdict {
	case tellBody:
		l.counts.AnsweredFromRecord++
		l.do(Effect{Kind: AnswerFromRecord, Outcome: Succeeded, Body: m.body, AgeMS: l.now - m.last})
		return
	case tellRan:
		l.counts.AnsweredFromRecord++
		l.do(Effect{Kind: AnswerFromRecord, Outcome: Succeeded, AgeMS: l.now - m.last})
		return
	case tellOff:
		l.counts.AnsweredFromRecord++
		l.do(Effect{Kind: AnswerFromRecord, Outcome: Failed, AgeMS: l.now - m.last})
		return
	}
	e := Effect{Kind: Admit}
	if verdict == again {
		l.counts.Again++
		e.Prior = scheduler.PriorAttempt{At: m.first - l.offset, Zone: m.place, Cell: m.cell}
		if math.IsInf(m.first, 0) || e.Prior.At == 0 {
			e.Prior.At = -math.MaxFloat64
		}
	}
	if l.barred(o, ev.IdempotencyKey, verdict) {
		l.counts.Blocked++
		e.Kind = AdmitBlocked
	}
	l.do(e)
	l.ration.take(l.now)
	if e.Kind == AdmitBlocked || l.searches.Len() >= l.mostKept {
		return // what is not remembered is told as unknown; nothing of it can be lost
	}
	s, _ := l.searches.Put(k, l.searchExpires(o, ev.Deadline+l.offset))
	*s = search{id: ev.ID, label: ev.IdempotencyKey, offering: n, at: l.now, until: ev.Deadline + l.offset}
	if o.recorded() {
		s.mark = markKey(ev.IdempotencyKey)
	}
	l.keepSearch(k, s) // nobody waits for it: until a shot leaves, nothing of it can be lost
}

// inherit books what may have run elsewhere under a mark: it is as old here as there.
func (l *Ledger) inherit(ev *Event, n int, o *offering) {
	p := &ev.Prior
	if p.At == 0 {
		return
	}
	k := markKey(ev.IdempotencyKey)
	if old := l.marks.Get(k); old != nil && old.standing() != clear && old.first <= p.At+l.offset {
		return
	}
	m, _ := l.marks.Put(k, clampMS(l.now+o.window+l.remember))
	l.bodies -= len(m.body)
	*m = mark{label: ev.IdempotencyKey, offering: n, first: p.At + l.offset, last: l.now, place: p.Zone, cell: p.Cell, unsure: 1}
	l.keepMark(k, m)
}

// barred tells whether nothing may be sent for a search now: its record would not last or has no room, or records are
// missing that may have told of its mark. A mark known to be in doubt is told to its group as a repeat in any case.
func (l *Ledger) barred(o *offering, label string, v verdict) bool {
	full := max(l.searches.Len(), l.marks.Len()) >= l.mostKept
	return o.recorded() && (l.health == sick && !l.atOnce || full || label != "" && v == fresh && l.now < l.doubtUntil)
}

// tell answers a search whose id is on record.
func (l *Ledger) tell(s *search) {
	l.counts.AnsweredFromRecord++
	e := l.do(Effect{Kind: AnswerFromRecord, Outcome: s.state.outcome(), AgeMS: l.now - s.at})
	switch m := l.marks.Get(s.mark); {
	case e.Outcome == Succeeded && m != nil:
		e.Body = m.body
	case e.Outcome == Rejected:
		e.AfterMS = l.settings.RetryAfterMS
	}
}

// searchExpires is when a search is forgotten: one that may run again once nobody can ask under its id any more.
func (l *Ledger) searchExpires(o *offering, until float64) int64 {
	if o.recorded() {
		until += l.remember
	}
	return clampMS(max(until, l.now+1))
}

// fire puts a shot on record. One whose effect must not come twice is held until that lasts.
func (l *Ledger) fire(ev *Event) {
	k := searchKey(ev.ID)
	s := l.searches.Get(k)
	if s == nil || ev.Attempt >= 8 {
		return
	}
	o := &l.offerings[s.offering]
	if ev.Attempt > 0 {
		l.ration.extra(l.now)
	}
	l.play(k, s, fires)
	s.out |= 1 << ev.Attempt
	if !o.recorded() {
		return
	}
	if s.mark != (Key{}) {
		if m := l.marks.Get(s.mark); m != nil && !l.mayGo(o, m, ev.Executor) {
			s.out &^= 1 << ev.Attempt // another search of the mark went first, elsewhere or too long ago
			l.play(k, s, clears)
			l.counts.Refused++
			l.do(Effect{Kind: HoldAttempt, ID: s.id, Attempt: ev.Attempt})
			l.do(Effect{Kind: FailAttempt, ID: s.id, Attempt: ev.Attempt})
			return
		}
		m, _ := l.marks.Put(s.mark, clampMS(l.now+o.window+l.remember))
		if m.unsure == 0 && !m.ran {
			m.first = l.now
		}
		t := l.trusts[ev.Executor]
		m.label, m.offering, m.last, m.executor, m.unsure = s.label, s.offering, l.now, ev.Executor, m.unsure+1
		if t != nil {
			m.place, m.cell = t.place, t.cell
		}
		l.keepMark(s.mark, m)
	}
	l.keepSearch(k, s)
	if l.atOnce {
		return
	}
	h := held{token: l.sync(), id: s.id, shot: ev.Attempt, since: l.now}
	l.do(Effect{Kind: HoldAttempt, ID: s.id, Attempt: ev.Attempt, Token: h.token})
	l.held = append(l.held, h)
}

// mayGo tells whether a shot of a mark may go to an executor: where it may have run, only to the group that drops its repeats,
// for as long as that does. The module keeps to this for what it was told of; two searches of one mark may have come in before
// either was sent.
func (l *Ledger) mayGo(o *offering, m *mark, executor uint32) bool {
	if m.standing() == clear {
		return true
	}
	t := l.trusts[executor]
	return l.inside(m) && (t == nil || (o.scope != scheduler.DedupZone || t.place == m.place) && (o.scope != scheduler.DedupCell || t.cell == m.cell))
}

// shotEnded books the end of a shot. What is known not to have run clears its mark.
func (l *Ledger) shotEnded(ev *Event) {
	k := searchKey(ev.ID)
	s := l.searches.Get(k)
	if s == nil || ev.Attempt >= 8 || s.out&(1<<ev.Attempt) == 0 {
		return
	}
	s.out &^= 1 << ev.Attempt
	s.ran = s.ran || !ev.NeverRan
	if s.out == 0 {
		in := clears
		if s.ran {
			in = spoils
		}
		l.play(k, s, in)
	}
	if !l.offerings[s.offering].recorded() {
		return
	}
	if m := l.marks.Get(s.mark); m != nil && ev.NeverRan && m.unsure > 0 {
		m.unsure--
		l.keepMark(s.mark, m)
	}
	if s.state.open() {
		l.keepSearch(k, s)
	}
}

var closings = map[Outcome]input{Succeeded: answers, Rejected: denies, Failed: writesOff, Abandoned: leaves}

// close books the final answer of a search. It has gone out: nobody waits for the record.
func (l *Ledger) close(ev *Event) {
	k := searchKey(ev.ID)
	s := l.searches.Get(k)
	in, ok := closings[ev.Outcome]
	if s == nil || !ok || !l.play(k, s, in) || ev.Outcome != Succeeded {
		return
	}
	m := l.marks.Get(s.mark)
	if m == nil {
		return
	}
	l.bodies -= len(m.body)
	m.ran, m.body, m.last = true, nil, l.now
	if len(ev.Body) <= l.keepAnswer && l.bodies+len(ev.Body) <= mostAnswers {
		m.body = append([]byte{}, ev.Body...)
		l.bodies += len(m.body)
	}
	l.keepMark(s.mark, m)
}

// closes is the effect of an end.
func (l *Ledger) closes(k Key, s *search) {
	s.at = l.now
	l.keepSearch(k, s)
}

// crashed closes all that was open, and tells how many there were. Where the last records may be missing, one may be that
// of a shot that left: then nothing proves that none did.
func (l *Ledger) crashed(doubt bool) (n int) {
	for p := range l.searches.Places() {
		k, _, s := l.searches.Next(p)
		if s == nil || !s.state.open() {
			continue
		}
		in := blanks
		if l.offerings[s.offering].recorded() && !doubt {
			in = crashes
		}
		n++
		if s.out = 0; l.inherited { // its mark stays in doubt; what became of it, its heirs say
			l.searches.Delete(k)
			l.do(Effect{Kind: Delete, Key: k})
			continue
		}
		l.play(k, s, in)
	}
	l.counts.Closed += uint64(n)
	return n
}

func (m *mark) standing() standing {
	switch {
	case m.ran && m.body != nil:
		return ran
	case m.ran:
		return ranBlank
	case m.unsure > 0:
		return inDoubt
	}
	return clear
}

func (m *mark) outcome() Outcome {
	return [...]Outcome{clear: Rejected, inDoubt: Failed, ran: Succeeded, ranBlank: Succeeded}[m.standing()]
}

// inside tells whether the group of a mark surely still drops repeats of it.
func (l *Ledger) inside(m *mark) bool { return l.now <= m.first+l.offerings[m.offering].window }

// ageMarks makes marks as old as they can be after a restart: nobody knows just how long that took. What decides how
// long they are kept is as young as it can be.
func (l *Ledger) ageMarks(gone Interval) {
	if gone.Max <= gone.Min {
		return
	}
	for p := range l.marks.Places() {
		if k, _, m := l.marks.Next(p); m != nil && m.standing() != clear {
			m.first -= gone.Max - gone.Min
			l.keepMark(k, m)
		}
	}
}
