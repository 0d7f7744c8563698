package ledger

// operatorNote is what an operator set at run time. A later one of the same name replaces it; an empty one deletes it.
type operatorNote struct {
	key    Key
	name   string
	author string
	body   []byte
	at     float64
}

func noteKey(name string) Key { return recordKey('n', name) }

// persistNote puts a note on record; Sync reports when it is durable.
func (l *Ledger) persistNote(ev *Event) {
	k := noteKey(ev.ID)
	if len(ev.Body) == 0 {
		l.emit(Effect{Kind: Delete, Key: k})
	} else {
		w := l.newRecord(kindOperatorNote)
		w.text(fieldID, ev.ID)
		w.text(fieldIdempotencyKey, ev.IdempotencyKey)
		w.bytes(fieldBody, ev.Body)
		w.persist(k, 0)
	}
	l.sync()
}

func (l *Ledger) readNote(key Key, r *decodedRecord) {
	body := append([]byte{}, r.texts[fieldBody]...)
	l.notes = append(l.notes, operatorNote{key: key, name: r.text(fieldID), author: r.text(fieldIdempotencyKey), body: body, at: r.number(fieldAt)})
}

// restoreNotes hands over the last note of each name.
func (l *Ledger) restoreNotes() {
	for i, n := range l.notes {
		last := true
		for _, later := range l.notes[i+1:] {
			last = last && later.key != n.key
		}
		if last {
			l.emit(Effect{Kind: OperatorNote, ID: n.name, Body: n.body, Text: n.author, AgeMS: l.now - n.at})
		}
	}
	l.notes = nil
}
