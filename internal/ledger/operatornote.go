package ledger

// operatorNote is durable text that an operator set at run time. A later note replaces an earlier one of the same
// name, and a note with an empty body deletes it.
type operatorNote struct {
	key    Key
	name   string
	author string
	body   []byte
	at     float64 // log time at which it was set
}

func noteKey(name string) Key { return recordKey('n', name) }

// persistNote stores or deletes a note and requests a Sync, whose result tells when the change is durable.
func (l *Ledger) persistNote(ev *Event) {
	storeKey := noteKey(ev.ID)
	if len(ev.Body) == 0 {
		l.emit(Effect{Kind: Delete, Key: storeKey})
	} else {
		w := l.newRecord(kindOperatorNote)
		w.text(fieldID, ev.ID)
		w.text(fieldIdempotencyKey, ev.IdempotencyKey)
		w.bytes(fieldBody, ev.Body)
		w.persist(storeKey, 0)
	}
	l.sync()
}

// readNote collects a note from a record until restoreNotes emits it.
func (l *Ledger) readNote(storeKey Key, record *decodedRecord) {
	body := append([]byte{}, record.texts[fieldBody]...)
	l.notes = append(l.notes, operatorNote{
		key: storeKey, name: record.text(fieldID), author: record.text(fieldIdempotencyKey), body: body,
		at: record.number(fieldAt),
	})
}

// restoreNotes emits the last note of each name.
func (l *Ledger) restoreNotes() {
	for i, note := range l.notes {
		last := true
		for _, later := range l.notes[i+1:] {
			last = last && later.key != note.key
		}
		if last {
			l.emit(Effect{Kind: OperatorNote, ID: note.name, Body: note.body, Text: note.author, AgeMS: l.now - note.at})
		}
	}
	l.notes = nil
}
