package ledger

// Outcome is what became of a request.
type Outcome uint8

// The outcomes of a request.
const (
	Unknown Outcome = iota
	Open
	Succeeded
	Rejected
	Failed
	Abandoned
)

// outcomeNames are sent to clients and peers, so they never change.
var outcomeNames = [...]string{Unknown: "unknown", Open: "open", Succeeded: "handled", Rejected: "denied", Failed: "written_off",
	Abandoned: "left"}

// String returns the name of the outcome in the client protocol.
func (o Outcome) String() string { return outcomeNames[o] }

// queryOutcome answers what became of a request id or, without one, of an idempotency key.
func (l *Ledger) queryOutcome(ev *Event) {
	answer := l.emit(Effect{Kind: AnswerFromRecord, ID: ev.ID})
	switch {
	case ev.ID != "":
		l.requestOutcome(ev.ID, answer)
	case ev.IdempotencyKey != "":
		l.keyOutcome(ev.IdempotencyKey, answer)
	}
}

func (l *Ledger) requestOutcome(id string, answer *Effect) {
	r := l.requests.Get(requestKey(id))
	if r == nil {
		answer.Outcome = l.unknownOutcome()
		return
	}
	answer.Outcome, answer.AgeMS = r.state.outcome(), l.now-r.updatedAt
	if answer.Outcome != Succeeded {
		return
	}
	if k := l.keys.Get(r.keyRecord); k != nil {
		answer.Body = k.answer
	}
}

func (l *Ledger) keyOutcome(text string, answer *Effect) {
	k := l.keys.Get(idempotencyRecordKey(text))
	if k == nil {
		answer.Outcome = l.unknownOutcome()
		return
	}
	answer.Outcome, answer.AgeMS, answer.Body = k.outcome(), l.now-k.lastAt, k.answer
	if k.state() == keyUnused && l.unknownOutcome() != Unknown {
		answer.Outcome = l.unknownOutcome()
	}
}

// unknownOutcome is the outcome of what is not on record. While records may be missing it is Failed, which promises nothing.
func (l *Ledger) unknownOutcome() Outcome {
	if l.inDoubtUntil > 0 && l.now < l.inDoubtUntil+l.rememberMS {
		return Failed
	}
	return Unknown
}
