package ledger

// note is what an operator has set at run time. A later one of the same name takes its place; an empty one ends it.
type note struct {
	key  Key
	name string
	who  string
	text []byte
	at   float64
}

func noteKey(name string) Key { return keyOf('n', name) }

// keepNote puts a note on record; the caller hears when it lasts.
func (l *Ledger) keepNote(ev *Event) {
	k := noteKey(ev.ID)
	if len(ev.Body) == 0 {
		l.do(Effect{Kind: Delete, Key: k})
	} else {
		w := l.record(noteRecord)
		w.text(fieldID, ev.ID)
		w.text(fieldMark, ev.IdempotencyKey)
		w.bytes(fieldBody, ev.Body)
		w.keep(k, 0)
	}
	l.sync()
}

// recallNotes gives back what was set, each name once, the last one.
func (l *Ledger) recallNotes() {
	for k, n := range l.notes {
		last := true
		for _, m := range l.notes[k+1:] {
			last = last && m.key != n.key
		}
		if last {
			l.do(Effect{Kind: OperatorNote, ID: n.name, Body: n.text, Text: n.who, AgeMS: l.now - n.at})
		}
	}
	l.notes = nil
}
